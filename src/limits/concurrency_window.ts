/**
 * Limits the number of answers that an instance keeps open at the engines, so
 * that requests wait in its fair admission queue and not in the engines'
 * queues.
 *
 * An engine runs at capacity when requests wait at it while its batch is as
 * large as ever before. The window is this instance's part of the sum of these
 * capacities, less a headroom. All instances read the same load reports, so
 * they reach the same window without communicating. Until the capacities are
 * known, a window that is in use grows.
 */
import type { UpstreamId } from "../core/types.ts";

export interface EngineLoadReport {
  readonly upstreamId: UpstreamId;
  readonly runningCount: number;
  readonly waitingCount: number;
}

export interface WindowReport {
  readonly engines: readonly EngineLoadReport[];
  /** Entry instances that share the engines. */
  readonly instanceCount: number;
  /** Answers that this instance has open. */
  readonly openCount: number;
}

export interface ConcurrencyWindow {
  getSize(): number;
  /** Called once per load poll. */
  update(report: WindowReport): void;
}

export interface ConcurrencyWindowOptions {
  readonly minSize: number;
  readonly maxSize: number;
  readonly initialSize: number;
}

/**
 * Part of the engine capacity that the window uses. The rest absorbs uneven
 * load over the engines and bursts of customers below their share.
 */
const targetUtilizationRatio = 0.8;
const increaseFactor = 1.05;
/**
 * While no request waits at any engine, the window limits the throughput and
 * not the engines. With a factor of 1.05, a burst of 150 answers waited for 7 s
 * while engines were free.
 */
const noQueueIncreaseFactor = 2;
/** The window grows only while at least this part of it is in use. */
const minUsedWindowRatio = 0.7;
/** Consecutive polls at capacity until the capacity counts as known. */
const minFullPolls = 3;
/**
 * Requests also wait during a prefill while a part of the batch is free, so a
 * batch counts as full only at this ratio of the largest batch seen so far.
 */
const minFullBatchRatio = 0.95;
/** Measures the capacity again after 5 min at the default poll interval. */
const capacityExpiryPolls = 600;
/**
 * Decay per poll of an expired capacity. A capacity that has become smaller is
 * thereby detected within about a minute.
 */
const expiredCapacityDecay = 0.99;
/** Part of the engines whose capacity must be known to set the window. */
const minKnownEngineRatio = 0.5;

interface EngineCapacity {
  maxRunning: number;
  fullPollCount: number;
  /** Polls since the engine last ran at capacity. */
  pollsSinceFull: number;
}

export function createConcurrencyWindow(
  { minSize, maxSize, initialSize }: ConcurrencyWindowOptions,
): ConcurrencyWindow {
  const capacities = new Map<UpstreamId, EngineCapacity>();
  let size = clamp(initialSize);
  return { getSize: () => Math.floor(size), update };

  function update(report: WindowReport): void {
    const { engines, instanceCount, openCount } = report;
    const listedIds = new Set(engines.map(({ upstreamId }) => upstreamId));
    for (const upstreamId of capacities.keys()) {
      if (!listedIds.has(upstreamId)) capacities.delete(upstreamId);
    }
    for (const engine of engines) recordEngineReport(engine);
    const known = [...capacities.values()]
      .filter(({ pollsSinceFull }) => pollsSinceFull < capacityExpiryPolls);
    if (
      known.length > 0 && known.length >= minKnownEngineRatio * engines.length
    ) {
      const sum = known.reduce(
        (total, { maxRunning }) => total + maxRunning,
        0,
      );
      const total = sum / known.length * engines.length;
      size = clamp(targetUtilizationRatio * total / Math.max(1, instanceCount));
    } else if (openCount >= minUsedWindowRatio * size) {
      const hasWaitingRequests = engines.some(({ waitingCount }) =>
        waitingCount > 0
      );
      const factor = hasWaitingRequests
        ? increaseFactor
        : noQueueIncreaseFactor;
      size = clamp(Math.max(size + 1, size * factor));
    }
  }

  function recordEngineReport(
    { upstreamId, runningCount, waitingCount }: EngineLoadReport,
  ): void {
    const capacity = capacities.get(upstreamId) ??
      { maxRunning: 0, fullPollCount: 0, pollsSinceFull: Infinity };
    capacities.set(upstreamId, capacity);
    capacity.pollsSinceFull += 1;
    const isFull = waitingCount > 0 &&
      runningCount >= Math.max(1, minFullBatchRatio * capacity.maxRunning);
    capacity.fullPollCount = isFull ? capacity.fullPollCount + 1 : 0;
    const isKnown = capacity.pollsSinceFull < capacityExpiryPolls;
    capacity.maxRunning = Math.max(
      runningCount,
      capacity.maxRunning * (isKnown ? 1 : expiredCapacityDecay),
    );
    if (capacity.fullPollCount < minFullPolls) return;
    capacity.maxRunning = runningCount;
    capacity.pollsSinceFull = 0;
  }

  function clamp(value: number): number {
    return Math.min(maxSize, Math.max(minSize, value));
  }
}
