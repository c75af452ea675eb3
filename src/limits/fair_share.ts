/**
 * Weighted fair shares of an instance's capacity: open answers and tokens per
 * second.
 *
 * A customer may exceed its share with capacity that others do not use, up to a
 * reserve that stays free for customers below their share. Every instance
 * applies this rule to its own capacity. The load balancer spreads callers over
 * the instances, so the shares of a failure domain add up without a central
 * counter.
 */
import type { Clock } from "../core/clock.ts";
import type { CustomerId } from "../core/types.ts";
import type { CustomerLimits } from "./customer_limits.ts";

export interface FairShare {
  /** Whether the customer may open one more answer now. */
  canOpen(customerId: CustomerId, capacity: number): boolean;
  isOverShare(customerId: CustomerId, capacity: number): boolean;
  /** Open answers divided by the weight; the lowest value is served first. */
  getWeightedOpenCount(customerId: CustomerId): number;
  /** Time until the customer's token rate permits a request; 0 if now. */
  getTokenWaitMs(customerId: CustomerId): number;
  open(customerId: CustomerId): void;
  close(customerId: CustomerId): void;
  recordTokens(customerId: CustomerId, count: number): void;
  getOpenCount(customerId?: CustomerId): number;
}

export interface FairShareOptions {
  readonly clock: Clock;
  readonly limits: CustomerLimits;
  /** Limit of open answers of the whole instance. */
  readonly maxOpenAnswers: number;
  /** Limit of the token rate of the whole instance. */
  readonly maxTokensPerS: number;
  /** Part of the capacity that only customers below their share may use. */
  readonly reserveRatio?: number;
}

interface CustomerUsage {
  openCount: number;
  /** Level of a leaky bucket: tokens in excess of the customer's rate. */
  excessTokens: number;
  tokensPerS: number;
  lastActiveAtMs: number;
}

/** A customer without requests for this long is left out of the shares. */
const activityTimeoutMs = 30_000;
const defaultReserveRatio = 0.1;
/**
 * Number of standard deviations of random arrivals by which the open answers of
 * a customer may exceed its share before it counts as over its share.
 */
const burstDeviations = 1.5;
const tokenBurstS = 2;
/**
 * Bounds the bucket to this many seconds of the customer's rate. Without the
 * bound, a customer that used spare capacity at ten times its share for a
 * minute was refused for minutes.
 */
const maxExcessDurationS = 7;
const rateWindowMs = 5_000;
/** A customer at its limit would use more tokens than its measured rate. */
const demandFactor = 1.1;
/** An update iterates over all customers, so not every token causes one. */
const rateUpdateIntervalMs = 50;

