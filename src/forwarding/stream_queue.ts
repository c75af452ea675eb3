/**
 * The streams that wait at this instance: for room at the engines, for an engine
 * that can be reached, or for the retry budget. At each check they go on in
 * order, so what became free goes to the streams that come first; one that has to
 * wait on is added again.
 */
import { compareWaiting, type WaitingOrder } from "./stream_scheduling.ts";

export interface WaitingStream {
  readonly service: string;
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

export function createStreamQueue(): StreamQueue {
  const streams = new Set<WaitingStream>();
  /** By service, of which the configuration has a bounded number. */
  const lastReleaseAtMs = new Map<string, number>();
  let timer: NodeJS.Timeout | undefined;
  return {
    add: (stream) => {
      streams.add(stream);
      timer ??= setInterval(check, checkIntervalMs);
      return () => {
        streams.delete(stream);
        stopIfEmpty();
      };
    },
    countAhead: (service, order) =>
      listOf(service).filter((stream) =>
        compareWaiting(stream.getOrder(), order) < 0
      ).length,
    countOf: (service) => listOf(service).length,
    recordRelease: (service, nowMs) => lastReleaseAtMs.set(service, nowMs),
    getLastReleaseAtMs: (service) => lastReleaseAtMs.get(service) ?? -Infinity,
    count: () => streams.size,
  };

  function check(): void {
    const ordered = [...streams]
      .map((stream) => ({ stream, order: stream.getOrder() }))
      .sort((left, right) => compareWaiting(left.order, right.order));
    for (const { stream } of ordered) {
      // An earlier one may have ended it.
      if (streams.delete(stream)) stream.goOn();
    }
    stopIfEmpty();
  }

  function listOf(service: string): WaitingStream[] {
    return [...streams].filter((stream) => stream.service === service);
  }

  function stopIfEmpty(): void {
    if (streams.size > 0) return;
    clearInterval(timer);
    timer = undefined;
  }
}
