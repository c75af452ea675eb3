/**
 * Back-tests the bill forecast on seeded daily costs.
 */
import { createRandom } from "../src/core/random.ts";
import { forecastNextMonth } from "../src/reports/bill_forecast.ts";
import { dayMs } from "../src/reports/usage_ledger.ts";

/**
 * Forecasts the month after half a year of seeded daily costs and compares the
 * forecast with the seeded costs of that month.
 */
export function backTestForecast(seed: number) {
  const random = createRandom(seed);
  const dailyGrowth = (random.next() - 0.4) * 0.004;
  const weekendFactor = 0.3 + 0.5 * random.next();
  const noiseRatio = 0.05 + 0.15 * random.next();
  const getCost = (day: number) =>
    100 * (1 + dailyGrowth * day) * (day % 7 < 2 ? weekendFactor : 1) *
    (1 + noiseRatio * (2 * random.next() - 1));
  const startDay = 20_000;
  const nowDay = startDay + 180;
  const days = Array.from({ length: 180 }, (_, index) => ({
    day: startDay + index,
    cost: getCost(index),
  }));
  const forecast = forecastNextMonth(days, {
    nowWallMs: nowDay * dayMs,
    random,
  });
  let actual = 0;
  for (let index = 0; index < forecast.dayCount; index++) {
    actual += getCost(forecast.fromDay + index - startDay);
  }
  return {
    isInside: actual >= forecast.lowCost && actual <= forecast.highCost,
    errorRatio: forecast.cost / actual - 1,
  };
}
