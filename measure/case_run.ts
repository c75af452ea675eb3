/**
 * Runs one failure case on a new set of processes, and computes its figures and
 * whether each promise was kept.
 */
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { createRandom, type Random } from "../src/core/random.ts";
import { type Cluster, modelService, startCluster } from "./launcher.ts";
import {
  type AnswerResult,
  type BaselineVariant,
  type CallResult,
  createLoadClient,
  type LoadClient,
} from "./load_client.ts";
import { submitTicket } from "./ticket_client.ts";
import { getPercentile, getTokenTotals, readJson, sum } from "./statistics.ts";

export interface CaseSpec {
  readonly answers: number;
  readonly maxTokens: number;
  /** Number of answers that are generated at the same time. */
  readonly concurrency: number;
  /** Number of keys that are booked while the answers are generated. */
  readonly bookings?: number;
  readonly enginesPerDomain?: number;
  /** Weight of the traffic per version; all to the stable one by default. */
  readonly versionWeights?: Readonly<Record<string, number>>;
  readonly hasRelays?: boolean;
  readonly baseline: BaselineVariant;
  readonly maxResumeP99Ms: number;
  readonly maxExtraTokensRatio?: number;
  /** Whether answers may be reset, as the design allows after a partition. */
  readonly allowsResets?: boolean;
  /** Injects the faults and returns the results of its own checks. */
  run(context: CaseContext): Promise<Record<string, boolean> | void>;
}

export interface CaseContext {
  readonly cluster: Cluster;
  readonly client: LoadClient;
  readonly random: Random;
  readonly answerIds: readonly string[];
  readonly calls: readonly CallResult[];
  sleep(delayMs: number): Promise<void>;
  /** Records the time of a fault; resume times are measured from it. */
  recordFault(): void;
  getOpenAnswerCount(): number;
}

const domainIds = ["andina-a", "andina-b", "andina-c"];
const bookingIntervalMs = 60;
const maxResumeMs = 5_000;

export interface RunOptions {
  readonly seed: number;
  readonly baseline?: BaselineVariant;
  onProgress?(finishedAnswers: number): void;
}

export async function runCase(spec: CaseSpec, options: RunOptions) {
  const cluster = await startCluster({
    domainIds,
    instancesPerDomain: 2,
    enginesPerDomain: spec.enginesPerDomain ?? 2,
    workersPerDomain: 1,
    hasRelays: spec.hasRelays === true,
    seed: options.seed,
    ...(spec.versionWeights
      ? { versions: Object.keys(spec.versionWeights) }
      : {}),
  });
  try {
    await cluster.waitUntilReady();
    if (spec.versionWeights) {
      const weights = spec.versionWeights;
      await submitTicket(cluster, {
        number: 1,
        versions: { [modelService]: { kind: "weighted", weights } },
      });
    }
    return await measureCase(spec, cluster, options);
  } finally {
    await cluster.stop();
  }
}

async function measureCase(
  spec: CaseSpec,
  cluster: Cluster,
  { seed, baseline, onProgress }: RunOptions,
) {
  const client = createLoadClient(cluster, baseline);
  const answerIds: string[] = [];
  const calls: CallResult[] = [];
  const faultsAtMs: number[] = [];
  let openCount = 0;
  const answersFinished = runAnswers();
  const bookingsFinished = runBookings();
  const checks = await spec.run({
    cluster,
    client,
    random: createRandom(seed),
    answerIds,
    calls,
    sleep,
    recordFault: () => faultsAtMs.push(performance.now()),
    getOpenAnswerCount: () => openCount,
  });
  const answers = await answersFinished;
  await bookingsFinished;
  const figures = {
    ...getAnswerFigures(answers, faultsAtMs),
    ...await getCallFigures(cluster, calls),
    ...await getTokenFigures(cluster, answers),
    logEvents: countLogEvents(cluster),
  };
  await client.close();
  const promises = {
    allWhole: figures.whole === figures.answers,
    noMissingTokens: figures.missingTokens === 0,
    noRepeatedTokens: figures.repeatedTokens === 0,
    noMixedTokens: figures.mixedTokens === 0,
    noDuplicateRuns: figures.duplicateRuns === 0,
    noFalseRejections: figures.falseRejections === 0,
    resumeP99: figures.resumeP99Ms < spec.maxResumeP99Ms,
    resumeMax: figures.resumeMaxMs < maxResumeMs,
    ...(spec.allowsResets ? {} : { noResets: figures.resets === 0 }),
    ...(spec.maxExtraTokensRatio === undefined ? {} : {
      extraTokens: figures.extraTokensRatio < spec.maxExtraTokensRatio,
    }),
    ...checks,
  };
  return { promises, figures };

  async function runAnswers(): Promise<AnswerResult[]> {
    const results: AnswerResult[] = [];
    let started = 0;
    await Promise.all(Array.from({ length: spec.concurrency }, async () => {
      while (started < spec.answers) {
        const isReadThroughOthers = started++ % 2 === 1;
        openCount += 1;
        results.push(
          await client.generate({
            maxTokens: spec.maxTokens,
            isReadThroughOthers,
            onOpened: (answerId) => answerIds.push(answerId),
          }),
        );
        openCount -= 1;
        onProgress?.(results.length);
      }
    }));
    return results;
  }

  /** Books each key twice concurrently, and once more afterwards. */
  async function runBookings(): Promise<void> {
    await Promise.all(
      Array.from({ length: spec.bookings ?? 0 }, async (_, index) => {
        await sleep(index * bookingIntervalMs);
        const key = `key-${seed}-${index}`;
        const first = [client.book(key), client.book(key)];
        calls.push(...await Promise.all(first), await client.book(key));
      }),
    );
  }
}

