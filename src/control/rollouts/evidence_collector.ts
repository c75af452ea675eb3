/**
 * Records the outcomes of an instance's attempts as evidence, tests them for a
 * fault, and provides them to control in numbered batches.
 *
 * A batch keeps its number until control has counted it, so a batch that is
 * resent after a lost reply is counted once.
 */
import type { Clock } from "../../core/clock.ts";
import type { UpstreamId } from "../../core/types.ts";
import { type CellCounter, createCellCounter } from "./cell_counter.ts";
import {
  type Comparison,
  createComparison,
  type Finding,
} from "./comparison_state.ts";
import {
  getLatencyBin,
  getLoadBucket,
  maxRoutes,
  otherRoute,
} from "./evidence.ts";
import type { RolloutBatch } from "./rollout_commands.ts";
import type { TrafficGrant } from "./rollout_messages.ts";
import { addEvidence } from "./version_comparison.ts";

export interface ObservedAttempt {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly upstreamId: UpstreamId;
  /** Requests at the engine when the attempt started. */
  readonly loadCount: number;
  readonly isResumed: boolean;
}

export interface AttemptRecorder {
  onTokens(count: number): void;
  onEnded(): void;
  onFailed(): void;
}

export interface PendingBatch {
  readonly rolloutId: string;
  readonly batch: RolloutBatch;
}

export interface EvidenceCollector {
  /** Returns undefined if no rollout watches the attempt's version. */
  observe(attempt: ObservedAttempt): AttemptRecorder | undefined;
  /**
   * Tests the new outcomes and returns the batches that control has to count.
   */
  flush(): PendingBatch[];
  confirm(batches: readonly PendingBatch[]): void;
}

export interface EvidenceCollectorOptions {
  readonly clock: Clock;
  readonly instanceId: string;
  readonly incarnation: number;
  getWatchedGrant(service: string): TrafficGrant | undefined;
  /** Time at which the engine last answered a load report. */
  getLastLoadReportAtMs(upstreamId: UpstreamId): number | undefined;
  onFault(rolloutId: string, finding: Finding): void;
}

/**
 * The token gap is recorded after more than this many tokens, without waiting
 * for the end of the attempt.
 */
const tokenGapSampleSize = 32;
/** An engine that reports no load for this long after a failure has crashed. */
const crashTimeoutMs = 1_500;
/**
 * While this many batches are unconfirmed, further evidence accumulates in the
 * counter and becomes one batch.
 */
const maxPendingBatches = 4;

interface RolloutCollection {
  readonly counter: CellCounter;
  readonly comparison: Comparison;
  crashedEngines: { upstreamId: string; isCandidate: boolean }[];
  readonly pending: PendingBatch[];
  nextBatchNumber: number;
  readonly testCount: number;
  readonly routes: Set<string>;
}

interface PendingFailure {
  readonly grant: TrafficGrant;
  readonly upstreamId: UpstreamId;
  readonly failedAtMs: number;
  readonly isCandidate: boolean;
  count(): void;
}

