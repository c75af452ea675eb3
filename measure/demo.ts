/**
 * The demonstration: three failure domains, long generations and bookings, and
 * an engine that is killed in the middle of its answers.
 */
import process from "node:process";
import { startCluster } from "./launcher.ts";
import { type AnswerResult, createLoadClient } from "./load_client.ts";
import { getPercentile, getTotals, sum } from "./statistics.ts";

const answerCount = 24;
const bookingCount = 30;
const maxTokens = 400;
/** The engine is killed when this many tokens were received in all. */
const killAfterTokens = 2_000;

const cluster = await startCluster({
  domainIds: ["andina-a", "andina-b", "andina-c"],
  instancesPerDomain: 2,
  enginesPerDomain: 2,
  workersPerDomain: 1,
  seed: 1,
});
print(
  `${cluster.instances.length} instances, ${cluster.engines.length} ` +
    `engines and ${cluster.workers.length} workers started`,
);
await cluster.waitUntilReady();
print("all instances reach each other");

const client = createLoadClient(cluster);
const victim = cluster.engines[0]!;
let receivedTokens = 0;
let killedAtMs = 0;
let finishedAnswers = 0;
const progress = setInterval(() => {
  print(`${finishedAnswers}/${answerCount} answers, ${receivedTokens} tokens`);
}, 1_000);
const answersRun = Promise.all(
  Array.from({ length: answerCount }, async (): Promise<AnswerResult> => {
    const result = await client.generate({ maxTokens, onToken });
    finishedAnswers += 1;
    return result;
  }),
);
const bookings = await Promise.all(
  Array.from({ length: bookingCount }, async () => {
    const first = await client.book();
    return await client.book(first.idempotencyKey); // a resend after the answer
  }),
);
const answers = await answersRun;
clearInterval(progress);

const executions = (await Promise.all(
  cluster.workers.map((worker) =>
    fetch(`${worker.baseUrl}/executions`).then((response) => response.json())
  ),
)).flat() as string[];
const duplicateRuns = executions.length - new Set(executions).size;
const engineTotals = await getTotals(cluster);
const resumesMs = answers.map((answer) => answer.maxGapMs)
  .filter((gapMs) => gapMs > 100);
const whole = answers.filter((answer) => answer.isWhole).length;
const summary = {
  answers: answerCount,
  whole,
  missingTokens: sum(answers.map((answer) => answer.missingTokens)),
  repeatedTokens: sum(answers.map((answer) => answer.repeatedTokens)),
  mixedTokens: sum(answers.map((answer) => answer.mixedTokens)),
  bookings: bookings.filter((booking) => booking.status === 200).length,
  duplicateRuns,
  resumeP50Ms: Math.round(getPercentile(answers.map((a) => a.maxGapMs), 0.5)),
  resumeMaxMs: Math.round(getPercentile(answers.map((a) => a.maxGapMs), 1)),
  slowGaps: resumesMs.length,
  extraTokensRatio: engineTotals.extraTokensRatio,
};
await client.close();
await cluster.stop();
const isKept = whole === answerCount && duplicateRuns === 0 &&
  summary.repeatedTokens === 0 && summary.mixedTokens === 0 &&
  summary.bookings === bookingCount && killedAtMs > 0;
print(isKept ? "every promise was kept" : "A PROMISE WAS BROKEN");
process.stdout.write(`${JSON.stringify(summary)}\n`);
process.exit(isKept ? 0 : 1);

function onToken(): void {
  receivedTokens += 1;
  if (receivedTokens < killAfterTokens || killedAtMs > 0) return;
  killedAtMs = performance.now();
  victim.process.kill("SIGKILL");
  print(`engine ${victim.upstreamId} killed`);
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}
