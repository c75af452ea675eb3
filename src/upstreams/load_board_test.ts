import { expect, test } from "vitest";
import { createLoadBoard } from "./load_board.ts";

test("each entry instance hears of the work of all others, over control instances too", () => {
  const nowMs = 0;
  const boardA = createLoadBoard({ getNowMs: () => nowMs });
  const boardB = createLoadBoard({ getNowMs: () => nowMs });
  boardA.record("f1", { loads: [["e1", 1, 8_000, 9_000]], lostIds: [] }, false);
  boardA.record("f2", {
    loads: [["e1", 2, 0, 18_000], ["e2", 1, 0, 9_000]],
    lostIds: ["e7"],
  }, false);
  boardB.record("f3", { loads: [["e2", 1, 500, 9_000]], lostIds: [] }, false);
  boardA.record("controlB", boardB.getReported(), true);
  boardB.record("controlA", boardA.getReported(), true);
  expect(boardA.getOthers("f1")).toEqual({
    loads: [["e1", 2, 0, 18_000], ["e2", 2, 500, 18_000]],
    lostIds: ["e7"],
  });
  expect(boardB.getOthers("f3").loads).toEqual([
    ["e1", 3, 8_000, 27_000],
    ["e2", 1, 0, 9_000],
  ]);
  // What came from another control instance is not told back to it.
  expect(boardA.getReported().loads).toEqual([
    ["e1", 3, 8_000, 27_000],
    ["e2", 1, 0, 9_000],
  ]);
});

test("work that is not reported any more is forgotten", () => {
  let nowMs = 0;
  const board = createLoadBoard({ getNowMs: () => nowMs });
  board.record("f1", { loads: [["e1", 1, 0, 9_000]], lostIds: ["e1"] }, false);
  nowMs = 1_400;
  expect(board.getOthers("f2").loads).toHaveLength(1);
  nowMs = 1_600;
  expect(board.getOthers("f2")).toEqual({ loads: [], lostIds: [] });
});
