/**
 * Time source and timers.
 *
 * Code whose decisions depend on time takes a `Clock`, so that tests can
 * control it. `nowMs` is monotonic and only comparable within one process;
 * `wallMs` is the time since the Unix epoch.
 */
import { performance } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";

export interface Clock {
  nowMs(): number;
  wallMs(): number;
  /** Resolves after the delay, or at once when the signal is aborted. */
  sleep(delayMs: number, signal?: AbortSignal): Promise<void>;
}

export function createSystemClock(): Clock {
  return {
    nowMs: () => performance.now(),
    wallMs: () => Date.now(),
    sleep: async (delayMs, signal) => {
      try {
        await delay(delayMs, undefined, signal ? { signal } : {});
      } catch {
        // The only rejection is the abort, which ends the wait.
      }
    },
  };
}
