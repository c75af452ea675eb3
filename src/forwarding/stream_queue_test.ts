import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createStreamQueue } from "./stream_queue.ts";
import { type WaitingOrder, WaitingPhase } from "./stream_scheduling.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const usual: WaitingOrder = {
  hasBegun: false,
  rank: 1,
  phase: WaitingPhase.OnTime,
  startByMs: 5_000,
};

test("what becomes free goes to begun streams, then by rank, phase and latest start", () => {
  const queue = createStreamQueue();
  const gone: string[] = [];
  const add = (name: string, order: Partial<WaitingOrder>) =>
    queue.add({
      service: "model",
      getOrder: () => ({ ...usual, ...order }),
      goOn: () => gone.push(name),
    });
  add("late", { phase: WaitingPhase.Late, startByMs: 0 });
  add("relaxed", { startByMs: 9_000 });
  add("pressing", { startByMs: 1_000 });
  add("overdue", { phase: WaitingPhase.Overdue, startByMs: 0 });
  add("urgent", { rank: 0, startByMs: 8_000 });
  add("begun", { hasBegun: true, startByMs: 9_000 });
  expect(queue.countAhead("model", usual)).toBe(4);
  vi.advanceTimersByTime(60);
  expect(gone).toEqual([
    "begun",
    "urgent",
    "overdue",
    "pressing",
    "relaxed",
    "late",
  ]);
  expect(queue.count()).toBe(0);
});

test("a stream that left isn't called, and one that waits on is called again", () => {
  const queue = createStreamQueue();
  const calls: string[] = [];
  const leave = queue.add({
    service: "model",
    getOrder: () => ({ ...usual, rank: 2 }),
    goOn: () => calls.push("left"),
  });
  const wait = () => {
    queue.add({
      service: "model",
      getOrder: () => usual,
      goOn: () => {
        calls.push("waits");
        leave();
        wait();
      },
    });
  };
  wait();
  vi.advanceTimersByTime(110);
  expect(calls).toEqual(["waits", "waits"]);
  expect(queue.countOf("model")).toBe(1);
});

// Guards against checks that hold up the process: each stream counted all others.
test("a check of all streams that may wait compares each one with few others", () => {
  const streamCount = 1_000;
  const queue = createStreamQueue();
  let readCount = 0;
  let goneCount = 0;
  const aheadCounts: number[] = [];
  const add = (index: number) => {
    const order = {
      ...usual,
      get startByMs() {
        readCount += 1;
        return index * 7 % streamCount;
      },
    };
    queue.add({
      service: "model",
      getOrder: () => order,
      goOn: () => {
        goneCount += 1;
        aheadCounts.push(queue.countAhead("model", order));
        queue.countOf("model");
        add(index);
      },
    });
  };
  for (let index = 0; index < streamCount; index++) add(index);
  readCount = 0;
  vi.advanceTimersByTime(60);
  expect(goneCount).toBe(streamCount);
  expect(aheadCounts).toEqual(aheadCounts.map((_, index) => index));
  // Sorting once and four searches each: 5 n log2(n) comparisons of two orders.
  expect(readCount).toBeLessThan(2 * 5 * streamCount * Math.log2(streamCount));
});
