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
  /** Token rate of the whole instance. */
  readonly maxTokensPerS: number;
  /** Part of the open answers that only customers below their share may use. */
  readonly reserveRatio?: number;
}

interface CustomerUse {
  openCount: number;
  /** Tokens above the customer's rate, drained by it. */
  excessTokens: number;
  lastActiveAtMs: number;
}

/** A customer without work for this long no longer counts for the shares. */
const activeMs = 30_000;
const defaultReserveRatio = 0.2;
const burstS = 5;
/** Token rates are enforced above this part of the instance's rate. */
const busyRatio = 0.8;
const rateWindowMs = 1_000;
/** Draining at every token would cost a pass over all customers each time. */
const drainIntervalMs = 50;
const maxTokenWaitMs = 60_000;

export function createFairShare(options: FairShareOptions): FairShare {
  const { clock, limits, maxTokensPerS } = options;
  const reserveRatio = options.reserveRatio ?? defaultReserveRatio;
  const uses = new Map<CustomerId, CustomerUse>();
  let totalOpen = 0;
  let drainedAtMs = clock.nowMs();
  let tokensPerS = 0;
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
      use = { openCount: 0, excessTokens: 0, lastActiveAtMs: 0 };
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
    const openCount = uses.get(customerId)?.openCount ?? 0;
    return openCount >= Math.max(1, getShareRatio(customerId) * capacity);
  }

  function canOpen(customerId: CustomerId, capacity: number): boolean {
    touch(customerId);
    if (totalOpen >= capacity) return false;
    const isInReserve = totalOpen >= capacity * (1 - reserveRatio);
    return !isInReserve || !isOverShare(customerId, capacity);
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
    touch(customerId).excessTokens += count;
    tokensPerS += count / (rateWindowMs / 1_000);
  }

  function drain(): void {
    const nowMs = clock.nowMs();
    const elapsedMs = nowMs - drainedAtMs;
    if (elapsedMs < drainIntervalMs) return;
    drainedAtMs = nowMs;
    tokensPerS *= Math.exp(-elapsedMs / rateWindowMs);
    const ratePerWeight = maxTokensPerS / Math.max(1e-9, getActiveWeight());
    for (const [customerId, use] of uses) {
      if (use.excessTokens <= 0) continue;
      const rate = limits.getWeight(customerId) * ratePerWeight;
      const drained = use.excessTokens - rate * elapsedMs / 1_000;
      use.excessTokens = Math.max(0, drained);
    }
  }

  function getTokenWaitMs(customerId: CustomerId): number {
    drain();
    if (tokensPerS < busyRatio * maxTokensPerS) return 0;
    const rate = getShareRatio(customerId) * maxTokensPerS;
    const excess = (uses.get(customerId)?.excessTokens ?? 0) - rate * burstS;
    return excess <= 0
      ? 0
      : Math.min(maxTokenWaitMs, Math.ceil(excess / rate * 1_000));
  }
}
