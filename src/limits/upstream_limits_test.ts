/**
 * Instances that share the limit of an upstream, on simulated time: uneven
 * traffic that moves, instances that come and go, and reports that arrive late.
 */
import { expect, test } from "vitest";
import { createSilentLogger } from "../core/logger.ts";
import { createRandom } from "../core/random.ts";
import { createDemandShare, type DemandShare } from "./demand_share.ts";
import {
  createUpstreamLimits,
  type UpstreamLimits,
} from "./upstream_limits.ts";

const upstream = { upstreamId: "upstream-1", service: "app" };
const stepMs = 10;
/** Two heartbeats and an exchange between control instances. */
const reportLagMs = 1_500;
const windowMs = 4_000;
/** Tolerance of the upstream for its limit. */
const maxRatio = 1.5;
const maxExtraRequests = 5;

interface Instance {
  readonly demand: DemandShare;
  readonly limits: UpstreamLimits;
  isRunning: boolean;
}

interface Load {
  readonly limitPerS: number;
  readonly instanceCount: number;
  readonly durationMs?: number;
  readonly seed?: number;
  /** Requests per second that arrive at an instance. */
  getDemandPerS(instance: number, nowMs: number): number;
  isRunning?(instance: number, nowMs: number): boolean;
}

function replay(load: Load) {
  const { limitPerS, instanceCount, durationMs = 30_000 } = load;
  const random = createRandom(load.seed ?? 1);
  let nowMs = 0;
  const clock = { nowMs: () => nowMs };
  const logger = createSilentLogger();
  const reports: { atMs: number; demands: Map<number, number> }[] = [];
  const instances: Instance[] = [];
  const sentAtMs: number[] = [];
  for (let index = 0; index < instanceCount; index++) instances.push(create());
  for (; nowMs < durationMs; nowMs += stepMs) {
    for (const [index, instance] of instances.entries()) {
      const isRunning = load.isRunning?.(index, nowMs) ?? true;
      if (isRunning && !instance.isRunning) instances[index] = create();
      instances[index]!.isRunning = isRunning;
      if (isRunning) serve(index);
    }
    if (nowMs % 500 === 0) exchange();
  }
  return { sentAtMs, durationMs };

  function create(): Instance {
    const demand = createDemandShare({
      clock,
      getInstanceCount: () =>
        Math.max(1, instances.filter(({ isRunning }) => isRunning).length),
    });
    const limits = createUpstreamLimits({
      clock,
      logger,
      random,
      getShare: demand.getShare,
    });
    limits.recordResponse(upstream, limitPerS);
    return { demand, limits, isRunning: true };
  }

  function serve(index: number): void {
    const { demand, limits } = instances[index]!;
    const perStep = load.getDemandPerS(index, nowMs) * stepMs / 1_000;
    const count = Math.floor(perStep) + (random.next() < perStep % 1 ? 1 : 0);
    for (let request = 0; request < count; request++) {
      demand.recordRequest(upstream.service);
      if (!limits.hasRoom(upstream.upstreamId)) continue;
      limits.recordSend(upstream.upstreamId);
      limits.recordResponse(upstream, limitPerS);
      sentAtMs.push(nowMs);
    }
  }

  function exchange(): void {
    const demands = new Map<number, number>();
    for (const [index, { demand, isRunning }] of instances.entries()) {
      if (isRunning) demands.set(index, demand.getDemands()[0]?.[1] ?? 0);
    }
    reports.push({ atMs: nowMs, demands });
    const known = reports.findLast(({ atMs }) => atMs <= nowMs - reportLagMs);
    if (!known) return;
    for (const [index, { demand }] of instances.entries()) {
      let others = 0;
      for (const [other, milliPerS] of known.demands) {
        if (other !== index) others += milliPerS;
      }
      demand.setRemoteDemands([[upstream.service, others]]);
    }
  }
}

function getHighestWindow(sentAtMs: readonly number[]): number {
  let highest = 0;
  let start = 0;
  for (const [index, atMs] of sentAtMs.entries()) {
    while (sentAtMs[start]! < atMs - windowMs) start += 1;
    highest = Math.max(highest, index - start + 1);
  }
  return highest;
}

