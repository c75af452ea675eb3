/**
 * Runs attempts of answers on engines: draws from the retry budget, assigns an
 * engine, streams its tokens to the answer, and reports the outcome to the
 * router, the stall detector and the evidence collector.
 */
import type {
  AttemptHandle,
  AttemptRequest,
  AttemptRunner,
  AttemptSink,
} from "../answers/attempt_runner.ts";
import type { EvidenceCollector } from "../control/rollouts/evidence_collector.ts";
import type { Clock } from "../core/clock.ts";
import { createError, ErrorKind, type SystemError } from "../core/errors.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import type { CustomerId, InstanceId, UpstreamId } from "../core/types.ts";
import type { RetryBudget } from "../limits/retry_budget.ts";
import type {
  EngineAssignment,
  EngineRouter,
} from "../routing/engine_router.ts";
import type { StallDetector } from "../routing/stall_detector.ts";
import type { EngineClient } from "./engine_client.ts";
import type { UpstreamRegistry } from "./upstream_registry.ts";

export interface EngineAttemptRunnerOptions {
  readonly instanceId: InstanceId;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly engines: EngineClient;
  readonly registry: UpstreamRegistry;
  readonly router: EngineRouter;
  readonly stallDetector: StallDetector;
  /** Present if outcomes are collected as evidence about versions. */
  readonly collector?: Pick<EvidenceCollector, "observe">;
  readonly budget: RetryBudget;
  /** Called with every token that an engine delivers. */
  onTokens(customerId: CustomerId, count: number): void;
}

/** Engines prefer resumed attempts to new ones: their callers already wait. */
const resumePriorityBoost = 10;
/** Prefilling a token takes about a tenth of the time of generating one. */
const prefillUnitsPerToken = 0.1;
/** Tokens that the loser of a hedge generates until it is cancelled. */
const hedgeCostUnits = 32;
/**
 * An engine that is silent for this long counts as lost. A hedge is then
 * allowed even if the balance of the budget is too low.
 */
const engineLossAfterMs = 2_000;
const charsPerToken = 4;

