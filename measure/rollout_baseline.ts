/**
 * Baseline for the rollout trials: takes the same steps at their planned times
 * without testing for faults. It never rolls back, so only the number of
 * requests that it exposes to the fault matters.
 */
import { planRollout } from "../src/control/rollouts/rollout_plan.ts";
import { createRandom } from "../src/core/random.ts";
import { createServiceModel, getRequestsPerS } from "./rollout_model.ts";
import type { TrialOptions, TrialResult } from "./rollout_trial.ts";

const afterTargetMs = 6 * 60_000;
/**
 * Mean duration of a request in the model: in-flight requests per request/s.
 */
const meanDurationS = 6.5;

export function runFixedRamp({ kind, seed }: TrialOptions): TrialResult {
  const model = createServiceModel(kind, createRandom(seed));
  const { fault, windowMs, engineCount } = model;
  const plan = planRollout({
    rolloutId: "baseline",
    service: "model",
    stableVersion: "v1",
    candidateVersion: "v2",
    createdAtWallMs: 0,
    targetAtWallMs: windowMs,
    weightBytes: 30e9,
    weightStoreBytesPerS: 2e9,
    engineCount,
  });
  let total = 0;
  let candidate = 0;
  let bad = 0;
  let isFaultActive = false;
  for (let nowMs = 0; nowMs < windowMs + afterTargetMs; nowMs += 1_000) {
    const requests = getRequestsPerS(model, nowMs);
    const step = plan.steps.findLast((entry) => entry.fromWallMs <= nowMs);
    const share = nowMs >= windowMs ? 1 : step?.share ?? 0;
    total += requests;
    candidate += requests * share;
    const batchSize = requests * meanDurationS / engineCount;
    if (
      fault && share > 0 && nowMs >= fault.fromMs && batchSize >= fault.minBatch
    ) isFaultActive = true;
    if (isFaultActive) bad += requests * share;
  }
  return {
    isRolledBack: false,
    reason: undefined,
    isDecidedAtTarget: true,
    isFaultActive,
    isDetected: false,
    detectionDelayMs: undefined,
    badRequestCount: Math.round(bad),
    badShare: bad / total,
    shareSinceStart: candidate / total,
    lateRequestCount: Math.round(bad),
    lateWhenCertainCount: Math.round(bad),
    lateForOracleCount: Math.round(bad),
  };
}
