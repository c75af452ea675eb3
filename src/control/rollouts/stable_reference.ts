/**
 * Reference for the comparison: the failure rate and the latency distribution
 * of the stable version in one stratum (route and load bucket), over a long
 * history and over the latest outcomes.
 */
import { type Bins, type EvidenceCell, latencyBinCount } from "./evidence.ts";
import { getWilsonLowerBound, getWilsonUpperBound } from "./fault_detector.ts";

export interface OutcomeCounts {
  attemptCount: number;
  failureCount: number;
  firstTokenBins: number[];
  tokenGapBins: number[];
}

export interface StableReference {
  readonly history: OutcomeCounts;
  /**
   * The latest outcomes, which reveal a disturbance that affects both versions.
   */
  recent: OutcomeCounts;
  recentAtMs: number;
  /** Cached because limits change slowly; recomputed after `limitAgeMs`. */
  readonly limits: Record<string, CachedLimit>;
}

interface CachedLimit extends LatencyLimit {
  readonly atMs: number;
}

/**
 * Older outcomes are scaled down to this count, so that the history follows
 * slow drift.
 */
const maxHistoryCount = 4_000;
/**
 * Older outcomes count as at most this many next to the newest ones, which
 * reveal a disturbance.
 */
const maxRecentCount = 10;
/** Without stable traffic the latest outcomes say nothing about the present. */
const maxRecentAgeMs = 10_000;
const limitAgeMs = 5_000;
/**
 * A stratum with fewer outcomes is not compared: its interval would be too
 * wide.
 */
const minReferenceCount = 40;
/** Gives the upper bound of the normal rate a one-sided error of 0.0013. */
const referenceDeviations = 3;
const recentDeviations = 2;
/** Failure rates that differ by less than this count as equal. */
const failureRateTolerance = 0.002;
/**
 * 1.05 to the third power: a version up to about 15% slower does not count as
 * bad.
 */
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

/**
 * Returns the highest normal failure rate, or undefined if outcomes cannot be
 * compared with it.
 */
export function getNormalFailureRate(
  reference: StableReference,
  nowMs: number,
): number | undefined {
  const { history } = reference;
  if (history.attemptCount < minReferenceCount) return undefined;
  const normalUpperRate = failureRateTolerance + getWilsonUpperBound(
    history.failureCount,
    history.attemptCount,
    referenceDeviations,
  );
  const recent = getRecent(reference, nowMs);
  const latest = {
    count: recent?.attemptCount ?? 0,
    badCount: recent?.failureCount ?? 0,
  };
  return isStableDisturbed(normalUpperRate, latest)
    ? undefined
    : clampRate(normalUpperRate);
}

export interface LatencyLimit {
  /** Latencies from this bin on count as slow. */
  readonly slowBin: number;
  /** Highest normal share of slow requests. */
  readonly normalRate: number;
}

export type LatencyBins = "firstTokenBins" | "tokenGapBins";

/**
 * Returns the limit that the given share of stable requests stays below, or
 * undefined if outcomes cannot be compared with it.
 */
export function getLatencyLimit(
  reference: StableReference,
  kind: LatencyBins,
  { quantile, nowMs }: { readonly quantile: number; readonly nowMs: number },
): LatencyLimit | undefined {
  const cacheKey = `${kind}${quantile}`;
  let limit = reference.limits[cacheKey];
  if (!limit || nowMs - limit.atMs > limitAgeMs) {
    limit = computeLimit(reference.history[kind], { quantile, nowMs });
    if (!limit) return undefined;
    reference.limits[cacheKey] = limit;
  }
  const { slowBin } = limit;
  const recent = getRecent(reference, nowMs)?.[kind] ?? [];
  const latest = { count: sum(recent, 0), badCount: sum(recent, slowBin) };
  return isStableDisturbed(limit.normalRate, latest)
    ? undefined
    : { slowBin, normalRate: clampRate(limit.normalRate) };
}

function computeLimit(
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
    normalRate: getWilsonUpperBound(count - below, count, referenceDeviations),
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
 * Whether the stable version itself is significantly worse than its history.
 * Outcomes are not compared then, because the present normal rate is unknown.
 */
function isStableDisturbed(
  normalUpperRate: number,
  { count, badCount }: { count: number; badCount: number },
): boolean {
  // A failure may be counted in a later batch than its attempt.
  const bounded = Math.min(badCount, count);
  return getWilsonLowerBound(bounded, count, recentDeviations) >
    normalUpperRate;
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
