/**
 * Seeded daily costs to back-test the bill forecast.
 */
import { createRandom } from "../src/core/random.ts";
import { forecastNextMonth } from "../src/reports/bill_forecast.ts";
import { dayMs } from "../src/reports/usage_ledger.ts";

/** Half a year of seeded daily costs, then the month after it. */
export function backTestForecast(seed: number) {
  const random = createRandom(seed);
  const growth = (random.next() - 0.4) * 0.004;
  const weekend = 0.3 + 0.5 * random.next();
  const noise = 0.05 + 0.15 * random.next();
  const getCost = (day: number) =>
    100 * (1 + growth * day) * (day % 7 < 2 ? weekend : 1) *
    (1 + noise * (2 * random.next() - 1));
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
