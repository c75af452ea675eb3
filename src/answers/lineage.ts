/**
 * Checks the position of a caller against the lineage of a journal, which lists
 * the attempts that generated its tokens.
 */
import {
  type AttemptId,
  isSameAttempt,
  type LineageSpan,
} from "../core/types.ts";

/** Returns the attempt that generated the token at the position. */
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
 * Whether a caller that has read up to the position can continue with this
 * journal. An attempt resumes exactly one journal, so if the attempt of the
 * last token matches, all earlier tokens match too.
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
