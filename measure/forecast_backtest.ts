/**
 * Back-tests the bill forecast on seeded months and prints its error.
 */
import process from "node:process";
import { backTestForecast } from "./forecast_trial.ts";
import { getPercentile } from "./statistics.ts";

const monthCount = 1_000;

const results = Array.from(
  { length: monthCount },
  (_, seed) => backTestForecast(seed + 1),
);
const errors = results.map((result) => Math.abs(result.errorRatio));
const insideCount = results.filter((result) => result.isInside).length;
process.stdout.write(`${
  JSON.stringify({
    months: monthCount,
    insideRangeRatio: insideCount / monthCount,
    errorRatioP50: Number(getPercentile(errors, 0.5).toFixed(4)),
    errorRatioP95: Number(getPercentile(errors, 0.95).toFixed(4)),
    errorRatioMax: Number(getPercentile(errors, 1).toFixed(4)),
  })
}\n`);
