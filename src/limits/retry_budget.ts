/**
 * Budget for repeated work: retries of application calls, hedged attempts and
 * resumes. Each pair of service and customer has its own account, which is
 * credited with a ratio of the customer's useful work. A customer therefore
 * cannot use up the budget of another one.
 *
 * Work is counted in units that depend on the service: calls for application
 * services, tokens for models.
 */
import type { CustomerId } from "../core/types.ts";

export interface RetryBudgetKey {
  readonly service: string;
  readonly customerId: CustomerId;
}

export interface RetryBudget {
  /** Credits the account with a ratio of the useful work. */
  recordUseful(key: RetryBudgetKey, units: number): void;
  /** Draws for a retry or a hedge; returns false if the balance is too low. */
  tryDraw(key: RetryBudgetKey, units: number): boolean;
  /**
   * Draws for a resume after the loss of an upstream, which is never refused. A
   * balance that is too low is emptied, and the rest is counted as overdraft.
   */
  drawForResume(key: RetryBudgetKey, units: number): void;
  /**
   * Draws for a repeat that the balance need not cover. It may use the reserve,
   * which later useful work has to make up for; returns false beyond it.
   */
  tryDrawReserve(key: RetryBudgetKey, units: number): boolean;
  /**
   * Whether `tryDrawReserve` would draw. Asks for a repeat where these are granted
   * on request, so it is called only if one would be used.
   */
  hasReserve(key: RetryBudgetKey, units: number): boolean;
  getAvailable(key: RetryBudgetKey): number;
  getStats(): RetryBudgetStats;
}

export interface RetryBudgetStats {
  readonly drawnUnits: number;
  readonly refusedDraws: number;
  readonly resumedUnits: number;
  readonly overdraftUnits: number;
}

export interface RetryBudgetOptions {
  /** Part of the useful work that is credited, 0 to 1. */
  readonly ratio: number;
  /** Balance of a new account, and the least value of the balance limit. */
  readonly initialUnits: number;
  /** Limit of a balance; a function if it depends on the instance count. */
  readonly maxUnits: number | (() => number);
  /** Units that repeats may draw beyond the balance; none by default. */
  readonly getReserveUnits?: (key: RetryBudgetKey) => number;
  readonly maxAccounts?: number;
}

export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const { ratio, initialUnits, maxUnits } = options;
  const getMaxUnits = typeof maxUnits === "number" ? () => maxUnits : maxUnits;
  const maxAccounts = options.maxAccounts ?? 10_000;
  /**
   * Least recently used first. When there are too many accounts, the first one
   * is evicted and starts with the initial balance at its next use.
   */
  const balances = new Map<string, number>();
  const stats = {
    drawnUnits: 0,
    refusedDraws: 0,
    resumedUnits: 0,
    overdraftUnits: 0,
  };
  return {
    recordUseful: (key, units) => {
      const balance = getAvailable(key) + ratio * Math.max(0, units);
      setBalance(key, Math.min(getMaxUnits(), balance));
    },
    tryDraw,
    drawForResume,
    tryDrawReserve,
    hasReserve,
    getAvailable,
    getStats: () => ({ ...stats }),
  };

  function tryDraw(key: RetryBudgetKey, units: number): boolean {
    const balance = getAvailable(key);
    if (balance < units) {
      stats.refusedDraws += 1;
      return false;
    }
    stats.drawnUnits += units;
    setBalance(key, balance - units);
    return true;
  }

  function drawForResume(key: RetryBudgetKey, units: number): void {
    const balance = getAvailable(key);
    const drawn = Math.min(balance, units);
    stats.resumedUnits += units;
    stats.overdraftUnits += units - drawn;
    setBalance(key, balance - drawn);
  }

  function tryDrawReserve(key: RetryBudgetKey, units: number): boolean {
    if (!hasReserve(key, units)) {
      stats.refusedDraws += 1;
      return false;
    }
    stats.resumedUnits += units;
    setBalance(key, getAvailable(key) - units);
    return true;
  }

  function hasReserve(key: RetryBudgetKey, units: number): boolean {
    const reserveUnits = options.getReserveUnits?.(key) ?? 0;
    return getAvailable(key) + reserveUnits >= units;
  }

  function getAvailable(key: RetryBudgetKey): number {
    return balances.get(formatAccountId(key)) ??
      (ratio === 0 ? 0 : initialUnits);
  }

  function setBalance(key: RetryBudgetKey, balance: number): void {
    const accountId = formatAccountId(key);
    balances.delete(accountId);
    balances.set(accountId, balance);
    if (balances.size <= maxAccounts) return;
    balances.delete(balances.keys().next().value!);
  }
}

function formatAccountId({ service, customerId }: RetryBudgetKey): string {
  return `${service}\0${customerId}`;
}
