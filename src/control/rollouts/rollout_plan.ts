/**
 * Plans a rollout backwards from its target date. The soak ends at the target
 * date, the other steps of the ramp precede it, and the engines of each step
 * are loaded before the step starts, one after another at the rate of the
 * weight store.
 */
import type { RolloutPlan, RolloutSpec, RolloutStep } from "./rollout_types.ts";

/** Share of requests before there is evidence for the candidate. */
export const canaryShare = 0.05;
/**
 * The last step keeps a tenth of the requests on the stable version, so that
 * the versions can be compared.
 */
const stepShares = [canaryShare, 0.15, 0.4, 0.9] as const;
/**
 * Fractions of the time between the first candidate request and the target
 * date.
 */
const stepFractions = [0.5, 0.12, 0.13, 0.25] as const;
/** Time that a rollout with a distant target date takes after loading. */
const maxRampMs = 8 * 60 * 60 * 1_000;
/** A shorter ramp could only end with insufficient evidence. */
const minRampMs = 5 * 60 * 1_000;
/** A late step may be shortened to this fraction of its planned time. */
const minStepFraction = 0.3;
/** Covers the commit of the decision and the tick interval. */
const decisionMarginMs = 5_000;
/**
 * Stable outcomes are collected for this long before the first request goes to
 * the candidate. With 40 outcomes in a stratum a failure rate of 0.18 still
 * counts as normal, with 350 one of 0.03.
 */
const referenceDurationMs = 2 * 60 * 1_000;
const maxWatchMs = 60 * 60 * 1_000;

export function planRollout(spec: RolloutSpec): RolloutPlan {
  const loadMsPerEngine = spec.weightBytes / spec.weightStoreBytesPerS * 1_000;
  const decideAtWallMs = spec.targetAtWallMs - decisionMarginMs;
  const counts = stepShares.map((share) =>
    getEngineCount(share, spec.engineCount)
  );
  const firstLoadMs = Math.max(
    counts[0]! * loadMsPerEngine,
    referenceDurationMs,
  );
  const availableMs = decideAtWallMs - spec.createdAtWallMs - firstLoadMs;
  const rampMs = Math.min(maxRampMs, availableMs);
  const steps: RolloutStep[] = [];
  let endWallMs = decideAtWallMs;
  for (let index = stepShares.length - 1; index >= 0; index--) {
    const durationMs = stepFractions[index]! * rampMs;
    const fromWallMs = endWallMs - durationMs;
    const newEngineCount = counts[index]! - (counts[index - 1] ?? 0);
    steps.unshift({
      share: stepShares[index]!,
      engineCount: counts[index]!,
      loadFromWallMs: fromWallMs -
        (index === 0 ? firstLoadMs : newEngineCount * loadMsPerEngine),
      fromWallMs,
      minDurationMs: durationMs * minStepFraction,
    });
    endWallMs = fromWallMs;
  }
  return {
    isFeasible: rampMs >= minRampMs && spec.engineCount >= 2 &&
      steps.every((step, index) =>
        index === 0 || step.loadFromWallMs >= steps[index - 1]!.fromWallMs
      ),
    loadMsPerEngine,
    steps,
    decideAtWallMs,
    watchUntilWallMs: spec.targetAtWallMs + Math.min(maxWatchMs, rampMs),
  };
}

/** At least one engine keeps only the stable version. */
function getEngineCount(share: number, engineCount: number): number {
  return Math.max(1, Math.min(engineCount - 1, Math.ceil(share * engineCount)));
}
