/**
 * Callers of a soak: they send safe and unsafe calls and read streams. After an
 * interruption a stream is resumed after its last received event, at a randomly
 * chosen entry instance. Connections are kept alive between requests until the
 * instance closes them.
 */
import { Buffer } from "node:buffer";
import http from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { Random } from "../../src/core/random.ts";
import { soakApiKey, soakHost } from "./soak_operator.ts";
import type { ObservedAnswer, RequestKind, SoakRecord } from "./soak_types.ts";
import { formatSoakEvent, getCallBody } from "./soak_upstreams.ts";

export interface SoakCallers {
  /** Sends requests until the signal aborts, then waits for the open ones. */
  run(signal: AbortSignal): Promise<void>;
}

export interface SoakCallersOptions {
  readonly random: Random;
  readonly record: SoakRecord;
  listPorts(): readonly number[];
}

interface RequestSpec {
  readonly kind: RequestKind;
  readonly key: string;
  readonly lastEventId: number;
  readonly eventCount: number;
  readonly hasForgedKey: boolean;
}

const callsPerS = 60;
const streamsPerS = 4;
const tickMs = 50;
const callTimeoutMs = 2_000;
const streamTimeoutMs = 12_000;
/** A caller disconnects this long after the deadline of its request. */
const disconnectSlackMs = 500;
const maxRequestsPerStream = 4;
const minEvents = 10;
const maxEvents = 60;
const forgedKeyRatio = 0.01;
const disconnectRatio = 0.03;
const maxDisconnectDelayMs = 400;
const retryDelayMs = 100;

export function createSoakCallers(options: SoakCallersOptions): SoakCallers {
  const { random, record } = options;
  const agent = new http.Agent({ keepAlive: true });
  const openRequests = new Set<Promise<void>>();
  let nextRequestNumber = 1;
  return { run };

  async function run(signal: AbortSignal): Promise<void> {
    let dueCalls = 0;
    let dueStreams = 0;
    while (!signal.aborted) {
      dueCalls += callsPerS * tickMs / 1_000;
      dueStreams += streamsPerS * tickMs / 1_000;
      for (; dueCalls >= 1; dueCalls--) track(call());
      for (; dueStreams >= 1; dueStreams--) track(stream());
      await sleep(tickMs);
    }
    await Promise.all(openRequests);
    agent.destroy();
  }

  function track(work: Promise<void>): void {
    openRequests.add(work);
    void work.finally(() => openRequests.delete(work));
  }

  async function call(): Promise<void> {
    await sendToRandomEntry({
      kind: random.next() < 0.5 ? "safe" : "unsafe",
      key: "",
      lastEventId: 0,
      eventCount: 0,
      hasForgedKey: random.next() < forgedKeyRatio,
    });
  }

  async function stream(): Promise<void> {
    const key = `k${nextRequestNumber}`;
    const eventCount = minEvents + random.nextInt(maxEvents - minEvents);
    let lastEventId = 0;
    for (let index = 0; index < maxRequestsPerStream; index++) {
      const answer = await sendToRandomEntry({
        kind: "stream",
        key,
        lastEventId,
        eventCount,
        hasForgedKey: false,
      });
      lastEventId = answer.eventIds.at(-1) ?? lastEventId;
      if (answer.status === 200 && answer.isComplete) return;
      if (lastEventId >= eventCount) return;
      await sleep(retryDelayMs);
    }
  }

  async function sendToRandomEntry(spec: RequestSpec): Promise<ObservedAnswer> {
    const requestId = `r${nextRequestNumber++}`;
    const ports = options.listPorts();
    const answer = await sendRequest(
      requestId,
      spec,
      ports[random.nextInt(ports.length)]!,
    );
    record.answers.push(answer);
    return answer;
  }

  function sendRequest(
    requestId: string,
    spec: RequestSpec,
    port: number,
  ): Promise<ObservedAnswer> {
    const { kind, key, lastEventId, eventCount, hasForgedKey } = spec;
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
          "Api-Key": hasForgedKey ? "forged" : soakApiKey,
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
        random.next() < disconnectRatio
          ? random.next() * maxDisconnectDelayMs
          : timeoutMs + disconnectSlackMs,
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
          hasForgedKey,
          ...(isStream && status === 200
            ? parseEvents(body, key)
            : { eventIds: [], hasExpectedContent: isCallBodyExpected() }),
        });

        function isCallBodyExpected(): boolean {
          return status !== 200 || !isComplete ||
            body === getCallBody(requestId);
        }
      }
    });
  }
}

/** Skips an incomplete last event, since a connection may be lost within it. */
function parseEvents(
  body: string,
  key: string,
): Pick<ObservedAnswer, "eventIds" | "hasExpectedContent"> {
  const events = body.split("\n\n").slice(0, -1).map((text) => `${text}\n\n`);
  const eventIds = events.map((event) => Number(/^id: (\d+)/.exec(event)?.[1]));
  return {
    eventIds,
    hasExpectedContent: events.every((event, index) =>
      event === formatSoakEvent(key, eventIds[index]!)
    ),
  };
}
