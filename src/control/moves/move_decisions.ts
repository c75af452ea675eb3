/**
 * Decides the phase and the traffic share of a version move. Pure functions of
 * the answer counts of both versions and the time since the order.
 *
 * The service is under full traffic, and the target version may fail at once,
 * later, or on some routes only: a bad version must get few requests, and a
 * good one must be in place in time. Only answers count, so that crashes,
 * partitions and refusals under load are no evidence against a version.
 */
import type { AnswerComparison, AnswerCounts } from "./answer_counts.ts";
import { MovePhase, type RunningPhase } from "./move_types.ts";

export interface MoveEvidence {
  readonly phase: RunningPhase;
  readonly elapsedMs: number;
  readonly durationMs: number;
  readonly stable: AnswerCounts;
  readonly target: AnswerCounts;
  readonly latencies: readonly AnswerComparison[];
}

export interface MoveDecision {
  readonly phase: MovePhase;
  readonly share: number;
  readonly reason: string;
}

/** Below a tenth, the share of requests that a bad version may get. */
const watchShare = 0.08;
/** Provides enough answers for a decision at a service with little traffic. */
const maxWatchShare = 0.5;
/**
 * Requests that the target gets beyond the watch share, per phase. A bad
 * version may get 50 requests beyond its share.
 */
const extraWatchCount = 15;
const extraMovingCount = 20;
/**
 * Upper limit of the moving phase, in which the stable versions finish their
 * requests, as a ratio of the move's duration.
 */
const maxMovingTimeRatio = 0.4;
/**
 * Time of the final decision as a ratio of the move's duration. The remaining
 * time covers the propagation of that decision.
 */
const decisionTimeRatio = 0.85;
/** Request rates are known after this time. */
const minRateMs = 1_000;
/** A version with a lower ratio of bad answers is not rolled back for them. */
const normalBadRatio = 0.05;
const stableBadRatioFactor = 1.5;
/**
 * Standard deviations above the expected count that chance does not explain.
 */
const maxDeviations = 3;
/**
 * The final decision is stricter, because it is the only one that a good
 * version has to pass by so small a margin.
 */
const finalDeviations = 1.5;
const minBadCount = 3;
/** A version is kept if a bad one would look as good with at most this chance. */
const maxChanceOfBad = 0.1;
const minGoodLoss = 0.5;
const minAnsweredCount = 3;

export function decideMove(evidence: MoveEvidence): MoveDecision {
  const { phase, elapsedMs, durationMs, stable, target, latencies } = evidence;
  const decideAtMs = durationMs * decisionTimeRatio;
  const isFinal = elapsedMs >= decideAtMs;
  const deviations = isFinal ? finalDeviations : maxDeviations;
  const failures = { name: "failed", isProofRequired: true, stable, target };
  const worse = [failures, ...latencies].find((comparison) =>
    isWorse(comparison.target, comparison.stable, deviations)
  );
  if (worse) {
    const reason = describeComparison(worse);
    return { phase: MovePhase.RolledBack, share: 0, reason };
  }
  const hasEnoughAnswers = target.answeredCount >= minAnsweredCount;
  if (isFinal) {
    const comparisons = [failures, ...latencies];
    const reason = comparisons.map(describeComparison).join("; ");
    const isAcceptable = hasEnoughAnswers &&
      comparisons.every((comparison) =>
        !comparison.isProofRequired || !mayBeBad(comparison)
      );
    return isAcceptable
      ? { phase: MovePhase.Complete, share: 1, reason }
      : { phase: MovePhase.RolledBack, share: 0, reason };
  }
  const answersPerMs = (stable.answeredCount + target.answeredCount) /
    Math.max(minRateMs, elapsedMs);
  const movingMs = Math.min(
    extraMovingCount / Math.max(answersPerMs, Number.EPSILON),
    durationMs * maxMovingTimeRatio,
  );
  const isMoving = phase === MovePhase.Moving ||
    (hasEnoughAnswers && elapsedMs >= decideAtMs - movingMs);
  if (isMoving) return { phase: MovePhase.Moving, share: 1, reason: "moving" };
  return {
    phase: MovePhase.Watching,
    share: getWatchShare(answersPerMs * durationMs, elapsedMs),
    reason: "watching",
  };
}

/**
 * Whether chance alone may have kept the bad answers so few although half of the
 * answers that would be good at the stable version are bad.
 */
function mayBeBad({ stable, target }: AnswerComparison): boolean {
  const { answeredCount, badCount } = target;
  const badRatio = 1 - (1 - getBadRatio(stable)) * minGoodLoss;
  let logTerm = answeredCount * Math.log(1 - badRatio);
  let chance = 0;
  for (let bad = 0; bad <= badCount; bad++) {
    chance += Math.exp(logTerm);
    logTerm += Math.log((answeredCount - bad) / (bad + 1)) +
      Math.log(badRatio / (1 - badRatio));
  }
  return chance > maxChanceOfBad;
}

function getBadRatio({ answeredCount, badCount }: AnswerCounts): number {
  return badCount / Math.max(1, answeredCount);
}

function describeComparison(
  { name, stable, target }: AnswerComparison,
): string {
  return `${name}: ${target.badCount} of ${target.answeredCount} answers, ` +
    `${stable.badCount} of ${stable.answeredCount} of the stable version`;
}

function getWatchShare(expectedCount: number, elapsedMs: number): number {
  if (elapsedMs < minRateMs || expectedCount === 0) return watchShare;
  const share = watchShare + extraWatchCount / expectedCount;
  return Math.min(maxWatchShare, Math.round(share * 100) / 100);
}

function isWorse(
  target: AnswerCounts,
  stable: AnswerCounts,
  deviations: number,
): boolean {
  if (target.badCount < minBadCount) return false;
  const stableBadRatio = getBadRatio(stable);
  const share = Math.max(
    normalBadRatio,
    Math.min(1, stableBadRatio * stableBadRatioFactor),
  );
  const expectedBadCount = target.answeredCount * share;
  const standardDeviation = Math.sqrt(expectedBadCount * (1 - share));
  return target.badCount > expectedBadCount + deviations * standardDeviation;
}
