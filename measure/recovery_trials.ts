/**
 * Measures recovery when engine processes are killed or paused (SIGSTOP) under
 * load: the time until output resumes and the tokens generated twice, at one
 * lost engine per 100 answers.
 */
import { startCluster, type UpstreamHandle } from "./launcher.ts";
import { createLoadClient } from "./load_client.ts";
import { getPercentile, getTokenTotals, sum } from "./statistics.ts";

/** `frozen` pauses the process with SIGSTOP and lets it continue later. */
export type EngineLoss = "none" | "killed" | "frozen";

export interface RecoveryFigures {
  readonly answers: number;
  readonly whole: number;
  readonly lostEngines: number;
  /**
   * Answers with a gap above `affectedGapMs`, which shows that they resumed.
   */
  readonly affectedAnswers: number;
  readonly resumeP50Ms: number;
  readonly resumeP99Ms: number;
  readonly maxGapMs: number;
  readonly extraTokensRatio: number;
  /** Already delivered tokens prefilled again, divided by useful tokens. */
  readonly refilledTokensRatio: number;
}

const answerCount = 200;
const concurrency = 40;
const maxTokens = 250;
const pauseMs = 4_000;
/** Longer than any gap in a run without losses on an idle machine. */
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
        const clientResults = [];
        while (started < answerCount) {
          started += 1;
          if (lossAtAnswers.includes(started)) {
            injectEngineLoss(cluster.engines[lostEngines++]!, loss);
          }
          clientResults.push(await client.generate({ maxTokens }));
        }
        return clientResults;
      }),
    )).flat();
    const totals = await getTokenTotals(cluster);
    await client.close();
    const gapsMs = results.map((result) => result.maxGapMs);
    const usefulTokens = sum(results.map((result) => result.tokens));
    const affectedGapsMs = gapsMs.filter((gapMs) => gapMs > affectedGapMs);
    return {
      answers: results.length,
      whole: results.filter((result) => result.isWhole).length,
      lostEngines,
      affectedAnswers: affectedGapsMs.length,
      resumeP50Ms: Math.round(getPercentile(affectedGapsMs, 0.5)),
      resumeP99Ms: Math.round(getPercentile(affectedGapsMs, 0.99)),
      maxGapMs: Math.round(getPercentile(gapsMs, 1)),
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

function injectEngineLoss({ process }: UpstreamHandle, loss: EngineLoss): void {
  if (loss === "killed") {
    process.kill("SIGKILL");
    return;
  }
  process.kill("SIGSTOP");
  setTimeout(() => process.kill("SIGCONT"), pauseMs);
}
