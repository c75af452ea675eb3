/**
 * Compares the production router with random choice, least reported load and
 * rendezvous hashing on the same arrivals.
 */
import { createRandom } from "../src/core/random.ts";
import { getPercentile, sum } from "./statistics.ts";
import {
  createPromptSource,
  createTrafficModel,
  type RouterKind,
} from "./traffic_model.ts";

export interface RouterFigures {
  readonly requests: number;
  readonly firstTokenP50Ms: number;
  readonly firstTokenP95Ms: number;
  readonly prefilledTokens: number;
  /** Mean over time of the load's standard deviation divided by its mean. */
  readonly loadSpread: number;
  /**
   * Mean over time of the highest load of an engine divided by the mean load.
   */
  readonly peakLoadRatio: number;
}

export interface ComparisonOptions {
  readonly seed: number;
  readonly reportLagMs: number;
  readonly requestsPerS: number;
  readonly durationMs: number;
}

const instanceCount = 6;
const engineCount = 17;
const prefixCount = 400;
/** Requests before this time warm the caches and are not counted. */
const warmUpMs = 10_000;
const sampleIntervalMs = 100;

export async function measureRouter(
  router: RouterKind,
  options: ComparisonOptions,
): Promise<RouterFigures> {
  const model = createTrafficModel({
    seed: options.seed,
    router,
    instanceCount,
    engineCount,
    reportLagMs: options.reportLagMs,
    weights: {},
    maxTokensPerS: 6_000,
    isUnlimited: true,
  });
  const { time, instances, engines } = model;
  const { clock } = time;
  // A separate random generator keeps the arrivals equal for all routers.
  const random = createRandom(options.seed + 1);
  const prompts = createPromptSource(random, prefixCount);
  const firstTokensMs: number[] = [];
  const loadSpreads: number[] = [];
  const peakLoadRatios: number[] = [];
  let warmUpPrefilledTokens = 0;
  time.scheduleAt(warmUpMs, () => {
    warmUpPrefilledTokens = getPrefilledTokens();
  });
  time.scheduleEvery(sampleIntervalMs, warmUpMs, sampleLoad);
  scheduleArrival(0);
  await time.run(options.durationMs);
  return {
    requests: firstTokensMs.length,
    firstTokenP50Ms: Math.round(getPercentile(firstTokensMs, 0.5)),
    firstTokenP95Ms: Math.round(getPercentile(firstTokensMs, 0.95)),
    prefilledTokens: getPrefilledTokens() - warmUpPrefilledTokens,
    loadSpread: round(sum(loadSpreads) / loadSpreads.length),
    peakLoadRatio: round(sum(peakLoadRatios) / peakLoadRatios.length),
  };

  function scheduleArrival(atMs: number): void {
    time.scheduleAt(atMs, () => {
      const instance = instances[random.nextInt(instances.length)]!;
      const prompt = prompts.next();
      const outputTokens = 20 + random.nextInt(360);
      const nextMs = atMs -
        Math.log(1 - random.next()) * 1_000 / options.requestsPerS;
      scheduleArrival(nextMs);
      const assignment = instance.chooseEngine(prompt);
      assignment.engine.start({
        prompt,
        outputTokens,
        priority: 5,
        onFirstToken: () => {
          assignment.onFirstToken();
          if (atMs >= warmUpMs) firstTokensMs.push(clock.nowMs() - atMs);
        },
        onEnded: assignment.onEnded,
      });
    });
  }

  function getPrefilledTokens(): number {
    return sum(engines.map((engine) => engine.getPrefilledTokens()));
  }

  function sampleLoad(): void {
    const loads = engines.map((engine) => engine.getOpenCount());
    const mean = sum(loads) / loads.length;
    if (mean === 0) return;
    const variance = sum(loads.map((load) => (load - mean) ** 2)) /
      loads.length;
    loadSpreads.push(Math.sqrt(variance) / mean);
    peakLoadRatios.push(Math.max(...loads) / mean);
  }
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
