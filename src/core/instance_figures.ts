/**
 * Measures what this process has left of processor, memory and link capacity.
 * A figure that is not known is undefined.
 */
import {
  constants,
  monitorEventLoopDelay,
  performance,
  PerformanceObserver,
} from "node:perf_hooks";
import process from "node:process";
import { getHeapStatistics } from "node:v8";
import type { HeldForCallers } from "./caller_limits.ts";

/** What an instance measures of itself. Undefined is not known. */
export interface InstanceFigures {
  /** Mean length of the turn of the event loop in which an event arrives. */
  readonly eventLoopDelayMs: number | undefined;
  /** Heap in use after a recent full collection. */
  readonly heapUsedBytes: number | undefined;
  readonly heapLimitBytes: number | undefined;
  /** Bytes of heads, bodies and responses that are held for callers. */
  readonly heldBytes: number | undefined;
  readonly heldLimitBytes: number | undefined;
  /** Bytes of responses that no socket has taken. */
  readonly unsentBytes: number | undefined;
  readonly sentBytesPerS: number | undefined;
  /** Processor time of the process per time since the last figures. */
  readonly processorUse: number | undefined;
}

export interface InstanceMeter {
  /** The figures since the last call. */
  read(): InstanceFigures;
  close(): void;
}

const samplingMs = 10;
const nsPerMs = 1_000_000;
/**
 * A heap that is nearly full is collected several times a second. After a
 * longer time without a full collection, the figure is outdated.
 */
const maxHeapAgeMs = 2_000;
/** Smooths the bytes that the buffers of sockets take at once. */
const sendingWindowMs = 1_000;

export function createInstanceMeter(
  measureHeld: () => HeldForCallers,
): InstanceMeter {
  const delays = monitorEventLoopDelay({ resolution: samplingMs });
  let heapUsedBytes = 0;
  let heapAtMs = -Infinity;
  const collections = new PerformanceObserver((list) => {
    const isFull = list.getEntries().some((entry) =>
      (entry as unknown as { readonly detail?: { readonly kind?: number } })
        .detail?.kind === constants.NODE_PERFORMANCE_GC_MAJOR
    );
    if (!isFull) return;
    heapUsedBytes = getHeapStatistics().used_heap_size;
    heapAtMs = performance.now();
  });
  delays.enable();
  collections.observe({ entryTypes: ["gc"] });
  let readAtMs = performance.now();
  let processor = process.cpuUsage();
  let sentBytes = measureHeld().sentBytes;
  let sentBytesPerS = 0;
  return {
    read,
    close: () => {
      delays.disable();
      collections.disconnect();
    },
  };

  function read(): InstanceFigures {
    const nowMs = performance.now();
    const elapsedMs = Math.max(1, nowMs - readAtMs);
    readAtMs = nowMs;
    const held = measureHeld();
    const newBytesPerS = (held.sentBytes - sentBytes) * 1_000 / elapsedMs;
    sentBytes = held.sentBytes;
    const weight = 1 - Math.exp(-elapsedMs / sendingWindowMs);
    sentBytesPerS += (newBytesPerS - sentBytesPerS) * weight;
    const used = process.cpuUsage(processor);
    processor = process.cpuUsage();
    return {
      eventLoopDelayMs: readDelayMs(),
      heapUsedBytes: nowMs - heapAtMs <= maxHeapAgeMs
        ? heapUsedBytes
        : undefined,
      heapLimitBytes: getHeapStatistics().heap_size_limit,
      heldBytes: held.heldBytes,
      heldLimitBytes: held.heldLimitBytes,
      unsentBytes: held.unsentBytes,
      sentBytesPerS,
      processorUse: (used.user + used.system) / 1_000 / elapsedMs,
    };
  }

  /**
   * Each sample is the time between two turns. An event is more likely to
   * arrive in a long one, so the turns are weighted by their length.
   */
  function readDelayMs(): number | undefined {
    const { count, mean, stddev } = delays;
    delays.reset();
    if (count === 0 || !(mean > 0)) return undefined;
    const turnMs = (mean * mean + stddev * stddev) / mean / nsPerMs;
    return Math.max(0, turnMs - samplingMs);
  }
}
