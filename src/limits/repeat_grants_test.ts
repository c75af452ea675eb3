/** Tests of the repeats that an instance asks the control leader for. */
import { expect, test, vi } from "vitest";
import { createRepeatGrants } from "./repeat_grants.ts";
import { RepeatUrgency } from "./repeat_window.ts";

const service = "plan";
const urgency = RepeatUrgency.Begun;

function createTestGrants(grant: (units: number) => number) {
  vi.useFakeTimers();
  let nowMs = 0;
  const requests: number[] = [];
  const grants = createRepeatGrants({
    clock: { nowMs: () => nowMs },
    request: (_service, units) => {
      requests.push(units);
      return Promise.resolve(grant(units));
    },
  });
  return {
    requests,
    tryTake: () => grants.tryTake(service, urgency),
    advance: async (ms: number) => {
      nowMs += ms;
      await vi.advanceTimersByTimeAsync(ms);
    },
  };
}

test("streams that lose their engine together ask once for all of them", async () => {
  // Guards against a round trip to the leader for each of them.
  const { requests, tryTake, advance } = createTestGrants((units) => units);
  for (let stream = 0; stream < 5; stream++) expect(tryTake()).toBe(false);
  await advance(10);
  expect(requests).toEqual([5]);
  for (let stream = 0; stream < 5; stream++) expect(tryTake()).toBe(true);
  expect(tryTake()).toBe(false);
});

test("a stream that asks again while the leader grants nothing counts once", async () => {
  // Guards against grants that nobody uses and the leader counts: ten streams had
  // asked for fifty repeats after a refusal.
  let granted = 0;
  const { requests, tryTake, advance } = createTestGrants((units) =>
    Math.min(units, granted)
  );
  for (let check = 0; check < 6; check++) {
    for (let stream = 0; stream < 10; stream++) tryTake();
    await advance(50);
    granted = 100;
  }
  expect(requests).toEqual([10, 10]);
});

test("an unused grant is not drawn when the leader has forgotten it", async () => {
  const { tryTake, advance } = createTestGrants((units) => units);
  tryTake();
  await advance(10);
  await advance(1_000);
  expect(tryTake()).toBe(false);
});

test("a leader that grants nothing is asked again after a pause", async () => {
  // Guards against requests to the leader at each check of each waiting stream.
  const { requests, tryTake, advance } = createTestGrants(() => 0);
  for (let check = 0; check < 20; check++) {
    expect(tryTake()).toBe(false);
    await advance(50);
  }
  expect(requests.length).toBeGreaterThan(1);
  expect(requests.length).toBeLessThanOrEqual(6);
});
