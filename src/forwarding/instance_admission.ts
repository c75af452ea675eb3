/**
 * Refuses requests while this instance is short of processor, memory or link
 * capacity: takes the figures, keeps the state of the decision, and reports it.
 */
import type { Clock } from "../core/clock.ts";
import { createError, ErrorKind, type SystemError } from "../core/errors.ts";
import type { InstanceMeter } from "../core/instance_figures.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import type { PauseWatch } from "../core/pause_watch.ts";
import type { Random } from "../core/random.ts";
import { createPeriodicTask, type Task } from "../core/supervisor.ts";
import { CallerStanding, createCallReturns } from "./call_returns.ts";
import type { AdmittedRequest } from "./forwarding_context.ts";
import type { ForwardingMetrics } from "./forwarding_metrics.ts";
import { RequestKind } from "./forwarding_table.ts";
import {
  applyFigures,
  countAbsurdFigures,
  createOverloadState,
  decideAdmission,
  figuresIntervalMs,
  getNeedMs,
  getOverloadRetryAfterMs,
  type OverloadLimits,
} from "./overload_decisions.ts";
import { getRequestDigest } from "./request_digest.ts";
import { getRoutePriority } from "./request_priority.ts";

export interface InstanceAdmission {
  /** Takes the figures. */
  readonly task: Task;
  /**
   * The refusal of a request that was read and not sent, or undefined if it is
   * admitted.
   */
  refuse(request: AdmittedRequest): SystemError | undefined;
  /** Part of the requests that is refused at the moment. */
  getRefusedRatio(): number;
}

export interface InstanceAdmissionOptions {
  readonly limits: OverloadLimits;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Pick<
    ForwardingMetrics,
    "overloadRefusals" | "absurdFigures"
  >;
  readonly meter: Pick<InstanceMeter, "read">;
  readonly pauses: Pick<PauseWatch, "hasPausedSince">;
}

/** A hash of more costs an instance that is short of processor too much. */
const maxRememberedBytes = 64 * 1024;

export function createInstanceAdmission(
  { limits, clock, random, logger, metrics, meter, pauses }:
    InstanceAdmissionOptions,
): InstanceAdmission {
  const returns = createCallReturns({ clock });
  let state = createOverloadState();
  let figuresAtMs = clock.nowMs();
  let refusedCount = 0;
  return {
    task: createPeriodicTask({
      name: "instance-admission",
      clock,
      intervalMs: figuresIntervalMs,
      action: takeFigures,
    }),
    refuse,
    getRefusedRatio: () => state.refusedRatio,
  };

  function takeFigures(): void {
    const previous = state;
    const figures = meter.read();
    const hasPaused = pauses.hasPausedSince(figuresAtMs);
    const nowMs = clock.nowMs();
    figuresAtMs = nowMs;
    state = applyFigures(state, { figures, hasPaused }, limits, nowMs);
    const absurdCount = countAbsurdFigures(figures);
    if (absurdCount > 0) metrics.absurdFigures.add({}, absurdCount);
    if (previous.refusedRatio === 0 && state.refusedRatio > 0) {
      refusedCount = 0;
      logger.log(logEvents.overloadStarted, {
        shortage: state.shortage,
        localMs: Math.round(state.localMs),
        memoryPressure: state.memoryPressure,
        ...figures,
      });
    } else if (previous.refusedRatio > 0 && state.refusedRatio === 0) {
      logger.log(logEvents.overloadEnded, { refusedCount, hasPaused });
    }
  }

  function refuse(request: AdmittedRequest): SystemError | undefined {
    const { caller, route, priority, deadlineAtMs, body } = request;
    // A stream that has begun goes on, whatever this instance is short of.
    const isResumed = route.kind === RequestKind.Streaming &&
      caller.description.lastEventId !== undefined;
    if (isResumed) return undefined;
    const nowMs = clock.nowMs();
    const remainingMs = deadlineAtMs - nowMs;
    const canRemember = body.length <= maxRememberedBytes;
    const decision = decideAdmission(
      state,
      {
        // Few customers are known here at any time, so the routes decide.
        priority: getRoutePriority(priority),
        needMs: getNeedMs(route, limits),
        remainingMs,
        standing: canRemember && !returns.isEmpty()
          ? returns.takeStanding(getRequestDigest(request))
          : CallerStanding.New,
        draw: random.next(),
      },
      limits,
      nowMs,
    );
    state = decision.state;
    if (decision.refusal === undefined) return undefined;
    refusedCount += 1;
    metrics.overloadRefusals.add({ shortage: decision.refusal });
    const retryAfterMs = getOverloadRetryAfterMs({
      objectiveMs: route.objectiveMs,
      remainingMs,
      random,
    });
    if (canRemember) {
      returns.recordRefusal(getRequestDigest(request), retryAfterMs);
    }
    return createError(
      ErrorKind.Overloaded,
      `this instance is short of capacity (${decision.refusal})`,
      { retryAfterMs },
    );
  }
}
