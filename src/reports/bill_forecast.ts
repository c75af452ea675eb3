/**
 * Forecast of the next calendar month's bill.
 *
 * The expected cost is the mean daily cost of each weekday over the last twelve
 * weeks, extrapolated along the linear trend of these weeks. The range covers
 * 90% of the outcomes when the error of the trend and weeks of past deviations
 * are sampled at random.
 */
import type { Random } from "../core/random.ts";
import { dayMs } from "./usage_ledger.ts";

export interface DayCost {
  readonly day: number;
  readonly cost: number;
}

export interface BillForecast {
  /** First day of the forecast month and its number of days. */
  readonly fromDay: number;
  readonly dayCount: number;
  readonly cost: number;
  readonly lowCost: number;
  readonly highCost: number;
  /** Number of days of history on which the forecast is based. */
  readonly historyDays: number;
}

const weekDays = 7;
const historyWeeks = 12;
const sampleCount = 400;
// The samples leave out the error of the weekday means, so the range from the
// 5% to the 95% quantile covers only 87% of 200 back-tested months. These wider
// quantiles reach 90%.
const lowQuantile = 0.025;
const highQuantile = 0.975;

export function forecastNextMonth(
  days: readonly DayCost[],
  { nowWallMs, random }: { nowWallMs: number; random: Random },
): BillForecast {
  const month = getNextMonth(nowWallMs);
  const today = Math.floor(nowWallMs / dayMs);
  const history = getHistory(days, today);
  const costModel = fitCostModel(history);
  const forecastDays = Array.from(
    { length: month.dayCount },
    (_, index) => month.fromDay + index,
  );
  const expected = forecastDays.map((day) => predictCost(costModel, day));
  const ratios = history.map((entry) => getDeviationRatio(costModel, entry));
  const totals = Array.from(
    { length: sampleCount },
    () => sampleTotal(costModel, { forecastDays, ratios, random }),
  );
  totals.sort((left, right) => left - right);
  return {
    ...month,
    cost: expected.reduce((total, cost) => total + cost, 0),
    lowCost: totals[Math.floor(lowQuantile * sampleCount)] ?? 0,
    highCost: totals[Math.floor(highQuantile * sampleCount)] ?? 0,
    historyDays: history.length,
  };
}

interface CostModel {
  readonly weekdayMeans: readonly number[];
  /** Relative change per day around `centerDay`. */
  readonly slopePerDay: number;
  /** Standard errors of the trend and of the level at `centerDay`. */
  readonly slopeError: number;
  readonly levelError: number;
  readonly centerDay: number;
}

/** Returns the whole days before today; a day without usage costs nothing. */
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

function fitCostModel(history: readonly DayCost[]): CostModel {
  const overallMean = getMean(history.map(({ cost }) => cost));
  const weekdayMeans = Array.from({ length: weekDays }, (_, weekday) => {
    const costs = history.filter(({ day }) => day % weekDays === weekday)
      .map(({ cost }) => cost);
    return costs.length === 0 ? overallMean : getMean(costs);
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

/** Fits a least-squares line through the center, with its standard errors. */
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

function predictCost(costModel: CostModel, day: number): number {
  const factor = 1 + costModel.slopePerDay * (day - costModel.centerDay);
  return costModel.weekdayMeans[day % weekDays]! * Math.max(0, factor);
}

function getDeviationRatio(
  costModel: CostModel,
  { day, cost }: DayCost,
): number {
  const expected = predictCost(costModel, day);
  return expected === 0 ? 1 : cost / expected;
}

/**
 * Samples whole weeks of deviations, because the days of a week are correlated.
 */
function sampleTotal(
  costModel: CostModel,
  { forecastDays, ratios, random }: {
    readonly forecastDays: readonly number[];
    readonly ratios: readonly number[];
    readonly random: Random;
  },
): number {
  if (ratios.length === 0) return 0;
  const slopePerDay = costModel.slopePerDay +
    costModel.slopeError * sampleNormal(random);
  const sampledModel = { ...costModel, slopePerDay };
  const level = 1 + costModel.levelError * sampleNormal(random);
  let total = 0;
  let offset = 0;
  forecastDays.forEach((day, index) => {
    if (index % weekDays === 0) offset = random.nextInt(ratios.length);
    const ratio = ratios[(offset + index % weekDays) % ratios.length]!;
    total += level * predictCost(sampledModel, day) * ratio;
  });
  return total;
}

/** Samples the standard normal distribution by the Box-Muller transform. */
function sampleNormal(random: Random): number {
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
