/**
 * Callers of a soak: safe and unsafe calls, and streams that are resumed
 * behind their last event at another entry instance. They keep connections open
 * as long as the instance lets them.
 */
import { Buffer } from "node:buffer";
import http from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { Random } from "../../src/core/random.ts";
import { soakHost, soakKey } from "./soak_operator.ts";
import type { RequestKind, SeenAnswer, SoakRecord } from "./soak_types.ts";
import { formatSoakEvent, getCallBody } from "./soak_upstreams.ts";

export interface SoakCallers {
  /** Runs until the signal, then waits for the open requests. */
  run(signal: AbortSignal): Promise<void>;
}

export interface SoakCallersOptions {
  readonly random: Random;
  readonly record: SoakRecord;
  listPorts(): readonly number[];
}

interface Attempt {
  readonly kind: RequestKind;
  readonly key: string;
  readonly lastEventId: number;
  readonly eventCount: number;
  readonly isForged: boolean;
}

const callsPerS = 60;
const streamsPerS = 4;
const tickMs = 50;
const callTimeoutMs = 2_000;
const streamTimeoutMs = 12_000;
/** A caller gives up an attempt after its deadline and this. */
const patienceMs = 500;
const maxStreamAttempts = 4;
const minEvents = 10;
const maxEvents = 60;
const forgedShare = 0.01;
const leaveShare = 0.03;
const maxLeaveMs = 400;
const retryPauseMs = 100;

export function createSoakCallers(options: SoakCallersOptions): SoakCallers {
  const { random, record } = options;
  const agent = new http.Agent({ keepAlive: true });
  const open = new Set<Promise<void>>();
  let nextRequest = 1;
  return { run };

  async function run(signal: AbortSignal): Promise<void> {
    let owedCalls = 0;
    let owedStreams = 0;
    while (!signal.aborted) {
      owedCalls += callsPerS * tickMs / 1_000;
      owedStreams += streamsPerS * tickMs / 1_000;
      for (; owedCalls >= 1; owedCalls--) track(call());
      for (; owedStreams >= 1; owedStreams--) track(stream());
      await sleep(tickMs);
    }
    await Promise.all(open);
    agent.destroy();
  }

  function track(work: Promise<void>): void {
    open.add(work);
    void work.finally(() => open.delete(work));
  }

  async function call(): Promise<void> {
    await send({
      kind: random.next() < 0.5 ? "safe" : "unsafe",
      key: "",
      lastEventId: 0,
      eventCount: 0,
      isForged: random.next() < forgedShare,
    });
  }

  async function stream(): Promise<void> {
    const key = `k${nextRequest}`;
    const eventCount = minEvents + random.nextInt(maxEvents - minEvents);
    let lastEventId = 0;
    for (let attempt = 0; attempt < maxStreamAttempts; attempt++) {
      const answer = await send({
        kind: "stream",
        key,
        lastEventId,
        eventCount,
        isForged: false,
      });
      lastEventId = answer.eventIds.at(-1) ?? lastEventId;
      if (answer.status === 200 && answer.isComplete) return;
      if (lastEventId >= eventCount) return;
      await sleep(retryPauseMs);
    }
  }

  async function send(attempt: Attempt): Promise<SeenAnswer> {
    const requestId = `r${nextRequest++}`;
    const ports = options.listPorts();
    const answer = await exchange(
      requestId,
      attempt,
      ports[random.nextInt(ports.length)]!,
    );
    record.answers.push(answer);
    return answer;
  }

  function exchange(
    requestId: string,
    attempt: Attempt,
    port: number,
  ): Promise<SeenAnswer> {
    const { kind, key, lastEventId, eventCount, isForged } = attempt;
    const sentAtMs = performance.now();
    const isStream = kind === "stream";
    const timeoutMs = isStream ? streamTimeoutMs : callTimeoutMs;
    const chunks: Buffer[] = [];
    let status = 0;
    return new Promise((resolve) => {
      const request = http.request({
        host: "127.0.0.1",
        port,
        agent,
        method: kind === "safe" ? "GET" : "POST",
        path: isStream ? `/gen/${key}/${eventCount}` : `/${kind}/item`,
        headers: {
          Host: soakHost,
          "Request-Id": requestId,
          "Api-Key": isForged ? "forged" : soakKey,
          "Deadline-Ms": String(timeoutMs),
          ...(isStream
            ? {
              "Token-Count": `100,${eventCount}`,
              "Last-Event-Id": String(lastEventId),
            }
            : {}),
        },
      }, (response) => {
        status = response.statusCode!;
        response.on("data", (chunk: Buffer) => chunks.push(chunk));
        response.on("end", () => finish(response.complete));
        response.on("error", () => finish(false));
        response.on("close", () => finish(false));
      });
      const timer = setTimeout(
        () => request.destroy(),
        random.next() < leaveShare
          ? random.next() * maxLeaveMs
          : timeoutMs + patienceMs,
      );
      request.on("error", () => finish(false));
      request.end();

      function finish(isComplete: boolean): void {
        clearTimeout(timer);
        const body = Buffer.concat(chunks).toString();
        resolve({
          requestId,
          kind,
          sentAtMs,
          endedAtMs: performance.now(),
          status,
          isComplete,
          lastEventId,
          eventCount,
          isForged,
          ...(isStream && status === 200
            ? readEvents(body, key)
            : { eventIds: [], isContentRight: isCallRight() }),
        });

        function isCallRight(): boolean {
          return status !== 200 || !isComplete ||
            body === getCallBody(requestId);
        }
      }
    });
  }
}

/** Whole events only: a connection may be lost within one. */
function readEvents(
  body: string,
  key: string,
): Pick<SeenAnswer, "eventIds" | "isContentRight"> {
  const events = body.split("\n\n").slice(0, -1).map((text) => `${text}\n\n`);
  const eventIds = events.map((event) => Number(/^id: (\d+)/.exec(event)?.[1]));
  return {
    eventIds,
    isContentRight: events.every((event, index) =>
      event === formatSoakEvent(key, eventIds[index]!)
    ),
  };
}