export function createEngineAttemptRunner(
  options: EngineAttemptRunnerOptions,
): AttemptRunner {
  const {
    clock,
    logger,
    engines,
    registry,
    router,
    stallDetector,
    budget,
  } = options;
  return { start };

  function start(request: AttemptRequest, sink: AttemptSink): AttemptHandle {
    const { answerId, attemptNumber, meta } = request;
    if (!tryDrawBudget(request)) {
      logger.log(logEvents.hedgeRefused, { answer: answerId, attemptNumber });
      return failAsync(
        createError(ErrorKind.CustomerLimit, "the retry budget is used up"),
        sink,
      );
    }
    const assignment = router.chooseEngine({
      service: meta.request.model,
      version: meta.version,
      prompt: meta.request.prompt,
      resumeTokenCount: request.tokens.length,
      avoidedUpstreamIds: request.avoidedUpstreamIds,
      mustAvoid: request.isHedge,
    });
    if (assignment.isNothing) {
      return failAsync(
        createError(
          ErrorKind.NoUpstream,
          `no engine serves ${meta.request.model} ${meta.version}`,
        ),
        sink,
      );
    }
    const { info } = assignment.value.engine;
    const requestId = `${answerId}:${options.instanceId}:${attemptNumber}`;
    logger.log(logEvents.attemptStarted, {
      answer: answerId,
      attemptNumber,
      upstream: info.upstreamId,
      position: request.tokens.length,
    });
    return run(assignment.value, requestId, { request, sink });
  }

  /** Returns false for a hedge that the retry budget does not permit. */
  function tryDrawBudget(request: AttemptRequest): boolean {
    const { meta, tokens, isHedge, avoidedUpstreamIds } = request;
    const isFirstAttempt = tokens.length === 0 &&
      avoidedUpstreamIds.length === 0;
    if (isFirstAttempt) return true;
    const key = { service: meta.request.model, customerId: meta.customerId };
    const promptTokens = meta.request.prompt.length / charsPerToken;
    const units = Math.ceil(
      prefillUnitsPerToken * (tokens.length + promptTokens),
    );
    const isEngineLost = !isHedge ||
      request.inUseUpstreamIds.some((upstreamId) =>
        stallDetector.getEngineSilenceMs(upstreamId) >= engineLossAfterMs
      );
    if (!isEngineLost) return budget.tryDraw(key, units + hedgeCostUnits);
    budget.drawForResume(key, units);
    return true;
  }

  /** Known number of open requests at the upstream, without an estimate. */
  function getLoad(upstreamId: UpstreamId): number {
    const status = registry.get(upstreamId);
    if (!status) return 0;
    const { runningCount = 0, waitingCount = 0 } = status.load ?? {};
    return Math.max(status.inFlightCount, runningCount + waitingCount);
  }

  function run(
    assignment: EngineAssignment,
    requestId: string,
    { request, sink }: { request: AttemptRequest; sink: AttemptSink },
  ): AttemptHandle {
    const { meta, tokens } = request;
    const { upstreamId, baseUrl } = assignment.engine.info;
    const budgetKey = {
      service: meta.request.model,
      customerId: meta.customerId,
    };
    const abort = new AbortController();
    const startedAtMs = clock.nowMs();
    const recorder = options.collector?.observe({
      service: meta.request.model,
      version: meta.version,
      route: meta.request.route,
      upstreamId,
      loadCount: Math.max(
        assignment.engine.inFlightCount,
        (assignment.engine.load?.runningCount ?? 0) +
          (assignment.engine.load?.waitingCount ?? 0),
      ),
      isResumed: tokens.length > 0,
    });
    let lastTokenAtMs: number | undefined;
    let isFinished = false;
    registry.adjustInFlight(upstreamId, 1);
    void engines.complete(baseUrl, {
      requestId,
      model: meta.request.model,
      version: meta.version,
      adapter: meta.request.adapter,
      route: meta.request.route,
      prompt: meta.request.prompt,
      maxTokens: meta.request.maxTokens,
      priority: meta.request.priority +
        (tokens.length > 0 ? resumePriorityBoost : 0),
      resumeTokens: tokens,
    }, { sink: { onTokens }, signal: abort.signal }).match(
      (end) => {
        if (!finish()) return;
        assignment.recordProgress();
        recorder?.onEnded();
        sink.onEnded(end.reason, end.tokenCount);
      },
      (error) => {
        if (!finish()) return;
        recordFailure(assignment, error);
        if (isEngineFailure(error)) recorder?.onFailed();
        sink.onFailed(error);
      },
    );
    return {
      getUpstreamId: () => upstreamId,
      getSilenceLimitMs,
      markSuspected,
      cancel,
    };

    function onTokens(fromPosition: number, received: readonly string[]): void {
      if (isFinished) return;
      const nowMs = clock.nowMs();
      const load = getLoad(upstreamId);
      if (lastTokenAtMs === undefined) {
        const durationMs = nowMs - startedAtMs;
        stallDetector.recordFirstToken(upstreamId, { durationMs, load });
      } else {
        stallDetector.recordGap(upstreamId, {
          gapMs: nowMs - lastTokenAtMs,
          load,
        });
      }
      lastTokenAtMs = nowMs;
      recorder?.onTokens(received.length);
      assignment.recordProgress();
      budget.recordUseful(budgetKey, received.length);
      options.onTokens(meta.customerId, received.length);
      sink.onTokens(fromPosition, received);
    }

    function getSilenceLimitMs(): number {
      const load = getLoad(upstreamId);
      return lastTokenAtMs === undefined
        ? stallDetector.getFirstTokenLimitMs(upstreamId, load)
        : stallDetector.getGapLimitMs(upstreamId, load);
    }

    function markSuspected(): void {
      // An engine that still serves other streams is not stalled.
      const limitMs = stallDetector.getGapLimitMs(
        upstreamId,
        getLoad(upstreamId),
      );
      if (stallDetector.getEngineSilenceMs(upstreamId) >= limitMs) {
        assignment.recordSuspected();
      }
    }

    function cancel(): void {
      if (!finish()) return;
      assignment.release();
      abort.abort();
      engines.cancel(baseUrl, requestId);
    }

    function finish(): boolean {
      if (isFinished) return false;
      isFinished = true;
      registry.adjustInFlight(upstreamId, -1);
      return true;
    }
  }
}

function isEngineFailure(error: SystemError): boolean {
  return error.kind !== ErrorKind.Overloaded &&
    error.kind !== ErrorKind.InvalidRequest;
}

function recordFailure(assignment: EngineAssignment, error: SystemError): void {
  switch (error.kind) {
    case ErrorKind.InvalidRequest:
      assignment.release();
      break;
    case ErrorKind.Overloaded:
    case ErrorKind.AnswerFailed:
      // The engine responds, so a lower share is enough and the circuit stays
      // closed.
      assignment.recordOverload(error.retryAfterMs.unwrapOr(0));
      break;
    default:
      assignment.recordCrash();
  }
}

function failAsync(error: SystemError, sink: AttemptSink): AttemptHandle {
  let isCancelled = false;
  setImmediate(() => {
    if (!isCancelled) sink.onFailed(error);
  });
  return {
    getUpstreamId: (): UpstreamId | undefined => undefined,
    getSilenceLimitMs: () => Infinity,
    markSuspected: () => {},
    cancel: () => {
      isCancelled = true;
    },
  };
}
