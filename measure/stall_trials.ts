/**
 * False alarms and detection times of the stall detector on an engine whose
 * steps depend on load, pause at times and become slow under overload. The
 * baseline is the first version of the detector, which did not know the load.
 */
import type { Clock } from "../src/core/clock.ts";
import { createRandom } from "../src/core/random.ts";
import {
  createStallDetector,
  type StallDetector,
} from "../src/routing/stall_detector.ts";
import { getPercentile, sum } from "./statistics.ts";

export interface StallFigures {
  readonly answers: number;
  readonly falseAlarms: number;
  readonly falseAlarmsPer1000Answers: number;
  /** Journal tokens prefilled again for one false alarm. */
  readonly refilledTokensPerAlarm: number;
  /** Prefilled again for false alarms, in relation to all tokens. */
  readonly refilledRatio: number;
  /** Time from a freeze to the suspicion, over loads and moments. */
  readonly detectionP50Ms: number;
  readonly detectionP99Ms: number;
}

type Detector = Pick<
  StallDetector,
  "recordGap" | "getGapLimitMs" | "getEngineSilenceMs"
>;

const steps = 400_000;
const answerTokens = 300;
const maxBatch = 32;
/** Share of the load that this instance sends, one of six. */
const ownRatio = 1 / 6;
const reportIntervalMs = 500;
const tickMs = 25;

export function measureStalls(seed: number): Record<string, StallFigures> {
  return {
    loadAware: run(seed, (clock) => createStallDetector({ clock })),
    firstVersion: run(seed, createFirstVersion),
  };
}

function run(
  seed: number,
  createDetector: (clock: Clock) => Detector,
): StallFigures {
  const random = createRandom(seed);
  let nowMs = 0;
  const clock: Clock = {
    nowMs: () => nowMs,
    wallMs: () => nowMs,
    sleep: () => Promise.resolve(),
  };
  const detector = createDetector(clock);
  const engineId = "engine";
  const detectionMs: number[] = [];
  const refilledTokens: number[] = [];
  let load = 8;
  let reportedLoad = load;
  let reportedAtMs = 0;
  let tokens = 0;
  for (let step = 0; step < steps; step++) {
    if (step % 100 === 0) load = changeLoad(load);
    if (nowMs - reportedAtMs >= reportIntervalMs) {
      reportedLoad = load;
      reportedAtMs = nowMs;
    }
    const ownStreams = Math.max(1, Math.round(load * ownRatio));
    const gapMs = getStepMs(load);
    const limitMs = getSilenceLimitMs(gapMs);
    if (limitMs < gapMs && step > 1_000) {
      for (let stream = 0; stream < ownStreams; stream++) {
        refilledTokens.push(random.nextInt(answerTokens));
      }
    }
    if (step % 1_000 === 999) {
      // A freeze here: the silence at which it is suspected, at the next tick.
      const frozenMs = getSilenceLimitMs(Infinity);
      detectionMs.push(Math.ceil(frozenMs / tickMs) * tickMs);
    }
    nowMs += gapMs;
    for (let stream = 0; stream < ownStreams; stream++) {
      detector.recordGap(engineId, { gapMs, load: reportedLoad });
    }
    tokens += ownStreams;
  }
  const answers = tokens / answerTokens;
  return {
    answers: Math.round(answers),
    falseAlarms: refilledTokens.length,
    falseAlarmsPer1000Answers: round(refilledTokens.length / answers * 1_000),
    refilledTokensPerAlarm: Math.round(
      sum(refilledTokens) / Math.max(1, refilledTokens.length),
    ),
    refilledRatio: round(sum(refilledTokens) / tokens),
    detectionP50Ms: Math.round(getPercentile(detectionMs, 0.5)),
    detectionP99Ms: Math.round(getPercentile(detectionMs, 0.99)),
  };

  /** The silence at which the tick suspects the stream, at most `untilMs`. */
  function getSilenceLimitMs(untilMs: number): number {
    const startMs = nowMs;
    let silenceMs = 0;
    while (silenceMs < untilMs) {
      silenceMs += tickMs;
      nowMs = startMs + silenceMs;
      if (silenceMs > detector.getGapLimitMs(engineId, reportedLoad)) break;
    }
    nowMs = startMs;
    return silenceMs < untilMs ? silenceMs : Infinity;
  }

  /** A random walk, with jumps into overload and back. */
  function changeLoad(previous: number): number {
    if (random.next() < 0.02) return 1 + random.nextInt(maxBatch + 8);
    const next = previous + random.nextInt(5) - 2;
    return Math.min(maxBatch + 8, Math.max(1, next));
  }

  function getStepMs(currentLoad: number): number {
    const baseMs = 8 + 0.2 * Math.min(maxBatch, currentLoad);
    // Above its batch the engine swaps requests in and out.
    const overloadMs = Math.max(0, currentLoad - maxBatch) * 45;
    const jitter = 0.8 + 0.4 * random.next() + (random.next() < 0.01 ? 1 : 0);
    const pauseMs = random.next() < 0.000_2 ? 50 + random.next() * 400 : 0;
    return (baseMs + overloadMs) * jitter + pauseMs;
  }
}

/** Mean and deviation without load, limits from 300 to 1,200 ms. */
function createFirstVersion(): Detector {
  let meanMs = 40;
  let deviationMs = 40;
  return {
    recordGap: (_, { gapMs }) => {
      const errorMs = gapMs - meanMs;
      meanMs += 0.05 * errorMs;
      deviationMs += 0.05 * (Math.abs(errorMs) - deviationMs);
    },
    getGapLimitMs: () =>
      Math.min(1_200, Math.max(300, meanMs + 8 * deviationMs)),
    getEngineSilenceMs: () => 0,
  };
}

function round(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
