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
