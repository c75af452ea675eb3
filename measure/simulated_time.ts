/**
 * Simulated time for trials of decision code that may be asynchronous. Actions
 * run in order of their scheduled time, and the clock jumps from one to the
 * next.
 */
import type { Clock } from "../src/core/clock.ts";

export interface SimulatedTime {
  readonly clock: Clock;
  scheduleAt(timeMs: number, action: () => void): void;
  scheduleEvery(intervalMs: number, firstMs: number, action: () => void): void;
  run(untilMs: number): Promise<void>;
}

interface ScheduledAction {
  readonly timeMs: number;
  readonly order: number;
  readonly action: () => void;
}

export function createSimulatedTime(): SimulatedTime {
  const heap: ScheduledAction[] = [];
  let nowMs = 0;
  let nextOrder = 0;
  const clock: Clock = {
    nowMs: () => nowMs,
    wallMs: () => nowMs,
    sleep: (delayMs) =>
      new Promise((resolve) => scheduleAt(nowMs + delayMs, () => resolve())),
  };
  return { clock, scheduleAt, scheduleEvery, run };

  function scheduleAt(timeMs: number, action: () => void): void {
    heap.push({ timeMs, order: nextOrder++, action });
    let index = heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(heap[index]!, heap[parent]!)) break;
      swap(index, parent);
      index = parent;
    }
  }

  function scheduleEvery(
    intervalMs: number,
    firstMs: number,
    action: () => void,
  ): void {
    scheduleAt(firstMs, () => {
      action();
      scheduleEvery(intervalMs, firstMs + intervalMs, action);
    });
  }

  async function run(untilMs: number): Promise<void> {
    while (heap.length > 0 && heap[0]!.timeMs <= untilMs) {
      const event = pop();
      nowMs = event.timeMs;
      event.action();
      // Lets the continuations of promises that the action resolved run first.
      await null;
      await null;
      await null;
    }
    nowMs = untilMs;
  }

  function pop(): ScheduledAction {
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return first;
    heap[0] = last;
    let index = 0;
    while (true) {
      const left = 2 * index + 1;
      const right = left + 1;
      let smallest = index;
      if (left < heap.length && isBefore(heap[left]!, heap[smallest]!)) {
        smallest = left;
      }
      if (right < heap.length && isBefore(heap[right]!, heap[smallest]!)) {
        smallest = right;
      }
      if (smallest === index) return first;
      swap(index, smallest);
      index = smallest;
    }
  }

  function swap(left: number, right: number): void {
    [heap[left], heap[right]] = [heap[right]!, heap[left]!];
  }
}

function isBefore(left: ScheduledAction, right: ScheduledAction): boolean {
  return left.timeMs !== right.timeMs
    ? left.timeMs < right.timeMs
    : left.order < right.order;
}
