/**
 * Measures the time of one choice among all upstreams of a service, by expected
 * completion and by used slots. Prints one line per kind of choice.
 */
import process from "node:process";
import { performance } from "node:perf_hooks";
import { createRandom } from "../src/core/random.ts";
import {
  chooseForCall,
  chooseForCopy,
  chooseForStream,
  getDefaultDomainCost,
  type PlacementContext,
} from "../src/forwarding/placement.ts";
import type { Upstream } from "../src/forwarding/upstream_types.ts";
import { engineTraits } from "./forwarding_fakes.ts";

const upstreamCount = 125;
const domainCount = 4;
const choiceCount = 20_000;
const batchSize = 100;
/** What a choice may take by docs/scheduling_under_load.md. */
const limitUs = 50;

const random = createRandom(1);
const upstreams = Array.from({ length: upstreamCount }, createUpstream);
const demand = {
  traits: { ...engineTraits, maxRunning: 16, memoryTokens: 88_000 },
  prefillTokens: 8_200,
  totalTokens: 9_600,
};
const choices = {
  call: (context: PlacementContext) => chooseForCall(upstreams, context),
  stream: (context: PlacementContext) =>
    chooseForStream(upstreams, demand, context),
  copy: (context: PlacementContext) =>
    chooseForCopy(upstreams, upstreams[0]!, demand, context),
};
let isWithin = true;
for (const [kind, choose] of Object.entries(choices)) {
  const usedSlots = measure(false, choose);
  const expectedTime = measure(true, choose);
  isWithin &&= expectedTime.medianUs < limitUs;
  process.stdout.write(
    `${JSON.stringify({ kind, upstreamCount, usedSlots, expectedTime })}\n`,
  );
}
process.exitCode = isWithin ? 0 : 1;

function measure(
  isLoadAware: boolean,
  choose: (context: PlacementContext) => Upstream | undefined,
) {
  const batchesUs: number[] = [];
  for (let batch = 0; batch < choiceCount / batchSize; batch++) {
    const startedAtMs = performance.now();
    for (let choice = 0; choice < batchSize; choice++) {
      choose(createContext(isLoadAware));
    }
    batchesUs.push((performance.now() - startedAtMs) * 1_000 / batchSize);
  }
  // The first half is compiled while it runs.
  const warm = batchesUs.slice(batchesUs.length / 2)
    .sort((left, right) => left - right);
  const at = (ratio: number) =>
    Math.round(warm[Math.floor(warm.length * ratio)]! * 10) / 10;
  return { medianUs: at(0.5), p99Us: at(0.99) };
}

function createContext(isLoadAware: boolean): PlacementContext {
  return {
    nowMs: 10_000,
    triedIds: new Set(),
    random,
    isLoadAware,
    unreportedPlacementCount: 6,
    isDomainSuspected: () => false,
    hasRoom: () => true,
    getDomainCost: (id) => getDefaultDomainCost(id, "d0"),
  };
}

function createUpstream(_: unknown, index: number): Upstream {
  const factor = 0.7 + random.next();
  return {
    info: {
      upstreamId: `u${index}`,
      service: "service",
      host: "10.0.0.1",
      port: 1 + index,
      domainId: `d${index % domainCount}`,
      version: "v1",
      maxRunning: 16,
      isLeaving: false,
      isCold: false,
      versionShare: 1,
    },
    inFlightCount: random.nextInt(3),
    memoryTokens: random.nextInt(20_000),
    unreadTokens: random.nextInt(8_000),
    reported: {
      load: {
        runningCount: random.nextInt(16),
        waitingCount: random.nextInt(3),
        maxRunning: 16,
        slowness: 1 + random.next(),
      },
      atMs: 9_000 + random.nextInt(1_000),
    },
    speed: {
      callMs: 50 * factor,
      prefillMsPerToken: factor / 8,
      callFactor: factor,
      prefillFactor: factor,
      meanSlowness: 1.2,
    },
    others: {
      runningCount: random.nextInt(8),
      unreadTokens: random.nextInt(16_000),
      memoryTokens: random.nextInt(50_000),
    },
    failureRatio: 0,
    suspendedUntilMs: -Infinity,
    waitsUntilMs: -Infinity,
    lostAtMs: -Infinity,
    lastActivityAtMs: -Infinity,
  };
}
