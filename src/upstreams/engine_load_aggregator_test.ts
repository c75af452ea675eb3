import fc from "fast-check";
import { expect, test } from "vitest";
import { createEngineLoadAggregator } from "./engine_load_aggregator.ts";
import type { EngineLoadSummary } from "./engine_load_summary.ts";

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
  // The order of the entries has no meaning.
  expect([...aggregatorB.aggregateOthers("f3").loads].sort()).toEqual([
    ["e1", 3, 8_000, 27_000],
    ["e2", 1, 0, 9_000],
  ]);
  // Summaries of another control instance are not reported back to it.
  expect(aggregatorA.aggregateEntryReports().loads).toEqual([
    ["e1", 3, 8_000, 27_000],
    ["e2", 1, 0, 9_000],
  ]);
});

test("each entry instance receives the demand of all others, until it expires", () => {
  let nowMs = 0;
  const aggregator = createEngineLoadAggregator({ getNowMs: () => nowMs });
  const report = (...demands: [string, number][]): EngineLoadSummary => ({
    loads: [],
    lostIds: [],
    demands,
  });
  const getOthers = (exceptId: string) =>
    aggregator.aggregateOthers(exceptId).demands;
  aggregator.record("f1", report(["app", 1_500], ["model", 200]), false);
  aggregator.record("f2", report(["app", 500]), false);
  aggregator.record("controlB", report(["app", 7_000]), true);
  expect(getOthers("f1")).toEqual([["app", 7_500]]);
  expect(getOthers("f2")).toEqual([["app", 8_500], ["model", 200]]);
  aggregator.record("f1", report(["app", 100]), false);
  expect(getOthers("f2")).toEqual([["app", 7_100]]);
  nowMs = 2_000;
  aggregator.record("f2", report(["app", 500]), false);
  expect(getOthers("f2")).toBeUndefined();
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

const idArbitrary = fc.constantFrom("e1", "e2", "e3");
const summaryArbitrary = fc.record({
  loads: fc.uniqueArray(
    fc.tuple(idArbitrary, fc.nat(9), fc.nat(90_000), fc.nat(90_000)),
    { selector: ([upstreamId]) => upstreamId },
  ),
  lostIds: fc.uniqueArray(idArbitrary),
  // Instances of an earlier build report no speeds.
  speeds: fc.option(
    fc.uniqueArray(
      fc.tuple(
        idArbitrary,
        fc.integer({ min: 1, max: 50 }),
        fc.nat(90_000),
        fc.nat(50),
        fc.nat(900_000),
        fc.nat(90_000),
      ),
      { selector: ([upstreamId]) => upstreamId },
    ),
    { nil: undefined },
  ),
}).map(({ speeds, ...summary }): EngineLoadSummary =>
  speeds ? { ...summary, speeds } : summary
);
const stepArbitrary = fc.record({
  fromId: fc.constantFrom("f1", "f2", "f3", "c2"),
  summary: summaryArbitrary,
  passedMs: fc.nat(900),
});

/** Adds up all reports anew, which is what the kept sums must equal. */
function addUp(summaries: readonly EngineLoadSummary[]) {
  const loads = new Map<string, number[]>();
  for (const [upstreamId, ...values] of summaries.flatMap((one) => one.loads)) {
    const sums = loads.get(upstreamId) ?? [0, 0, 0];
    loads.set(upstreamId, sums.map((sum, index) => sum + values[index]!));
  }
  const lostIds = new Set(summaries.flatMap((one) => one.lostIds));
  const speeds = new Map<string, number[]>();
  for (
    const [upstreamId, ...values] of summaries.flatMap((one) =>
      one.speeds ?? []
    )
  ) {
    const sums = speeds.get(upstreamId) ?? [0, 0, 0, 0, 0];
    speeds.set(upstreamId, sums.map((sum, index) => sum + values[index]!));
  }
  return {
    speeds: [...speeds].map(([upstreamId, sums]) => [upstreamId, ...sums])
      .sort(),
    loads: [...loads].map(([upstreamId, sums]) => [upstreamId, ...sums]).sort(),
    lostIds: [...lostIds].sort(),
  };
}

test("the kept sums equal the sums of all reports after any order of reports and pauses", () => {
  fc.assert(fc.property(fc.array(stepArbitrary), (steps) => {
    let nowMs = 0;
    const aggregator = createEngineLoadAggregator({ getNowMs: () => nowMs });
    const reports = new Map<
      string,
      { summary: EngineLoadSummary; atMs: number }
    >();
    for (const { fromId, summary, passedMs } of steps) {
      nowMs += passedMs;
      aggregator.record(fromId, summary, fromId === "c2");
      reports.set(fromId, { summary, atMs: nowMs });
      const recent = [...reports].filter(([, { atMs }]) =>
        nowMs - atMs <= 1_500
      );
      const select = (isIncluded: (id: string) => boolean) =>
        addUp(
          recent.filter(([id]) => isIncluded(id)).map(([, one]) => one.summary),
        );
      const sort = ({ loads, lostIds, speeds }: EngineLoadSummary) => ({
        speeds: [...speeds ?? []].sort(),
        loads: [...loads].sort(),
        lostIds: [...lostIds].sort(),
      });
      expect(sort(aggregator.aggregateOthers("f1")))
        .toEqual(select((id) => id !== "f1"));
      expect(sort(aggregator.aggregateEntryReports()))
        .toEqual(select((id) => id !== "c2"));
    }
  }));
});
