/**
 * Tests which engines are used before the list names them, and for how long.
 * The load pattern is a crash of most engines of a failure domain: they come
 * back at their addresses under other ids, seconds before the list says so.
 */
import { expect, test } from "vitest";
import { createSilentLogger } from "../core/logger.ts";
import { createRandom } from "../core/random.ts";
import type { ListedUpstream } from "../upstreams/upstream_view.ts";
import { mayBeSuccessor } from "./successor_discovery.ts";
import { createUpstreamDirectory } from "./upstream_directory.ts";

const listed: ListedUpstream = {
  upstreamId: "e1",
  service: "model",
  host: "10.0.0.1",
  port: 80,
  domainId: "a",
  version: "v1",
  maxRunning: 12,
  isLeaving: false,
  isCold: false,
  versionShare: 1,
};
const other: ListedUpstream = { ...listed, upstreamId: "e2", port: 81 };

function createDirectory() {
  let nowMs = 0;
  const clock = {
    nowMs: () => nowMs,
    wallMs: () => nowMs,
    sleep: () => Promise.resolve(),
  };
  const directory = createUpstreamDirectory({
    clock,
    logger: createSilentLogger(),
    random: createRandom(1),
    onUpstreamLost: () => {},
    canRouteToCandidates: () => true,
  });
  directory.update([listed, other]);
  const listAvailableIds = () =>
    directory.listUsable("model").filter(({ suspendedUntilMs }) =>
      suspendedUntilMs <= nowMs
    ).map(({ info }) => info.upstreamId);
  return {
    directory,
    listAvailableIds,
    advance: (durationMs: number) => nowMs += durationMs,
  };
}

test("only an id that the service's single version can explain is a candidate", () => {
  const evidence = {
    intended: listed,
    responderId: "e9",
    soleEngineService: "model",
    versionCount: 1,
  };
  expect(mayBeSuccessor(evidence)).toBe(true);
  for (
    const change of [
      { responderId: undefined },
      { responderId: "" },
      { responderId: "e1" },
      { responderId: "x".repeat(201) },
      { soleEngineService: undefined },
      { soleEngineService: "another" },
      { versionCount: 2 },
    ]
  ) {
    expect(mayBeSuccessor({ ...evidence, ...change })).toBe(false);
  }
});

test("a successor replaces its predecessor until the list names one of them no more", () => {
  const { directory, listAvailableIds, advance } = createDirectory();
  const add = () =>
    directory.addSuccessor({
      predecessorId: "e1",
      successorId: "e9",
      isFoundHere: true,
    });
  add();
  expect(listAvailableIds()).toEqual(["e2", "e9"]);
  advance(20_000);
  directory.update([listed, other]);
  expect(listAvailableIds()).toEqual(["e2", "e9"]);
  expect(directory.getLocalLoadSummary().successors).toEqual([["e1", "e9"]]);
  // The list names another upstream at the address: the successor is gone.
  directory.update([other, { ...listed, upstreamId: "e10" }]);
  expect(listAvailableIds()).toEqual(["e2", "e10"]);

  directory.update([listed, other]);
  add();
  directory.update([other, { ...listed, upstreamId: "e9" }]);
  expect(listAvailableIds()).toEqual(["e2", "e9"]);
  expect(directory.getLocalLoadSummary().successors).toBeUndefined();
  // Once listed, it is treated like any other upstream.
  directory.update([listed, other]);
  expect(directory.get("e9")).toBeUndefined();
});

test("a successor that another instance found is used but not reported again", () => {
  const { directory, listAvailableIds } = createDirectory();
  for (const id of ["e1", "e2"]) directory.recordLoss(id, "reset");
  expect(directory.isDomainSuspected("model", "a")).toBe(true);
  directory.setRemoteLoadSummary({
    loads: [],
    lostIds: [],
    successors: [["e1", "e9"], ["unknown", "e11"]],
  });
  expect(listAvailableIds()).toEqual(["e9"]);
  expect(directory.isDomainSuspected("model", "a")).toBe(false);
  expect(directory.getLocalLoadSummary().successors).toBeUndefined();
  expect(directory.get("e11")).toBeUndefined();
});

test("a leaving engine has no successor", () => {
  const { directory, listAvailableIds } = createDirectory();
  directory.update([{ ...listed, isLeaving: true }, other]);
  directory.addSuccessor({
    predecessorId: "e1",
    successorId: "e9",
    isFoundHere: true,
  });
  expect(listAvailableIds()).toEqual(["e2"]);
});
