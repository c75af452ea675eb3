/**
 * Sums the demands of failure domains over entry instances. An entry is kept
 * while any added summary contains it, also if its sum is 0.
 */
import type { DomainDemandEntry } from "./engine_load_summary.ts";

export interface DomainDemandTotals {
  apply(entries: readonly DomainDemandEntry[], sign: 1 | -1): void;
  /** The sums without those of one instance. */
  listWithout(excepted: readonly DomainDemandEntry[]): DomainDemandEntry[];
}

interface Total {
  readonly service: string;
  readonly domainId: string;
  summaryCount: number;
  requestsMilliPerS: number;
  tokensMilliPerS: number;
}

export function createDomainDemandTotals(): DomainDemandTotals {
  const totals = new Map<string, Total>();
  return {
    apply: (entries, sign) => {
      for (const entry of entries) applyEntry(entry, sign);
    },
    listWithout,
  };

  function applyEntry(
    [service, domainId, requestsMilliPerS, tokensMilliPerS]: DomainDemandEntry,
    sign: 1 | -1,
  ): void {
    const key = getKey(service, domainId);
    const total = totals.get(key) ?? {
      service,
      domainId,
      summaryCount: 0,
      requestsMilliPerS: 0,
      tokensMilliPerS: 0,
    };
    total.summaryCount += sign;
    total.requestsMilliPerS += sign * requestsMilliPerS;
    total.tokensMilliPerS += sign * tokensMilliPerS;
    if (total.summaryCount > 0) totals.set(key, total);
    else totals.delete(key);
  }

  function listWithout(
    excepted: readonly DomainDemandEntry[],
  ): DomainDemandEntry[] {
    const own = new Map(
      excepted.map((entry) => [getKey(entry[0], entry[1]), entry]),
    );
    return [...totals].flatMap(([key, total]) => {
      const entry = own.get(key);
      if (entry && total.summaryCount === 1) return [];
      return [
        [
          total.service,
          total.domainId,
          total.requestsMilliPerS - (entry?.[2] ?? 0),
          total.tokensMilliPerS - (entry?.[3] ?? 0),
        ] as const,
      ];
    });
  }
}

function getKey(service: string, domainId: string): string {
  return `${service}\n${domainId}`;
}
