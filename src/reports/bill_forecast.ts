/**
 * Forecast of the next calendar month's bill.
 *
 * Method in one sentence: next month's cost is the mean daily cost of each
 * weekday over the last twelve weeks, moved along the trend of these weeks, and
 * its range covers 90% of the outcomes when the trend's own error and weeks of
 * past deviations are drawn at random.
 */
import type { Random } from "../core/random.ts";
import { dayMs } from "./usage_ledger.ts";

export interface DayCost {
  readonly day: number;
  readonly cost: number;
}

export interface BillForecast {
  /** First day of the forecast month and the days it has. */
  readonly fromDay: number;
  readonly dayCount: number;
  readonly cost: number;
  readonly lowCost: number;
  readonly highCost: number;
  /** Days of history that the forecast rests on. */
  readonly historyDays: number;
}

const weekDays = 7;
const historyWeeks = 12;
const drawCount = 400;
// The draws leave out the error of the weekday means: between the 5% and 95%
// quantiles lay 87% of 200 back-tested months. These quantiles reach the 90%.
const lowQuantile = 0.025;
const highQuantile = 0.975;

export function forecastNextMonth(
  days: readonly DayCost[],
  { nowWallMs, random }: { nowWallMs: number; random: Random },
): BillForecast {
  const month = getNextMonth(nowWallMs);
  const today = Math.floor(nowWallMs / dayMs);
  const history = getHistory(days, today);
  const base = getBase(history);
  const forecastDays = Array.from(
    { length: month.dayCount },
    (_, index) => month.fromDay + index,
  );
  const expected = forecastDays.map((day) => getExpected(base, day));
  const ratios = history.map((entry) => getRatio(base, entry));
  const totals = Array.from(
    { length: drawCount },
    () => drawTotal(base, { forecastDays, ratios, random }),
  );
  totals.sort((left, right) => left - right);
  return {
    ...month,
    cost: expected.reduce((total, cost) => total + cost, 0),
    lowCost: totals[Math.floor(lowQuantile * drawCount)] ?? 0,
    highCost: totals[Math.floor(highQuantile * drawCount)] ?? 0,
    historyDays: history.length,
  };
}

interface Base {
  readonly weekdayMeans: readonly number[];
  /** Relative change per day around `centerDay`. */
  readonly slopePerDay: number;
  /** Standard errors of the trend and of the level at `centerDay`. */
  readonly slopeError: number;
  readonly levelError: number;
  readonly centerDay: number;
}

/** Whole days before today; a day without usage costs nothing. */
function getHistory(days: readonly DayCost[], today: number): DayCost[] {
  const costs = new Map(days.map(({ day, cost }) => [day, cost]));
  const firstDay = Math.max(
    today - historyWeeks * weekDays,
    Math.min(today, ...costs.keys()),
  );
  return Array.from({ length: today - firstDay }, (_, index) => ({
    day: firstDay + index,
    cost: costs.get(firstDay + index) ?? 0,
  }));
}

function getBase(history: readonly DayCost[]): Base {
  const overall = getMean(history.map(({ cost }) => cost));
  const weekdayMeans = Array.from({ length: weekDays }, (_, weekday) => {
    const costs = history.filter(({ day }) => day % weekDays === weekday)
      .map(({ cost }) => cost);
    return costs.length === 0 ? overall : getMean(costs);
  });
  const centerDay = getMean(history.map(({ day }) => day));
  const points = history.flatMap(({ day, cost }) => {
    const mean = weekdayMeans[day % weekDays]!;
    return mean === 0
      ? []
      : [{ offset: day - centerDay, value: cost / mean - 1 }];
  });
  return { weekdayMeans, centerDay, ...fitTrend(points) };
}

interface TrendPoint {
  readonly offset: number;
  readonly value: number;
}

/** Least squares through the centre, with its standard errors. */
function fitTrend(points: readonly TrendPoint[]) {
  if (points.length < 2 * weekDays) {
    return { slopePerDay: 0, slopeError: 0, levelError: 0 };
  }
  const sumSquares = points.reduce((sum, { offset }) => sum + offset ** 2, 0);
  const slopePerDay =
    points.reduce((sum, { offset, value }) => sum + offset * value, 0) /
    sumSquares;
  const residualVariance = points.reduce(
    (sum, { offset, value }) => sum + (value - slopePerDay * offset) ** 2,
    0,
  ) / (points.length - 2);
  return {
    slopePerDay,
    slopeError: Math.sqrt(residualVariance / sumSquares),
    levelError: Math.sqrt(residualVariance / points.length),
  };
}

function getExpected(base: Base, day: number): number {
  const factor = 1 + base.slopePerDay * (day - base.centerDay);
  return base.weekdayMeans[day % weekDays]! * Math.max(0, factor);
}

function getRatio(base: Base, { day, cost }: DayCost): number {
  const expected = getExpected(base, day);
  return expected === 0 ? 1 : cost / expected;
}

/** Whole weeks of deviations are drawn, since days of a week move together. */
function drawTotal(
  base: Base,
  { forecastDays, ratios, random }: {
    readonly forecastDays: readonly number[];
    readonly ratios: readonly number[];
    readonly random: Random;
  },
): number {
  if (ratios.length === 0) return 0;
  const slopePerDay = base.slopePerDay + base.slopeError * drawNormal(random);
  const drawn = { ...base, slopePerDay };
  const level = 1 + base.levelError * drawNormal(random);
  let total = 0;
  let offset = 0;
  forecastDays.forEach((day, index) => {
    if (index % weekDays === 0) offset = random.nextInt(ratios.length);
    const ratio = ratios[(offset + index % weekDays) % ratios.length]!;
    total += level * getExpected(drawn, day) * ratio;
  });
  return total;
}

/** Standard normal by the Box-Muller transform. */
function drawNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

function getNextMonth(nowWallMs: number) {
  const now = new Date(nowWallMs);
  const year = now.getUTCFullYear();
  const month = now.getUTCMonth();
  const fromDay = Date.UTC(year, month + 1, 1) / dayMs;
  const endDay = Date.UTC(year, month + 2, 1) / dayMs;
  return { fromDay, dayCount: endDay - fromDay };
}

function getMean(values: readonly number[]): number {
  if (values.length === 0) return 0;
  return values.reduce((total, value) => total + value, 0) / values.length;
}
