/**
 * Event ids of answer streams: `<attempt>.<instance>.<next position>`. An id
 * says at which position a caller resumes, and which attempt generated the last
 * token that it has received.
 */
import { Maybe } from "true-myth/maybe";
import type { AttemptId } from "../core/types.ts";

export interface EventPosition {
  readonly fromPosition: number;
  readonly lastAttempt: AttemptId | undefined;
}

/** Highest position that instances accept in messages from each other. */
export const maxPosition = 10_000_000;

const eventIdPattern = /^(\d{1,15})\.([a-z0-9-]{1,63})\.(\d{1,9})$/;

export function formatEventId(
  attempt: AttemptId,
  nextPosition: number,
): string {
  return `${attempt.attemptNumber}.${attempt.instanceId}.${nextPosition}`;
}

export function parseEventId(eventId: string): Maybe<EventPosition> {
  const match = eventIdPattern.exec(eventId);
  if (!match || Number(match[3]) > maxPosition) return Maybe.nothing();
  return Maybe.just({
    fromPosition: Number(match[3]),
    lastAttempt: { attemptNumber: Number(match[1]), instanceId: match[2]! },
  });
}
