/**
 * Checks of a caller's position against the lineage of a journal.
 */
import {
  type AttemptId,
  isSameAttempt,
  type LineageSpan,
} from "../core/types.ts";

/** The attempt that produced the token at the position. */
export function getAttemptAt(
  lineage: readonly LineageSpan[],
  position: number,
): AttemptId | undefined {
  let found: LineageSpan | undefined;
  for (const span of lineage) {
    if (span.fromPosition > position) break;
    found = span;
  }
  return found;
}

export interface ReadPosition {
  readonly fromPosition: number;
  /** Attempt of the last token that the caller has. */
  readonly lastAttempt: AttemptId | undefined;
}

export interface JournalView {
  readonly lineage: readonly LineageSpan[];
  readonly tokenCount: number;
}

/**
 * Whether a caller that stopped at the position may go on with this journal.
 * An attempt has one journal before it, so a match of the last token's attempt
 * means that all earlier tokens match too.
 */
export function canContinue(
  journal: JournalView,
  position: ReadPosition,
): boolean {
  const { fromPosition, lastAttempt } = position;
  if (fromPosition === 0) return true;
  if (fromPosition > journal.tokenCount) return false;
  const attempt = getAttemptAt(journal.lineage, fromPosition - 1);
  if (!attempt) return false;
  return lastAttempt === undefined || isSameAttempt(attempt, lastAttempt);
}
