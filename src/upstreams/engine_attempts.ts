/**
 * Runs attempts of answers on engines.
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
import type { InstanceId, UpstreamId } from "../core/types.ts";
import type { EngineRouter } from "../routing/engine_router.ts";
import type { StallDetector } from "../routing/stall_detector.ts";
import type { EngineClient } from "./engine_client.ts";
import type { UpstreamRegistry, UpstreamStatus } from "./upstream_registry.ts";

export interface EngineAttemptsOptions {
  readonly instanceId: InstanceId;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly engines: EngineClient;
  readonly registry: UpstreamRegistry;
  readonly router: EngineRouter;
  readonly stalls: StallDetector;
  /** Present while outcomes are collected as evidence about versions. */
  readonly collector?: Pick<EvidenceCollector, "observe">;
}

/** Resumed work goes before new work, because its caller already waits. */
const resumePriorityBoost = 10;

export function createEngineAttempts(
  options: EngineAttemptsOptions,
): AttemptRunner {
  const { clock, logger, engines, registry, router, stalls } = options;
  return { start };

  function start(request: AttemptRequest, sink: AttemptSink): AttemptHandle {
    const { answerId, attemptNumber, meta } = request;
    const engine = router.chooseEngine({
      service: meta.request.model,
      version: meta.version,
      avoidedUpstreamIds: request.avoidedUpstreamIds,
      mustAvoid: request.isHedge,
    });
    if (engine.isNothing) {
      return failSoon(
        createError(
          ErrorKind.NoUpstream,
          `no engine serves ${meta.request.model} ${meta.version}`,
        ),
        sink,
      );
    }
    const { info } = engine.value;
    const requestId = `${answerId}:${options.instanceId}:${attemptNumber}`;
    logger.log(logEvents.attemptStarted, {
      answer: answerId,
      attemptNumber,
      upstream: info.upstreamId,
      position: request.tokens.length,
    });
    return run(engine.value, requestId, { request, sink });
  }

  function run(
    engine: UpstreamStatus,
    requestId: string,
    { request, sink }: { request: AttemptRequest; sink: AttemptSink },
  ): AttemptHandle {
    const { meta, tokens } = request;
    const { upstreamId, baseUrl } = engine.info;
    const abort = new AbortController();
    const startedAtMs = clock.nowMs();
    const recorder = options.collector?.observe({
      service: meta.request.model,
      version: meta.version,
      route: meta.request.route,
      upstreamId,
      loadCount: Math.max(
        engine.inFlightCount,
        (engine.load?.runningCount ?? 0) + (engine.load?.waitingCount ?? 0),
      ),
      isResumed: tokens.length > 0,
    });
    let lastTokenAtMs: number | undefined;
    let isDone = false;
    registry.addInFlight(upstreamId, 1);
    void engines.complete(baseUrl, {
      requestId,
      model: meta.request.model,
      version: meta.version,
      adapter: meta.request.adapter,
      prompt: meta.request.prompt,
      maxTokens: meta.request.maxTokens,
      priority: meta.request.priority +
        (tokens.length > 0 ? resumePriorityBoost : 0),
      resumeTokens: tokens,
    }, { sink: { onTokens }, signal: abort.signal }).match(
      (end) => {
        if (!finish()) return;
        router.recordSuccess(upstreamId);
        recorder?.onEnded();
        sink.onEnded(end.reason, end.tokenCount);
      },
      (error) => {
        if (!finish()) return;
        if (isEngineFailure(error)) {
          router.recordFailure(upstreamId);
          recorder?.onFailed();
        }
        sink.onFailed(error);
      },
    );
    return { getUpstreamId: () => upstreamId, getSilenceLimitMs, cancel };

    function onTokens(fromPosition: number, received: readonly string[]): void {
      if (isDone) return;
      const nowMs = clock.nowMs();
      if (lastTokenAtMs === undefined) {
        stalls.recordFirstToken(upstreamId, nowMs - startedAtMs);
      } else {
        stalls.recordGap(upstreamId, nowMs - lastTokenAtMs);
      }
      lastTokenAtMs = nowMs;
      recorder?.onTokens(received.length);
      sink.onTokens(fromPosition, received);
    }

    function getSilenceLimitMs(): number {
      return lastTokenAtMs === undefined
        ? stalls.getFirstTokenLimitMs(upstreamId)
        : stalls.getGapLimitMs(upstreamId);
    }

    function cancel(): void {
      if (!finish()) return;
      abort.abort();
      engines.cancel(baseUrl, requestId);
    }

    function finish(): boolean {
      if (isDone) return false;
      isDone = true;
      registry.addInFlight(upstreamId, -1);
      return true;
    }
  }
}

function isEngineFailure(error: SystemError): boolean {
  return error.kind !== ErrorKind.Overloaded &&
    error.kind !== ErrorKind.InvalidRequest;
}

function failSoon(error: SystemError, sink: AttemptSink): AttemptHandle {
  let isCancelled = false;
  setImmediate(() => {
    if (!isCancelled) sink.onFailed(error);
  });
  return {
    getUpstreamId: (): UpstreamId | undefined => undefined,
    getSilenceLimitMs: () => Infinity,
    cancel: () => {
      isCancelled = true;
    },
  };
}
