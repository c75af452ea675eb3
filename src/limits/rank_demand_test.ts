import { expect, test } from "vitest";
import { createRankDemand } from "./rank_demand.ts";

function create() {
  let nowMs = 0;
  const demand = createRankDemand({
    clock: { nowMs: () => nowMs },
    getInstanceCount: () => 10,
  });
  return {
    demand,
    /** Arrivals at a steady rate. */
    arrive: (perS: number, rank: number, tokens: number, forMs: number) => {
      const endMs = nowMs + forMs;
      while (nowMs < endMs) {
        nowMs += 1_000 / perS;
        demand.recordStream("model", rank, tokens);
      }
    },
    advance: (ms: number) => {
      nowMs += ms;
    },
  };
}

test("the rate and the size of more urgent streams include those elsewhere", () => {
  const { demand, arrive } = create();
  arrive(5, 0, 8_000, 30_000);
  demand.setRemoteDemands([
    ["model", 0, 15_000, 60_000],
    ["model", 1, 90_000, 1_000],
    ["other", 0, 90_000, 1_000],
  ]);
  const { streamsPerS, promptTokensPerS } = demand.getMoreUrgent("model", 1);
  expect(streamsPerS).toBeCloseTo(20, 0);
  expect(promptTokensPerS / 100_000).toBeCloseTo(1, 1);
  expect(demand.getMoreUrgent("model", 0).streamsPerS).toBe(0);
  expect(demand.getAll("model").streamsPerS).toBeCloseTo(110, 0);
});

test("without control, the own demand stands for that of each other instance", () => {
  const { demand, arrive, advance } = create();
  demand.setRemoteDemands([["model", 0, 500_000, 1]]);
  advance(3_000);
  arrive(2, 0, 1_000, 30_000);
  expect(demand.getMoreUrgent("model", 1).streamsPerS).toBeGreaterThan(18);
  expect(demand.getMoreUrgent("model", 1).streamsPerS).toBeLessThan(25);
});

test("the message is bounded, and huge sizes and old demand are left out", () => {
  const { demand, advance } = create();
  for (let rank = 0; rank < 100; rank++) {
    demand.recordStream("model", rank, Number.MAX_SAFE_INTEGER);
  }
  const demands = demand.getOwnDemands();
  expect(demands).toHaveLength(10);
  expect(demands.every(([, rank, , tokens]) => rank < 10 && tokens === 0))
    .toBe(true);
  advance(60_000);
  expect(demand.getOwnDemands()).toEqual([]);
});