export function createFairShare(options: FairShareOptions): FairShare {
  const { clock, limits, maxTokensPerS } = options;
  const reserveRatio = options.reserveRatio ?? defaultReserveRatio;
  const usageByCustomer = new Map<CustomerId, CustomerUsage>();
  let totalOpenCount = 0;
  let ratesUpdatedAtMs = clock.nowMs();
  let ratePerWeightTokensPerS = Infinity;
  return {
    canOpen,
    isOverShare,
    getWeightedOpenCount: (customerId) =>
      (usageByCustomer.get(customerId)?.openCount ?? 0) /
      limits.getWeight(customerId),
    getTokenWaitMs,
    open,
    close,
    recordTokens,
    getOpenCount: (customerId) =>
      customerId === undefined
        ? totalOpenCount
        : usageByCustomer.get(customerId)?.openCount ?? 0,
  };

  function recordActivity(customerId: CustomerId): CustomerUsage {
    let usage = usageByCustomer.get(customerId);
    if (!usage) {
      usage = {
        openCount: 0,
        excessTokens: 0,
        tokensPerS: 0,
        lastActiveAtMs: 0,
      };
      usageByCustomer.set(customerId, usage);
    }
    usage.lastActiveAtMs = clock.nowMs();
    return usage;
  }

  function getActiveWeight(): number {
    const oldestMs = clock.nowMs() - activityTimeoutMs;
    let total = 0;
    for (const [customerId, usage] of usageByCustomer) {
      const isIdle = usage.openCount === 0 && usage.lastActiveAtMs < oldestMs;
      if (isIdle && usage.excessTokens <= 0) usageByCustomer.delete(customerId);
      else total += limits.getWeight(customerId);
    }
    return total;
  }

  /** The customer's part of the total weight of all active customers. */
  function getShareRatio(customerId: CustomerId): number {
    const weight = limits.getWeight(customerId);
    const activeWeight = getActiveWeight();
    return weight /
      (usageByCustomer.has(customerId) ? activeWeight : activeWeight + weight);
  }

  function isOverShare(customerId: CustomerId, capacity: number): boolean {
    return exceedsShare(customerId, capacity, burstDeviations);
  }

  function exceedsShare(
    customerId: CustomerId,
    capacity: number,
    deviations: number,
  ): boolean {
    const openCount = usageByCustomer.get(customerId)?.openCount ?? 0;
    const share = getShareRatio(customerId) * capacity;
    return openCount >= Math.max(1, share + deviations * Math.sqrt(share));
  }

  function canOpen(customerId: CustomerId, capacity: number): boolean {
    recordActivity(customerId);
    if (totalOpenCount >= options.maxOpenAnswers) return false;
    if (totalOpenCount < capacity * (1 - reserveRatio)) return true;
    // When the capacity shrinks, answers above the shares may still be open. A
    // customer below its share may open one anyway, because the shares add up
    // to the capacity. The burst tolerances do not, so they end at the
    // capacity.
    const deviations = totalOpenCount < capacity ? burstDeviations : 0;
    return !exceedsShare(customerId, capacity, deviations);
  }

  function open(customerId: CustomerId): void {
    recordActivity(customerId).openCount += 1;
    totalOpenCount += 1;
  }

  function close(customerId: CustomerId): void {
    const usage = recordActivity(customerId);
    if (usage.openCount === 0) return;
    usage.openCount -= 1;
    totalOpenCount -= 1;
  }

  function recordTokens(customerId: CustomerId, count: number): void {
    updateTokenRates();
    const usage = recordActivity(customerId);
    usage.excessTokens += count;
    usage.tokensPerS += count / (rateWindowMs / 1_000);
  }

  function updateTokenRates(): void {
    const nowMs = clock.nowMs();
    const elapsedMs = nowMs - ratesUpdatedAtMs;
    if (elapsedMs < rateUpdateIntervalMs) return;
    ratesUpdatedAtMs = nowMs;
    const decay = Math.exp(-elapsedMs / rateWindowMs);
    const claims = [...usageByCustomer].map(([customerId, usage]) => {
      usage.tokensPerS *= decay;
      return {
        demand: usage.tokensPerS * demandFactor,
        weight: limits.getWeight(customerId),
      };
    });
    ratePerWeightTokensPerS = computeFairLevel(claims, maxTokensPerS);
    for (const [customerId, usage] of usageByCustomer) {
      const rate = limits.getWeight(customerId) * ratePerWeightTokensPerS;
      const excess = Math.min(usage.excessTokens, rate * maxExcessDurationS) -
        rate * elapsedMs / 1_000;
      usage.excessTokens = excess > 0 ? excess : 0;
    }
  }

  function getTokenWaitMs(customerId: CustomerId): number {
    updateTokenRates();
    if (ratePerWeightTokensPerS === Infinity) return 0;
    const rate = limits.getWeight(customerId) * ratePerWeightTokensPerS;
    const excess = Math.min(
      usageByCustomer.get(customerId)?.excessTokens ?? 0,
      rate * maxExcessDurationS,
    ) - rate * tokenBurstS;
    return excess <= 0 ? 0 : Math.ceil(excess / rate * 1_000);
  }
}

export interface WeightedDemand {
  readonly demand: number;
  readonly weight: number;
}

/**
 * Computes the allocation per unit of weight under weighted max-min fairness
 * (water filling). Each claim gets its demand or its weight times the level,
 * whichever is less; at this level the allocations add up to the capacity.
 * Returns Infinity when all demands fit.
 */
export function computeFairLevel(
  claims: readonly WeightedDemand[],
  capacity: number,
): number {
  const sorted = [...claims].sort((left, right) =>
    left.demand / left.weight - right.demand / right.weight
  );
  let remaining = capacity;
  let weight = sorted.reduce((sum, claim) => sum + claim.weight, 0);
  for (const claim of sorted) {
    const level = remaining / weight;
    if (claim.demand / claim.weight > level) return level;
    remaining -= claim.demand;
    weight -= claim.weight;
  }
  return Infinity;
}
