/**
 * Forwards a stream of events. When its engine is lost, the stream is resumed
 * after the last complete event, at the engine that holds a copy of its KV
 * cache or else at one that prefills the prompt again.
 */
import { ErrorKind } from "../core/errors.ts";
import { logEvents } from "../core/log_events.ts";
import type {
  AdmittedRequest,
  ForwardingContext,
} from "./forwarding_context.ts";
import { failRequest } from "./forwarding_steps.ts";
import { createStreamLosses } from "./stream_losses.ts";
import type { StreamMonitor } from "./stream_monitor.ts";
import { createStreamPlacement } from "./stream_placement.ts";
import { createStreamReceiver } from "./stream_receiver.ts";
import { createStreamStarter } from "./stream_start.ts";
import { createStreamState } from "./stream_state.ts";

export interface StreamForwarderOptions {
  readonly context: ForwardingContext;
  readonly monitor: StreamMonitor;
}

export function forwardStream(
  { context, monitor }: StreamForwarderOptions,
  admitted: AdmittedRequest,
): void {
  const { clock, logger, budget, metrics } = context;
  const { caller, route, service, deadlineAtMs } = admitted;
  const { requestId } = caller.description;
  const stream = createStreamState(context, admitted);
  const placement = createStreamPlacement({
    stream,
    startAttempt: (engine) => starter.start(engine),
    fail,
  });
  const losses = createStreamLosses({
    stream,
    monitor,
    placement,
    startAttempt: (engine, source) => starter.start(engine, source),
    fail,
  });
  const receiver = createStreamReceiver({
    stream,
    handleLoss: losses.handleLoss,
    stop,
  });
  const starter = createStreamStarter({
    stream,
    monitor,
    placement,
    receiver,
    losses,
  });
  const deadlineTimer = setTimeout(
    handleDeadline,
    Math.max(0, deadlineAtMs - clock.nowMs()),
  );
  caller.onDisconnect(() => {
    if (stream.isFinished) return;
    stop("callerLeft");
    logger.log(logEvents.callerLeft, {
      request: requestId,
      eventCount: stream.eventCount,
      ranCount: stream.ranCount,
    });
  });
  caller.onShutdown(() =>
    fail(
      stream.run === undefined && stream.ranCount === 0
        ? ErrorKind.ShuttingDown
        : ErrorKind.OutcomeUnknown,
      "the grace time is over",
    )
  );
  stream.crashGuard.onQuarantined((partId) => {
    if (!stream.hasRunPastStart) placement.refuseQuarantined(partId);
  });
  budget.recordUseful(stream.budgetKey, 1);
  context.demand.recordRequest(service.name);
  if (stream.rank !== undefined) {
    context.rankDemand.recordStream(
      service.name,
      stream.rank,
      caller.description.promptTokens,
    );
  }
  if (context.isLoadAware(service.name)) {
    // Other instances place streams at the same moment; what they have placed
    // is worth a round trip within the failure domain.
    void context.refreshLoads().then(placement.placeAttempt);
  } else placement.placeAttempt();

  function handleDeadline(): void {
    fail(
      stream.run === undefined && stream.ranCount === 0
        ? ErrorKind.Overloaded
        : ErrorKind.OutcomeUnknown,
      "the deadline has passed",
    );
  }

  function fail(kind: ErrorKind, reason: string, backlogMs = 0): void {
    if (stream.isFinished) return;
    stop("failed");
    logger.log(logEvents.forwardingFailed, {
      request: requestId,
      route: route.name,
      kind,
      reason,
      eventCount: stream.eventCount,
      ranCount: stream.ranCount,
      revision: admitted.revision,
    });
    failRequest(context, admitted, { kind, reason, backlogMs });
  }

  function stop(outcome: string): void {
    if (stream.isFinished) return;
    stream.isFinished = true;
    stream.crashGuard.end();
    placement.end();
    clearTimeout(deadlineTimer);
    if (stream.run) losses.endAttempt(stream.run, false);
    if (stream.firstEventAtMs !== undefined) {
      metrics.firstEventTime.observeMs(
        stream.firstEventAtMs - caller.arrivedAtMs,
      );
      metrics.eventGapTime.observeMs(stream.longestGapMs);
    }
    logger.log(logEvents.streamEnded, {
      request: requestId,
      outcome,
      firstEventMs: stream.firstEventAtMs === undefined
        ? undefined
        : Math.round(stream.firstEventAtMs - caller.arrivedAtMs),
      longestGapMs: Math.round(stream.longestGapMs),
      versions: [...stream.usedVersions],
      durationMs: Math.round(clock.nowMs() - caller.arrivedAtMs),
      eventCount: stream.eventCount,
      ranCount: stream.ranCount,
    });
  }
}
