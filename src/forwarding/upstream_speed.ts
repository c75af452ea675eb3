/**
 * Learns how fast the upstreams of a service are, from the responses that this
 * and other instances got. Every upstream has a memory of sums that decay; its
 * speed is the ratio of its sums, drawn towards the mean of the service while
 * samples are few. Pure apart from the memory.
 *
 * Instances exchange the sums of their samples of the last seconds. Whole
 * numbers keep the sums exact when control adds and subtracts them.
 */
import type { LearnedSpeed } from "./upstream_types.ts";

/** Sums of samples; times of calls in tenths of a millisecond. */
export interface SpeedSums {
  readonly callCount: number;
  readonly callTenthMs: number;
  readonly promptCount: number;
  readonly promptTokens: number;
  readonly promptMs: number;
}

type MutableSums = { -readonly [K in keyof SpeedSums]: SpeedSums[K] };

export interface SpeedMemory {
  recordCall(durationMs: number, nowMs: number): void;
  /** `tokens` were expected to be read before the first event. */
  recordPrefill(tokens: number, durationMs: number, nowMs: number): void;
  recordSlowness(slowness: number): void;
  /**
   * Adds the recent samples of other instances, which each of them states for
   * as long as they are recent. `elapsedMs` is the time since they were last
   * added.
   */
  addRecentOfOthers(sums: SpeedSums, elapsedMs: number, nowMs: number): void;
  /** Sums of this instance's recent samples; undefined if there are none. */
  getRecentSums(nowMs: number): SpeedSums | undefined;
  /** Sums of all remembered samples. */
  getSums(nowMs: number): SpeedSums;
  getMeanSlowness(): number | undefined;
}

/** A response of a call, as far as it shows the speed of its upstream. */
export interface CallSample {
  readonly durationMs: number;
  /** Requests that waited at the upstream when it responded. */
  readonly waitingCount: number;
  readonly slots: number;
}

/** Samples are shared for 8 to 10 s, depending on when in a bucket they fall. */
const bucketMs = 2_000;
const bucketCount = 5;
const meanSharedMs = (bucketCount - 0.5) * bucketMs;
/** An upstream that gets few requests is remembered for about a minute. */
const halfLifeMs = 30_000;
/**
 * With more samples, older ones count less, so that the speed of an upstream
 * with many requests follows a change within some seconds.
 */
const maxCallCount = 500;
const maxPromptCount = 100;
/** Weight of the service's mean, in samples. */
const priorCount = 4;
/** A sample above this time says more about a failure than about speed. */
const maxCallMs = 60_000;
const maxPrefillMs = 120_000;
/** The time to the first event of a shorter prompt depends on the network. */
const minPrefillTokens = 1_000;
/** The observed factors are 0.7 to 1.7; one far outside is an error. */
const factorRange = { min: 0.25, max: 6 };
const slownessRange = { min: 0.25, max: 8 };
/** The mean of the stated slowness covers about this many responses. */
const maxSlownessCount = 40;

/**
 * The time that the call would have taken without the queue of the upstream. A
 * queue passes as many requests while a request waits as are behind it when it
 * leaves, if it neither grows nor shrinks.
 */
export function getUnqueuedMs(
  { durationMs, waitingCount, slots }: CallSample,
): number {
  return durationMs / (1 + waitingCount / Math.max(1, slots));
}

