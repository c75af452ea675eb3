/**
 * Simulated time for trials that drive decision code: events run in the order
 * of their time, and the clock jumps from one to the next.
 */
import type { Clock } from "../src/core/clock.ts";

export interface SimulatedTime {
  readonly clock: Clock;
  at(timeMs: number, action: () => void): void;
  every(intervalMs: number, firstMs: number, action: () => void): void;
  run(untilMs: number): Promise<void>;
}

interface Event {
  readonly timeMs: number;
  readonly order: number;
  readonly action: () => void;
}

export function createSimulatedTime(): SimulatedTime {
  const heap: Event[] = [];
  let nowMs = 0;
  let nextOrder = 0;
  const clock: Clock = {
    nowMs: () => nowMs,
    wallMs: () => nowMs,
    sleep: (delayMs) =>
      new Promise((resolve) => at(nowMs + delayMs, () => resolve())),
  };
  return { clock, at, every, run };

  function at(timeMs: number, action: () => void): void {
    heap.push({ timeMs, order: nextOrder++, action });
    let index = heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(heap[index]!, heap[parent]!)) break;
      swap(index, parent);
      index = parent;
    }
  }

  function every(
    intervalMs: number,
    firstMs: number,
    action: () => void,
  ): void {
    at(firstMs, () => {
      action();
      every(intervalMs, firstMs + intervalMs, action);
    });
  }

  async function run(untilMs: number): Promise<void> {
    while (heap.length > 0 && heap[0]!.timeMs <= untilMs) {
      const event = take();
      nowMs = event.timeMs;
      event.action();
      // Promises that the event resolved continue before time goes on.
      await null;
      await null;
      await null;
    }
    nowMs = untilMs;
  }

  function take(): Event {
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

function isBefore(left: Event, right: Event): boolean {
  return left.timeMs !== right.timeMs
    ? left.timeMs < right.timeMs
    : left.order < right.order;
}
