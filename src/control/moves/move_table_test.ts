import { expect, test } from "vitest";
import type { ListedUpstream } from "../../upstreams/upstream_view.ts";
import { createAnswerCountAggregator } from "./answer_count_aggregator.ts";
import type { AnswerReport } from "./answer_reports.ts";
import { createMoveTable } from "./move_table.ts";
import { MovePhase, type MoveProgress } from "./move_types.ts";
import { assignFallbackShares, assignShares } from "./version_shares.ts";

const order = {
  service: "app",
  target: "v2",
  stableVersions: ["v1"],
  durationMs: 12_000,
};

function progress(
  phase: MovePhase,
  share: number,
  elapsedMs = 1_000,
): MoveProgress {
  return { service: "app", target: "v2", phase, share, elapsedMs, reason: "" };
}

function list(...versions: string[]): ListedUpstream[] {
  return versions.map((version, index) => ({
    upstreamId: `i-${index}`,
    service: "app",
    host: "10.0.0.1",
    port: 80 + index,
    domainId: "domain-a",
    version,
    maxRunning: 6,
    isLeaving: false,
    isCold: false,
    versionShare: 1,
  }));
}

test("a resent order changes nothing", () => {
  const table = createMoveTable();
  expect(table.start(order)).toEqual({ status: "started" });
  table.advance(progress(MovePhase.RolledBack, 0));
  expect(table.start(order)).toEqual({ status: "repeated" });
  expect(table.get("app")?.phase).toBe(MovePhase.RolledBack);
});

test("only one move of a service runs at a time", () => {
  const table = createMoveTable();
  table.start(order);
  expect(table.start({ ...order, target: "v3" })).toEqual({
    status: "conflict",
  });
  table.advance(progress(MovePhase.Complete, 1));
  expect(table.start({ ...order, target: "v3" })).toEqual({
    status: "started",
  });
});

test("a step of a former leader does not undo a later step", () => {
  const table = createMoveTable();
  table.start(order);
  table.advance(progress(MovePhase.Moving, 1, 9_000));
  table.advance(progress(MovePhase.Watching, 0.08, 9_100));
  table.advance(progress(MovePhase.RolledBack, 0, 8_000));
  expect(table.get("app")).toMatchObject({ phase: MovePhase.Moving, share: 1 });
  table.advance(progress(MovePhase.RolledBack, 0, 9_500));
  table.advance(progress(MovePhase.Complete, 1, 9_600));
  expect(table.get("app")?.phase).toBe(MovePhase.RolledBack);
});

test("a step of an earlier move to the same version changes nothing", () => {
  const table = createMoveTable();
  table.start(order);
  table.advance(progress(MovePhase.Complete, 1));
  table.start({ ...order, target: "v3" });
  table.advance({ ...progress(MovePhase.Complete, 1), target: "v3" });
  expect(table.start({ ...order, afterNumber: 2 })).toEqual({
    status: "started",
  });
  table.advance({ ...progress(MovePhase.Complete, 1, 9_000), number: 1 });
  expect(table.get("app")?.phase).toBe(MovePhase.Watching);
  table.advance({ ...progress(MovePhase.Complete, 1, 9_000), number: 3 });
  expect(table.get("app")?.phase).toBe(MovePhase.Complete);
});

test("moves of a snapshot without numbers are followed by numbered ones", () => {
  const table = createMoveTable();
  const state = { phase: MovePhase.Complete, share: 1, elapsedMs: 1_000 };
  table.restore([{ ...order, ...state, reason: "" }]);
  const next = { ...order, target: "v3" };
  expect(table.start({ ...next, afterNumber: 0 }).status).toBe("overtaken");
  expect(table.start({ ...next, afterNumber: 1 }).status).toBe("started");
  expect(table.get("app")?.number).toBe(2);
});

