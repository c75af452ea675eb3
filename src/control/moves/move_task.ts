/**
 * Runs version moves: the control leader decides from the answer counts and
 * proposes each step. Followers track the elapsed time, so that a new leader
 * resumes where the former leader stopped.
 */
import type { ResultAsync } from "neverthrow";
import type { Clock } from "../../core/clock.ts";
import type { SystemError } from "../../core/errors.ts";
import { logEvents } from "../../core/log_events.ts";
import type { Logger } from "../../core/logger.ts";
import { createPeriodicTask, type Task } from "../../core/supervisor.ts";
import { type Command, CommandKind } from "../commands.ts";
import {
  type AnswerCountAggregator,
  type AnswerTotals,
  subtractTotals,
} from "./answer_count_aggregator.ts";
import { compareLatencies } from "./latency_comparison.ts";
import { decideMove } from "./move_decisions.ts";
import type { MoveTable } from "./move_table.ts";
import {
  isRunning,
  type MoveProgress,
  type RunningPhase,
  type VersionMove,
} from "./move_types.ts";

export interface MoveTaskOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly table: MoveTable;
  readonly answerCounts: AnswerCountAggregator;
  isLeader(): boolean;
  propose(command: Command): ResultAsync<unknown, SystemError>;
}

interface TrackedMove {
  readonly number: number;
  /**
   * Time of the order on the monotonic clock, computed back from the recorded
   * elapsed time, which excludes outages of control.
   */
  startedAtMs: number;
  /** Answers that were counted before the order. */
  readonly before: {
    readonly stable: AnswerTotals;
    readonly target: AnswerTotals;
  };
}

const tickMs = 200;
/**
 * Interval at which the elapsed time is recorded while nothing else changes.
 */
const recordIntervalMs = 1_000;

export function createMoveTask(options: MoveTaskOptions): Task {
  const { clock, logger, table, answerCounts } = options;
  const trackedMoves = new Map<string, TrackedMove>();
  return createPeriodicTask({
    name: "version-moves",
    clock,
    intervalMs: tickMs,
    action: async () => {
      for (const move of table.list()) {
        if (isRunning(move)) await updateMove(move);
        else trackedMoves.delete(move.service);
      }
    },
  });

  async function updateMove(
    move: VersionMove & { readonly phase: RunningPhase },
  ): Promise<void> {
    const { service, target, number, durationMs } = move;
    const nowMs = clock.nowMs();
    let entry = trackedMoves.get(service);
    if (entry?.number !== number) {
      entry = {
        number,
        startedAtMs: nowMs - move.elapsedMs,
        before: getTotals(move),
      };
      trackedMoves.set(service, entry);
    }
    entry.startedAtMs = Math.min(entry.startedAtMs, nowMs - move.elapsedMs);
    if (!options.isLeader()) return;
    const elapsedMs = nowMs - entry.startedAtMs;
    const totals = getTotals(move);
    const counted = {
      stable: subtractTotals(totals.stable, entry.before.stable),
      target: subtractTotals(totals.target, entry.before.target),
    };
    const decision = decideMove({
      phase: move.phase,
      elapsedMs,
      durationMs,
      ...counted,
      latencies: compareLatencies({
        ...counted,
        typical: answerCounts.getTypical(service),
      }),
    });
    const isChanged = decision.phase !== move.phase ||
      decision.share !== move.share;
    if (!isChanged && elapsedMs - move.elapsedMs < recordIntervalMs) return;
    await propose(
      { service, target, number, elapsedMs, ...decision },
      isChanged,
    );
  }

  async function propose(
    progress: MoveProgress,
    isChanged: boolean,
  ): Promise<void> {
    const result = await options.propose({
      kind: CommandKind.AdvanceMove,
      progress,
    });
    if (!isChanged) return; // the next tick records the time
    logger.log(logEvents.versionMoveChanged, {
      ...progress,
      elapsedMs: Math.round(progress.elapsedMs),
      outcome: result.isOk() ? "committed" : result.error.kind,
    });
  }

  function getTotals({ service, target, stableVersions }: VersionMove) {
    return {
      stable: answerCounts.getTotal(service, stableVersions),
      target: answerCounts.getTotal(service, [target]),
    };
  }
}
