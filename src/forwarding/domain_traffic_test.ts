import { expect, test } from "vitest";
import { createRandom } from "../core/random.ts";
import { createLoadTotals } from "../upstreams/load_totals.ts";
import { createDomainTraffic, type DomainPrices } from "./domain_traffic.ts";
import { getDefaultDomainCost } from "./placement.ts";
import { unknownSpeed, type Upstream } from "./upstream_types.ts";

const noPrices: DomainPrices = {
  roundTripMs: 0,
  priceMsPerMs: 1,
  priceMsPerMegabyte: 0,
};

function createUpstream(domainId: string, unreadTokens: number): Upstream {
  return {
    info: {
      upstreamId: domainId,
      service: "s",
      host: "h",
      port: 1,
      domainId,
      version: "v1",
      maxRunning: 6,
      isLeaving: false,
      isCold: false,
      versionShare: 1,
    },
    inFlightCount: 0,
    memoryTokens: 0,
    unreadTokens,
    reported: undefined,
    speed: unknownSpeed,
    others: { runningCount: 0, unreadTokens: 0, memoryTokens: 0 },
    failureRatio: 0,
    suspendedUntilMs: -Infinity,
    waitsUntilMs: -Infinity,
    lostAtMs: -Infinity,
    lastActivityAtMs: -Infinity,
  };
}

function createTraffic(
  { homeTokens = 0, isLoadAware = true, prices = noPrices }: {
    readonly homeTokens?: number;
    readonly isLoadAware?: boolean;
    readonly prices?: DomainPrices;
  } = {},
) {
  const state = { nowMs: 100_000, homeTokens };
  const logged: Record<string, unknown>[] = [];
  const traffic = createDomainTraffic({
    clock: { nowMs: () => state.nowMs },
    random: createRandom(1),
    logger: { log: (_, fields) => void logged.push({ ...fields }) },
    domainId: "a",
    prices,
    attempts: { add: () => {} },
    bytes: { add: () => {} },
    listUsable: () => [
      createUpstream("a", state.homeTokens),
      createUpstream("b", 0),
    ],
    isLoadAware: () => isLoadAware,
    isDomainSuspected: () => false,
    getObjectives: () => ({ firstEventMs: 4_000, callMs: 200 }),
    getTimes: () => ({}),
  });
  /** Part of 1,000 requests that were drawn to leave. */
  function measureShare(): number {
    let count = 0;
    for (let request = 0; request < 1_000; request++) {
      if (traffic.drawCosts("s")("b").delayMs === 0) count += 1;
    }
    return count / 1_000;
  }
  return { traffic, state, logged, measureShare };
}

test("without load, and for services that are not load-aware, costs are today's", () => {
  const cases = [
    createTraffic(),
    createTraffic({ isLoadAware: false, homeTokens: 900_000 }),
  ];
  for (const { traffic } of cases) {
    traffic.setRemoteDemands([]);
    const getCost = traffic.drawCosts("s");
    for (const id of ["a", "b"]) {
      expect(getCost(id)).toEqual(getDefaultDomainCost(id, "a"));
    }
  }
});

test("without control, own knowledge moves at most a bounded share", () => {
  const { traffic, state, logged, measureShare } = createTraffic({
    homeTokens: 300_000,
  });
  for (let step = 0; step < 20; step++) {
    state.nowMs += 750;
    traffic.drawCosts("s");
  }
  expect(measureShare()).toBeGreaterThan(0.1);
  expect(measureShare()).toBeLessThan(0.3);
  expect(logged.at(-1)).toMatchObject({ traffic: "streams", reason: "leave" });
  state.homeTokens = 0;
  state.nowMs += 750;
  expect(measureShare()).toBe(0);
});

test("demands of others count less from one second on and not after two", () => {
  const { traffic, state } = createTraffic({ homeTokens: 10_000 });
  traffic.setRemoteDemands([["s", "a", 1_000, 1_000_000]]);
  const getDelayMs = () => traffic.drawCosts("s")("b").delayMs;
  const fresh = getDelayMs();
  state.nowMs += 1_500;
  const older = getDelayMs();
  state.nowMs += 500;
  expect(getDelayMs()).toBe(700);
  expect(fresh - 700).toBeCloseTo(2 * (older - 700));
  expect(fresh).toBeGreaterThan(700);
});

test("bytes and the round trip raise the cost of leaving by their prices", () => {
  const { traffic } = createTraffic({
    prices: { roundTripMs: 40, priceMsPerMs: 2, priceMsPerMegabyte: 100 },
  });
  traffic.recordAttempt("s", "a");
  traffic.recordBytes("s", "a", 500_000);
  expect(traffic.drawCosts("s")("b").delayMs).toBeCloseTo(700 + 80 + 50);
});

test("demands are summed by domain, without those of the receiver", () => {
  const createSummary = (domainId: string, requests: number) => ({
    loads: [],
    lostIds: [],
    domainDemands: [["s", domainId, requests, 10 * requests] as const],
  });
  const totals = createLoadTotals();
  const own = createSummary("a", 100);
  const others = [createSummary("a", 20), createSummary("b", 3)];
  for (const summary of [own, ...others]) totals.add(summary);
  expect(totals.getSummaryWithout(own).domainDemands).toEqual([
    ["s", "a", 20, 200],
    ["s", "b", 3, 30],
  ]);
  totals.subtract(others[1]!);
  expect(totals.getSummaryWithout(own).domainDemands).toEqual([
    ["s", "a", 20, 200],
  ]);
});
