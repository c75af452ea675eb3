/**
 * Runs an action once per interval, aligned to the wall clock.
 *
 * All instances send evidence at the same time, so that control adds it up in
 * the order in which the outcomes happened. If it were merged in another order,
 * a statistic that reached its threshold briefly might never reach it at
 * control.
 */
import type { Clock } from "../../core/clock.ts";
import type { Task } from "../../core/supervisor.ts";

export const alignedIntervalMs = 500;

export interface AlignedTaskOptions {
  readonly name: string;
  readonly clock: Clock;
  /** Delay after the start of each interval. */
  readonly offsetMs: number;
  readonly action: () => Promise<void>;
}

export function createAlignedTask(
  { name, clock, offsetMs, action }: AlignedTaskOptions,
): Task {
  return { name, run };

  async function run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const sinceStartMs = (clock.wallMs() - offsetMs) % alignedIntervalMs;
      await clock.sleep(alignedIntervalMs - sinceStartMs, signal);
      if (!signal.aborted) await action();
    }
  }
}
