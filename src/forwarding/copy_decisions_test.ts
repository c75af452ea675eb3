import { expect, test } from "vitest";
import { type CopyRoom, listCopyHolders } from "./copy_decisions.ts";
import { unknownSpeed, type Upstream } from "./upstream_types.ts";

function createEngine(domainId: string, memoryTokens: number): Upstream {
  return {
    info: {
      upstreamId: `${domainId}-${memoryTokens}`,
      service: "model",
      host: "",
      port: 0,
      domainId,
      version: "v1",
      maxRunning: 16,
      isLeaving: false,
      isCold: false,
      versionShare: 1,
    },
    inFlightCount: 0,
    memoryTokens: 0,
    unreadTokens: 0,
    reported: undefined,
    speed: unknownSpeed,
    others: { runningCount: 0, unreadTokens: 0, memoryTokens },
    failureRatio: 0,
    suspendedUntilMs: -Infinity,
    waitsUntilMs: -Infinity,
    lastActivityAtMs: 0,
    lostAtMs: -Infinity,
  };
}

const running = createEngine("a", 0);
const room: CopyRoom = {
  isLowestRank: true,
  memoryTokens: 88_000,
  totalTokens: 8_340,
  // Half a stream per second; with copies, 205,000 tokens within 25 s.
  urgentTokensPerS: 4_100,
  timeoutMs: 25_000,
  urgentIds: new Set(),
};

function listIds(memory: readonly number[], change: Partial<CopyRoom> = {}) {
  const engines = memory.map((tokens) => createEngine("b", tokens));
  return listCopyHolders([running, ...engines], running, { ...room, ...change })
    .map(({ info }) => info.upstreamId);
}

test("the lowest rank makes copies while urgent streams have memory", () => {
  expect(listIds([0, 10_000, 20_000])).toHaveLength(3);
});

test("copies of the lowest rank don't take the memory that urgent streams need", () => {
  // 3 x 18,000 tokens are free.
  expect(listIds([70_000, 70_000, 70_000])).toEqual([]);
  expect(listIds([70_000, 70_000, 70_000], { isLowestRank: false }))
    .toHaveLength(4);
});

test("a copy doesn't fill up its engine", () => {
  expect(listIds([0, 0, 0, 75_000])).toEqual(["b-0", "b-0", "b-0"]);
});

test("without known urgent demand, only full engines are left out", () => {
  expect(listIds([60_000, 80_000], { urgentTokensPerS: 0 }))
    .toEqual(["b-60000"]);
});

// Guards against urgent streams whose engines are filled with copies of others.
test("copies of lower ranks avoid the engines of urgent streams, if there are others", () => {
  const urgentIds = new Set(["b-0"]);
  expect(listIds([0, 10_000, 20_000], { urgentIds }))
    .toEqual(["b-10000", "b-20000"]);
  expect(listIds([0, 10_000], { urgentIds, isLowestRank: false }))
    .toEqual(["b-10000"]);
  expect(listIds([0, 0, 0], { urgentIds })).toHaveLength(3);
});
