/**
 * Learns the normal gap between the tokens of each engine as a function of its
 * load, and derives the silence limit after which a stream is suspected.
 *
 * An overloaded engine is slow on all of its streams but still produces output;
 * a stalled engine is silent on all of them. A stream that is silent while the
 * engine serves others therefore has a higher limit.
 */
import type { Clock } from "../core/clock.ts";
import type { UpstreamId } from "../core/types.ts";

export interface StallDetector {
  /** Records the time to the first token of a request sent at a given load. */
  recordFirstToken(
    upstreamId: UpstreamId,
    sample: { readonly durationMs: number; readonly load: number },
  ): void;
  recordGap(
    upstreamId: UpstreamId,
    sample: { readonly gapMs: number; readonly load: number },
  ): void;
  getFirstTokenLimitMs(upstreamId: UpstreamId, load: number): number;
  getGapLimitMs(upstreamId: UpstreamId, load: number): number;
  /** Time since the last output of the engine; Infinity before the first. */
  getEngineSilenceMs(upstreamId: UpstreamId): number;
  /**
   * Called before every check of the limits. A late check shows that this
   * process was paused and could not receive output.
   */
  recordCheck(intervalMs: number): void;
  remove(upstreamId: UpstreamId): void;
}

/** Mean and mean deviation of the samples in one range of loads. */
interface LoadBucket {
  count: number;
  meanMs: number;
  deviationMs: number;
}

/** Buckets by load; an empty bucket uses the nearest lower one with samples. */
interface LoadCurve {
  readonly buckets: (LoadBucket | undefined)[];
  readonly initial: LoadBucket;
}

interface EngineEstimate {
  readonly gap: LoadCurve;
  readonly firstToken: LoadCurve;
  lastOutputAtMs: number;
  /** Largest recent gap, because load reports lag behind a sudden overload. */
  recentPeakMs: number;
}

/** Decay per check of a pause of this process, which extends all limits. */
const processPauseDecay = 0.8;
const maxProcessPauseMs = 1_000;
const bucketWidthRequests = 4;
const maxBuckets = 64;
const smoothingFactor = 0.02;
const peakDecayFactor = 0.98;
/** A silence up to this multiple of the recent peak is normal. */
const normalPeakFactor = 2;
/** A silence up to the mean plus this many mean deviations is normal. */
const normalDeviationFactor = 8;
/** A garbage collection pause of an engine takes up to about 300 ms. */
const minGapLimitMs = 350;
/** A stall must be detected early enough to resume the stream within 2 s. */
const maxGapLimitMs = 1_200;
const minFirstTokenLimitMs = 800;
const maxFirstTokenLimitMs = 1_500;
/** A silence below this multiple of the mean is never suspected. */
const minMeanFactor = 3;
/** Raises the limit of a silent stream while its engine serves others. */
const activeEngineLimitFactor = 4;