export function createSpeedMemory(): SpeedMemory {
  const remembered = createSums();
  let rememberedAtMs = 0;
  const buckets = Array.from({ length: bucketCount }, () => ({
    number: -Infinity,
    sums: createSums(),
  }));
  let slownessCount = 0;
  let meanSlowness = 0;
  return {
    recordCall: (durationMs, nowMs) => {
      if (!(durationMs >= 0)) return;
      const tenthMs = Math.round(Math.min(durationMs, maxCallMs) * 10);
      record({ ...zeroSums, callCount: 1, callTenthMs: tenthMs }, nowMs);
    },
    recordPrefill: (tokens, durationMs, nowMs) => {
      if (!(tokens >= minPrefillTokens) || !(durationMs > 0)) return;
      record({
        ...zeroSums,
        promptCount: 1,
        promptTokens: Math.round(tokens),
        promptMs: Math.round(Math.min(durationMs, maxPrefillMs)),
      }, nowMs);
    },
    recordSlowness: (slowness) => {
      const { min, max } = slownessRange;
      slownessCount = Math.min(maxSlownessCount, slownessCount + 1);
      const credible = Math.min(max, Math.max(min, slowness));
      meanSlowness += (credible - meanSlowness) / slownessCount;
    },
    addRecentOfOthers: (sums, elapsedMs, nowMs) => {
      decay(nowMs);
      addSums(remembered, sums, Math.min(1, elapsedMs / meanSharedMs));
      limit();
    },
    getRecentSums,
    getSums: (nowMs) => {
      decay(nowMs);
      return remembered;
    },
    getMeanSlowness: () => slownessCount > 0 ? meanSlowness : undefined,
  };

  function record(sums: SpeedSums, nowMs: number): void {
    const number = Math.floor(nowMs / bucketMs);
    const bucket = buckets[number % bucketCount]!;
    if (bucket.number !== number) {
      bucket.number = number;
      bucket.sums = createSums();
    }
    addSums(bucket.sums, sums, 1);
    decay(nowMs);
    addSums(remembered, sums, 1);
    limit();
  }

  function getRecentSums(nowMs: number): SpeedSums | undefined {
    const oldest = Math.floor(nowMs / bucketMs) - bucketCount + 1;
    const recent = createSums();
    for (const { number, sums } of buckets) {
      if (number >= oldest) addSums(recent, sums, 1);
    }
    return recent.callCount + recent.promptCount > 0 ? recent : undefined;
  }

  function decay(nowMs: number): void {
    const elapsedMs = nowMs - rememberedAtMs;
    if (elapsedMs <= 0) return;
    const ratio = 0.5 ** (elapsedMs / halfLifeMs);
    scaleCalls(ratio);
    scalePrompts(ratio);
    rememberedAtMs = nowMs;
  }

  function limit(): void {
    const { callCount, promptCount } = remembered;
    if (callCount > maxCallCount) scaleCalls(maxCallCount / callCount);
    if (promptCount > maxPromptCount) {
      scalePrompts(maxPromptCount / promptCount);
    }
  }

  function scaleCalls(ratio: number): void {
    remembered.callCount *= ratio;
    remembered.callTenthMs *= ratio;
  }

  function scalePrompts(ratio: number): void {
    remembered.promptCount *= ratio;
    remembered.promptTokens *= ratio;
    remembered.promptMs *= ratio;
  }
}

/** Returns the speeds of the upstreams of one service, in the same order. */
export function estimateSpeeds(
  memories: readonly SpeedMemory[],
  nowMs: number,
): LearnedSpeed[] {
  const sums = memories.map((memory) => memory.getSums(nowMs));
  const calls = sums.map(({ callCount, callTenthMs }) => ({
    count: callCount,
    units: callCount,
    ms: callTenthMs / 10,
  }));
  const prompts = sums.map(({ promptCount, promptTokens, promptMs }) => ({
    count: promptCount,
    units: promptTokens,
    ms: promptMs,
  }));
  const meanCallMs = getServiceMean(calls);
  const meanMsPerToken = getServiceMean(prompts);
  return memories.map((memory, index): LearnedSpeed => {
    const callFactor = getFactor(calls[index]!, meanCallMs);
    const prefillFactor = getFactor(prompts[index]!, meanMsPerToken);
    return {
      callMs: meanCallMs && meanCallMs * callFactor,
      prefillMsPerToken: meanMsPerToken && meanMsPerToken * prefillFactor,
      callFactor,
      prefillFactor,
      meanSlowness: memory.getMeanSlowness(),
    };
  });
}

interface Samples {
  readonly count: number;
  /** What the time is divided by: calls or tokens. */
  readonly units: number;
  readonly ms: number;
}

/**
 * The mean over upstreams instead of samples: otherwise it would depend on
 * which upstreams get most requests.
 */
function getServiceMean(all: readonly Samples[]): number | undefined {
  let weights = 0;
  let sum = 0;
  for (const { count, units, ms } of all) {
    if (!(count > 0) || !(units > 0)) continue;
    const weight = count / (count + priorCount);
    weights += weight;
    sum += weight * ms / units;
  }
  return weights > 0 && sum > 0 ? sum / weights : undefined;
}

function getFactor(
  { count, units, ms }: Samples,
  mean: number | undefined,
): number {
  if (mean === undefined || !(count > 0) || !(units > 0)) return 1;
  const factor = (ms / units / mean * count + priorCount) /
    (count + priorCount);
  return Math.min(factorRange.max, Math.max(factorRange.min, factor));
}

const zeroSums: SpeedSums = {
  callCount: 0,
  callTenthMs: 0,
  promptCount: 0,
  promptTokens: 0,
  promptMs: 0,
};

function createSums(): MutableSums {
  return { ...zeroSums };
}

function addSums(target: MutableSums, sums: SpeedSums, ratio: number): void {
  target.callCount += sums.callCount * ratio;
  target.callTenthMs += sums.callTenthMs * ratio;
  target.promptCount += sums.promptCount * ratio;
  target.promptTokens += sums.promptTokens * ratio;
  target.promptMs += sums.promptMs * ratio;
}
