/**
 * Replays the load patterns that placement by expected time answers: few
 * upstreams of different speed, of which many instances know old figures.
 */
import fc from "fast-check";
import { expect, test } from "vitest";
import {
  replayUnevenCalls,
  type UnevenCallOptions,
} from "../../measure/uneven_calls.ts";
import { createSilentLogger } from "../core/logger.ts";
import { createRandom } from "../core/random.ts";
import type { EngineLoadSummary } from "../upstreams/engine_load_summary.ts";
import { estimateCall, estimateFirstEventMs } from "./expected_time.ts";
import { chooseForCall } from "./placement.ts";
import { createUpstreamDirectory } from "./upstream_directory.ts";
import { createSpeedMemory, estimateSpeeds } from "./upstream_speed.ts";

const uneven: Omit<UnevenCallOptions, "seed" | "isLoadAware"> = {
  durationMs: 40_000,
  callsPerS: 166,
  factors: [0.7, 0.7, 1.7],
};

function getLateRatio(options: Omit<UnevenCallOptions, "seed">): number {
  const runs = [1, 2, 3, 4, 5].map((seed) =>
    replayUnevenCalls({ ...options, seed })
  );
  const sum = (values: number[]) =>
    values.reduce((left, right) => left + right);
  return sum(runs.map(({ lateCount }) => lateCount)) /
    sum(runs.map(({ callCount }) => callCount));
}

// Guards against waves of late calls at the peaks of demand, when the slow
// upstream gets as many calls as its slots seem to allow.
test.each([
  ["with figures of other instances", {}],
  ["without control", { isControlAvailable: false }],
  ["if another domain costs more", { hasDomainCost: true }],
  ["if the slowness contains the time factor", { statesFactor: true }],
])("fewer calls are late than with used slots, %s", (_, change) => {
  const options = { ...uneven, ...change };
  const expected = getLateRatio({ ...options, isLoadAware: true });
  const usedSlots = getLateRatio({ ...options, isLoadAware: false });
  expect(expected).toBeLessThan(usedSlots);
});

// Guards against all instances choosing the upstream that looked idle half a
// second ago. With more than 24 requests, a call at a fast upstream would wait
// until its objective of 150 ms is missed.
test("no upstream is herded by instances with the same old figures", () => {
  for (const seed of [1, 2, 3]) {
    const { maxHeldCounts, placedCounts, callCount } = replayUnevenCalls({
      ...uneven,
      callsPerS: 258,
      isSteady: true,
      isLoadAware: true,
      seed,
    });
    for (const count of maxHeldCounts) expect(count).toBeLessThanOrEqual(24);
    // The two fast ones are equal.
    expect(Math.max(...placedCounts)).toBeLessThan(callCount * 0.55);
  }
});

// Guards against a learned speed that only shows the queue: the slow upstream
// would look fast as soon as it got no calls.
test("the time factors are learned under changing load", () => {
  const { learnedFactors } = replayUnevenCalls({
    ...uneven,
    isLoadAware: true,
    seed: 4,
  });
  const [first, second, slow] = learnedFactors;
  expect(Math.max(first!, second!)).toBeLessThan(1);
  expect(slow).toBeGreaterThan(1.3);
});

