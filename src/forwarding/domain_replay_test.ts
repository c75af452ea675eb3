/**
 * Replays waves and losses of streams and calls in three failure domains, with the
 * constant cost of leaving and with the planned shares on the same arrivals. A
 * request that crosses domains costs the same bytes either way.
 */
import { expect, test } from "vitest";
import {
  type CallReplayResult,
  replayCalls,
} from "../../measure/domain_call_replay.ts";
import {
  domainCount,
  type Replay,
  type ReplayResult,
  replayStreams,
} from "../../measure/domain_replay.ts";

const seeds = [1, 2, 3, 4];
const periodMs = 17_000;
const durationMs = 4 * periodMs;

/** The demand of each domain swings by 0.55, a third of a period apart. */
function getWave(domain: number, nowMs: number): number {
  const phase = nowMs / periodMs - domain / domainCount;
  return 5.8 * (1 + 0.55 * Math.sin(2 * Math.PI * phase));
}

function isWithin(nowMs: number, fromMs: number, lastsMs: number): boolean {
  return nowMs >= fromMs && nowMs < fromMs + lastsMs;
}

const waves: Omit<Replay, "seed" | "isLoadAware"> = {
  durationMs,
  figureAgeMs: 750,
  getDemandPerS: getWave,
};

function replayAll(
  replay: Omit<Replay, "seed" | "isLoadAware">,
  isLoadAware: boolean,
): Pick<ReplayResult, "requestCount" | "lateCount" | "crossedCount"> {
  const total = { requestCount: 0, lateCount: 0, crossedCount: 0 };
  for (const seed of seeds) {
    const result = replayStreams({ ...replay, seed, isLoadAware });
    total.requestCount += result.requestCount;
    total.lateCount += result.lateCount;
    total.crossedCount += result.crossedCount;
  }
  return total;
}

test.each<[string, string, Omit<Replay, "seed" | "isLoadAware">]>([
  [
    "waves of demand out of phase",
    "requests stay late at home while other domains are idle",
    waves,
  ],
  [
    "the engines of a domain lost for 1.2 s",
    "the other domains are flooded, and requests do not come back",
    {
      ...waves,
      getDemandPerS: () => 5.5,
      isDown: (domain, nowMs) =>
        domain === 0 &&
        isWithin(nowMs % 15_000, 5_000, 1_200),
    },
  ],
  [
    "a domain cut off for 5 s and back",
    "a share is sent by figures from before the cut",
    {
      ...waves,
      isCutOff: (domain, nowMs) =>
        domain === 0 && isWithin(nowMs % 30_000, 10_000, 5_000),
    },
  ],
  [
    "all domains full",
    "requests are exchanged although nothing is gained",
    { ...waves, getDemandPerS: () => 8.2 },
  ],
  [
    "figures that are two seconds old",
    "all instances follow what was true two seconds ago",
    { ...waves, figureAgeMs: 2_000 },
  ],
  [
    "one instance that states a thousand requests per second",
    "its wrong figure drives a whole domain's requests out",
    { ...waves, wrongDemandPerS: 1_000 },
  ],
  [
    "a steady surplus in one domain",
    "the share swings by its own effect",
    { ...waves, getDemandPerS: (domain) => domain === 0 ? 10 : 4.5 },
  ],
])("%s: fewer late at no more bytes, not: %s", (_name, _failure, replay) => {
  const constant = replayAll(replay, false);
  const planned = replayAll(replay, true);
  expect(planned.requestCount).toBe(constant.requestCount);
  expect(planned.lateCount).toBeLessThan(constant.lateCount);
  expect(planned.crossedCount).toBeLessThan(constant.crossedCount);
});

test("a share that left comes back when home has room again", () => {
  const { crossedBySecond } = replayStreams({
    ...waves,
    seed: 1,
    isLoadAware: true,
    getDemandPerS: (domain, nowMs) => domain === 0 && nowMs < 20_000 ? 10 : 2,
  });
  const sum = (from: number, to: number) =>
    crossedBySecond.slice(from, to).reduce(
      (total, count) => total + (count ?? 0),
      0,
    );
  expect(sum(10, 20)).toBeGreaterThan(0);
  // The queue at home is short again after the objective at the latest.
  expect(sum(25, 60)).toBeLessThan(sum(10, 20) / 4);
});

test.each<[string, string, (domain: number, nowMs: number) => number]>([
  [
    "calls in waves out of phase",
    "calls cross domains while home has room",
    (domain, nowMs) => 10 * getWave(domain, nowMs),
  ],
  [
    "calls in waves above the capacity of a domain",
    "calls are late because they stay",
    (domain, nowMs) => 19 * getWave(domain, nowMs),
  ],
  [
    "calls when all domains are full",
    "calls are exchanged although nothing is gained",
    () => 145,
  ],
])("%s: no more late at fewer bytes, not: %s", (_name, _failure, getDemand) => {
  const replay = (isLoadAware: boolean) =>
    seeds.map((seed) =>
      replayCalls({
        seed,
        durationMs,
        isLoadAware,
        getDemandPerS: getDemand,
        getSlowness: () => 1,
      })
    );
  const sum = (
    results: readonly CallReplayResult[],
    field: keyof CallReplayResult,
  ) => results.reduce((total, result) => total + result[field], 0);
  const constant = replay(false);
  const planned = replay(true);
  expect(sum(planned, "callCount")).toBe(sum(constant, "callCount"));
  expect(sum(planned, "lateCount"))
    .toBeLessThanOrEqual(sum(constant, "lateCount"));
  expect(sum(planned, "crossedCount"))
    .toBeLessThan(sum(constant, "crossedCount"));
});
