/**
 * Number of answers an instance keeps open at the engines, so that work waits
 * here, in fair order, and not in the queues of the engines.
 *
 * Engines report how many requests wait. Additive increase and multiplicative
 * decrease on these reports need no exchange between instances: all of them
 * read the same reports and converge to equal windows.
 */

export interface WindowReport {
  readonly runningCount: number;
  readonly waitingCount: number;
  readonly openCount: number;
}

export interface ConcurrencyWindow {
  getSize(): number;
  /** Called once per load poll with sums over the engines. */
  update(report: WindowReport): void;
}

export interface ConcurrencyWindowOptions {
  readonly minSize: number;
  readonly maxSize: number;
  readonly initialSize: number;
}

/** Waiting requests that count as saturation, as a part of the running ones. */
const saturatedRatio = 0.05;
const decreaseFactor = 0.9;
const increaseFactor = 1.05;
/** A window that is not used is not raised. */
const usedRatio = 0.7;

export function createConcurrencyWindow(
  { minSize, maxSize, initialSize }: ConcurrencyWindowOptions,
): ConcurrencyWindow {
  let size = Math.min(maxSize, Math.max(minSize, initialSize));
  return { getSize: () => Math.floor(size), update };

  function update(report: WindowReport): void {
    const { runningCount, waitingCount, openCount } = report;
    if (waitingCount > Math.max(1, saturatedRatio * runningCount)) {
      const used = Math.min(size, Math.max(minSize, openCount));
      size = Math.max(minSize, used * decreaseFactor);
    } else if (openCount >= usedRatio * size) {
      size = Math.min(maxSize, Math.max(size + 1, size * increaseFactor));
    }
  }
}
