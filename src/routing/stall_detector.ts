/**
 * Learns the normal gap between tokens and the normal time to the first token
 * of each engine, and says how long a silence is normal.
 */
import type { UpstreamId } from "../core/types.ts";

export interface StallDetector {
  recordFirstToken(upstreamId: UpstreamId, durationMs: number): void;
  recordGap(upstreamId: UpstreamId, gapMs: number): void;
  getFirstTokenLimitMs(upstreamId: UpstreamId): number;
  getGapLimitMs(upstreamId: UpstreamId): number;
}

interface Estimate {
  meanMs: number;
  deviationMs: number;
}

const smoothing = 0.05;
/** Multiples of the mean deviation above the mean that count as normal. */
const deviationFactor = 8;
const minGapLimitMs = 300;
const maxGapLimitMs = 1_200;
const minFirstTokenLimitMs = 800;
const maxFirstTokenLimitMs = 5_000;
const initialGap: Estimate = { meanMs: 40, deviationMs: 40 };
const initialFirstToken: Estimate = { meanMs: 500, deviationMs: 250 };

export function createStallDetector(): StallDetector {
  const gaps = new Map<UpstreamId, Estimate>();
  const firstTokens = new Map<UpstreamId, Estimate>();
  return {
    recordFirstToken: (upstreamId, durationMs) =>
      record(
        getEstimate(firstTokens, upstreamId, initialFirstToken),
        durationMs,
      ),
    recordGap: (upstreamId, gapMs) =>
      record(getEstimate(gaps, upstreamId, initialGap), gapMs),
    getFirstTokenLimitMs: (upstreamId) =>
      getLimitMs(firstTokens.get(upstreamId) ?? initialFirstToken, {
        minMs: minFirstTokenLimitMs,
        maxMs: maxFirstTokenLimitMs,
      }),
    getGapLimitMs: (upstreamId) =>
      getLimitMs(gaps.get(upstreamId) ?? initialGap, {
        minMs: minGapLimitMs,
        maxMs: maxGapLimitMs,
      }),
  };
}

function getEstimate(
  estimates: Map<UpstreamId, Estimate>,
  upstreamId: UpstreamId,
  initial: Estimate,
): Estimate {
  const existing = estimates.get(upstreamId);
  if (existing) return existing;
  const estimate = { ...initial };
  estimates.set(upstreamId, estimate);
  return estimate;
}

function record(estimate: Estimate, valueMs: number): void {
  const errorMs = valueMs - estimate.meanMs;
  estimate.meanMs += smoothing * errorMs;
  estimate.deviationMs += smoothing *
    (Math.abs(errorMs) - estimate.deviationMs);
}

function getLimitMs(
  estimate: Estimate,
  { minMs, maxMs }: { minMs: number; maxMs: number },
): number {
  const normalMs = estimate.meanMs + deviationFactor * estimate.deviationMs;
  return Math.min(maxMs, Math.max(minMs, normalMs));
}