export function createStallDetector(
  { clock }: { readonly clock: Clock },
): StallDetector {
  const estimates = new Map<UpstreamId, EngineEstimate>();
  let lastCheckAtMs = Infinity;
  let processPauseMs = 0;
  return {
    recordFirstToken,
    recordGap,
    getFirstTokenLimitMs,
    getGapLimitMs,
    getEngineSilenceMs,
    recordCheck,
    remove: (upstreamId) => {
      estimates.delete(upstreamId);
    },
  };

  function getEstimate(upstreamId: UpstreamId): EngineEstimate {
    let estimate = estimates.get(upstreamId);
    if (!estimate) {
      estimate = {
        gap: createCurve({ meanMs: 40, deviationMs: 40 }),
        firstToken: createCurve({ meanMs: 500, deviationMs: 250 }),
        lastOutputAtMs: -Infinity,
        recentPeakMs: 0,
      };
      estimates.set(upstreamId, estimate);
    }
    return estimate;
  }

  function recordFirstToken(
    upstreamId: UpstreamId,
    { durationMs, load }: { durationMs: number; load: number },
  ): void {
    const estimate = getEstimate(upstreamId);
    addSample(estimate.firstToken, load, durationMs);
    estimate.lastOutputAtMs = clock.nowMs();
  }

  function recordGap(
    upstreamId: UpstreamId,
    { gapMs, load }: { gapMs: number; load: number },
  ): void {
    const estimate = getEstimate(upstreamId);
    addSample(estimate.gap, load, gapMs);
    estimate.recentPeakMs = Math.max(
      gapMs,
      estimate.recentPeakMs * peakDecayFactor,
    );
    estimate.lastOutputAtMs = clock.nowMs();
  }

  function getGapLimitMs(upstreamId: UpstreamId, load: number): number {
    const estimate = getEstimate(upstreamId);
    const limitMs = getEngineLimitMs(estimate, load);
    return processPauseMs +
      (hasRecentOutput(estimate, limitMs)
        ? limitMs * activeEngineLimitFactor
        : limitMs);
  }

  /** Silence of the whole engine that is normal at the given load. */
  function getEngineLimitMs(estimate: EngineEstimate, load: number): number {
    const peakMs = Math.min(
      maxGapLimitMs,
      normalPeakFactor * estimate.recentPeakMs,
    );
    return Math.max(
      peakMs,
      getLimitMs(estimate.gap, load, {
        minMs: minGapLimitMs,
        maxMs: maxGapLimitMs,
      }),
    );
  }

  function getFirstTokenLimitMs(upstreamId: UpstreamId, load: number): number {
    const estimate = getEstimate(upstreamId);
    const limitMs = getLimitMs(estimate.firstToken, load, {
      minMs: minFirstTokenLimitMs,
      maxMs: maxFirstTokenLimitMs,
    });
    return processPauseMs +
      (hasRecentOutput(estimate, getEngineLimitMs(estimate, load))
        ? limitMs * activeEngineLimitFactor
        : limitMs);
  }

  function recordCheck(intervalMs: number): void {
    const nowMs = clock.nowMs();
    const lateMs = nowMs - lastCheckAtMs - intervalMs;
    lastCheckAtMs = nowMs;
    processPauseMs = Math.min(
      maxProcessPauseMs,
      Math.max(0, lateMs, processPauseMs * processPauseDecay),
    );
  }

  function hasRecentOutput(estimate: EngineEstimate, limitMs: number): boolean {
    return clock.nowMs() - estimate.lastOutputAtMs <= limitMs;
  }

  function getEngineSilenceMs(upstreamId: UpstreamId): number {
    const estimate = estimates.get(upstreamId);
    return estimate ? clock.nowMs() - estimate.lastOutputAtMs : Infinity;
  }
}

function createCurve(
  initial: { meanMs: number; deviationMs: number },
): LoadCurve {
  return { buckets: [], initial: { count: 0, ...initial } };
}

function getBucketIndex(load: number): number {
  return Math.min(
    maxBuckets - 1,
    Math.floor(Math.max(0, load) / bucketWidthRequests),
  );
}

function addSample(curve: LoadCurve, load: number, sampleMs: number): void {
  const index = getBucketIndex(load);
  const bucket = curve.buckets[index] ??= { ...getNearestBucket(curve, load) };
  bucket.count += 1;
  // The first samples have a larger weight, so that they replace the copied or
  // initial value of a new bucket.
  const weight = Math.max(smoothingFactor, 1 / (bucket.count + 1));
  const errorMs = sampleMs - bucket.meanMs;
  bucket.meanMs += weight * errorMs;
  bucket.deviationMs += weight * (Math.abs(errorMs) - bucket.deviationMs);
}

function getNearestBucket(curve: LoadCurve, load: number): LoadBucket {
  for (let index = getBucketIndex(load); index >= 0; index--) {
    const bucket = curve.buckets[index];
    if (bucket) return { ...bucket, count: 0 };
  }
  return curve.initial;
}

function getLimitMs(
  curve: LoadCurve,
  load: number,
  { minMs, maxMs }: { minMs: number; maxMs: number },
): number {
  const { meanMs, deviationMs } = curve.buckets[getBucketIndex(load)] ??
    getNearestBucket(curve, load);
  const normalMs = meanMs + normalDeviationFactor * deviationMs;
  return Math.max(
    minMs,
    Math.min(maxMs, normalMs),
    minMeanFactor * meanMs,
  );
}