test("a restored table has the moves of the snapshot", () => {
  const table = createMoveTable();
  table.start(order);
  table.advance(progress(MovePhase.Watching, 0.08, 2_000));
  const restored = createMoveTable();
  restored.restore(table.list());
  expect(restored.get("app")).toEqual(table.get("app"));
});

test("shares follow the move, and stable versions get no requests after it", () => {
  const table = createMoveTable();
  const getShares = () =>
    assignShares(list("v1", "v2"), table.get).map((entry) =>
      entry.versionShare
    );
  expect(getShares()).toEqual([1, 1]);
  table.start(order);
  expect(getShares()).toEqual([1, 0]);
  table.advance(progress(MovePhase.Watching, 0.08));
  expect(getShares()).toEqual([1, 0.08]);
  table.advance(progress(MovePhase.Complete, 1));
  expect(getShares()).toEqual([0, 1]);
});

// The upstreams of a version that was rolled back got a full share again when
// the next version was ordered before they had left.
test("a version that was rolled back gets nothing while the next one is moved to", () => {
  const getShares = (table: ReturnType<typeof createMoveTable>) =>
    assignShares(list("v1", "v2", "v3"), table.get).map((entry) =>
      entry.versionShare
    );
  const table = createMoveTable();
  table.start(order);
  table.advance(progress(MovePhase.RolledBack, 0));
  expect(getShares(table)).toEqual([1, 0, 1]);
  table.start({ ...order, target: "v3", stableVersions: ["v1", "v2"] });
  expect(table.get("app")?.stableVersions).toEqual(["v1"]);
  expect(getShares(table)).toEqual([1, 0, 0]);
  table.advance({ ...progress(MovePhase.Watching, 0.08), target: "v3" });
  const restored = createMoveTable();
  restored.restore(structuredClone(table.list()));
  expect(getShares(restored)).toEqual([1, 0, 0.08]);
  table.advance({ ...progress(MovePhase.Complete, 1), target: "v3" });
  expect(getShares(table)).toEqual([0, 0, 1]);
  // Ordered again, it may prove itself.
  table.start({ ...order, stableVersions: ["v3"] });
  table.advance(progress(MovePhase.Watching, 0.08));
  expect(getShares(table)).toEqual([1, 0.08, 1]);
});

test("without control, no requests go to a candidate or unknown version", () => {
  const known = [
    { ...list("v1")[0]!, versionShare: 1 },
    { ...list("v2")[0]!, versionShare: 0.08 },
  ];
  expect(
    assignFallbackShares(list("v1", "v2", "v3"), known).map((entry) =>
      entry.versionShare
    ),
  ).toEqual([1, 0, 0]);
  // No known version is listed any more, so the unknown one gets all requests.
  expect(
    assignFallbackShares(list("v2", "v3"), known).map((entry) =>
      entry.versionShare
    ),
  )
    .toEqual([0, 1]);
  expect(
    assignFallbackShares(list("v1", "v2"), []).map((entry) =>
      entry.versionShare
    ),
  )
    .toEqual([1, 1]);
});

test("totals survive a restart of an instance and are not counted twice", () => {
  const aggregator = createAnswerCountAggregator({ getNowMs: () => 0 });
  const instance = { instanceId: "10.0.0.1", incarnation: 1 };
  const report = (...answers: AnswerReport["answers"]): AnswerReport => ({
    answers,
    latencies: answers.map(([service, version, answered]) => ({
      service,
      version,
      durations: [[10, answered]],
      paces: [],
      abandoned: [],
      waiting: [],
    })),
    typical: [],
  });
  aggregator.record(instance, report(["app", "v2", 4, 1]));
  aggregator.record(
    instance,
    report(["app", "v2", 6, 1], ["app", "v1", 90, 2]),
  );
  aggregator.record(
    { ...instance, incarnation: 2 },
    report(["app", "v2", 1, 1]),
  );
  expect(aggregator.getTotal("app", ["v2"])).toMatchObject({
    answeredCount: 7,
    badCount: 2,
    durations: [[10, 7]],
  });
});
