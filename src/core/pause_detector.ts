/**
 * Detects that this process was paused: a check that is due at a fixed interval
 * runs much later. During a pause the process cannot receive messages.
 */
import type { Clock } from "./clock.ts";

export interface PauseDetector {
  /**
   * Called at every check. Returns the delay of the check beyond the interval,
   * or 0 if the delay is within the limit.
   */
  measurePauseMs(): number;
  /** Restarts the measurement after a time without checks. */
  reset(): void;
}

export function createPauseDetector(
  { clock, intervalMs, limitMs }: {
    readonly clock: Pick<Clock, "nowMs">;
    readonly intervalMs: number;
    /** A check with a larger delay shows a pause. */
    readonly limitMs: number;
  },
): PauseDetector {
  let lastCheckAtMs = clock.nowMs();
  return {
    measurePauseMs: () => {
      const nowMs = clock.nowMs();
      const lateMs = nowMs - lastCheckAtMs - intervalMs;
      lastCheckAtMs = nowMs;
      return lateMs > limitMs ? lateMs : 0;
    },
    reset: () => lastCheckAtMs = clock.nowMs(),
  };
}
