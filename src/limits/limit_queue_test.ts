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

// Guards against callers that repeat at once, late calls, and a customer with
// many calls displacing the others.
test("the order counts repetitions, objectives and customers", () => {
  const queue = createLimitQueue({
    clock: { nowMs: () => Date.now() },
    listUpstreamIds: () => ["upstream-1"],
    getRatePerS: () => undefined,
  });
  const sent: string[] = [];
  const refused: string[] = [];
  let isFree = false;
  const add = (name: string, request: Partial<WaitingRequest>, maxCount = 9) =>
    queue.add("app", {
      priority: 1,
      customerId: "many",
      onTimeBeforeMs: Date.now() + 100,
      sendBeforeMs: Date.now() + 5_000,
      send: () => isFree && sent.push(name) > 0,
      refuse: (_backlogMs, reason) => refused.push(`${name} ${reason}`),
      ...request,
    }, maxCount);
  add("repeats early", { isEarlyReturn: true, priority: 0 });
  add("late", { onTimeBeforeMs: Date.now() - 1 });
  for (const name of ["1", "2", "3"]) add(name, {});
  add("other customer", { customerId: "few" });
  add("returned", { isReturn: true });
  add("urgent", { priority: 0 });
  add("too many", { isEarlyReturn: true }, 8);
  expect(refused).toEqual(["too many queueFull"]);
  isFree = true;
  vi.advanceTimersByTime(20);
  expect(sent).toEqual([
    "urgent",
    "returned",
    "1",
    "2",
    "other customer",
    "3",
    "late",
    "repeats early",
  ]);
});
