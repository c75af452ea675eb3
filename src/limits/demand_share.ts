/**
 * The share of a limit that one instance may use, when all instances together
 * must keep it. Most of the limit is divided by demand, because traffic is
 * uneven, and the rest equally, so that every instance can use a part at once.
 *
 * The shares of all instances add up to about 1: each compares its own demand of
 * a moment ago with what it now learns of the others, which is as old, and keeps
 * the result until the next report. A sudden rise that all instances see would
 * otherwise give each of them a larger share.
 */
import type { Clock } from "../core/clock.ts";

export interface DemandShare {
  recordRequest(service: string): void;
  /** Requests by service, in thousandths per second. */
  getDemands(): [service: string, milliPerS: number][];
  /** Requests per second of this instance. */
  getOwnRatePerS(service: string): number;
  /** Replaces the demands of all other instances. */
  setRemoteDemands(demands: readonly (readonly [string, number])[]): void;
  /** From 0 to 1. */
  getShare(service: string): number;
}

export interface DemandShareOptions {
  readonly clock: Pick<Clock, "nowMs">;
  /** Entry instances of the deployment, at least 1. */
  getInstanceCount(): number;
}

const averagingMs = 3_000;
/** Age of the other instances' demands when they arrive. */
const reportAgeMs = 1_000;
/** After this time without a report, the demands of the others are unknown. */
const maxReportAgeMs = 2_000;
/** Part of a limit that is divided equally. */
const equalPart = 0.3;
/** A lower demand counts as none, in thousandths per second. */
const minDemandMilliPerS = 10;

interface Demand {
  /** Decays with `averagingMs`. */
  weight: number;
  atMs: number;
}

type Demands = ReadonlyMap<string, number>;

export function createDemandShare(
  { clock, getInstanceCount }: DemandShareOptions,
): DemandShare {
  const counted = new Map<string, Demand>();
  /** Own demands, oldest first. */
  let history: { readonly atMs: number; readonly demands: Demands }[] = [];
  /** Undefined until the demands of the others can be compared. */
  let shares: Demands | undefined;
  let reportedAtMs = -Infinity;
  return {
    recordRequest: (service) => {
      const nowMs = clock.nowMs();
      const weight = getWeight(service, nowMs) + 1;
      counted.set(service, { weight, atMs: nowMs });
    },
    getDemands: () => [...getOwnDemands()],
    getOwnRatePerS: (service) =>
      getWeight(service, clock.nowMs()) / (averagingMs / 1_000),
    setRemoteDemands,
    getShare: (service) => {
      const equalShare = 1 / getInstanceCount();
      if (!shares) return equalShare;
      const share = shares.get(service) ?? equalPart * equalShare;
      const isKnown = clock.nowMs() - reportedAtMs <= maxReportAgeMs;
      return isKnown ? share : Math.min(share, equalShare);
    },
  };

  function setRemoteDemands(
    remote: readonly (readonly [string, number])[],
  ): void {
    const nowMs = clock.nowMs();
    reportedAtMs = nowMs;
    history.push({ atMs: nowMs, demands: getOwnDemands() });
    const comparable = history.findLast(({ atMs }) =>
      atMs <= nowMs - reportAgeMs
    );
    if (!comparable) return;
    history = history.slice(history.indexOf(comparable));
    const others: Demands = new Map(remote);
    const equalShare = 1 / getInstanceCount();
    shares = new Map(
      [...comparable.demands].map(([service, own]) => {
        const byDemand = own / (own + (others.get(service) ?? 0));
        return [
          service,
          equalPart * equalShare + (1 - equalPart) * byDemand,
        ];
      }),
    );
  }

  function getOwnDemands(): Demands {
    const nowMs = clock.nowMs();
    const demands = new Map<string, number>();
    for (const service of counted.keys()) {
      const perS = getWeight(service, nowMs) / (averagingMs / 1_000);
      const milliPerS = Math.round(perS * 1_000);
      if (milliPerS >= minDemandMilliPerS) demands.set(service, milliPerS);
      else counted.delete(service);
    }
    return demands;
  }

  function getWeight(service: string, nowMs: number): number {
    const demand = counted.get(service);
    return demand
      ? demand.weight * Math.exp((demand.atMs - nowMs) / averagingMs)
      : 0;
  }
}
