/**
 * Decides by urgency when streams are placed. Pure.
 *
 * The rank of a stream is the position of its priority among those of the
 * service's streaming routes; 0 is the most urgent. A service whose routes all
 * have the same priority has no ranks, and its streams are not scheduled.
 */

/** Engines know the priorities 0 to 9. */
const maxEnginePriority = 9;

/**
 * Returns the rank of a priority. One that no route has, because it is that of a
 * customer, takes the position that it would have.
 */
export function getStreamRank(
  priorities: readonly number[],
  priority: number,
): number | undefined {
  if (priorities.length < 2) return undefined;
  return priorities.filter((other) => other < priority).length;
}

/** Engines run requests of a lower number first, and preempt them last. */
export function getEnginePriority(
  rank: number | undefined,
): number | undefined {
  return rank === undefined ? undefined : Math.min(maxEnginePriority, rank);
}
