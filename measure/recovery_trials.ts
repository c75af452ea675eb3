/**
 * Engines as processes are killed or frozen under load: time until output
 * resumes and the tokens generated twice, at one lost engine per 100 answers.
 */
import { startCluster, type UpstreamHandle } from "./launcher.ts";
import { createLoadClient } from "./load_client.ts";
import { getPercentile, getTotals, sum } from "./statistics.ts";

export type EngineLoss = "none" | "killed" | "frozen";

export interface RecoveryFigures {
  readonly answers: number;
  readonly whole: number;
  readonly lostEngines: number;
  /** Answers whose largest gap shows that they had to resume. */
  readonly affectedAnswers: number;
  readonly resumeP50Ms: number;
  readonly resumeP99Ms: number;
  readonly maxGapMs: number;
  readonly extraTokensRatio: number;
  /** Journal tokens prefilled again, in relation to useful tokens. */
  readonly refilledTokensRatio: number;
}

const answerCount = 200;
const concurrency = 40;
const maxTokens = 250;
const frozenMs = 4_000;
/** Longer than any gap of a run without losses on an idle machine. */
const affectedGapMs = 150;

export async function measureRecovery(
  seed: number,
  loss: EngineLoss,
): Promise<RecoveryFigures> {
  const cluster = await startCluster({
    domainIds: ["andina-a", "andina-b", "andina-c"],
    instancesPerDomain: 2,
    enginesPerDomain: 3,
    workersPerDomain: 0,
    seed,
  });
  try {
    await cluster.waitUntilReady();
    const client = createLoadClient(cluster);
    const lossAtAnswers = loss === "none"
      ? []
      : [answerCount / 4, (answerCount * 5) / 8];
    let started = 0;
    let lostEngines = 0;
    const results = (await Promise.all(
      Array.from({ length: concurrency }, async () => {
        const own = [];
        while (started < answerCount) {
          started += 1;
          if (lossAtAnswers.includes(started)) {
            loseEngine(cluster.engines[lostEngines++]!, loss);
          }
          own.push(await client.generate({ maxTokens }));
        }
        return own;
      }),
    )).flat();
    const totals = await getTotals(cluster);
    await client.close();
    const gaps = results.map((result) => result.maxGapMs);
    const usefulTokens = sum(results.map((result) => result.tokens));
    const affected = gaps.filter((gapMs) => gapMs > affectedGapMs);
    return {
      answers: results.length,
      whole: results.filter((result) => result.isWhole).length,
      lostEngines,
      affectedAnswers: affected.length,
      resumeP50Ms: Math.round(getPercentile(affected, 0.5)),
      resumeP99Ms: Math.round(getPercentile(affected, 0.99)),
      maxGapMs: Math.round(getPercentile(gaps, 1)),
      extraTokensRatio: round(totals.droppedTokens / usefulTokens),
      refilledTokensRatio: round(totals.refilledTokens / usefulTokens),
    };
  } finally {
    await cluster.stop();
  }
}

function round(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}

function loseEngine({ process }: UpstreamHandle, loss: EngineLoss): void {
  if (loss === "killed") {
    process.kill("SIGKILL");
    return;
  }
  process.kill("SIGSTOP");
  setTimeout(() => process.kill("SIGCONT"), frozenMs);
}
