/**
 * Remembers when this process last stood still, whether the processor was
 * withheld from it or the machine was suspended. What a process reads after
 * such a pause may have been sent long before.
 *
 * The monotonic clock does not count a suspension, but the time of day does. A
 * time of day that was set forward therefore counts as a pause too.
 */
import type { Clock } from "./clock.ts";
import { createPauseDetector } from "./pause_detector.ts";
import { createPeriodicTask, type Task } from "./supervisor.ts";

export interface PauseWatch {
  readonly task: Task;
  /**
   * Whether a pause ended at this time of the monotonic clock or later. Also
   * notices a pause that the next periodic check would find.
   */
  hasPausedSince(atMs: number): boolean;
}

export interface PauseWatchOptions {
  readonly clock: Clock;
  /** Shorter pauses are ignored. */
  readonly limitMs: number;
}

const checkIntervalMs = 100;

export function createPauseWatch(
  { clock, limitMs }: PauseWatchOptions,
): PauseWatch {
  const detector = createPauseDetector({
    clock,
    intervalMs: checkIntervalMs,
    limitMs,
  });
  let wallOffsetMs = getWallOffsetMs();
  let pauseEndedAtMs = -Infinity;
  const checks = createPeriodicTask({
    name: "pause-watch",
    clock,
    intervalMs: checkIntervalMs,
    action: check,
  });
  return {
    task: {
      name: checks.name,
      run: (signal) => {
        detector.reset(); // the start of a process is no pause
        return checks.run(signal);
      },
    },
    hasPausedSince: (atMs) => {
      check();
      return pauseEndedAtMs >= atMs;
    },
  };

  function check(): void {
    const previousOffsetMs = wallOffsetMs;
    wallOffsetMs = getWallOffsetMs();
    const wasSuspended = wallOffsetMs - previousOffsetMs > limitMs;
    const wasPaused = detector.measurePauseMs() > 0;
    if (wasSuspended || wasPaused) pauseEndedAtMs = clock.nowMs();
  }

  function getWallOffsetMs(): number {
    return clock.wallMs() - clock.nowMs();
  }
}
