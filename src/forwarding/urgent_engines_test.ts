/**
 * Guards against instances that leave different engines to urgent streams,
 * against sets that one failure domain's loss ends, and against engines that
 * stay idle without urgent demand.
 */
import { expect, test } from "vitest";
import { EngineChoice, getEngineRoom, listChoice } from "./engine_room.ts";
import { unknownSpeed, type Upstream } from "./upstream_types.ts";
import {
  createUrgentEngines,
  getUrgentEngineCount,
  orderEngines,
} from "./urgent_engines.ts";

function createEngine(index: number, unreadTokens = 0): Upstream {
  return {
    info: {
      upstreamId: `engine-${index}`,
      service: "model",
      host: "",
      port: 0,
      domainId: `domain-${index % 4}`,
      version: "v1",
      maxRunning: 16,
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
    lastActivityAtMs: 0,
    lostAtMs: -Infinity,
  };
}

const engines = Array.from({ length: 125 }, (_, index) => createEngine(index));
const sizes = [1, 2, 5, 14, 62];
const urgent = { streamsPerS: 3.2, promptTokensPerS: 3.2 * 8_200 };
const getSet = (list: readonly Upstream[], size: number) =>
  new Set(orderEngines(list).slice(0, size));

const countMissing = (
  before: ReadonlySet<string>,
  after: ReadonlySet<string>,
) => [...before].filter((id) => !after.has(id)).length;

test("the set does not depend on the order of the list, and a smaller one is a part of a larger one", () => {
  expect(orderEngines([...engines].reverse())).toEqual(orderEngines(engines));
  const cached = createUrgentEngines();
  for (const factor of [1, 0.2, 0, 1e6]) {
    const demand = {
      streamsPerS: factor * urgent.streamsPerS,
      promptTokensPerS: factor * urgent.promptTokensPerS,
    };
    for (const list of [engines, engines.slice(1)]) {
      expect(cached.getIds("model", list, demand)).toEqual(
        getSet(list, getUrgentEngineCount(demand, list)),
      );
    }
  }
  const [small, large] = [getSet(engines, 5), getSet(engines, 14)];
  expect(countMissing(small, large)).toBe(0);
});

test("if one engine joins or leaves, at most one engine of the set is replaced", () => {
  for (const size of sizes) {
    const before = getSet(engines, size);
    for (const engine of engines) {
      const others = engines.filter((other) => other !== engine);
      expect(countMissing(before, getSet(others, size)))
        .toBeLessThanOrEqual(1);
    }
  }
});

test("lists that differ in one failure domain give sets that differ by its share", () => {
  // A crash replaces the ids of engines, which instances learn in turn.
  const replaced = engines.map((engine, index) =>
    index % 4 === 1 && index < 60 ? createEngine(1_000 + index) : engine
  );
  const before = getSet(engines, 14);
  expect(countMissing(before, getSet(replaced, 14))).toBeLessThanOrEqual(4);
});

test("the set is spread evenly over the failure domains, and suffices without one", () => {
  const size = getUrgentEngineCount(urgent, engines);
  const set = getSet(engines, size);
  const counts = [0, 1, 2, 3].map((domain) =>
    engines.filter(({ info }) =>
      set.has(info.upstreamId) && info.domainId === `domain-${domain}`
    ).length
  );
  expect(Math.max(...counts) - Math.min(...counts)).toBeLessThanOrEqual(1);
  // 3.2 streams a second that take 1.03 s each, seen after 0.75 s.
  expect(size - Math.max(...counts)).toBeGreaterThanOrEqual(3.2 * 1.78);
});

test("without urgent demand there is no set, and it has at most half of the engines", () => {
  const none = { streamsPerS: 0, promptTokensPerS: 0 };
  const rare = { streamsPerS: 0.01, promptTokensPerS: 82 };
  const huge = { streamsPerS: 1e6, promptTokensPerS: 1e12 };
  expect(getUrgentEngineCount(none, engines)).toBe(0);
  expect(getUrgentEngineCount(rare, engines)).toBe(0);
  expect(getUrgentEngineCount(huge, engines)).toBe(62);
  expect(getUrgentEngineCount(urgent, engines.slice(0, 1))).toBe(0);
  expect(getUrgentEngineCount(urgent, [])).toBe(0);
});

const demand = {
  traits: {
    maxRunning: 16,
    memoryTokens: 88_000,
    tokenBytes: 0,
    linkMbps: 0,
    canMove: false,
    canBackUp: false,
    tokensPerEvent: 1,
    copyTtlMs: 0,
  },
  prefillTokens: 8_200,
  totalTokens: 8_340,
};

function listIds(
  choice: EngineChoice,
  reachable: readonly Upstream[],
  urgentIds: ReadonlySet<string>,
): string[] {
  const room = getEngineRoom(reachable, {
    ...demand,
    urgentPromptTokens: 8_200,
    urgentObjectiveMs: 4_000,
    loadAgeMs: 750,
    urgentIds,
  }, 0);
  return listChoice(choice, reachable, {
    room,
    urgentIds,
    urgentShare: 0.08,
    unseenPlacements: 30,
    objectiveMs: 4_000,
    demand,
    nowMs: 0,
  }).engines.map(({ info }) => info.upstreamId);
}

test("others leave the set to urgent streams while they have other engines", () => {
  const four = engines.slice(0, 4);
  const set = new Set(["engine-0", "engine-1"]);
  for (const choice of [EngineChoice.Outside, EngineChoice.WithPlace]) {
    expect(listIds(choice, four, set)).toEqual(["engine-2", "engine-3"]);
    // All others are lost.
    expect(listIds(choice, four.slice(0, 2), set)).toEqual([
      "engine-0",
      "engine-1",
    ]);
  }
  expect(listIds(EngineChoice.Any, four, set)).toHaveLength(4);
});

test("urgent streams use the timely engines of the set, and any if there is none", () => {
  const set = new Set(["engine-0", "engine-1"]);
  const idle = [2, 3].map((index) => createEngine(index));
  const busy = createEngine(0, 16_400);
  expect(listIds(EngineChoice.Urgent, [busy, createEngine(1), ...idle], set))
    .toEqual(["engine-1"]);
  const full = { ...createEngine(1), memoryTokens: 80_000 };
  expect(listIds(EngineChoice.Urgent, [busy, full, ...idle], set))
    .toHaveLength(4);
  // The other engine of the set is lost.
  expect(listIds(EngineChoice.Urgent, [busy, ...idle], set)).toHaveLength(3);
  expect(listIds(EngineChoice.Urgent, idle, set)).toHaveLength(2);
});
