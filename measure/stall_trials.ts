/**
 * Measures false alarms and detection times of the stall detector on a
 * simulated engine. The engine's step time depends on the load, has occasional
 * pauses and rises steeply under overload. The baseline (`firstVersion`)
 * is a detector that ignores the load.
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
  /** Already delivered tokens prefilled again per false alarm. */
  readonly refilledTokensPerAlarm: number;
  /** Tokens prefilled again because of false alarms, divided by all tokens. */
  readonly refilledRatio: number;
  /** Time from a stall to the suspicion, at many loads and times. */
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
/** Share of the engine's load from this instance, one of six. */
const ownLoadRatio = 1 / 6;
const reportIntervalMs = 500;
const tickMs = 25;

export function measureStalls(seed: number): Record<string, StallFigures> {
  return {
    loadAware: run(seed, (clock) => createStallDetector({ clock })),
    firstVersion: run(seed, createLoadUnawareDetector),
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
    if (step % 100 === 0) load = getNextLoad(load);
    if (nowMs - reportedAtMs >= reportIntervalMs) {
      reportedLoad = load;
      reportedAtMs = nowMs;
    }
    const ownStreams = Math.max(1, Math.round(load * ownLoadRatio));
    const gapMs = getStepMs(load);
    const limitMs = getSilenceLimitMs(gapMs);
    if (limitMs < gapMs && step > 1_000) {
      for (let stream = 0; stream < ownStreams; stream++) {
        refilledTokens.push(random.nextInt(answerTokens));
      }
    }
    if (step % 1_000 === 999) {
      // If the engine stalled here, the stream would be suspected after this
      // silence, at the next tick.
      const silenceMs = getSilenceLimitMs(Infinity);
      detectionMs.push(Math.ceil(silenceMs / tickMs) * tickMs);
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

  /**
   * The silence at which a tick suspects the stream, or infinity if it is not
   * below `untilMs`.
   */
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

  /** A random walk of the load, with jumps into overload and back. */
  function getNextLoad(previous: number): number {
    if (random.next() < 0.02) return 1 + random.nextInt(maxBatch + 8);
    const next = previous + random.nextInt(5) - 2;
    return Math.min(maxBatch + 8, Math.max(1, next));
  }

  function getStepMs(currentLoad: number): number {
    const baseMs = 8 + 0.2 * Math.min(maxBatch, currentLoad);
    // Above its maximum batch size the engine swaps requests in and out.
    const overloadMs = Math.max(0, currentLoad - maxBatch) * 45;
    const jitter = 0.8 + 0.4 * random.next() + (random.next() < 0.01 ? 1 : 0);
    const pauseMs = random.next() < 0.000_2 ? 50 + random.next() * 400 : 0;
    return (baseMs + overloadMs) * jitter + pauseMs;
  }
}

/**
 * Takes the silence limit from the mean and the deviation of the gaps,
 * whatever the load, within 300 to 1,200 ms.
 */
function createLoadUnawareDetector(): Detector {
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
