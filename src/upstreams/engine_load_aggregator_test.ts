import { expect, test } from "vitest";
import { createEngineLoadAggregator } from "./engine_load_aggregator.ts";

test("each entry instance receives the load of all others, also of those at other control instances", () => {
  const nowMs = 0;
  const aggregatorA = createEngineLoadAggregator({ getNowMs: () => nowMs });
  const aggregatorB = createEngineLoadAggregator({ getNowMs: () => nowMs });
  aggregatorA.record(
    "f1",
    { loads: [["e1", 1, 8_000, 9_000]], lostIds: [] },
    false,
  );
  aggregatorA.record("f2", {
    loads: [["e1", 2, 0, 18_000], ["e2", 1, 0, 9_000]],
    lostIds: ["e7"],
  }, false);
  aggregatorB.record(
    "f3",
    { loads: [["e2", 1, 500, 9_000]], lostIds: [] },
    false,
  );
  aggregatorA.record("controlB", aggregatorB.aggregateEntryReports(), true);
  aggregatorB.record("controlA", aggregatorA.aggregateEntryReports(), true);
  expect(aggregatorA.aggregateOthers("f1")).toEqual({
    loads: [["e1", 2, 0, 18_000], ["e2", 2, 500, 18_000]],
    lostIds: ["e7"],
  });
  expect(aggregatorB.aggregateOthers("f3").loads).toEqual([
    ["e1", 3, 8_000, 27_000],
    ["e2", 1, 0, 9_000],
  ]);
  // Summaries of another control instance are not reported back to it.
  expect(aggregatorA.aggregateEntryReports().loads).toEqual([
    ["e1", 3, 8_000, 27_000],
    ["e2", 1, 0, 9_000],
  ]);
});

test("load that is no longer reported expires", () => {
  let nowMs = 0;
  const aggregator = createEngineLoadAggregator({ getNowMs: () => nowMs });
  aggregator.record(
    "f1",
    { loads: [["e1", 1, 0, 9_000]], lostIds: ["e1"] },
    false,
  );
  nowMs = 1_400;
  expect(aggregator.aggregateOthers("f2").loads).toHaveLength(1);
  nowMs = 1_600;
  expect(aggregator.aggregateOthers("f2")).toEqual({ loads: [], lostIds: [] });
});

test("restarted engines reach all instances, also through another control instance", () => {
  const aggregatorA = createEngineLoadAggregator({ getNowMs: () => 0 });
  const aggregatorB = createEngineLoadAggregator({ getNowMs: () => 0 });
  const summary = { loads: [], lostIds: [] };
  aggregatorA.record("f1", { ...summary, successors: [["e1", "e9"]] }, false);
  // An instance of an earlier build reports no successors.
  aggregatorA.record("f2", summary, false);
  aggregatorB.record("controlA", aggregatorA.aggregateEntryReports(), true);
  expect(aggregatorB.aggregateOthers("f3").successors).toEqual([["e1", "e9"]]);
  expect(aggregatorA.aggregateOthers("f1")).toEqual(summary);
});

test("an entry instance counts as reporting only at the control instance it reports to", () => {
  let nowMs = 0;
  const aggregator = createEngineLoadAggregator({ getNowMs: () => nowMs });
  aggregator.record("f1", { loads: [], lostIds: [] }, false);
  expect(aggregator.isReporting("f1")).toBe(true);
  expect(aggregator.isReporting("f2")).toBe(false);
  nowMs = 10_000;
  expect(aggregator.isReporting("f1")).toBe(false);
});
