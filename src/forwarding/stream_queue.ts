/**
 * The streams that wait at this instance: for room at the engines, for an engine
 * that can be reached, or for the retry budget. At each check they go on in
 * order, so what became free goes to the streams that come first; one that has to
 * wait on is added again.
 */
import { compareWaiting, type WaitingOrder } from "./stream_scheduling.ts";

export interface WaitingStream {
  readonly service: string;
  /** Read when the stream is added; does not change while it waits. */
  getOrder(): WaitingOrder;
  goOn(): void;
}

export interface StreamQueue {
  /** Returns a function that removes the stream. */
  add(stream: WaitingStream): () => void;
  /** Counts the streams of the service that go before one with the order. */
  countAhead(service: string, order: WaitingOrder): number;
  countOf(service: string): number;
  /** Records that a stream that had waited for room was placed. */
  recordRelease(service: string, nowMs: number): void;
  getLastReleaseAtMs(service: string): number;
  count(): number;
}

/** Short against the time to the first event, which is a second or more. */
const checkIntervalMs = 50;

interface Entry {
  readonly stream: WaitingStream;
  readonly order: WaitingOrder;
  /** Equal ones go on in the order in which they were added. */
  readonly sequence: number;
  isWaiting: boolean;
}

export function createStreamQueue(): StreamQueue {
  /** In order, by service. Counting all streams for each would be quadratic. */
  const queues = new Map<string, Entry[]>();
  /** By service, of which the configuration has a bounded number. */
  const lastReleaseAtMs = new Map<string, number>();
  let waitingCount = 0;
  let sequence = 0;
  let timer: NodeJS.Timeout | undefined;
  return {
    add,
    countAhead: (service, order) =>
      countBefore(
        queues.get(service) ?? [],
        (entry) => compareWaiting(entry.order, order) < 0,
      ),
    countOf: (service) => queues.get(service)?.length ?? 0,
    recordRelease: (service, nowMs) => lastReleaseAtMs.set(service, nowMs),
    getLastReleaseAtMs: (service) => lastReleaseAtMs.get(service) ?? -Infinity,
    count: () => waitingCount,
  };

  function add(stream: WaitingStream): () => void {
    sequence += 1;
    const entry = {
      stream,
      order: stream.getOrder(),
      sequence,
      isWaiting: true,
    };
    const queue = queues.get(stream.service) ?? [];
    queues.set(stream.service, queue);
    queue.splice(findIndex(queue, entry), 0, entry);
    waitingCount += 1;
    timer ??= setInterval(check, checkIntervalMs);
    return () => {
      remove(entry);
      stopIfEmpty();
    };
  }

  function remove(entry: Entry): void {
    if (!entry.isWaiting) return;
    entry.isWaiting = false;
    waitingCount -= 1;
    const { service } = entry.stream;
    const queue = queues.get(service)!;
    queue.splice(findIndex(queue, entry), 1);
    if (queue.length === 0) queues.delete(service);
  }

  function check(): void {
    const ordered = [...queues.values()].flat().sort(compareEntries);
    for (const entry of ordered) {
      // An earlier one may have ended it.
      if (!entry.isWaiting) continue;
      remove(entry);
      entry.stream.goOn();
    }
    stopIfEmpty();
  }

  function stopIfEmpty(): void {
    if (waitingCount > 0) return;
    clearInterval(timer);
    timer = undefined;
  }
}

function compareEntries(left: Entry, right: Entry): number {
  return compareWaiting(left.order, right.order) ||
    left.sequence - right.sequence;
}

function findIndex(queue: readonly Entry[], entry: Entry): number {
  return countBefore(queue, (other) => compareEntries(other, entry) < 0);
}

/** Binary search: `isBefore` holds for a first part of the queue only. */
function countBefore(
  queue: readonly Entry[],
  isBefore: (entry: Entry) => boolean,
): number {
  let low = 0;
  let high = queue.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if (isBefore(queue[middle]!)) low = middle + 1;
    else high = middle;
  }
  return low;
}
