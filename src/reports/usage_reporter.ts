/**
 * Converts finished answers and calls into usage and sends it to control.
 */
import type { AnswerState } from "../answers/answer_state.ts";
import type { AnswerLatency } from "../answers/answer_latency.ts";
import type { CallService } from "../calls/call_service.ts";
import { CommandKind } from "../control/commands.ts";
import type { ControlClient } from "../control/control_client.ts";
import type { Clock } from "../core/clock.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import { createPeriodicTask, type Task } from "../core/supervisor.ts";
import { FinishReason } from "../core/types.ts";
import { Objective, TokenCause } from "./usage.ts";
import { createUsageCollector } from "./usage_collector.ts";

export interface UsageReporter {
  readonly task: Task;
  recordAnswer(state: AnswerState, latency: AnswerLatency): void;
  /** Wraps the service so that each call is counted. */
  observeCalls(calls: CallService): CallService;
  /** Sends the remaining usage before the instance stops. */
  flush(): Promise<void>;
}

export interface UsageReporterOptions {
  readonly instanceId: string;
  readonly incarnation: number;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly control: ControlClient;
}

/** An instance that crashes loses the usage of at most this time. */
const sendIntervalMs = 5_000;
const sendTimeoutMs = 4_000;
const firstTokenLimitMs = 1_100;
export const tokenGapLimitMs = 38;
const resumeLimitMs = 5_000;
const callLimitMs = 1_000;

export function createUsageReporter(
  options: UsageReporterOptions,
): UsageReporter {
  const { clock, logger, control } = options;
  const collector = createUsageCollector(options);
  return {
    task: createPeriodicTask({
      name: "usage-reports",
      clock,
      intervalMs: sendIntervalMs,
      action: flush,
    }),
    recordAnswer,
    observeCalls,
    flush,
  };

  function recordAnswer(state: AnswerState, latency: AnswerLatency): void {
    const { customerId, request } = state.meta;
    const service = request.model;
    const tokensByCause: [TokenCause, number][] = [
      [TokenCause.Useful, state.tokens.length],
      [TokenCause.Duplicated, state.waste.droppedTokens],
      [TokenCause.Discarded, state.waste.discardedTokens],
      [TokenCause.Refilled, state.waste.refilledTokens],
    ];
    for (const [cause, tokens] of tokensByCause) {
      collector.addTokens({ customerId, service, cause, tokens });
    }
    const { firstTokenMs, gapCount, longGapCount, resumeMs } = latency;
    const isWhole = state.end !== undefined &&
      state.end.reason !== FinishReason.Failed;
    const isFirstTokenInTime = firstTokenMs !== undefined &&
      firstTokenMs <= firstTokenLimitMs;
    const addObjectiveCounts = (
      objective: Objective,
      goodCount: number,
      totalCount: number,
    ) =>
      collector.addObjective({
        service,
        route: request.route,
        objective,
        goodCount,
        totalCount,
      });
    addObjectiveCounts(Objective.FirstToken, isFirstTokenInTime ? 1 : 0, 1);
    addObjectiveCounts(Objective.TokenGap, gapCount - longGapCount, gapCount);
    addObjectiveCounts(
      Objective.Resume,
      resumeMs.filter((durationMs) => durationMs <= resumeLimitMs).length,
      resumeMs.length,
    );
    addObjectiveCounts(Objective.WholeAnswer, isWhole ? 1 : 0, 1);
  }

  function observeCalls(calls: CallService): CallService {
    return {
      execute: async (call) => {
        const startedAtMs = clock.nowMs();
        const result = await calls.execute(call);
        const isGood = result.isOk() &&
          clock.nowMs() - startedAtMs <= callLimitMs;
        collector.addObjective({
          service: call.service.service,
          route: call.method,
          objective: Objective.ApplicationCall,
          goodCount: isGood ? 1 : 0,
          totalCount: 1,
        });
        return result;
      },
    };
  }

  async function flush(): Promise<void> {
    const batch = collector.getBatch(clock.wallMs());
    if (!batch) return;
    const command = { kind: CommandKind.RecordUsage, batch } as const;
    const result = await control.propose(command, sendTimeoutMs);
    if (result.isOk()) collector.confirm(batch.sequence);
    else {
      logger.log(logEvents.usageReportFailed, { reason: result.error.message });
    }
  }
}
