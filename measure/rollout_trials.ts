/**
 * Runs seeded trials of the rollout decisions:
 * `npm run measure:rollouts -- --seed N [--trials N]`.
 *
 * Prints one line for each kind of fault, then one JSON object.
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

/** Leaves processors free for other work on the machine. */
const maxProcesses = 6;
const chunkSize = 25;

interface Chunk {
  readonly kind: FaultKind;
  readonly from: number;
  readonly to: number;
}

interface ChunkResult {
  readonly results: TrialResult[];
  readonly baseline: TrialResult[];
}

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: {
      seed: { type: "string", default: "1" },
      trials: { type: "string", default: "200" },
      kind: { type: "string" },
      /** Set in the child processes, each of which runs some of the trials. */
      chunk: { type: "string" },
    },
  });
  const seed = Number(values.seed);
  const trials = Number(values.trials);
  if (values.chunk !== undefined) {
    process.send!(runChunk(JSON.parse(values.chunk), seed));
    return;
  }
  const kinds = Object.values(FaultKind).filter((kind) =>
    values.kind === undefined || kind === values.kind
  );
  const done = new Map<FaultKind, ChunkResult[]>(
    kinds.map((kind) => [kind, []]),
  );
  const pendingChunks = kinds.flatMap((kind) =>
    Array.from({ length: Math.ceil(trials / chunkSize) }, (_, index): Chunk => {
      const from = index * chunkSize;
      return { kind, from, to: Math.min(trials, from + chunkSize) };
    })
  );
  await Promise.all(Array.from({ length: maxProcesses }, async () => {
    for (
      let chunk = pendingChunks.shift();
      chunk;
      chunk = pendingChunks.shift()
    ) {
      done.get(chunk.kind)!.push(await runInChild(chunk, seed));
      if (pendingChunks.some(({ kind }) => kind === chunk!.kind)) continue;
      process.stderr.write(`${chunk.kind}: last trials done or running\n`);
    }
  }));
  const report = Object.fromEntries([...done].map(([kind, chunks]) => {
    const summary = {
      ...summarize(kind, chunks.flatMap((chunk) => chunk.results)),
      baseline: summarize(kind, chunks.flatMap((chunk) => chunk.baseline)),
    };
    process.stdout.write(`${kind} ${JSON.stringify(summary)}\n`);
    return [kind, summary];
  }));
  process.stdout.write(
    `${JSON.stringify({ seed, trials, targets, kinds: report })}\n`,
  );
}

function runInChild(chunk: Chunk, seed: number): Promise<ChunkResult> {
  return new Promise((resolve, reject) => {
    const child = fork(fileURLToPath(import.meta.url), [
      "--chunk",
      JSON.stringify(chunk),
      "--seed",
      String(seed),
    ]);
    child.on("message", (result) => resolve(result as ChunkResult));
    child.on("error", reject);
    child.on("exit", (code) => {
      if (code !== 0) reject(new Error(`chunk failed with exit code ${code}`));
    });
  });
}

/** The seed of a trial depends on its kind and index, not on the chunk. */
function runChunk({ kind, from, to }: Chunk, seed: number): ChunkResult {
  const random = createRandom(seed + Object.values(FaultKind).indexOf(kind));
  const results: TrialResult[] = [];
  const baseline: TrialResult[] = [];
  for (let index = 0; index < to; index++) {
    const options = { kind, seed: random.nextInt(2 ** 31) };
    if (index < from) continue;
    results.push(runTrial(options));
    baseline.push(runFixedRamp(options));
  }
  return { results, baseline };
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
  const delaysMs = faulty.flatMap((result) => result.detectionDelayMs ?? []);
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
    detectionDelayP50Ms: getPercentile(delaysMs, 0.5),
    detectionDelayP99Ms: getPercentile(delaysMs, 0.99),
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
