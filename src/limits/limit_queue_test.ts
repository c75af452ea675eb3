import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createLimitQueue, type WaitingRequest } from "./limit_queue.ts";

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

function createQueue(ratePerS: number) {
  let allowance = 0;
  const sent: string[] = [];
  const refused: string[] = [];
  const queue = createLimitQueue({
    clock: { nowMs: () => Date.now() },
    listUpstreamIds: () => ["upstream-1"],
    getRatePerS: () => ratePerS,
  });
  return {
    queue,
    sent,
    refused,
    allow: (count: number) => {
      allowance += count;
      vi.advanceTimersByTime(20);
    },
    add: (
      name: string,
      { priority = 1, waitMs }: { priority?: number; waitMs: number },
    ) =>
      queue.add(
        "app",
        {
          priority,
          sendBeforeMs: Date.now() + waitMs,
          send: () => {
            if (allowance < 1) return false;
            allowance -= 1;
            sent.push(name);
            return true;
          },
          refuse: () => refused.push(name),
        } satisfies WaitingRequest,
      ),
  };
}

test("the most urgent request goes first, then the one with the least time", () => {
  const { add, allow, sent } = createQueue(10);
  add("late", { waitMs: 5_000 });
  add("soon", { waitMs: 2_000 });
  add("urgent", { waitMs: 9_000, priority: 0 });
  allow(2);
  expect(sent).toEqual(["urgent", "soon"]);
  allow(1);
  expect(sent).toEqual(["urgent", "soon", "late"]);
});

test("a request that can't be sent in time is refused at once", () => {
  const { add, refused, queue } = createQueue(2);
  for (const name of ["a", "b", "c"]) add(name, { waitMs: 800 });
  expect(refused).toEqual(["c"]);
  add("urgent", { waitMs: 800, priority: 0 });
  expect(refused).toEqual(["c", "b"]);
  expect(queue.count()).toBe(2);
});

test("a request that has waited too long is refused, and a removed one is not sent", () => {
  const { add, allow, sent, refused, queue } = createQueue(10);
  add("waits", { waitMs: 300 });
  const remove = add("leaves", { waitMs: 5_000 });
  remove();
  vi.advanceTimersByTime(400);
  expect(refused).toEqual(["waits"]);
  allow(2);
  expect(sent).toEqual([]);
  expect(queue.count()).toBe(0);
  expect(vi.getTimerCount()).toBe(0);
});
