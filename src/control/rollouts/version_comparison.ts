/**
 * Compares the candidate with the stable version from batches of evidence.
 *
 * Outcomes are only compared within a stratum (route and load bucket). The log
 * likelihood ratios of strata are added up per route, per range of loads and
 * over all strata, so that a fault on every route is detected sooner than in
 * any single stratum.
 */
import {
  addTotals,
  type Comparison,
  type Finding,
  Metric,
  type MetricTotals,
} from "./comparison_state.ts";
import { type EvidenceCell, maxRoutes, otherRoute } from "./evidence.ts";
import { addAcceptanceEvidence } from "./acceptance_evidence.ts";
import { getThresholdLog, maxStrata } from "./fault_threshold.ts";
import {
  addOutcomes,
  addPoissonEvents,
  createFaultDetector,
  createLogRatios,
  type LogRatios,
  updateDetector,
} from "./fault_detector.ts";
import {
  addStableCell,
  countSlow,
  createStableReference,
  getLatencyLimit,
  getNormalFailureRate,
  type LatencyBins,
} from "./stable_reference.ts";

const latencyMetrics: readonly {
  readonly metric: Metric;
  readonly kind: LatencyBins;
  readonly quantile: number;
}[] = [
  { metric: Metric.FirstToken90, kind: "firstTokenBins", quantile: 0.9 },
  { metric: Metric.FirstToken98, kind: "firstTokenBins", quantile: 0.98 },
  { metric: Metric.TokenGap90, kind: "tokenGapBins", quantile: 0.9 },
  { metric: Metric.TokenGap98, kind: "tokenGapBins", quantile: 0.98 },
];

/**
 * The scope of a load bucket spans this many buckets, starting with that
 * bucket.
 */
const loadScopeWidth = 3;
/**
 * Multiple of the stable version's crash rate that is normal for the candidate.
 */
const crashTolerance = 3;

interface Block {
  readonly logs: LogRatios;
  readonly totals: MetricTotals;
}

export interface EvidenceOptions {
  readonly nowMs: number;
  /** Number of tests that run in parallel and share the error rate. */
  readonly testCount: number;
}

export interface EvidenceResult {
  /** The first fault that was detected. */
  readonly finding: Finding | undefined;
  /** Smallest distance between a statistic and its threshold. */
  readonly distanceLog: number;
}

export function addEvidence(
  comparison: Comparison,
  received: readonly EvidenceCell[],
  { nowMs, testCount }: EvidenceOptions,
): EvidenceResult {
  const cells = received.map((cell) => limitRoute(comparison, cell));
  const blocks = new Map<string, Block>();
  // Stable outcomes first: they reveal a disturbance that affects both
  // versions.
  for (const cell of cells) {
    if (!cell.isCandidate) addStable(comparison, cell, nowMs);
  }
  for (const cell of cells) {
    if (cell.isCandidate) addCandidate(comparison, cell, { blocks, nowMs });
  }
  addCrashBlock(comparison, blocks);
  let finding: Finding | undefined;
  let distanceLog = Infinity;
  for (const [key, block] of blocks) {
    const tested = applyBlock(comparison, key, { block, nowMs, testCount });
    distanceLog = Math.min(
      distanceLog,
      tested.thresholdLog - tested.statisticLog,
    );
    if (tested.statisticLog >= tested.thresholdLog) finding ??= tested;
  }
  return { finding, distanceLog };
}

function limitRoute(
  { stableRouteCounts }: Comparison,
  cell: EvidenceCell,
): EvidenceCell {
  if (cell.route in stableRouteCounts) return cell;
  if (Object.keys(stableRouteCounts).length < maxRoutes - 1) return cell;
  return { ...cell, route: otherRoute };
}

function addStable(
  comparison: Comparison,
  cell: EvidenceCell,
  nowMs: number,
): void {
  incrementCount(comparison.stableRouteCounts, cell.route, cell.attemptCount);
  const bucket = String(cell.loadBucket);
  incrementCount(comparison.stableLoadCounts, bucket, cell.attemptCount);
  const key = getStratumKey(cell);
  if (!(key in comparison.references)) {
    if (Object.keys(comparison.references).length >= maxStrata) return;
    comparison.references[key] = createStableReference();
  }
  addStableCell(comparison.references[key]!, cell, nowMs);
}

