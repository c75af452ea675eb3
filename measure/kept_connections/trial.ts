/**
 * One trial: callers send whole requests over kept connections to an entry
 * server in this process while the changes drawn from the seed are made, and
 * every request must get a complete response or an end that is explained.
 */
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import type { Logger } from "../../src/core/logger.ts";
import { createRandom } from "../../src/core/random.ts";
import { startTestEntry } from "../forwarding_fakes.ts";
import { runTrialCallers } from "./trial_callers.ts";
import {
  createFirstTable,
  drawChanges,
  type TrialChange,
  trialServices,
} from "./trial_changes.ts";
import { checkTrial, type TrialOutcome } from "./trial_checks.ts";
import { Feature, type TrialRecord, TrialRoute } from "./trial_types.ts";
import {
  createTrialUpstreams,
  type TrialUpstream,
  type TrialUpstreams,
} from "./trial_upstreams.ts";
import type { ForwardingTable } from "../../src/forwarding/forwarding_table.ts";

export interface TrialOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly features: ReadonlySet<Feature>;
}

export interface TrialResult extends TrialOutcome {
  readonly seed: number;
  readonly requestCount: number;
  readonly changeCount: number;
}

const callerCount = 24;
const domainIds = ["domain-a", "domain-b", "domain-c"];
const graceMs = 4_500;
/** Open requests may end during this time after the last change. */
const settleMs = 2_000;
/** Time from the end of a drain to the exit of the process. */
const exitDelayMs = 50;
const removalDelayMs = 300;

export async function runTrial(options: TrialOptions): Promise<TrialResult> {
  const { seed, durationMs, features } = options;
  const record = createRecord();
  const logger = createRecordingLogger(record);
  const endCapture = captureUncaught(record);
  const upstreams = createTrialUpstreams({ seed, features, record });
  for (const service of trialServices) {
    for (const domainId of domainIds) await upstreams.add(service, domainId);
  }
  const firstTable = createFirstTable();
  const entry = await startTestEntry([], firstTable, { logger });
  entry.context.directory.update(upstreams.all.map(({ listed }) => listed));
  let idleTimeoutMs = firstTable.limits.idleTimeoutMs;
  recordTimeouts(record, firstTable);
  const changes = drawChanges(createRandom(seed), { durationMs, features });
  const startedAtMs = performance.now();
  const removedIds = new Set<string>();
  let isOpening = true;
  let isOver = false;
  const callersFinished = runTrialCallers({
    seed,
    port: entry.port,
    callerCount,
    features,
    record,
    isOpening: () => isOpening,
    isOver: () => isOver,
    getIdleTimeoutMs: () => idleTimeoutMs,
  });
  for (const { atMs, change } of changes) {
    await sleep(Math.max(0, startedAtMs + atMs - performance.now()));
    await apply(change);
  }
  await sleep(Math.max(0, startedAtMs + durationMs - performance.now()));
  if (features.has(Feature.Drain)) {
    record.graceMs = graceMs;
    record.drainStartedAtMs = performance.now();
    await entry.server.drain(graceMs);
    record.drainedAtMs = performance.now();
    isOpening = false;
    await sleep(exitDelayMs);
  } else await sleep(settleMs);
  isOpening = false;
  const endedAtMs = performance.now();
  isOver = true;
  await callersFinished;
  upstreams.close();
  endCapture();
  return {
    seed,
    requestCount: record.requests.length,
    changeCount: changes.length,
    ...checkTrial(record, endedAtMs),
  };

  function apply(change: TrialChange): Promise<void> | void {
    switch (change.kind) {
      case "table": {
        entry.setTable(change.table);
        if (!change.table) return;
        entry.server.setLimits(change.table.limits);
        idleTimeoutMs = change.table.limits.idleTimeoutMs;
        recordTimeouts(record, change.table);
        return;
      }
      case "silence": {
        const untilMs = performance.now() + change.durationMs;
        for (const upstream of listTargets(upstreams, change)) {
          upstream.silentUntilMs = Math.max(upstream.silentUntilMs, untilMs);
        }
        return;
      }
      case "crash":
        upstreams.crash(
          pickListed(upstreams, change.target),
          change.downtimeMs,
        );
        return;
      case "limit":
        for (const upstream of upstreams.all) {
          upstream.limitPerS = change.limitPerS;
        }
        return;
      case "pause":
        pauseProcess(change.durationMs);
        return;
      case "leave":
        return leave(change.target, true);
      case "remove":
        return leave(change.target, false);
      case "reuse":
        upstreams.replace(pickListed(upstreams, change.target));
        setTimeout(updateList, removalDelayMs);
        return;
    }
  }

  /** Runs of an upstream that left the list go on. */
  async function leave(target: number, isAnnounced: boolean): Promise<void> {
    const upstream = pickListed(upstreams, target);
    const { service, domainId } = upstream.listed;
    await upstreams.add(service, domainId);
    upstream.listed = { ...upstream.listed, isLeaving: true };
    if (!isAnnounced) removedIds.add(upstream.listed.upstreamId);
    else {
      setTimeout(() => {
        removedIds.add(upstream.listed.upstreamId);
        updateList();
      }, removalDelayMs);
    }
    updateList();
  }

  function updateList(): void {
    entry.context.directory.update(
      upstreams.all.map(({ listed }) => listed)
        .filter(({ upstreamId }) => !removedIds.has(upstreamId)),
    );
  }
}

