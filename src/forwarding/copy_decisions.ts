/**
 * Decides when the memory of a run is copied anew: a copy is lost with the
 * engine that holds it, and the next crash may take the run itself. Pure.
 */

export interface CopyState {
  /** When the copy began; undefined without one. */
  readonly madeAtMs: number | undefined;
  /** Engines keep up such a copy by themselves while the run goes on. */
  readonly isKeptUp: boolean;
  readonly refreshedAtMs: number;
  /** Last loss of the engine that holds the copy; undefined if unlisted. */
  readonly holderLostAtMs: number | undefined;
}

export interface CopySituation {
  readonly nowMs: number;
  readonly canCopy: boolean;
  /** The prompt was read, so that there is something to copy. */
  readonly hasEvents: boolean;
  /** A call is under way. */
  readonly isCopying: boolean;
  readonly lastAttemptAtMs: number;
  /** How long a copy is kept after the last part of it. */
  readonly ttlMs: number;
}

export type CopyDecision = "none" | "copyElsewhere" | "refresh";

/** Spares an engine that has no room from a call at every check. */
const retryPauseMs = 400;
/** Part of its time to live after which a copy is brought up to date. */
const refreshShare = 0.5;

export function isCopyAlive(copy: CopyState): boolean {
  return copy.madeAtMs !== undefined && copy.holderLostAtMs !== undefined &&
    copy.holderLostAtMs < copy.madeAtMs;
}

export function decideCopy(
  copy: CopyState,
  situation: CopySituation,
): CopyDecision {
  const { nowMs } = situation;
  if (!situation.canCopy || !situation.hasEvents) return "none";
  if (situation.isCopying) return "none";
  if (!isCopyAlive(copy)) {
    const isDue = nowMs - situation.lastAttemptAtMs >= retryPauseMs;
    return isDue ? "copyElsewhere" : "none";
  }
  if (copy.isKeptUp) return "none";
  const ageMs = nowMs - copy.refreshedAtMs;
  return ageMs >= situation.ttlMs * refreshShare ? "refresh" : "none";
}
