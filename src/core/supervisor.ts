/**
 * Supervisor tree for long-running tasks.
 *
 * A failed task is restarted with exponential backoff. A task that fails too
 * often within a window makes its supervisor fail, which the parent treats like
 * any other failed task; a failure of the root supervisor ends the process.
 * Supervisors are tasks themselves, so they can be nested.
 */
import type { Clock } from "./clock.ts";
import { getErrorMessage } from "./errors.ts";
import { logEvents } from "./log_events.ts";
import type { Logger } from "./logger.ts";

export interface Task {
  readonly name: string;
  /** Runs until the signal is aborted. An early return completes the task. */
  run(signal: AbortSignal): Promise<void>;
}

export interface SupervisorOptions {
  readonly name: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly tasks: readonly Task[];
  readonly maxRestarts?: number;
  readonly restartWindowMs?: number;
  readonly initialBackoffMs?: number;
  readonly maxBackoffMs?: number;
}

export function createSupervisor(options: SupervisorOptions): Task {
  const { name, clock, logger, tasks } = options;
  const maxRestarts = options.maxRestarts ?? 10;
  const restartWindowMs = options.restartWindowMs ?? 60_000;
  const initialBackoffMs = options.initialBackoffMs ?? 50;
  const maxBackoffMs = options.maxBackoffMs ?? 5_000;
  return { name, run };

  async function run(signal: AbortSignal): Promise<void> {
    const stop = new AbortController();
    const combined = AbortSignal.any([signal, stop.signal]);
    const running = tasks.map(async (task) => {
      try {
        await runTask(task, combined);
      } catch (cause) {
        stop.abort();
        throw cause;
      }
    });
    const results = await Promise.allSettled(running);
    for (const result of results) {
      if (result.status === "rejected") throw result.reason;
    }
  }

  async function runTask(task: Task, signal: AbortSignal): Promise<void> {
    const failureTimesMs: number[] = [];
    while (!signal.aborted) {
      try {
        await task.run(signal);
        return;
      } catch (cause) {
        if (signal.aborted) return;
        const nowMs = clock.nowMs();
        failureTimesMs.push(nowMs);
        while (failureTimesMs[0]! < nowMs - restartWindowMs) {
          failureTimesMs.shift();
        }
        const fields = { task: task.name, reason: getErrorMessage(cause) };
        if (failureTimesMs.length > maxRestarts) {
          logger.log(logEvents.taskRestartsExhausted, fields);
          throw cause;
        }
        logger.log(logEvents.taskRestarted, fields);
        const backoffMs = Math.min(
          maxBackoffMs,
          initialBackoffMs * 2 ** (failureTimesMs.length - 1),
        );
        await clock.sleep(backoffMs, signal);
      }
    }
  }
}

export interface PeriodicTaskOptions {
  readonly name: string;
  readonly clock: Clock;
  readonly intervalMs: number;
  readonly action: (signal: AbortSignal) => Promise<void> | void;
}

/** Creates a task that runs an action at once and then after every interval. */
export function createPeriodicTask(options: PeriodicTaskOptions): Task {
  const { name, clock, intervalMs, action } = options;
  return {
    name,
    run: async (signal) => {
      while (!signal.aborted) {
        await action(signal);
        await clock.sleep(intervalMs, signal);
      }
    },
  };
}