function createFixture() {
  let nowMs = 1_000;
  const directory = createUpstreamDirectory({
    clock: { nowMs: () => nowMs, wallMs: () => 0, sleep: async () => {} },
    logger: createSilentLogger(),
    random: createRandom(1),
    onUpstreamLost: () => {},
    canRouteToCandidates: () => true,
  });
  const random = createRandom(2);
  const list = (...ids: string[]) =>
    directory.update(ids.map((upstreamId, index) => ({
      upstreamId,
      service: "app",
      host: "10.0.0.1",
      port: index + 1,
      domainId: "a",
      version: "v1",
      maxRunning: 6,
      isLeaving: false,
      isCold: false,
      versionShare: 1,
    })));
  const respond = (
    upstreamId: string,
    { durationMs, slowness = 1, waitingCount = 0 }: {
      readonly durationMs: number;
      readonly slowness?: number;
      readonly waitingCount?: number;
    },
  ) => {
    directory.recordLoad(upstreamId, {
      runningCount: 1,
      waitingCount,
      maxRunning: 6,
      slowness,
    });
    directory.recordCallDuration(upstreamId, durationMs);
  };
  const countChoices = () => {
    const counts = new Map<string, number>();
    for (let choice = 0; choice < 3_000; choice++) {
      const chosen = chooseForCall(directory.listUsable("app"), {
        nowMs,
        triedIds: new Set(),
        random,
        isLoadAware: true,
        unreportedPlacementCount: 0,
        isDomainSuspected: () => false,
        hasRoom: () => true,
        getDomainCost: () => ({ delayMs: 0, slots: 0 }),
      });
      const id = chosen!.info.upstreamId;
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    return counts;
  };
  const get = (upstreamId: string) =>
    directory.listUsable("app").find(({ info }) =>
      info.upstreamId === upstreamId
    )!;
  const pass = (ms: number) => nowMs += ms;
  return { directory, list, respond, countChoices, get, pass };
}

// Guards against two kinds of starvation: an upstream that nobody knows is never
// tried, or one that was slow once is never found to be fast again.
test("upstreams without samples, and slow ones, get some calls", () => {
  const { list, respond, countChoices, pass } = createFixture();
  list("fast", "slow", "new");
  for (let count = 0; count < 50; count++) {
    respond("fast", { durationMs: 40 });
    respond("slow", { durationMs: 160 });
  }
  pass(5_000);
  const counts = countChoices();
  expect(counts.get("slow")).toBeGreaterThan(0);
  expect(counts.get("new") ?? 0).toBeGreaterThan(0);
  pass(400_000);
  // Nothing is stated for so long that only the choice itself is load-aware.
  expect(countChoices().get("slow")).toBeGreaterThan(5);
});

// Guards against charging the machine that starts at an address with the slow
// one that was there before.
test("a new id begins without the speed of its predecessor", () => {
  const { directory, list, respond, get, pass } = createFixture();
  list("u1", "u2");
  for (let count = 0; count < 50; count++) {
    respond("u1", { durationMs: 150 });
    respond("u2", { durationMs: 50 });
  }
  pass(500);
  expect(get("u1").speed.callFactor).toBeGreaterThan(1.3);
  directory.addSuccessor({
    predecessorId: "u1",
    successorId: "u3",
    isFoundHere: true,
  });
  list("u3", "u2");
  pass(500);
  expect(get("u3").speed.callFactor).toBe(1);
  expect(get("u2").speed.callFactor).toBeLessThan(1.1);
});

// Guards against taking a queue for a slow machine: the upstream would be
// avoided after its queue is gone.
test("the queue that a response states does not count as slowness", () => {
  const { list, respond, get, pass } = createFixture();
  list("idle", "queued");
  for (let count = 0; count < 50; count++) {
    respond("idle", { durationMs: 40 });
    respond("queued", { durationMs: 120, waitingCount: 12 });
  }
  pass(500);
  expect(get("queued").speed.callFactor).toBeCloseTo(1, 1);
});

// Guards against avoiding an upstream after one request that was stuck.
test("a single long call changes the learned speed little", () => {
  const { list, respond, get, pass } = createFixture();
  list("u1", "u2");
  for (let count = 0; count < 30; count++) {
    respond("u1", { durationMs: 50 });
    respond("u2", { durationMs: 50 });
  }
  pass(500);
  get("u1");
  respond("u1", { durationMs: 5_000 });
  pass(500);
  expect(get("u1").speed.callFactor).toBeLessThan(1.1);
});

// Guards against relying on a figure that has been redrawn since.
test("a stated slowness counts while it is fresh, compared with the usual one", () => {
  const { list, respond, get, pass } = createFixture();
  list("u1");
  for (let count = 0; count < 39; count++) {
    respond("u1", { durationMs: 40, slowness: 1 });
  }
  pass(500);
  const { serviceMs } = estimateCall(get("u1"), 1_500);
  respond("u1", { durationMs: 40, slowness: 2.5 });
  const atMs = 1_500;
  expect(estimateCall(get("u1"), atMs).serviceMs)
    .toBeGreaterThan(serviceMs * 2.2);
  expect(estimateCall(get("u1"), atMs + 300).serviceMs)
    .toBeLessThan(serviceMs * 1.8);
  expect(estimateCall(get("u1"), atMs + 600).serviceMs)
    .toBeCloseTo(serviceMs, 3);
});

// Guards against counting the prompts that an engine read first as its slowness.
test("prefill is learned from all that was to be read before the first event", () => {
  const { directory, list, respond, get, pass } = createFixture();
  list("e1", "e2");
  respond("e1", { durationMs: 40 });
  const place = (id: string) => {
    const load = directory.trackRequest(id);
    load.addUncachedTokens(8_000);
    return load;
  };
  for (let count = 0; count < 10; count++) {
    respond("e1", { durationMs: 40 });
    const loads = [place("e1"), place("e1"), place("e2")];
    pass(1_000);
    loads[0]!.releaseUncachedTokens();
    loads[2]!.releaseUncachedTokens();
    pass(1_000);
    loads[1]!.releaseUncachedTokens();
    for (const load of loads) load.release();
  }
  expect(get("e1").speed.prefillFactor).toBeCloseTo(1, 1);
  const ms = estimateFirstEventMs(get("e2"), { prefillTokens: 8_000 }, 1_000);
  expect(ms).toBeGreaterThan(900);
  expect(ms).toBeLessThan(1_100);
});

// Guards against figures of other instances that make an estimate useless.
test("whatever sums others state, the speeds stay finite and within bounds", () => {
  const sums = fc.record({
    callCount: fc.nat(),
    callTenthMs: fc.maxSafeNat(),
    promptCount: fc.nat(),
    promptTokens: fc.maxSafeNat(),
    promptMs: fc.maxSafeNat(),
  });
  fc.assert(fc.property(fc.array(sums, { minLength: 1 }), (stated) => {
    const memories = stated.map((one) => {
      const memory = createSpeedMemory();
      memory.recordCall(NaN, 500);
      memory.recordPrefill(8_000, -1, 500);
      memory.addRecentOfOthers(one, 500, 1_000);
      return memory;
    });
    for (const speed of estimateSpeeds(memories, 2_000)) {
      for (const factor of [speed.callFactor, speed.prefillFactor]) {
        expect(factor).toBeGreaterThanOrEqual(0.25);
        expect(factor).toBeLessThanOrEqual(6);
      }
      expect(Number.isFinite(speed.callMs ?? 1)).toBe(true);
      expect(Number.isFinite(speed.prefillMsPerToken ?? 1)).toBe(true);
    }
  }));
});

// Guards against messages that grow with what an instance has ever seen, and
// against samples that count again with every heartbeat.
test("recent samples are shared once and only for some seconds", () => {
  const sender = createFixture();
  const receiver = createFixture();
  for (const { list } of [sender, receiver]) list("u1", "u2");
  sender.respond("u1", { durationMs: 90 });
  receiver.respond("u2", { durationMs: 30 });
  let summary: EngineLoadSummary = sender.directory.getLocalLoadSummary();
  expect(summary.speeds).toEqual([["u1", 1, 900, 0, 0, 0]]);
  for (let count = 0; count < 24; count++) {
    receiver.directory.setRemoteLoadSummary(summary);
    for (const { pass } of [sender, receiver]) pass(500);
    // The service stays load-aware.
    receiver.directory.recordLoad("u2", {
      runningCount: 0,
      waitingCount: 0,
      maxRunning: 6,
      slowness: 1,
    });
    summary = sender.directory.getLocalLoadSummary();
  }
  expect(summary.speeds).toBeUndefined();
  // One sample has little weight against the prior.
  expect(receiver.get("u1").speed.callFactor).toBeGreaterThan(1);
  expect(receiver.get("u1").speed.callFactor).toBeLessThan(1.2);
});
