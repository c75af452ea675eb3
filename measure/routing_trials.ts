/**
 * Measures routing, admission, stall detection and recovery:
 * `npm run measure:routing -- --seed N [--only NAME]`. The last line of the
 * output is one JSON object.
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { measureFairness, measureShareError } from "./fairness_trials.ts";
import { measureRecovery } from "./recovery_trials.ts";
import { measureRouter, type RouterFigures } from "./router_comparison.ts";
import { measureStalls } from "./stall_trials.ts";
import type { RouterKind } from "./traffic_model.ts";

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    /** Runs only the parts whose name contains this. */
    only: { type: "string", default: "" },
  },
});
const seed = Number(values.seed);
const figures: Record<string, unknown> = { seed };
await runPart("routers75", () => compareRouters(140));
await runPart("routers95", () => compareRouters(175));
await runPart("largeCustomer", compareLargeCustomer);
await runPart("shareError", async () => ({
  allInstances: await measureShareError(seed, 6),
  oneReachesHalf: await measureShareError(seed, 3),
}));
await runPart("stalls", () => Promise.resolve(measureStalls(seed)));
await runPart("recoveryNone", () => measureRecovery(seed, "none"));
await runPart("recoveryKilled", () => measureRecovery(seed, "killed"));
await runPart("recoveryFrozen", () => measureRecovery(seed, "frozen"));
print(JSON.stringify(figures));
process.exit(0);

async function runPart(
  name: string,
  run: () => Promise<unknown>,
): Promise<void> {
  if (!name.includes(values.only)) return;
  figures[name] = await run();
  print(`${name}: ${JSON.stringify(figures[name], null, 2)}`);
}

async function compareRouters(requestsPerS: number) {
  const routers: Partial<Record<RouterKind, RouterFigures>> = {};
  const kinds = ["router", "random", "leastReported", "rendezvous"] as const;
  for (const router of kinds) {
    routers[router] = await measureRouter(router, {
      seed,
      reportLagMs: 400,
      requestsPerS,
      durationMs: 60_000,
    });
  }
  return routers;
}

async function compareLargeCustomer() {
  const base = { seed, durationMs: 75_000, maxTokensPerS: 6_000 };
  const without = await measureFairness({
    ...base,
    hasLarge: false,
    isUnlimited: false,
  });
  const withLarge = await measureFairness({
    ...base,
    hasLarge: true,
    isUnlimited: false,
  });
  // Without a limit of the token rate, only the window of open answers protects
  // the other customers.
  const withLargeWindowOnly = await measureFairness({
    ...base,
    maxTokensPerS: 1e9,
    hasLarge: true,
    isUnlimited: false,
  });
  const unlimited = await measureFairness({
    ...base,
    hasLarge: true,
    isUnlimited: true,
  });
  const ratio = withLarge.othersP95Ms / without.othersP95Ms;
  return {
    without,
    withLarge,
    withLargeWindowOnly,
    withLargeUnlimited: unlimited,
    othersP95Ratio: Math.round(ratio * 1_000) / 1_000,
    isTargetMet: ratio <= 1.2,
  };
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}
