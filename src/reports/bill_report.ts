/**
 * The bill: cost of the calendar month to date per customer, service and cause,
 * and the forecast for the next month.
 */
import type { Random } from "../core/random.ts";
import {
  type BillForecast,
  type DayCost,
  forecastNextMonth,
} from "./bill_forecast.ts";
import { type Prices, TokenCause, type TokenUsage } from "./usage.ts";
import { dayMs, type DayUsage } from "./usage_ledger.ts";
import { getTokenKey } from "./usage_collector.ts";

export interface BillRow extends TokenUsage {
  readonly cost: number;
}

export interface BillReport {
  readonly currency: string;
  readonly fromDay: number;
  readonly rows: readonly BillRow[];
  readonly totalCost: number;
  /** Part of the total that failures caused. */
  readonly failureCost: number;
  readonly forecast: BillForecast;
}

export function getBillReport(
  days: readonly DayUsage[],
  options: {
    readonly nowWallMs: number;
    readonly prices: Prices;
    readonly random: Random;
  },
): BillReport {
  const { nowWallMs, prices, random } = options;
  const now = new Date(nowWallMs);
  const fromDay = Date.UTC(now.getUTCFullYear(), now.getUTCMonth(), 1) / dayMs;
  const rows = getRows(days.filter(({ day }) => day >= fromDay), prices);
  const dayCosts: DayCost[] = days.map(({ day, tokens }) => ({
    day,
    cost: tokens.reduce((sum, usage) => sum + getCost(usage, prices), 0),
  }));
  const getTotal = (selected: readonly BillRow[]) =>
    selected.reduce((sum, row) => sum + row.cost, 0);
  return {
    currency: prices.currency,
    fromDay,
    rows,
    totalCost: getTotal(rows),
    failureCost: getTotal(
      rows.filter((row) => row.cause !== TokenCause.Useful),
    ),
    forecast: forecastNextMonth(dayCosts, { nowWallMs, random }),
  };
}

function getRows(days: readonly DayUsage[], prices: Prices): BillRow[] {
  const totals = new Map<string, TokenUsage>();
  for (const usage of days.flatMap(({ tokens }) => tokens)) {
    const key = getTokenKey(usage);
    const tokens = (totals.get(key)?.tokens ?? 0) + usage.tokens;
    totals.set(key, { ...usage, tokens });
  }
  return [...totals.values()]
    .map((usage) => ({ ...usage, cost: getCost(usage, prices) }))
    .sort((left, right) => right.cost - left.cost);
}

function getCost(usage: TokenUsage, prices: Prices): number {
  const perMillion = usage.cause === TokenCause.Refilled
    ? prices.perMillionPrefilledTokens
    : prices.perMillionGeneratedTokens;
  return usage.tokens * perMillion / 1e6;
}