function getAnswerFigures(
  answers: readonly AnswerResult[],
  faultsAtMs: readonly number[],
) {
  const resumesMs = faultsAtMs.flatMap((atMs) =>
    answers
      .filter((answer) =>
        answer.startedAtMs + answer.firstTokenMs < atMs &&
        answer.finishedAtMs > atMs
      )
      .map((answer) =>
        Math.max(
          0,
          ...answer.gaps.filter((gap) => gap.endedAtMs > atMs)
            .map((gap) => gap.gapMs),
        )
      )
  );
  const failures = answers.filter((answer) => !answer.isWhole)
    .map((answer) => answer.failure.slice(0, 200));
  const total = (
    field: "missingTokens" | "repeatedTokens" | "mixedTokens" | "resets",
  ) => sum(answers.map((answer) => answer[field]));
  return {
    answers: answers.length,
    whole: answers.length - failures.length,
    missingTokens: total("missingTokens"),
    repeatedTokens: total("repeatedTokens"),
    mixedTokens: total("mixedTokens"),
    resets: total("resets"),
    resumes: resumesMs.length,
    resumeP50Ms: Math.round(getPercentile(resumesMs, 0.5)),
    resumeP99Ms: Math.round(getPercentile(resumesMs, 0.99)),
    resumeMaxMs: Math.round(getPercentile(resumesMs, 1)),
    ...(failures.length > 0 ? { failures: failures.slice(0, 3) } : {}),
  };
}

async function getCallFigures(cluster: Cluster, calls: readonly CallResult[]) {
  const executions = (await Promise.all(
    cluster.workers.map((worker) =>
      readJson<string[]>(`${worker.baseUrl}/executions`, [])
    ),
  )).flat();
  const keys = new Set(calls.map((call) => call.idempotencyKey));
  const falseRejections = [...keys].filter((key) =>
    executions.includes(key) &&
    calls.every((call) =>
      call.idempotencyKey !== key || call.execution === "notRun"
    )
  );
  return {
    bookings: calls.length,
    bookingsAnswered: calls.filter((call) => call.status === 200).length,
    bookingsUnknown:
      calls.filter((call) => call.errorType === "outcomeUnknown").length,
    duplicateRuns: executions.length - new Set(executions).size,
    falseRejections: falseRejections.length,
  };
}

/**
 * Extra tokens are all tokens beyond the useful ones that engines generated, or
 * prefilled again for a resume.
 */
async function getTokenFigures(
  cluster: Cluster,
  answers: readonly AnswerResult[],
) {
  const usefulTokens = sum(answers.map((answer) => answer.tokens));
  const engineTotals = await Promise.all(
    cluster.engines.map((engine) =>
      readJson(`${engine.baseUrl}/totals`, { generatedTokens: 0 })
    ),
  );
  const generated = sum(engineTotals.map((entry) => entry.generatedTokens)) +
    sum([...cluster.generatedTokensByKilledEngine.values()]);
  const { droppedTokens, refilledTokens } = await getTokenTotals(cluster);
  const duplicatedTokens = Math.max(0, generated - usefulTokens);
  const extraTokens = Math.max(duplicatedTokens, droppedTokens) +
    refilledTokens;
  return {
    usefulTokens,
    duplicatedTokens: Math.max(0, duplicatedTokens - droppedTokens),
    discardedTokens: droppedTokens,
    prefilledAgainTokens: refilledTokens,
    extraTokensRatio: Number((extraTokens / usefulTokens).toFixed(4)),
  };
}

/** Counts the log lines per event number, at level info and above. */
function countLogEvents(cluster: Cluster): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { instanceId } of cluster.instances) {
    const text = readFileSync(
      join(cluster.folder, `${instanceId}.log`),
      "utf8",
    );
    for (const [, event] of text.matchAll(/"event":(\d{4})/g)) {
      counts[event!] = (counts[event!] ?? 0) + 1;
    }
  }
  return counts;
}

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