function createRecord(): TrialRecord {
  return {
    requests: [],
    runs: [],
    log: [],
    timeouts: [],
    uncaught: [],
    drainStartedAtMs: Infinity,
    graceMs: 0,
    drainedAtMs: Infinity,
  };
}

function recordTimeouts(
  { timeouts }: TrialRecord,
  { routes }: ForwardingTable,
): void {
  timeouts.push({
    atMs: performance.now(),
    timeoutMs: new Map(
      routes.map(({ name, timeoutMs }) => [name as TrialRoute, timeoutMs]),
    ),
  });
}

function createRecordingLogger({ log }: TrialRecord): Logger {
  const logger: Logger = {
    log: ({ number, text }, fields = {}) =>
      void log.push({ atMs: performance.now(), event: number, text, fields }),
    with: () => logger,
    flush: () => {},
  };
  return logger;
}

/** The daemon has no handler, so an uncaught exception ends its process. */
function captureUncaught({ uncaught }: TrialRecord): () => void {
  const events = ["uncaughtException", "unhandledRejection"] as const;
  const listeners = events.map((event) => process.listeners(event as "exit"));
  const capture = (cause: unknown) => {
    uncaught.push(cause instanceof Error ? `${cause.stack}` : String(cause));
  };
  for (const event of events) {
    process.removeAllListeners(event);
    process.on(event, capture);
  }
  return () => {
    for (const [index, event] of events.entries()) {
      process.removeAllListeners(event);
      for (const listener of listeners[index]!) {
        process.on(event as "exit", listener);
      }
    }
  };
}

function pickListed(
  { all }: TrialUpstreams,
  target: number,
): TrialUpstream {
  const listed = all.filter((upstream) => !upstream.listed.isLeaving);
  return listed[target % listed.length]!;
}

function listTargets(
  upstreams: TrialUpstreams,
  { targets, target }: Extract<TrialChange, { kind: "silence" }>,
): readonly TrialUpstream[] {
  if (targets === "all") return upstreams.all;
  if (targets === "service") {
    const { service } = pickListed(upstreams, target).listed;
    return upstreams.all.filter(({ listed }) => listed.service === service);
  }
  return targets.map((number) => pickListed(upstreams, number));
}

/** Nothing runs in the process meanwhile, as during a long collection. */
function pauseProcess(durationMs: number): void {
  const untilMs = performance.now() + durationMs;
  while (performance.now() < untilMs) {
    // Keeps the event loop busy.
  }
}
