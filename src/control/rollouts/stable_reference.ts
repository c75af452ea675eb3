/**
 * What is normal for the stable version in one stratum (route and load
 * bucket): its failure rate and its latency distribution, over a long history
 * and over the latest outcomes.
 */
import { type Bins, type EvidenceCell, latencyBinCount } from "./evidence.ts";
import { getLowerRate, getUpperRate } from "./fault_detector.ts";

export interface OutcomeCounts {
  attemptCount: number;
  failureCount: number;
  firstTokenBins: number[];
  tokenGapBins: number[];
}

export interface StableReference {
  readonly history: OutcomeCounts;
  /** The latest outcomes show a disturbance that hits both versions. */
  recent: OutcomeCounts;
  recentAtMs: number;
  /** Limits change slowly and are found again after `limitAgeMs`. */
  readonly limits: Record<string, CachedLimit>;
}

interface CachedLimit extends LatencyLimit {
  readonly atMs: number;
}

/** Older outcomes fade beyond this, so that slow drift is followed. */
const maxHistoryCount = 4_000;
/** Older outcomes next to the newest ones, which show a disturbance. */
const maxRecentCount = 10;
/** Without stable traffic the latest outcomes say nothing about now. */
const maxRecentAgeMs = 10_000;
const limitAgeMs = 5_000;
/** Below this a stratum is not compared: its interval would be too wide. */
const minReferenceCount = 40;
/** One-sided error 0.0013 of the upper end of the normal rate. */
const referenceDeviations = 3;
const recentDeviations = 2;
/** Failure rates closer together than this are not told apart. */
const failureSlack = 0.002;
/** 1.05 to the third: a version up to about 15% slower is not called bad. */
const toleranceBins = 3;

export function createStableReference(): StableReference {
  return {
    history: createCounts(),
    recent: createCounts(),
    recentAtMs: 0,
    limits: {},
  };
}

function createCounts(): OutcomeCounts {
  return {
    attemptCount: 0,
    failureCount: 0,
    firstTokenBins: [],
    tokenGapBins: [],
  };
}

export function addStableCell(
  reference: StableReference,
  cell: EvidenceCell,
  nowMs: number,
): void {
  if (nowMs - reference.recentAtMs > maxRecentAgeMs) {
    reference.recent = createCounts();
  }
  reference.recentAtMs = nowMs;
  addCell(reference.history, cell, maxHistoryCount);
  addCell(reference.recent, cell, maxRecentCount);
}

/** Older outcomes are scaled down to at most `maxOlderCount`. */
function addCell(
  counts: OutcomeCounts,
  cell: EvidenceCell,
  maxOlderCount: number,
): void {
  if (counts.attemptCount > maxOlderCount) {
    scale(counts, maxOlderCount / counts.attemptCount);
  }
  counts.attemptCount += cell.attemptCount;
  counts.failureCount += cell.failureCount;
  addBins(counts.firstTokenBins, cell.firstTokenBins);
  addBins(counts.tokenGapBins, cell.tokenGapBins);
}

function scale(counts: OutcomeCounts, factor: number): void {
  counts.attemptCount *= factor;
  counts.failureCount *= factor;
  scaleBins(counts.firstTokenBins, factor);
  scaleBins(counts.tokenGapBins, factor);
}

function scaleBins(bins: number[], factor: number): void {
  for (let bin = 0; bin < bins.length; bin++) bins[bin]! *= factor;
}

function addBins(total: number[], bins: Bins): void {
  for (const [bin, count] of bins) {
    while (total.length <= bin) total.push(0);
    total[bin]! += count;
  }
}

/** Highest normal failure rate, if outcomes can be compared with it. */
export function getNormalFailureRate(
  reference: StableReference,
  nowMs: number,
): number | undefined {
  const { history } = reference;
  if (history.attemptCount < minReferenceCount) return undefined;
  const upper = failureSlack + getUpperRate(
    history.failureCount,
    history.attemptCount,
    referenceDeviations,
  );
  const recent = getRecent(reference, nowMs);
  const latest = {
    count: recent?.attemptCount ?? 0,
    badCount: recent?.failureCount ?? 0,
  };
  return isDisturbed(upper, latest) ? undefined : clampRate(upper);
}

export interface LatencyLimit {
  /** Latencies from this bin on count as slow. */
  readonly slowBin: number;
  /** Highest normal share of slow requests. */
  readonly normalRate: number;
}

export type LatencyBins = "firstTokenBins" | "tokenGapBins";

/** The limit that the given share of stable requests stays below. */
export function getLatencyLimit(
  reference: StableReference,
  kind: LatencyBins,
  { quantile, nowMs }: { readonly quantile: number; readonly nowMs: number },
): LatencyLimit | undefined {
  const cacheKey = `${kind}${quantile}`;
  let limit = reference.limits[cacheKey];
  if (!limit || nowMs - limit.atMs > limitAgeMs) {
    limit = findLimit(reference.history[kind], { quantile, nowMs });
    if (!limit) return undefined;
    reference.limits[cacheKey] = limit;
  }
  const { slowBin } = limit;
  const recent = getRecent(reference, nowMs)?.[kind] ?? [];
  const latest = { count: sum(recent, 0), badCount: sum(recent, slowBin) };
  return isDisturbed(limit.normalRate, latest)
    ? undefined
    : { slowBin, normalRate: clampRate(limit.normalRate) };
}

function findLimit(
  bins: readonly number[],
  { quantile, nowMs }: { quantile: number; nowMs: number },
): CachedLimit | undefined {
  const count = sum(bins, 0);
  if (count < minReferenceCount) return undefined;
  let bin = 0;
  let below = 0;
  while (bin < latencyBinCount && below < quantile * count) {
    below += bins[bin] ?? 0;
    bin++;
  }
  return {
    slowBin: bin + toleranceBins,
    normalRate: getUpperRate(count - below, count, referenceDeviations),
    atMs: nowMs,
  };
}

function getRecent(
  { recent, recentAtMs }: StableReference,
  nowMs: number,
): OutcomeCounts | undefined {
  return nowMs - recentAtMs > maxRecentAgeMs ? undefined : recent;
}

/**
 * The stable version itself is clearly worse than its history. Outcomes are not
 * compared then, because what is normal at the moment is not known.
 */
function isDisturbed(
  upper: number,
  { count, badCount }: { count: number; badCount: number },
): boolean {
  // A failure may be counted in a later batch than its attempt.
  const bounded = Math.min(badCount, count);
  return getLowerRate(bounded, count, recentDeviations) > upper;
}

function clampRate(rate: number): number {
  return Math.min(0.9, Math.max(0.001, rate));
}

export function countSlow(bins: Bins, slowBin: number) {
  let count = 0;
  let badCount = 0;
  for (const [bin, binCount] of bins) {
    count += binCount;
    if (bin >= slowBin) badCount += binCount;
  }
  return { count, badCount };
}

function sum(bins: readonly number[], fromBin: number): number {
  let total = 0;
  for (let bin = fromBin; bin < bins.length; bin++) total += bins[bin]!;
  return total;
}
