/**
 * Seeded trials of the rollout decisions, as a command:
 * `npm run measure:rollouts -- --seed N [--trials N]`.
 *
 * Prints one line per kind of fault and, last, one JSON object.
 */
import { fork } from "node:child_process";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { createRandom } from "../src/core/random.ts";
import { FaultKind } from "./rollout_model.ts";
import { runFixedRamp } from "./rollout_baseline.ts";
import { runTrial, type TrialResult } from "./rollout_trial.ts";
import { getPercentile, sum } from "./statistics.ts";

const targets = {
  goodRolledBackRatio: 0.01,
  badDetectedRatio: 0.99,
  badShareBeforeDetection: 0.05,
};

/** Each kind runs in a process of its own; more would disturb the machine. */
const parallelKinds = 4;
/** The longest first: these are not ended by a fault early on. */
const kindsInOrder = [
  FaultKind.None,
  FaultKind.Late,
  ...Object.values(FaultKind).filter((kind) =>
    kind !== FaultKind.None && kind !== FaultKind.Late
  ),
];

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: {
      seed: { type: "string", default: "1" },
      trials: { type: "string", default: "200" },
      kind: { type: "string" },
    },
  });
  const seed = Number(values.seed);
  const trials = Number(values.trials);
  if (values.kind !== undefined) {
    const report = runKind(values.kind as FaultKind, seed, trials);
    process.send?.(report);
    if (!process.send) process.stdout.write(`${JSON.stringify(report)}\n`);
    return;
  }
  const report: Record<string, unknown> = {};
  const rest = [...kindsInOrder];
  await Promise.all(Array.from({ length: parallelKinds }, async () => {
    for (let kind = rest.shift(); kind !== undefined; kind = rest.shift()) {
      report[kind] = await runInChild(kind, seed, trials);
      process.stdout.write(`${kind} ${JSON.stringify(report[kind])}\n`);
    }
  }));
  process.stdout.write(
    `${JSON.stringify({ seed, trials, targets, kinds: report })}\n`,
  );
}

function runInChild(
  kind: FaultKind,
  seed: number,
  trials: number,
): Promise<unknown> {
  return new Promise((resolve, reject) => {
    const child = fork(fileURLToPath(import.meta.url), [
      "--kind",
      kind,
      "--seed",
      String(seed),
      "--trials",
      String(trials),
    ]);
    child.on("message", resolve);
    child.on("error", reject);
    child.on("exit", (code) => {
      if (code !== 0) reject(new Error(`trials of ${kind} ended with ${code}`));
    });
  });
}

function runKind(kind: FaultKind, seed: number, trials: number) {
  const random = createRandom(seed + Object.values(FaultKind).indexOf(kind));
  const results: TrialResult[] = [];
  const baseline: TrialResult[] = [];
  for (let index = 0; index < trials; index++) {
    const options = { kind, seed: random.nextInt(2 ** 31) };
    results.push(runTrial(options));
    baseline.push(runFixedRamp(options));
  }
  return {
    ...summarize(kind, results),
    baseline: summarize(kind, baseline),
  };
}

function summarize(kind: FaultKind, results: readonly TrialResult[]) {
  const base = {
    trials: results.length,
    undecided: results.filter((result) => !result.isDecidedAtTarget).length,
    rollbackReasons: countBy(results, (result) => result.reason ?? "none"),
  };
  if (kind === FaultKind.None) {
    const rolledBack = results.filter((result) => result.isRolledBack).length;
    return { ...base, goodRolledBackRatio: rolledBack / results.length };
  }
  const faulty = results.filter((result) => result.isFaultActive);
  const delays = faulty.flatMap((result) => result.detectionDelayMs ?? []);
  const late = faulty.map((result) => result.lateRequestCount);
  return {
    ...base,
    faultActive: faulty.length,
    badDetectedRatio: faulty.filter((result) => result.isDetected).length /
      Math.max(1, faulty.length),
    badShareMean: round(
      sum(faulty.map((result) => result.badShare)) / Math.max(1, faulty.length),
    ),
    badShareHighest: round(
      Math.max(0, ...faulty.map((result) => result.badShare)),
    ),
    trialsAboveShare:
      faulty.filter((result) =>
        result.badShare > targets.badShareBeforeDetection
      ).length,
    candidateShareSinceStartHighest: round(
      Math.max(0, ...faulty.map((result) => result.shareSinceStart)),
    ),
    lateRequests: sum(late),
    trialsWithLateRequests: late.filter((count) => count > 0).length,
    lateRequestsWhenCertain: sum(
      faulty.map((result) => result.lateWhenCertainCount),
    ),
    trialsWithLateRequestsWhenCertain:
      faulty.filter((result) => result.lateWhenCertainCount > 0).length,
    requestsLaterThanOracle: sum(
      faulty.map((result) => result.lateForOracleCount),
    ),
    requestsWhileBadP50: getPercentile(
      faulty.map((result) => result.badRequestCount),
      0.5,
    ),
    requestsWhileBadHighest: Math.max(
      0,
      ...faulty.map((result) => result.badRequestCount),
    ),
    detectionDelayP50Ms: getPercentile(delays, 0.5),
    detectionDelayP99Ms: getPercentile(delays, 0.99),
  };
}

function countBy(
  results: readonly TrialResult[],
  getKey: (result: TrialResult) => string,
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const result of results) {
    const key = getKey(result);
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return counts;
}

function round(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}

await main();
