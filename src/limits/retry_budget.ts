/**
 * Budget for repeated work: retries of application calls, hedged attempts and
 * resumes. Each pair of service and customer has its own account, which earns a
 * share of the customer's useful work, so no customer can use up another's.
 *
 * Work is counted in units that the service chooses: calls for application
 * services, tokens for models.
 */
import type { CustomerId } from "../core/types.ts";

export interface RetryBudgetKey {
  readonly service: string;
  readonly customerId: CustomerId;
}

export interface RetryBudget {
  /** Earns a share of the useful work. */
  recordUseful(key: RetryBudgetKey, units: number): void;
  /** Draws for a retry or a hedge; false when the account is too low. */
  tryDraw(key: RetryBudgetKey, units: number): boolean;
  /**
   * Draws for a resume after a real loss, which is never refused. What the
   * account does not hold is counted as overdraft instead.
   */
  drawForResume(key: RetryBudgetKey, units: number): void;
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
  /** Share of useful work, 0 to 1. */
  readonly ratio: number;
  /** Balance of a new account and lower end of its bound. */
  readonly initialUnits: number;
  /** A function where the bound depends on the number of instances. */
  readonly maxUnits: number | (() => number);
  readonly maxAccounts?: number;
}

export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const { ratio, initialUnits, maxUnits } = options;
  const getMaxUnits = typeof maxUnits === "number" ? () => maxUnits : maxUnits;
  const maxAccounts = options.maxAccounts ?? 10_000;
  /** In order of last use; an account that is dropped starts anew. */
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

  function getAvailable(key: RetryBudgetKey): number {
    return balances.get(getAccountId(key)) ??
      (ratio === 0 ? 0 : initialUnits);
  }

  function setBalance(key: RetryBudgetKey, balance: number): void {
    const accountId = getAccountId(key);
    balances.delete(accountId);
    balances.set(accountId, balance);
    if (balances.size <= maxAccounts) return;
    balances.delete(balances.keys().next().value!);
  }
}

function getAccountId({ service, customerId }: RetryBudgetKey): string {
  return `${service}\0${customerId}`;
}
