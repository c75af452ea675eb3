/**
 * SIGTERM to an entry process while callers use kept connections. Guards against
 * requests that the process has read and that end without a response, up to its
 * exit, and against refused ones that ran.
 */
import { rmSync } from "node:fs";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import { createRandom, type Random } from "../../src/core/random.ts";
import { forwardingPorts, waitUntilOk } from "../forwarding_settings.ts";
import { startSoakDeployment } from "../soak/soak_deployment.ts";
import {
  createSoakOperator,
  soakApiKey,
  soakHost,
} from "../soak/soak_operator.ts";
import type { SoakRecord } from "../soak/soak_types.ts";
import { startSoakUpstreams } from "../soak/soak_upstreams.ts";
import {
  type CallerConnection,
  ConnectionEnd,
  formatRequest,
  openCallerConnection,
} from "./caller_connection.ts";

interface SentRequest {
  readonly requestId: string;
  readonly connection: CallerConnection;
  readonly responseIndex: number;
  readonly sentAtMs: number;
}

const domainIds = ["domain-a", "domain-b", "domain-c"];
const firstNetwork = 20;
const networkCount = 200;
const startTimeoutMs = 20_000;
const callerCount = 24;
const beforeStopMs = 1_000;
const maxPipelined = 3;
const pipelinedRatio = 0.2;
const maxIdleMs = 60;
const maxBodyBytes = 60_000;
const deadlineMs = 8_000;
const eventCount = 20;
/** A request sent so shortly before the end of its connection crossed it. */
const crossingMs = 250;
/** Statuses that promise that the request did not run and never will. */
const promisingStatuses = [408, 421, 429, 503];
const closers: (() => void | Promise<void>)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

async function start() {
  const record: SoakRecord = {
    attempts: [],
    answers: [],
    submissions: [],
    reads: [],
    moves: [],
    unexpectedExits: [],
    settledAtMs: Infinity,
  };
  const random = createRandom(11);
  const networkPrefix = `127.${firstNetwork + process.pid % networkCount}`;
  const upstreams = await startSoakUpstreams({
    host: `${networkPrefix}.250.1`,
    domainIds,
    random,
    record,
  });
  closers.push(upstreams.close);
  const deployment = await startSoakDeployment({
    networkPrefix,
    domainIds,
    entriesPerDomain: 1,
    upstreamList: `${networkPrefix}.250.1:${upstreams.listPort}`,
    onUnexpectedExit: (exit) => record.unexpectedExits.push(exit),
  });
  closers.push(async () => {
    await deployment.end();
    rmSync(deployment.folder, { recursive: true, force: true });
  });
  const operatorUrls = deployment.control.map(({ host }) =>
    `http://${host}:${forwardingPorts.operators}`
  );
  await createSoakOperator({ random, record, operatorUrls })
    .submitConfiguration();
  const entry = deployment.entries[0]!;
  await waitUntilOk(
    `http://${entry.host}:${forwardingPorts.readiness}/ready`,
    startTimeoutMs,
  );
  return { record, deployment, entry };
}

/** Uses one connection after another until `isOver`. */
async function runCaller(
  random: Random,
  { host, sent, isOver }: {
    readonly host: string;
    readonly sent: SentRequest[];
    isOver(): boolean;
  },
): Promise<void> {
  while (!isOver()) {
    const connection = await openCallerConnection(
      forwardingPorts.callers,
      host,
    );
    let count = 0;
    while (!isOver() && isUsable(connection)) {
      const pipelinedCount = random.next() < pipelinedRatio
        ? 2 + random.nextInt(maxPipelined - 1)
        : 1;
      for (let number = 0; number < pipelinedCount; number++) {
        const requestId = `stop-${sent.length}`;
        connection.send(formatRequest({
          requestId,
          host: soakHost,
          apiKey: soakApiKey,
          deadlineMs,
          ...drawTarget(random),
        }));
        sent.push({
          requestId,
          connection,
          responseIndex: count,
          sentAtMs: performance.now(),
        });
        count += 1;
      }
      await Promise.race([
        connection.waitForComplete(count, deadlineMs),
        connection.waitForEnd(deadlineMs),
      ]);
      await sleep(random.next() * maxIdleMs);
    }
    connection.leave();
    await sleep(random.next() * maxIdleMs);
  }
}

function drawTarget(random: Random) {
  const draw = random.nextInt(3);
  if (draw === 0) {
    return {
      path: `/gen/key/${eventCount}`,
      headers: ["Token-Count: 30,60", "Prompt-Prefix: a:10"],
    };
  }
  return {
    path: draw === 1 ? "/safe/item" : "/unsafe/item",
    isChunked: random.next() < 0.5,
    body: "b".repeat(random.nextInt(maxBodyBytes)),
  };
}

function isUsable(connection: CallerConnection): boolean {
  return connection.getEnd() === ConnectionEnd.None &&
    connection.responses.at(-1)?.headers.get("connection") !== "close";
}

/** Returns what a request shows that must not be, or undefined. */
function findViolation(
  { requestId, connection, responseIndex, sentAtMs }: SentRequest,
  { attempts }: SoakRecord,
): string | undefined {
  const response = connection.responses[responseIndex];
  const hasRun = attempts.some((attempt) => attempt.requestId === requestId);
  if (response?.isComplete) {
    return hasRun && promisingStatuses.includes(response.status)
      ? `${requestId}: ran and got status ${response.status}`
      : undefined;
  }
  if (response) return `${requestId}: broken off, status ${response.status}`;
  if (hasRun) return `${requestId}: ran and got no response`;
  const endedAtMs = connection.getEndedAtMs() ?? Infinity;
  return endedAtMs - sentAtMs > crossingMs
    ? `${requestId}: no response after ${endedAtMs - sentAtMs} ms`
    : undefined;
}

test(
  "SIGTERM loses no request of a kept connection until the process has exited",
  async () => {
    const { record, deployment, entry } = await start();
    const sent: SentRequest[] = [];
    let isOver = false;
    const callers = Array.from(
      { length: callerCount },
      (_, index) =>
        runCaller(createRandom(1_000 + index), {
          host: entry.host,
          sent,
          isOver: () => isOver,
        }),
    );
    await sleep(beforeStopMs);
    const stoppedAtMs = performance.now();
    await deployment.stop(entry);
    const exitedAtMs = performance.now();
    isOver = true;
    await Promise.all(callers);
    const violations = sent.map((request) => findViolation(request, record))
      .filter((violation) => violation !== undefined);
    expect(violations).toEqual([]);
    const servedCount = sent.filter((
      { connection, responseIndex, sentAtMs },
    ) =>
      sentAtMs > stoppedAtMs && connection.responses[responseIndex]?.isComplete
    ).length;
    expect(servedCount).toBeGreaterThan(callerCount);
    // The process exited by itself; it is killed after 9.5 s.
    expect(exitedAtMs - stoppedAtMs).toBeLessThan(9_000);
    expect(record.unexpectedExits).toEqual([]);
  },
  60_000,
);