export function createEvidenceCollector(
  options: EvidenceCollectorOptions,
): EvidenceCollector {
  const { clock } = options;
  const collections = new Map<string, RolloutCollection>();
  let failures: PendingFailure[] = [];
  return { observe, flush, confirm };

  function getCollection(grant: TrafficGrant): RolloutCollection {
    const existing = collections.get(grant.rolloutId);
    if (existing) return existing;
    const collection: RolloutCollection = {
      counter: createCellCounter(),
      comparison: createComparison(grant.horizonMs),
      crashedEngines: [],
      pending: [],
      nextBatchNumber: 1,
      testCount: grant.instanceCount,
      routes: new Set(),
    };
    collections.set(grant.rolloutId, collection);
    return collection;
  }

  function observe(attempt: ObservedAttempt): AttemptRecorder | undefined {
    const grant = options.getWatchedGrant(attempt.service);
    if (!grant) return undefined;
    const isCandidate = attempt.version === grant.candidateVersion;
    if (!isCandidate && attempt.version !== grant.stableVersion) {
      return undefined;
    }
    const { counter, routes } = getCollection(grant);
    const key = {
      route: limitRoute(routes, attempt.route),
      loadBucket: getLoadBucket(attempt.loadCount),
      isCandidate,
    };
    const startedAtMs = clock.nowMs();
    let firstTokenAtMs: number | undefined;
    let tokenCount = 0;
    let isGapKnown = false;
    return { onTokens, onEnded: () => recordGap(), onFailed };

    function onTokens(count: number): void {
      if (firstTokenAtMs === undefined) {
        firstTokenAtMs = clock.nowMs();
        counter.addAttempt(key);
        // A resumed attempt first prefills the output of an earlier attempt, so
        // its first-token latency is not comparable.
        if (!attempt.isResumed) {
          const latencyMs = firstTokenAtMs - startedAtMs;
          counter.addFirstToken(key, getLatencyBin(latencyMs));
        }
      }
      tokenCount += count;
      if (tokenCount > tokenGapSampleSize) recordGap();
    }

    function recordGap(): void {
      if (isGapKnown || firstTokenAtMs === undefined || tokenCount < 2) return;
      isGapKnown = true;
      const gapMs = (clock.nowMs() - firstTokenAtMs) / (tokenCount - 1);
      counter.addTokenGap(key, getLatencyBin(gapMs));
    }

    function onFailed(): void {
      failures.push({
        grant: grant!,
        upstreamId: attempt.upstreamId,
        failedAtMs: clock.nowMs(),
        isCandidate,
        count: () => {
          if (firstTokenAtMs === undefined) counter.addAttempt(key);
          counter.addFailure(key);
        },
      });
    }
  }

  /**
   * Attributes a failure to the version only if the engine still answers load
   * reports. Otherwise the engine has crashed.
   */
  function attributeFailures(): void {
    const nowMs = clock.nowMs();
    failures = failures.filter((failure) => {
      const reportedAtMs = options.getLastLoadReportAtMs(failure.upstreamId);
      if (reportedAtMs !== undefined && reportedAtMs > failure.failedAtMs) {
        failure.count();
        return false;
      }
      if (nowMs - failure.failedAtMs < crashTimeoutMs) return true;
      const { crashedEngines } = getCollection(failure.grant);
      const { upstreamId, isCandidate } = failure;
      if (!crashedEngines.some((crash) => crash.upstreamId === upstreamId)) {
        crashedEngines.push({ upstreamId, isCandidate });
      }
      return false;
    });
  }

  function flush(): PendingBatch[] {
    attributeFailures();
    for (const [rolloutId, collection] of collections) {
      flushCollection(rolloutId, collection);
    }
    return [...collections.values()].flatMap(({ pending }) => pending);
  }

  function flushCollection(
    rolloutId: string,
    collection: RolloutCollection,
  ): void {
    const { pending, comparison } = collection;
    if (pending.length >= maxPendingBatches) return;
    const cells = collection.counter.takeCells();
    const { crashedEngines } = collection;
    if (cells.length === 0 && crashedEngines.length === 0) return;
    collection.crashedEngines = [];
    pending.push({
      rolloutId,
      batch: {
        instanceId: options.instanceId,
        incarnation: options.incarnation,
        batchNumber: collection.nextBatchNumber++,
        cells,
        crashedEngines,
      },
    });
    const { finding } = addEvidence(comparison, cells, {
      nowMs: clock.wallMs(),
      // Every instance runs this test, so the instances share the error rate.
      testCount: collection.testCount,
    });
    if (finding) options.onFault(rolloutId, finding);
  }

  function confirm(batches: readonly PendingBatch[]): void {
    for (const { rolloutId, batch } of batches) {
      const pending = collections.get(rolloutId)?.pending ?? [];
      const index = pending.findIndex((entry) =>
        entry.batch.batchNumber === batch.batchNumber
      );
      if (index >= 0) pending.splice(index, 1);
    }
  }
}

/** Callers choose the route names, so the number of routes is bounded here. */
function limitRoute(routes: Set<string>, route: string): string {
  if (routes.has(route)) return route;
  if (routes.size >= maxRoutes - 1) return otherRoute;
  routes.add(route);
  return route;
}
