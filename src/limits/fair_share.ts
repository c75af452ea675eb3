/**
 * Weighted fair shares of an instance's capacity: open answers and tokens per
 * second.
 *
 * Capacity that others do not use is lent, up to a reserve that stays free for
 * customers below their share. Every instance applies the same rule to its own
 * capacity; callers are spread over the instances by the load balancer, so the
 * shares of a failure domain add up without a central counter.
 */
import type { Clock } from "../core/clock.ts";
import type { CustomerId } from "../core/types.ts";
import type { CustomerLimits } from "./customer_limits.ts";

export interface FairShare {
  /** Whether the customer may open one more answer now. */
  canOpen(customerId: CustomerId, capacity: number): boolean;
  isOverShare(customerId: CustomerId, capacity: number): boolean;
  /** Open answers in relation to the weight; the lowest goes first. */
  getUse(customerId: CustomerId): number;
  /** Time until the customer's token rate allows new work; 0 for now. */
  getTokenWaitMs(customerId: CustomerId): number;
  open(customerId: CustomerId): void;
  close(customerId: CustomerId): void;
  recordTokens(customerId: CustomerId, count: number): void;
  getOpenCount(customerId?: CustomerId): number;
}

export interface FairShareOptions {
  readonly clock: Clock;
  readonly limits: CustomerLimits;
  /** Bound of the open answers of the whole instance. */
  readonly maxOpenAnswers: number;
  /** Token rate of the whole instance. */
  readonly maxTokensPerS: number;
  /** Part of the open answers that only customers below their share may use. */
  readonly reserveRatio?: number;
}

interface CustomerUse {
  openCount: number;
  /** Tokens above the customer's rate, drained by it. */
  excessTokens: number;
  tokensPerS: number;
  lastActiveAtMs: number;
}

/** A customer without work for this long no longer counts for the shares. */
const activeMs = 30_000;
const defaultReserveRatio = 0.1;
/**
 * Standard deviations of random arrivals that a customer may be above its share
 * of open answers before it counts as over it.
 */
const burstDeviations = 1.5;
const burstS = 2;
/**
 * Capacity that was lent is not held against a customer for longer: without a
 * bound, a minute at ten times its share closed a customer out for minutes.
 */
const maxExcessS = 7;
const rateWindowMs = 5_000;
/** A customer at its limit would use more than it does. */
const demandFactor = 1.1;
/** Draining at every token would cost a pass over all customers each time. */
const drainIntervalMs = 50;

export function createFairShare(options: FairShareOptions): FairShare {
  const { clock, limits, maxTokensPerS } = options;
  const reserveRatio = options.reserveRatio ?? defaultReserveRatio;
  const uses = new Map<CustomerId, CustomerUse>();
  let totalOpen = 0;
  let drainedAtMs = clock.nowMs();
  let ratePerWeight = Infinity;
  return {
    canOpen,
    isOverShare,
    getUse: (customerId) =>
      (uses.get(customerId)?.openCount ?? 0) / limits.getWeight(customerId),
    getTokenWaitMs,
    open,
    close,
    recordTokens,
    getOpenCount: (customerId) =>
      customerId === undefined
        ? totalOpen
        : uses.get(customerId)?.openCount ?? 0,
  };

  function touch(customerId: CustomerId): CustomerUse {
    let use = uses.get(customerId);
    if (!use) {
      use = {
        openCount: 0,
        excessTokens: 0,
        tokensPerS: 0,
        lastActiveAtMs: 0,
      };
      uses.set(customerId, use);
    }
    use.lastActiveAtMs = clock.nowMs();
    return use;
  }

  function getActiveWeight(): number {
    const oldestMs = clock.nowMs() - activeMs;
    let total = 0;
    for (const [customerId, use] of uses) {
      const isIdle = use.openCount === 0 && use.lastActiveAtMs < oldestMs;
      if (isIdle && use.excessTokens <= 0) uses.delete(customerId);
      else total += limits.getWeight(customerId);
    }
    return total;
  }

  /** The customer's part of the weights of all active customers. */
  function getShareRatio(customerId: CustomerId): number {
    const weight = limits.getWeight(customerId);
    const activeWeight = getActiveWeight();
    return weight /
      (uses.has(customerId) ? activeWeight : activeWeight + weight);
  }

  function isOverShare(customerId: CustomerId, capacity: number): boolean {
    return isAboveShare(customerId, capacity, burstDeviations);
  }

  function isAboveShare(
    customerId: CustomerId,
    capacity: number,
    deviations: number,
  ): boolean {
    const openCount = uses.get(customerId)?.openCount ?? 0;
    const share = getShareRatio(customerId) * capacity;
    return openCount >= Math.max(1, share + deviations * Math.sqrt(share));
  }

  function canOpen(customerId: CustomerId, capacity: number): boolean {
    touch(customerId);
    if (totalOpen >= options.maxOpenAnswers) return false;
    if (totalOpen < capacity * (1 - reserveRatio)) return true;
    // The capacity shrinks while lent work still runs, so a customer below its
    // share starts whatever is open; the shares add up to the capacity. The
    // tolerance for bursts does not, and ends at the capacity.
    const deviations = totalOpen < capacity ? burstDeviations : 0;
    return !isAboveShare(customerId, capacity, deviations);
  }

  function open(customerId: CustomerId): void {
    touch(customerId).openCount += 1;
    totalOpen += 1;
  }

  function close(customerId: CustomerId): void {
    const use = touch(customerId);
    if (use.openCount === 0) return;
    use.openCount -= 1;
    totalOpen -= 1;
  }

  function recordTokens(customerId: CustomerId, count: number): void {
    drain();
    const use = touch(customerId);
    use.excessTokens += count;
    use.tokensPerS += count / (rateWindowMs / 1_000);
  }

  function drain(): void {
    const nowMs = clock.nowMs();
    const elapsedMs = nowMs - drainedAtMs;
    if (elapsedMs < drainIntervalMs) return;
    drainedAtMs = nowMs;
    const decay = Math.exp(-elapsedMs / rateWindowMs);
    const claims = [...uses].map(([customerId, use]) => {
      use.tokensPerS *= decay;
      return {
        demand: use.tokensPerS * demandFactor,
        weight: limits.getWeight(customerId),
      };
    });
    ratePerWeight = getWaterLevel(claims, maxTokensPerS);
    for (const [customerId, use] of uses) {
      const rate = limits.getWeight(customerId) * ratePerWeight;
      const excess = Math.min(use.excessTokens, rate * maxExcessS) -
        rate * elapsedMs / 1_000;
      use.excessTokens = excess > 0 ? excess : 0;
    }
  }

  function getTokenWaitMs(customerId: CustomerId): number {
    drain();
    if (ratePerWeight === Infinity) return 0;
    const rate = limits.getWeight(customerId) * ratePerWeight;
    const excess = Math.min(
      uses.get(customerId)?.excessTokens ?? 0,
      rate * maxExcessS,
    ) - rate * burstS;
    return excess <= 0 ? 0 : Math.ceil(excess / rate * 1_000);
  }
}

export interface Claim {
  readonly demand: number;
  readonly weight: number;
}

/**
 * Weighted max-min fairness: the level at which the parts of all claims, each
 * at most its demand and at most its weight times the level, fill the capacity.
 * Infinity when all demands fit.
 */
export function getWaterLevel(
  claims: readonly Claim[],
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
