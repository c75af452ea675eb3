import { expect, test } from "vitest";
import { createPauseWatch } from "./pause_watch.ts";

function createWatch() {
  const time = { monotonicMs: 5_000, wallMs: 1_000_000 };
  const pauses = createPauseWatch({
    clock: {
      nowMs: () => time.monotonicMs,
      wallMs: () => time.wallMs,
      sleep: () => Promise.resolve(),
    },
    limitMs: 500,
  });
  return {
    hasPausedSince: pauses.hasPausedSince,
    pass: (monotonicMs: number, wallMs = monotonicMs) => {
      time.monotonicMs += monotonicMs;
      time.wallMs += wallMs;
      return time.monotonicMs;
    },
  };
}

test.each([
  ["a stopped process", 7_500, 7_500],
  ["a suspended machine, whose monotonic clock stands still", 0, 7_500],
])("the pause of %s is noticed at once", (_name, monotonicMs, wallMs) => {
  const { hasPausedSince, pass } = createWatch();
  expect(hasPausedSince(0)).toBe(false);
  const endedAtMs = pass(monotonicMs, wallMs);
  expect(hasPausedSince(endedAtMs)).toBe(true);
  const nowMs = pass(100);
  expect(hasPausedSince(nowMs)).toBe(false);
  expect(hasPausedSince(endedAtMs)).toBe(true);
});

test("a late timer and a time of day that is set back are no pause", () => {
  const { hasPausedSince, pass } = createWatch();
  pass(550);
  expect(hasPausedSince(0)).toBe(false);
  pass(100, -5_000);
  expect(hasPausedSince(0)).toBe(false);
});
