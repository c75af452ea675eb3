/**
 * Number of answers an instance keeps open at the engines, so that work waits
 * here, in fair order, and not in the queues of the engines.
 *
 * An engine on which requests wait while its batch is as large as ever runs all
 * it can; the window is this instance's part of these capacities, less a
 * headroom. All instances read the same reports and reach the same window
 * without an exchange. Until the capacities are known, a window that is used
 * grows.
 */
import type { UpstreamId } from "../core/types.ts";

export interface EngineReport {
  readonly upstreamId: UpstreamId;
  readonly runningCount: number;
  readonly waitingCount: number;
}

export interface WindowReport {
  readonly engines: readonly EngineReport[];
  /** Entry instances that share the engines. */
  readonly instanceCount: number;
  /** Answers this instance has open. */
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
 * The rest of the capacity absorbs uneven load over the engines and bursts of
 * customers below their share.
 */
const usedCapacityRatio = 0.8;
const increaseFactor = 1.05;
/**
 * While no request waits at any engine the window is too small, not the
 * engines: with 1.05 a burst of 150 answers waited for 7 s beside free engines.
 */
const idleIncreaseFactor = 2;
/** A window that is not used is not raised. */
const usedRatio = 0.7;
/** Polls in a row with waiting requests that show a full engine. */
const fullPolls = 3;
/**
 * Requests also wait during a prefill, with a part of the batch free; only a
 * batch as large as any before counts as full.
 */
const fullRatio = 0.95;
/** After 5 min at the default poll the capacity is measured again. */
const expiryPolls = 600;
/** An engine that became smaller is noticed within about a minute. */
const unknownDecay = 0.99;
/** Part of the engines that has to be full before the window is set. */
const knownRatio = 0.5;

interface EngineCapacity {
  maxRunning: number;
  waitingPolls: number;
  /** Polls since the engine was last full. */
  fullAge: number;
}

export function createConcurrencyWindow(
  { minSize, maxSize, initialSize }: ConcurrencyWindowOptions,
): ConcurrencyWindow {
  const capacities = new Map<UpstreamId, EngineCapacity>();
  let size = clamp(initialSize);
  return { getSize: () => Math.floor(size), update };

  function update(report: WindowReport): void {
    const { engines, instanceCount, openCount } = report;
    const listed = new Set(engines.map(({ upstreamId }) => upstreamId));
    for (const upstreamId of capacities.keys()) {
      if (!listed.has(upstreamId)) capacities.delete(upstreamId);
    }
    for (const engine of engines) observe(engine);
    const known = [...capacities.values()]
      .filter(({ fullAge }) => fullAge < expiryPolls);
    if (known.length > 0 && known.length >= knownRatio * engines.length) {
      const sum = known.reduce(
        (total, { maxRunning }) => total + maxRunning,
        0,
      );
      const total = sum / known.length * engines.length;
      size = clamp(usedCapacityRatio * total / Math.max(1, instanceCount));
    } else if (openCount >= usedRatio * size) {
      const isWaiting = engines.some(({ waitingCount }) => waitingCount > 0);
      const factor = isWaiting ? increaseFactor : idleIncreaseFactor;
      size = clamp(Math.max(size + 1, size * factor));
    }
  }

  function observe(
    { upstreamId, runningCount, waitingCount }: EngineReport,
  ): void {
    const capacity = capacities.get(upstreamId) ??
      { maxRunning: 0, waitingPolls: 0, fullAge: Infinity };
    capacities.set(upstreamId, capacity);
    capacity.fullAge += 1;
    const isFull = waitingCount > 0 &&
      runningCount >= Math.max(1, fullRatio * capacity.maxRunning);
    capacity.waitingPolls = isFull ? capacity.waitingPolls + 1 : 0;
    const isKnown = capacity.fullAge < expiryPolls;
    capacity.maxRunning = Math.max(
      runningCount,
      capacity.maxRunning * (isKnown ? 1 : unknownDecay),
    );
    if (capacity.waitingPolls < fullPolls) return;
    capacity.maxRunning = runningCount;
    capacity.fullAge = 0;
  }

  function clamp(value: number): number {
    return Math.min(maxSize, Math.max(minSize, value));
  }
}