function addCandidate(
  comparison: Comparison,
  cell: EvidenceCell,
  { blocks, nowMs }: { blocks: Map<string, Block>; nowMs: number },
): void {
  const reference = comparison.references[getStratumKey(cell)];
  if (!reference) return;
  const scopes = getScopes(cell);
  const failureRate = getNormalFailureRate(reference, nowMs);
  if (failureRate !== undefined) {
    addMetricOutcomes(Metric.Failure, failureRate, {
      count: cell.attemptCount,
      badCount: cell.failureCount,
    });
  }
  for (const { metric, kind, quantile } of latencyMetrics) {
    if (cell[kind].length === 0) continue;
    const limit = getLatencyLimit(reference, kind, { quantile, nowMs });
    if (!limit) continue;
    addMetricOutcomes(
      metric,
      limit.normalRate,
      countSlow(cell[kind], limit.slowBin),
    );
  }

  function addMetricOutcomes(
    metric: Metric,
    normalRate: number,
    { count, badCount }: { count: number; badCount: number },
  ): void {
    const outcomes = { normalRate, count, badCount };
    const scopeBlocks = scopes.map((scope) =>
      getBlock(blocks, `${scope}|${metric}`)
    );
    addOutcomes(scopeBlocks.map((block) => block.logs), outcomes);
    for (const block of scopeBlocks) addTotals(block.totals, outcomes);
    addAcceptanceEvidence(comparison, { cell, metric, outcomes });
  }
}

function addCrashBlock(
  { crashes }: Comparison,
  blocks: Map<string, Block>,
): void {
  const { pendingCount, pendingEngineMs, stableEngineMs } = crashes;
  if (pendingEngineMs === 0 || stableEngineMs === 0) return;
  const normalRate = crashTolerance *
    (crashes.stableCount + 1) / stableEngineMs;
  const normalCount = normalRate * pendingEngineMs;
  const block = getBlock(blocks, `all|${Metric.Crash}`);
  addPoissonEvents(block.logs, { normalCount, count: pendingCount });
  block.totals.count += pendingCount;
  block.totals.badCount += pendingCount;
  block.totals.normalBadCount += normalCount;
  crashes.candidateCount += pendingCount;
  crashes.pendingCount = 0;
  crashes.pendingEngineMs = 0;
}

function applyBlock(
  comparison: Comparison,
  key: string,
  { block, nowMs, testCount }: { block: Block } & EvidenceOptions,
): Finding {
  const [scope, metric] = splitKey(key);
  const detector = comparison.detectors[key] ??= createFaultDetector();
  const totals = comparison.totals[key] ??= {
    count: 0,
    badCount: 0,
    normalBadCount: 0,
  };
  totals.count += block.totals.count;
  totals.badCount += block.totals.badCount;
  totals.normalBadCount += block.totals.normalBadCount;
  const statisticLog = updateDetector(detector, block.logs, {
    nowMs,
    horizonMs: comparison.horizonMs,
  });
  const thresholdLog = getThresholdLog(scope) + Math.log(testCount);
  return {
    scope,
    metric,
    candidateCount: totals.count,
    candidateBadCount: totals.badCount,
    normalBadCount: totals.normalBadCount,
    statisticLog,
    thresholdLog,
  };
}

export function addCrashes(
  { crashes }: Comparison,
  { stableCrashCount, candidateCrashCount }: {
    readonly stableCrashCount: number;
    readonly candidateCrashCount: number;
  },
): void {
  crashes.stableCount += stableCrashCount;
  crashes.pendingCount += candidateCrashCount;
}

export function addEngineTime(
  { crashes }: Comparison,
  { stableEngineMs, candidateEngineMs }: {
    readonly stableEngineMs: number;
    readonly candidateEngineMs: number;
  },
): void {
  crashes.stableEngineMs += stableEngineMs;
  crashes.pendingEngineMs += candidateEngineMs;
}

function getStratumKey(cell: EvidenceCell): string {
  return `${cell.route}@${cell.loadBucket}`;
}

function getScopes(cell: EvidenceCell): string[] {
  const scopes = [
    "all",
    `route:${cell.route}`,
    `stratum:${getStratumKey(cell)}`,
  ];
  // A fault under load appears from some bucket on, on every route.
  const lowest = Math.max(0, cell.loadBucket - loadScopeWidth + 1);
  for (let bucket = lowest; bucket <= cell.loadBucket; bucket++) {
    scopes.push(`load:${bucket}`);
  }
  return scopes;
}

function splitKey(key: string): [string, Metric] {
  const index = key.lastIndexOf("|");
  return [key.slice(0, index), key.slice(index + 1) as Metric];
}

function getBlock(blocks: Map<string, Block>, key: string): Block {
  const existing = blocks.get(key);
  if (existing) return existing;
  const block: Block = {
    logs: createLogRatios(),
    totals: { count: 0, badCount: 0, normalBadCount: 0 },
  };
  blocks.set(key, block);
  return block;
}

function incrementCount(
  counts: Record<string, number>,
  key: string,
  change: number,
): void {
  counts[key] = (counts[key] ?? 0) + change;
}
