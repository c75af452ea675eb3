/**
 * Sums of the demands by rank in load summaries. Whole numbers are added and
 * subtracted, so the sums are exact.
 */
import type { RankDemandEntry } from "./engine_load_summary.ts";

export interface RankDemandTotals {
  apply(demands: readonly RankDemandEntry[], sign: 1 | -1): void;
  /** The sums without the given summands. */
  getWithout(excepted: readonly RankDemandEntry[]): RankDemandEntry[];
}

export function createRankDemandTotals(): RankDemandTotals {
  const totals = new Map<string, RankDemandEntry>();
  return {
    apply: (demands, sign) => {
      for (const demand of demands) {
        const sum = addTo(totals.get(getKey(demand)), demand, sign);
        if (sum[2] > 0) totals.set(getKey(demand), sum);
        else totals.delete(getKey(demand));
      }
    },
    getWithout: (excepted) => {
      const own = new Map(excepted.map((demand) => [getKey(demand), demand]));
      return [...totals].map(([key, total]): RankDemandEntry => {
        const except = own.get(key);
        return except ? addTo(total, except, -1) : total;
      }).filter(([, , milliPerS]) => milliPerS > 0);
    },
  };
}

function addTo(
  total: RankDemandEntry | undefined,
  [service, rank, milliPerS, tokensPerS]: RankDemandEntry,
  sign: 1 | -1,
): RankDemandEntry {
  return [
    service,
    rank,
    (total?.[2] ?? 0) + sign * milliPerS,
    (total?.[3] ?? 0) + sign * tokensPerS,
  ];
}

function getKey([service, rank]: RankDemandEntry): string {
  return `${rank} ${service}`;
}
