/**
 * Counts the slow answers of both versions of a move. Pure.
 *
 * An answer is slow if it takes several times as long as is typical. A stream
 * that still waits, or was given up while it waited, counts by the time that it
 * has waited: a slow version answers late, so its first answers come from its
 * fastest requests.
 */
import type { AnswerTotals, TypicalMeans } from "./answer_count_aggregator.ts";
import { countAbove, countAll } from "./latency_histogram.ts";
import type { AnswerComparison, AnswerCounts } from "./answer_counts.ts";

const slowFactor = 3;
/**
 * Few streams wait for so long at any moment, unless most of them will wait for
 * longer. With the higher factor, the last streams before a decision would not
 * count at all.
 */
const waitingFactor = 1.5;
/** Smaller differences are noise. */
const slowMarginMs = 30;

export function compareLatencies(
  { stable, target, typical }: {
    readonly stable: AnswerTotals;
    readonly target: AnswerTotals;
    readonly typical: TypicalMeans;
  },
): AnswerComparison[] {
  const { durationMs, paceMs } = typical;
  const comparisons: AnswerComparison[] = [];
  if (durationMs !== undefined) {
    comparisons.push({
      name: "failed or slow to answer",
      isProofRequired: true,
      stable: countSlowDurations(stable, durationMs),
      target: countSlowDurations(target, durationMs),
    });
  }
  if (paceMs !== undefined) {
    const limitMs = getLimitMs(paceMs, slowFactor);
    comparisons.push({
      name: "slow between events",
      isProofRequired: false,
      stable: countSlowPaces(stable, limitMs),
      target: countSlowPaces(target, limitMs),
    });
  }
  return comparisons;
}

function getLimitMs(typicalMs: number, factor: number): number {
  return typicalMs * factor + slowMarginMs;
}

function countSlowDurations(
  { badCount, durations, abandoned, waiting }: AnswerTotals,
  typicalMs: number,
): AnswerCounts {
  const limitMs = getLimitMs(typicalMs, slowFactor);
  const overdueCount = countAbove(abandoned, limitMs) +
    countAbove(waiting, getLimitMs(typicalMs, waitingFactor));
  return {
    answeredCount: badCount + countAll(durations) + overdueCount,
    badCount: badCount + countAbove(durations, limitMs) + overdueCount,
  };
}

function countSlowPaces(
  { paces }: AnswerTotals,
  limitMs: number,
): AnswerCounts {
  return {
    answeredCount: countAll(paces),
    badCount: countAbove(paces, limitMs),
  };
}