const uneven = (instance: number) => 4 * (instance % 4);
/** Callers move from the first half of the instances to the others. */
const moving = (instance: number, nowMs: number) =>
  instance < 5 === (Math.floor(nowMs / 6_000) % 2 === 0) ? 12 : 0.1;
const burst = (_instance: number, nowMs: number) =>
  nowMs > 10_000 && nowMs < 15_000 ? 30 : 3;
const restarts = (instance: number, nowMs: number) =>
  Math.floor(nowMs / 1_500) % 10 !== instance;
const joining = (instance: number, nowMs: number) =>
  instance < 3 || nowMs > 10_000;

test.each<[string, Omit<Load, "limitPerS">]>([
  ["uneven traffic", { instanceCount: 10, getDemandPerS: uneven }],
  ["traffic that moves", { instanceCount: 10, getDemandPerS: moving }],
  ["a burst", { instanceCount: 10, getDemandPerS: burst }],
  ["restarts in turn", {
    instanceCount: 10,
    getDemandPerS: uneven,
    isRunning: restarts,
  }],
  ["many instances", {
    instanceCount: 100,
    getDemandPerS: (_instance, nowMs) => nowMs % 10_000 < 5_000 ? 0.5 : 0.01,
  }],
  ["instances that join", {
    instanceCount: 10,
    getDemandPerS: () => 8,
    isRunning: joining,
  }],
])("an upstream gets no more than its limit under %s", (_name, load) => {
  for (const limitPerS of [2, 10, 60]) {
    for (let seed = 1; seed <= 10; seed++) {
      const { sentAtMs } = replay({ ...load, limitPerS, seed });
      expect(getHighestWindow(sentAtMs)).toBeLessThanOrEqual(
        maxRatio * limitPerS * windowMs / 1_000 + maxExtraRequests,
      );
    }
  }
});

test("most of a limit is used although traffic is uneven", () => {
  for (let seed = 1; seed <= 10; seed++) {
    const { sentAtMs, durationMs } = replay({
      limitPerS: 20,
      instanceCount: 12,
      seed,
      getDemandPerS: (instance) => 2 + 4 * (instance % 4),
    });
    expect(sentAtMs.length / durationMs * 1_000).toBeGreaterThan(0.8 * 20);
  }
});

function createLimits() {
  let nowMs = 0;
  const limits = createUpstreamLimits({
    clock: { nowMs: () => nowMs },
    logger: createSilentLogger(),
    random: { next: () => 0, nextInt: () => 0 },
    getShare: () => 1,
  });
  return {
    limits,
    advance: (durationMs: number) => nowMs += durationMs,
    hasRoom: () => limits.hasRoom(upstream.upstreamId),
  };
}

test("a limit holds until the upstream states none, for this id only", () => {
  const { limits, advance, hasRoom } = createLimits();
  expect(hasRoom()).toBe(true);
  limits.recordResponse(upstream, 1);
  expect(hasRoom()).toBe(false);
  expect(limits.hasRoom("upstream-2")).toBe(true);
  advance(1_000);
  expect(hasRoom()).toBe(true);
  limits.recordSend(upstream.upstreamId);
  expect(hasRoom()).toBe(false);
  limits.recordResponse(upstream, undefined);
  expect(hasRoom()).toBe(true);
  expect(limits.count()).toBe(0);
});

test("an upstream that allows nothing still gets a request from time to time", () => {
  const { limits, advance, hasRoom } = createLimits();
  limits.recordResponse(upstream, 0);
  advance(1_000);
  expect(hasRoom()).toBe(false);
  advance(9_000);
  expect(hasRoom()).toBe(true);
});

test("sends that the limit did not allow are made up for", () => {
  const { limits, advance, hasRoom } = createLimits();
  limits.recordResponse(upstream, 2);
  limits.recordSend(upstream.upstreamId);
  limits.recordSend(upstream.upstreamId);
  advance(1_000);
  expect(hasRoom()).toBe(false);
  advance(500);
  expect(hasRoom()).toBe(true);
});

test("the limits of upstreams that are gone are forgotten", () => {
  const { limits, advance } = createLimits();
  for (let number = 0; number < 1_000; number++) {
    limits.recordResponse({ upstreamId: `u-${number}`, service: "app" }, 5);
    advance(1_000);
  }
  expect(limits.count()).toBeLessThan(100);
});
