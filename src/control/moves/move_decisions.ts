/**
 * Decides how far a version move may go. Pure: from what the upstreams of both
 * versions have answered, and the time since the order.
 *
 * Answers the load pattern of an update under full traffic whose version fails
 * at once, later, or on some routes only: few requests may see it, and a good
 * one has to be in place in time. Only answers count, so that crashes,
 * partitions and refusals under load say nothing about a version.
 */
import { MovePhase, type RunningPhase } from "./move_types.ts";

export interface Answers {
  readonly answeredCount: number;
  /** Failures, and answers that took several times as long as usual. */
  readonly badCount: number;
}

export interface MoveSituation {
  readonly phase: RunningPhase;
  readonly elapsedMs: number;
  readonly durationMs: number;
  readonly stable: Answers;
  readonly target: Answers;
}

export interface MoveDecision {
  readonly phase: MovePhase;
  readonly share: number;
  readonly reason: string;
}

/** Below the share of requests that a bad version may get, a tenth. */
const watchShare = 0.08;
/** Gives a service with little traffic enough answers to decide on. */
const maxWatchShare = 0.5;
/** Requests beyond the watch share, of the 50 that a bad version may get. */
const extraWatchCount = 15;
const extraMovingCount = 20;
/** The old versions finish within this part of the time at most. */
const maxMovingPart = 0.4;
/** The part of the time that is left covers the way of the last decision. */
const decideAtPart = 0.85;
/** Rates are known after this time. */
const minRateMs = 1_000;
/** A version that fails less often than this is not held back for it. */
const normalBadShare = 0.05;
const normalBadFactor = 1.5;
/** Deviations from the expected count that chance does not explain. */
const maxDeviations = 3;
/** The last look is the only one that a good version has to pass so closely. */
const finalDeviations = 1.5;
const minBadCount = 3;
const minAnsweredCount = 3;

export function decideMove(situation: MoveSituation): MoveDecision {
  const { phase, elapsedMs, durationMs, stable, target } = situation;
  const decideAtMs = durationMs * decideAtPart;
  const isFinal = elapsedMs >= decideAtMs;
  const deviations = isFinal ? finalDeviations : maxDeviations;
  if (isWorse(target, stable, deviations)) {
    const reason = `${target.badCount} of ${target.answeredCount} answers ` +
      `bad, ${stable.badCount} of ${stable.answeredCount} before`;
    return { phase: MovePhase.RolledBack, share: 0, reason };
  }
  const isEnough = target.answeredCount >= minAnsweredCount;
  if (isFinal) {
    const reason = `${target.answeredCount} answers`;
    return isEnough
      ? { phase: MovePhase.Complete, share: 1, reason }
      : { phase: MovePhase.RolledBack, share: 0, reason };
  }
  const perMs = (stable.answeredCount + target.answeredCount) /
    Math.max(minRateMs, elapsedMs);
  const movingMs = Math.min(
    extraMovingCount / Math.max(perMs, Number.EPSILON),
    durationMs * maxMovingPart,
  );
  const isMoving = phase === MovePhase.Moving ||
    (isEnough && elapsedMs >= decideAtMs - movingMs);
  if (isMoving) return { phase: MovePhase.Moving, share: 1, reason: "moving" };
  return {
    phase: MovePhase.Watching,
    share: getWatchShare(perMs * durationMs, elapsedMs),
    reason: "watching",
  };
}

function getWatchShare(expectedCount: number, elapsedMs: number): number {
  if (elapsedMs < minRateMs || expectedCount === 0) return watchShare;
  const share = watchShare + extraWatchCount / expectedCount;
  return Math.min(maxWatchShare, Math.round(share * 100) / 100);
}

function isWorse(
  target: Answers,
  stable: Answers,
  deviations: number,
): boolean {
  if (target.badCount < minBadCount) return false;
  const stableShare = stable.badCount / Math.max(1, stable.answeredCount);
  const share = Math.max(
    normalBadShare,
    Math.min(1, stableShare * normalBadFactor),
  );
  const expected = target.answeredCount * share;
  const deviation = Math.sqrt(expected * (1 - share));
  return target.badCount > expected + deviations * deviation;
}
