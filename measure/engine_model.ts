/**
 * Queueing model of an engine for trials in simulated time. Requests wait for a
 * slot in the batch by priority, prefills run one after the other, and a step
 * of the batch takes longer with every running request.
 */
import type { Random } from "../src/core/random.ts";
import { createPrefixCache, type PrefixCache } from "./prefix_cache.ts";
import type { SimulatedTime } from "./simulated_time.ts";

export interface ModelRequest {
  readonly prompt: string;
  readonly outputTokens: number;
  readonly priority: number;
  onFirstToken(): void;
  onEnded(): void;
}

export interface EngineModel {
  readonly cache: PrefixCache;
  start(request: ModelRequest): void;
  /** Number of running and waiting requests at this time. */
  getOpenCount(): number;
  /** The last published load report, up to `reportLagMs` old. */
  getReport(): { readonly running: number; readonly waiting: number };
  getPrefilledTokens(): number;
}

export interface EngineModelOptions {
  readonly time: SimulatedTime;
  readonly random: Random;
  readonly reportLagMs: number;
}

const maxBatch = 32;
const stepMs = 8;
const stepPerRequestMs = 0.2;
const prefillTokensPerMs = 20;
const cacheBlocks = 2_000;

export function createEngineModel(options: EngineModelOptions): EngineModel {
  const { time, random, reportLagMs } = options;
  const { clock } = time;
  const cache = createPrefixCache(cacheBlocks, random, clock.nowMs);
  const waiting: ModelRequest[] = [];
  let runningCount = 0;
  let isPrefilling = false;
  let prefilledTokens = 0;
  let report = { running: 0, waiting: 0 };
  time.scheduleEvery(reportLagMs, random.next() * reportLagMs, () => {
    report = { running: runningCount, waiting: waiting.length };
  });
  return {
    cache,
    start,
    getOpenCount: () => runningCount + waiting.length,
    getReport: () => report,
    getPrefilledTokens: () => prefilledTokens,
  };

  function start(request: ModelRequest): void {
    const index = waiting.findIndex((other) =>
      other.priority < request.priority
    );
    waiting.splice(index < 0 ? waiting.length : index, 0, request);
    startNextRequest();
  }

  function startNextRequest(): void {
    if (isPrefilling || runningCount >= maxBatch) return;
    const request = waiting.shift();
    if (!request) return;
    isPrefilling = true;
    runningCount += 1;
    const promptTokens = Math.ceil(request.prompt.length / 4);
    const tokens = Math.max(0, promptTokens - cache.touch(request.prompt));
    prefilledTokens += tokens;
    time.scheduleAt(clock.nowMs() + tokens / prefillTokensPerMs, () => {
      isPrefilling = false;
      generateTokens(request);
      startNextRequest();
    });
  }

  function generateTokens(request: ModelRequest): void {
    const tokenMs = stepMs + stepPerRequestMs * runningCount;
    const startedAtMs = clock.nowMs();
    time.scheduleAt(startedAtMs + tokenMs, request.onFirstToken);
    time.scheduleAt(startedAtMs + tokenMs * request.outputTokens, () => {
      runningCount -= 1;
      request.onEnded();
      startNextRequest();
    });
  }
}
