/**
 * Models the engines of a rollout: they load the candidate one at a time, crash
 * at random and count their requests in flight.
 */
import type { Random } from "../src/core/random.ts";
import type { ServiceModel } from "./rollout_model.ts";

export interface ModelEngine {
  readonly index: number;
  inFlightCount: number;
  crashCount: number;
  /** The engine loads or restarts until this time and serves no requests. */
  readyAtMs: number;
  isCandidate: boolean;
}

const restartMs = 30_000;

export function createEngineFleet(model: ServiceModel, random: Random) {
  const engines = Array.from({ length: model.engineCount }, (_, index) => ({
    index,
    inFlightCount: 0,
    crashCount: 0,
    readyAtMs: 0,
    isCandidate: false,
  } as ModelEngine));
  let stableCrashCount = 0;
  let candidateCrashCount = 0;
  let nowMs = 0;
  return {
    advance,
    chooseEngine,
    setCandidateEngines,
    getCounts,
    collectCrashes,
  };

  function advance(atMs: number, tickMs: number): void {
    nowMs = atMs;
    const crashChance = model.engineCount * tickMs / model.meanCrashIntervalMs;
    if (random.next() >= crashChance) return;
    const engine = engines[random.nextInt(engines.length)]!;
    if (!isReady(engine)) return;
    engine.crashCount += 1;
    engine.inFlightCount = 0;
    engine.readyAtMs = nowMs + restartMs;
    if (engine.isCandidate) candidateCrashCount += 1;
    else stableCrashCount += 1;
  }

  function chooseEngine(isCandidate: boolean): ModelEngine | undefined {
    const usable = engines.filter((engine) =>
      engine.isCandidate === isCandidate && isReady(engine)
    );
    if (usable.length === 0) return undefined;
    const first = usable[random.nextInt(usable.length)]!;
    const second = usable[random.nextInt(usable.length)]!;
    return second.inFlightCount < first.inFlightCount ? second : first;
  }

  function setCandidateEngines(
    count: number,
    { nowMs, loadMs }: { nowMs: number; loadMs: number },
  ): void {
    const candidates = engines.filter((engine) => engine.isCandidate);
    if (count === 0) {
      for (const engine of candidates) engine.isCandidate = false;
      return;
    }
    const isLoading = candidates.some((engine) => !isReady(engine));
    if (count <= candidates.length || isLoading) return;
    const stable = engines.filter((engine) =>
      !engine.isCandidate && isReady(engine)
    );
    const engine = stable[random.nextInt(stable.length)];
    if (!engine) return;
    engine.isCandidate = true;
    engine.readyAtMs = nowMs + loadMs;
  }

  function getCounts() {
    const ready = engines.filter(isReady);
    const candidateEngineCount =
      ready.filter((engine) => engine.isCandidate).length;
    return {
      candidateEngineCount,
      stableEngineCount: ready.length - candidateEngineCount,
    };
  }

  function collectCrashes() {
    const counts = { stableCrashCount, candidateCrashCount };
    stableCrashCount = 0;
    candidateCrashCount = 0;
    return counts;
  }

  function isReady(engine: ModelEngine): boolean {
    return engine.readyAtMs <= nowMs;
  }
}
