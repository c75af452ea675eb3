/**
 * Runs actions in order of their scheduled time. The clock advances only to the
 * time of the next action.
 */

interface QueueEntry {
  readonly atMs: number;
  readonly order: number;
  readonly action: () => void;
}

export function createEventQueue() {
  const heap: QueueEntry[] = [];
  let nowMs = 0;
  let order = 0;
  return { nowMs: () => nowMs, schedule, runUntil };

  function schedule(delayMs: number, action: () => void): void {
    heap.push({ atMs: nowMs + delayMs, order: order++, action });
    let child = heap.length - 1;
    while (child > 0) {
      const parent = (child - 1) >> 1;
      if (!isBefore(heap[child]!, heap[parent]!)) return;
      [heap[child], heap[parent]] = [heap[parent]!, heap[child]!];
      child = parent;
    }
  }

  function runUntil(endMs: number, isDone: () => boolean = () => false): void {
    while (heap.length > 0 && heap[0]!.atMs <= endMs && !isDone()) {
      const entry = pop();
      nowMs = entry.atMs;
      entry.action();
    }
    if (!isDone()) nowMs = endMs;
  }

  function pop(): QueueEntry {
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return first;
    heap[0] = last;
    let parent = 0;
    while (true) {
      let least = parent;
      for (const child of [2 * parent + 1, 2 * parent + 2]) {
        if (child < heap.length && isBefore(heap[child]!, heap[least]!)) {
          least = child;
        }
      }
      if (least === parent) return first;
      [heap[parent], heap[least]] = [heap[least]!, heap[parent]!];
      parent = least;
    }
  }
}

function isBefore(left: QueueEntry, right: QueueEntry): boolean {
  return left.atMs < right.atMs ||
    (left.atMs === right.atMs && left.order < right.order);
}
