/**
 * Learns the normal gap between tokens of each engine as a function of its
 * load, and says how long a silence is normal.
 *
 * An overloaded engine is slow on all of its streams and still produces output;
 * a frozen one is silent on all of them. A stream that is silent while the
 * engine serves others is therefore given more time before it is suspected.
 */
import type { Clock } from "../core/clock.ts";
import type { UpstreamId } from "../core/types.ts";

export interface StallDetector {
  /** The time to the first token of a request sent at the given load. */
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
  /** Time since any output of the engine; Infinity before the first. */
  getEngineSilenceMs(upstreamId: UpstreamId): number;
  forget(upstreamId: UpstreamId): void;
}

/** Exponentially weighted sums of a linear regression of the value on load. */
interface Regression {
  weight: number;
  loadSum: number;
  valueSum: number;
  loadSquareSum: number;
  productSum: number;
  deviationMs: number;
}

interface EngineEstimate {
  readonly gap: Regression;
  readonly firstToken: Regression;
  lastOutputAtMs: number;
}

const forgetting = 0.995;
const deviationSmoothing = 0.02;
/** Multiples of the mean deviation above the expectation that are normal. */
const deviationFactor = 8;
const minGapLimitMs = 300;
/** A freeze has to be found early enough to resume within 2 s. */
const maxGapLimitMs = 1_200;
const minFirstTokenLimitMs = 800;
const maxFirstTokenLimitMs = 1_500;
/** A silence below twice the expectation is never suspect. */
const expectationFactor = 2;
/** Limit of one silent stream while its engine serves others. */
const activeEngineFactor = 4;

export function createStallDetector(
  { clock }: { readonly clock: Clock },
): StallDetector {
  const estimates = new Map<UpstreamId, EngineEstimate>();
  return {
    recordFirstToken,
    recordGap,
    getFirstTokenLimitMs,
    getGapLimitMs,
    getEngineSilenceMs,
    forget: (upstreamId) => {
      estimates.delete(upstreamId);
    },
  };

  function getEstimate(upstreamId: UpstreamId): EngineEstimate {
    let estimate = estimates.get(upstreamId);
    if (!estimate) {
      estimate = {
        gap: createRegression({ meanMs: 40, deviationMs: 40 }),
        firstToken: createRegression({ meanMs: 500, deviationMs: 250 }),
        lastOutputAtMs: -Infinity,
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
    estimate.lastOutputAtMs = clock.nowMs();
  }

  function getGapLimitMs(upstreamId: UpstreamId, load: number): number {
    const estimate = getEstimate(upstreamId);
    const limitMs = getLimitMs(estimate.gap, load, {
      minMs: minGapLimitMs,
      maxMs: maxGapLimitMs,
    });
    return isActive(estimate, limitMs) ? limitMs * activeEngineFactor : limitMs;
  }

  function getFirstTokenLimitMs(upstreamId: UpstreamId, load: number): number {
    const estimate = getEstimate(upstreamId);
    const limitMs = getLimitMs(estimate.firstToken, load, {
      minMs: minFirstTokenLimitMs,
      maxMs: maxFirstTokenLimitMs,
    });
    const gapLimitMs = getLimitMs(estimate.gap, load, {
      minMs: minGapLimitMs,
      maxMs: maxGapLimitMs,
    });
    return isActive(estimate, gapLimitMs)
      ? limitMs * activeEngineFactor
      : limitMs;
  }

  function isActive(estimate: EngineEstimate, limitMs: number): boolean {
    return clock.nowMs() - estimate.lastOutputAtMs <= limitMs;
  }

  function getEngineSilenceMs(upstreamId: UpstreamId): number {
    const estimate = estimates.get(upstreamId);
    return estimate ? clock.nowMs() - estimate.lastOutputAtMs : Infinity;
  }
}

function createRegression(
  { meanMs, deviationMs }: { meanMs: number; deviationMs: number },
): Regression {
  return {
    weight: 1,
    loadSum: 0,
    valueSum: meanMs,
    loadSquareSum: 0,
    productSum: 0,
    deviationMs,
  };
}

function addSample(
  regression: Regression,
  load: number,
  valueMs: number,
): void {
  const errorMs = Math.abs(valueMs - getExpectedMs(regression, load));
  regression.deviationMs += deviationSmoothing *
    (errorMs - regression.deviationMs);
  regression.weight = regression.weight * forgetting + 1;
  regression.loadSum = regression.loadSum * forgetting + load;
  regression.valueSum = regression.valueSum * forgetting + valueMs;
  regression.loadSquareSum = regression.loadSquareSum * forgetting +
    load * load;
  regression.productSum = regression.productSum * forgetting + load * valueMs;
}

function getExpectedMs(regression: Regression, load: number): number {
  const { weight, loadSum, valueSum, loadSquareSum, productSum } = regression;
  const meanLoad = loadSum / weight;
  const meanMs = valueSum / weight;
  const variance = loadSquareSum / weight - meanLoad * meanLoad;
  const covariance = productSum / weight - meanLoad * meanMs;
  // Below a variance of 1 the slope is mostly noise.
  const slope = variance < 1 ? 0 : Math.max(0, covariance / variance);
  return Math.max(0, meanMs + slope * (load - meanLoad));
}

function getLimitMs(
  regression: Regression,
  load: number,
  { minMs, maxMs }: { minMs: number; maxMs: number },
): number {
  const expectedMs = getExpectedMs(regression, load);
  const normalMs = expectedMs + deviationFactor * regression.deviationMs;
  return Math.max(
    minMs,
    Math.min(maxMs, normalMs),
    expectationFactor * expectedMs,
  );
}
