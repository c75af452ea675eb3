/**
 * Forwards a stream of events. When its engine is lost, the stream is resumed
 * after the last complete event, at the engine that holds a copy of its KV
 * cache or else at one that prefills the prompt again.
 */
import type { Buffer } from "node:buffer";
import { assertNever } from "../core/assert_never.ts";
import { createByteCollector } from "../core/byte_collector.ts";
import { ErrorKind } from "../core/errors.ts";
import { logEvents } from "../core/log_events.ts";
import { CallerState } from "./caller_exchange.ts";
import {
  createEventSplitter,
  maxEventBytes,
  type StreamEvent,
} from "./event_splitter.ts";
import type {
  AdmittedRequest,
  ForwardingContext,
} from "./forwarding_context.ts";
import {
  classifyHead,
  createPlacementContext,
  failRequest,
  HeadClass,
  limitReason,
} from "./forwarding_steps.ts";
import type { CrashDecision } from "../quarantine/crash_decisions.ts";
import { createCrashGuard, isPastStart } from "./crash_guard.ts";
import type { KvCacheCopy } from "./forwarding_protocol.ts";
import type { EngineTraits } from "./forwarding_table.ts";
import {
  chooseForCopy,
  chooseForStream,
  listReachable,
  type PlacementContext,
  type StreamDemand,
} from "./placement.ts";
import {
  decideAfterLoss,
  mayLeaveSilentRun,
  minResumeMs,
} from "./stream_decisions.ts";
import {
  type AdmissionDecision,
  decideStreamAdmission,
} from "./stream_admission.ts";
import { getEnginePriority, getStreamRank } from "./stream_scheduling.ts";
import { createCopyManager } from "./copy_manager.ts";
import { createPaceMeter } from "./pace_meter.ts";
import { isBrokenOff } from "./response_framing.ts";
import {
  describePlacement,
  EventProgress,
  findBreak,
  getWritingMs,
  isStream,
  recordProgress,
  type StreamAttempt,
} from "./stream_attempt.ts";
import {
  decideOnEnd,
  decideOnEvent,
  findForeignHead,
  type ResponseHead,
} from "./stream_continuation.ts";
import type { StreamMonitor } from "./stream_monitor.ts";
import type { ResponseOrigin } from "./upstream_connections.ts";
import { getAddress } from "./upstream_directory.ts";
import type { Upstream } from "./upstream_types.ts";
import { WaitEnd } from "./version_answers.ts";

export interface StreamForwarderOptions {
  readonly context: ForwardingContext;
  readonly monitor: StreamMonitor;
}

/** Engines that fail briefly are available again within this time. */
const maxEngineWaitMs = 1_500;
const enginePollIntervalMs = 50;
/** Interval at which a stream that the retry budget does not cover asks again. */
const budgetPollIntervalMs = 250;
/** An engine's error has some hundred bytes; more is no error response. */
const maxErrorBytes = 64 * 1024;
/** Used for services whose engines are not described in the configuration. */
const defaultEngineTraits: EngineTraits = {
  maxRunning: 1_000,
  memoryTokens: Number.MAX_SAFE_INTEGER,
  tokenBytes: 0,
  linkMbps: 0,
  canMove: false,
  canBackUp: false,
  tokensPerEvent: 1,
  copyTtlMs: 0,
};

interface AttemptLoss {
  readonly wasSent: boolean;
  /** The connection ended, as it does when an engine crashes. */
  readonly hasEngineEnded?: boolean;
  /** The engine received a request, probably this one, and did not run it. */
  readonly isRefused?: boolean;
  /** The response may be right, so it says nothing about the engine. */
  readonly mayBeSound?: boolean;
  readonly reason: string;
  /** Where the stream goes on without a copy; chosen now by default. */
  readonly nextEngine?: Upstream;
}

export function forwardStream(
  { context, monitor }: StreamForwarderOptions,
  admitted: AdmittedRequest,
): void {
  const { clock, logger, protocol, directory, connections, budget, metrics } =
    context;
  const { caller, route, service, deadlineAtMs, body } = admitted;
  const { description } = caller;
  const { requestId } = description;
  const traits = service.engine ?? defaultEngineTraits;
  const rank = getStreamRank(
    context.getStreamPriorities(service.name),
    admitted.priority,
  );
  const budgetKey = { service: service.name, customerId: "" };
  const triedIds = new Set<string>();
  const crashGuard = createCrashGuard(context, admitted);
  let lastEventId = description.lastEventId;
  let eventCount = 0;
  let ranCount = 0;
  let attemptCount = 0;
  let waitingSinceMs: number | undefined;
  let waitTimer: NodeJS.Timeout | undefined;
  let endWaiting: (() => void) | undefined;
  let run: StreamAttempt | undefined;
  /** The attempt whose head the caller received. */
  let responder: StreamAttempt | undefined;
  /** Where an engine that resumed the stream ended it without adding to it. */
  let emptyEnd:
    | { readonly lastEventId: number | undefined; readonly upstreamId: string }
    | undefined;
  let isFinished = false;
  /** Whether a run was ended because its engine was silent. */
  let hasLeftRun = false;
  /** A prompt that crashes engines does so at the start of a run. */
  let hasRunPastStart = false;
  let firstEventAtMs: number | undefined;
  let lastEventAtMs = 0;
  let longestGapMs = 0;
  const usedVersions = new Set<string>();
  const deadlineTimer = setTimeout(
    handleDeadline,
    Math.max(0, deadlineAtMs - clock.nowMs()),
  );
  caller.onDisconnect(() => {
    if (isFinished) return;
    stop("callerLeft");
    logger.log(logEvents.callerLeft, {
      request: requestId,
      eventCount,
      ranCount,
    });
  });
  caller.onShutdown(() =>
    failStream(
      run === undefined && ranCount === 0
        ? ErrorKind.ShuttingDown
        : ErrorKind.OutcomeUnknown,
      "the grace time is over",
    )
  );
  crashGuard.onQuarantined((partId) => {
    if (!hasRunPastStart) refuseQuarantined(partId);
  });
  budget.recordUseful(budgetKey, 1);
  context.demand.recordRequest(service.name);
  placeAttempt();

  function getDemand(): StreamDemand {
    const generatedTokens = eventCount * traits.tokensPerEvent;
    return {
      traits,
      prefillTokens: description.promptTokens + generatedTokens,
      totalTokens: description.promptTokens + description.maxOutputTokens,
    };
  }

  function getPlacementContext(): PlacementContext {
    return createPlacementContext(context, {
      service: service.name,
      triedIds,
      unreportedPlacementCount: context.getUnreportedPlacementCount(
        directory.isDomainSuspected(service.name, context.domainId),
      ),
    });
  }

  /**
   * Leaves out the engine that ended the stream without a further event, if the
   * service has others, since only another one can confirm that.
   */
  function listCandidates(): Upstream[] {
    const engines = directory.listUsable(service.name);
    if (emptyEnd === undefined || emptyEnd.lastEventId !== lastEventId) {
      return engines;
    }
    const { upstreamId } = emptyEnd;
    const others = engines.filter(({ info }) => info.upstreamId !== upstreamId);
    return others.length > 0 ? others : engines;
  }

  function placeAttempt(): void {
    if (isFinished) return;
    const quarantinedId = hasRunPastStart
      ? undefined
      : crashGuard.findQuarantinedPart();
    if (quarantinedId !== undefined) {
      refuseQuarantined(quarantinedId);
      return;
    }
    const engines = listCandidates();
    const placement = getPlacementContext();
    const engine = chooseAdmitting(engines, placement) ??
      chooseForStream(engines, getDemand(), placement);
    if (engine) placeAt(engine);
    else if (listReachable(engines, placement).length > 0) waitForRoom();
    else waitForEngine(engines.length);
  }

  function placeAt(engine: Upstream): void {
    waitingSinceMs = undefined;
    const admission = decideAdmission(engine);
    switch (admission.kind) {
      case "admit":
        startAttempt(engine, undefined);
        return;
      case "refuse":
        // The run that this instance ended might have been in time.
        if (hasLeftRun) {
          startAttempt(engine, undefined);
          return;
        }
        failStream(
          ranCount > 0 ? ErrorKind.UpstreamFailed : ErrorKind.Overloaded,
          "the prompt cannot be prefilled before the deadline",
          admission.backlogMs,
        );
        return;
      default:
        assertNever(admission);
    }
  }

  /** Chooses among the engines that can prefill the prompt in time. */
  function chooseAdmitting(
    engines: readonly Upstream[],
    placement: PlacementContext,
  ): Upstream | undefined {
    const admitting = engines.filter((engine) =>
      decideAdmission(engine).kind === "admit"
    );
    return chooseForStream(admitting, getDemand(), placement);
  }

  function decideAdmission(engine: Upstream): AdmissionDecision {
    return decideStreamAdmission({
      remainingMs: deadlineAtMs - clock.nowMs(),
      prefillTokens: getDemand().prefillTokens,
      backlogTokens: engine.unreadTokens + engine.others.unreadTokens,
      fastestTokensPerMs: directory.getPrefillRateTracker(service.name)
        .getFastestTokensPerMs(),
    });
  }

  /** Waits until a limit that an engine states has room. */
  function waitForRoom(): void {
    endWaiting?.();
    const remove = context.limitQueue.add(service.name, {
      // The caller of a stream that has begun waits for its next event.
      priority: eventCount > 0 ? -1 : admitted.priority,
      // One that has begun can't keep its objective any more.
      sendBeforeMs: deadlineAtMs -
        (eventCount > 0 || hasLeftRun ? minResumeMs : route.objectiveMs),
      send: () => {
        const engines = listCandidates();
        const placement = getPlacementContext();
        const engine = chooseAdmitting(engines, placement) ??
          chooseForStream(engines, getDemand(), placement);
        if (!engine) return false;
        endWaiting = undefined;
        placeAt(engine);
        return true;
      },
      refuse: (backlogMs) =>
        failStream(
          ranCount > 0 ? ErrorKind.UpstreamFailed : ErrorKind.Overloaded,
          limitReason,
          backlogMs,
        ),
    });
    if (!isFinished) endWaiting = remove;
  }

  /** Repeating the request is useless, so the error says that. */
  function refuseQuarantined(partId: string): void {
    const mayHaveRun = ranCount > 0 || run !== undefined;
    failStream(
      mayHaveRun ? ErrorKind.UpstreamsCrashed : ErrorKind.RequestQuarantined,
      `requests with ${partId} crash engines`,
    );
  }

  function waitForEngine(listedCount: number): void {
    const nowMs = clock.nowMs();
    waitingSinceMs ??= nowMs;
    triedIds.clear();
    // A run that this instance ended is made up for until the deadline.
    const isWaitOver = !hasLeftRun &&
      nowMs - waitingSinceMs >= maxEngineWaitMs;
    const hasBegun = eventCount > 0 || hasLeftRun;
    const isUseless = listedCount === 0 || areAllWaiting(nowMs);
    if ((isUseless && !hasBegun) || isWaitOver) {
      failStream(
        ranCount > 0 ? ErrorKind.UpstreamFailed : ErrorKind.NoUpstream,
        "no engine is available",
      );
      return;
    }
    waitTimer = setTimeout(placeAttempt, enginePollIntervalMs);
  }

  /** Whether all engines have stated that they want no requests for longer. */
  function areAllWaiting(nowMs: number): boolean {
    return directory.listUsable(service.name).every(({ waitsUntilMs }) =>
      waitsUntilMs - nowMs > maxEngineWaitMs
    );
  }

  function startAttempt(
    engine: Upstream,
    source: KvCacheCopy | undefined,
  ): void {
    const { info } = engine;
    const demand = getDemand();
    const requestLoad = directory.trackRequest(info.upstreamId);
    requestLoad.addMemoryTokens(demand.totalTokens);
    if (!source) requestLoad.addUncachedTokens(demand.prefillTokens);
    const copyManager = createCopyManager({
      context,
      traits,
      requestId,
      running: engine,
      isResumable: route.isResumable,
      totalTokens: demand.totalTokens,
      chooseHolder: () =>
        chooseForCopy(
          // An engine of another version cannot use the KV cache.
          directory.listUsable(service.name).filter((other) =>
            other.info.version === engine.info.version
          ),
          engine,
          demand,
          getPlacementContext(),
        ),
    });
    const copyHolder = copyManager.getInitialHolder();
    const started: StreamAttempt = {
      upstream: engine,
      startedAtMs: clock.nowMs(),
      firstEventAtMs: undefined,
      isPastStart: false,
      lastEventAtMs: undefined,
      highestEventId: undefined,
      bytesWithoutProgress: 0,
      isPaused: false,
      resumedAtMs: -Infinity,
      hasAddedEvents: false,
      isSilenceLogged: false,
      prefillTokens: source ? 0 : demand.prefillTokens,
      onSuspected: (reason) => handleSilence(started, reason),
      onCheck: () => copyManager.check(started.lastEventAtMs !== undefined),
      requestLoad,
      copyManager,
      wait: directory.trackWait(info.upstreamId),
      pace: createPaceMeter((paceMs) =>
        directory.recordPace(info.upstreamId, paceMs)
      ),
      splitter: createEventSplitter(),
      exchange: undefined,
      head: undefined,
      errorBody: createByteCollector(),
    };
    run = started;
    usedVersions.add(info.version);
    attemptCount += 1;
    context.recordPlacement();
    context.limits.recordSend(info.upstreamId);
    logger.log(logEvents.streamPlaced, {
      ...describePlacement(started, {
        nowMs: clock.nowMs(),
        promptParts: description.promptParts,
      }),
      request: requestId,
      copyAt: copyHolder?.info.upstreamId,
      resumesFrom: source?.copyId,
      lastEventId,
      revision: admitted.revision,
    });
    monitor.add(started);
    started.exchange = connections.send({
      host: info.host,
      port: info.port,
      method: caller.method,
      path: caller.path,
      headers: protocol.buildUpstreamHeaders(caller.rawHeaders, {
        upstreamId: info.upstreamId,
        remainingMs: Math.max(1, deadlineAtMs - clock.nowMs()),
        customerId: admitted.customerId,
        lastEventId,
        copyHolderAddress: copyHolder && getAddress(copyHolder),
        resumeFrom: source,
        enginePriority: getEnginePriority(rank),
        bodyBytes: body.length,
      }),
      body,
      mayReuseConnection: route.isResumable,
    }, {
      onHead: (status, headers, origin) =>
        onHead(started, { status, headers }, origin),
      onData: (chunk) => onData(started, chunk),
      onEnd: () => onEnd(started),
      onFailure: (failure) =>
        handleLoss(started, { ...failure, hasEngineEnded: failure.wasSent }),
    });
  }

  function onHead(
    current: StreamAttempt,
    { status, headers }: NonNullable<StreamAttempt["head"]>,
    origin: ResponseOrigin,
  ): void {
    const { upstreamId } = current.upstream.info;
    directory.recordActivity(upstreamId);
    const headClass = classifyHead(context, current.upstream, {
      requestId,
      status,
      headers,
      origin,
    });
    switch (headClass) {
      case HeadClass.Accepted:
        receiveHead(current, { status, headers });
        return;
      case HeadClass.OtherRequest:
        handleLoss(current, {
          wasSent: true,
          reason: "the response is for another request",
        });
        return;
      case HeadClass.Misdirected:
      case HeadClass.NotRun:
        handleLoss(current, {
          wasSent: false,
          isRefused: true,
          reason: `refused with status ${status}`,
        });
        return;
      case HeadClass.UnprovenRefusal:
        handleLoss(current, {
          wasSent: true,
          isRefused: true,
          reason: "the refusal names no request",
        });
        return;
      case HeadClass.Unattested:
        handleLoss(current, {
          wasSent: true,
          reason: "the response is not from the engine",
        });
        return;
      default:
        assertNever(headClass);
    }
  }

  function receiveHead(current: StreamAttempt, head: ResponseHead): void {
    current.head = head;
    if (!responder || !isStream(current)) return;
    const reason = findForeignHead(responder.head!, head);
    if (reason === undefined) return;
    handleLoss(current, {
      wasSent: true,
      reason: `the stream cannot go on with ${reason}`,
    });
  }

  function onData(current: StreamAttempt, chunk: Buffer): void {
    directory.recordActivity(current.upstream.info.upstreamId);
    if (!isStream(current)) {
      keepErrorBody(current, chunk);
      return;
    }
    for (const event of current.splitter.push(chunk)) {
      if (run !== current) return;
      forwardEvent(current, event);
    }
    if (current.splitter.getPendingBytes() > maxEventBytes) {
      handleLoss(current, { wasSent: true, reason: "an event is too large" });
    }
  }

  function keepErrorBody(current: StreamAttempt, chunk: Buffer): void {
    current.errorBody.add(chunk);
    if (current.errorBody.getSizeBytes() <= maxErrorBytes) return;
    directory.recordFailure(current.upstream.info.upstreamId);
    handleLoss(current, { wasSent: true, reason: "the error is too large" });
  }

  function forwardEvent(current: StreamAttempt, event: StreamEvent): void {
    const { bytes, eventId, hasField } = event;
    const progress = recordProgress(current, event);
    if (progress === EventProgress.Stuck) {
      handleLoss(current, { wasSent: true, reason: "it sends nothing new" });
      return;
    }
    const decision = decideOnEvent(event, {
      hasEvents: eventCount > 0,
      lastEventId,
      isResumed: isResumed(current),
    });
    if (decision.kind === "break") {
      handleLoss(current, { wasSent: true, reason: decision.reason });
      return;
    }
    if (!hasField) {
      relay(current, bytes);
      return;
    }
    // An event that is repeated doesn't show that the stream goes on.
    if (progress === EventProgress.None) return;
    if (current.lastEventAtMs === undefined) {
      if (current.prefillTokens > 0) {
        directory.getPrefillRateTracker(service.name)
          .record(current.prefillTokens, clock.nowMs() - current.startedAtMs);
      }
      current.requestLoad.releaseUncachedTokens();
      current.wait.end(WaitEnd.Answered);
      directory.recordSuccess(
        current.upstream.info.upstreamId,
        // A stream that resumes from a copy does not wait for its prefill.
        current.prefillTokens > 0
          ? clock.nowMs() - current.startedAtMs
          : undefined,
      );
    }
    if (current.lastEventAtMs === undefined && attemptCount > 1) {
      logger.log(logEvents.streamResumed, {
        request: requestId,
        engine: current.upstream.info.upstreamId,
        hasCopy: current.prefillTokens === 0,
        attemptMs: Math.round(clock.nowMs() - current.startedAtMs),
        eventId,
        lastEventId,
      });
    }
    recordEventTime();
    current.firstEventAtMs ??= lastEventAtMs;
    current.isSilenceLogged = false;
    current.lastEventAtMs = lastEventAtMs;
    current.pace.recordEvent(lastEventAtMs);
    if (isPastStart(current, lastEventAtMs)) recordSoundRun(current);
    if (decision.kind === "skip") return;
    lastEventId = eventId ?? lastEventId;
    eventCount += 1;
    current.hasAddedEvents = true;
    relay(current, bytes);
  }

  function recordSoundRun(current: StreamAttempt): void {
    if (current.isPastStart) return;
    current.isPastStart = true;
    hasRunPastStart = true;
    crashGuard.recordSoundRun();
  }

  function relay(current: StreamAttempt, bytes: Buffer): void {
    if (caller.getState() === CallerState.Waiting) {
      const { status, headers } = current.head!;
      responder = current;
      caller.startResponse(status, protocol.buildStreamHeaders(headers));
    }
    if (caller.write(bytes) || current.isPaused) return;
    current.isPaused = true;
    current.exchange?.pause();
    caller.onDrain(() => {
      current.isPaused = false;
      current.resumedAtMs = clock.nowMs();
      current.exchange?.resume();
    });
  }

  function recordEventTime(): void {
    const nowMs = clock.nowMs();
    if (firstEventAtMs === undefined) firstEventAtMs = nowMs;
    else longestGapMs = Math.max(longestGapMs, nowMs - lastEventAtMs);
    lastEventAtMs = nowMs;
  }

  function onEnd(current: StreamAttempt): void {
    if (run !== current) return;
    if (!isStream(current)) {
      endWithError(current);
      return;
    }
    const breakReason = findBreak(current);
    if (breakReason !== undefined) {
      handleLoss(current, {
        wasSent: true,
        hasEngineEnded: true,
        reason: breakReason,
      });
      return;
    }
    const decision = decideOnEnd({
      isResumed: isResumed(current),
      hasSentEvents: current.firstEventAtMs !== undefined,
      hasAddedEvents: current.hasAddedEvents,
      isConfirmed: emptyEnd !== undefined &&
        emptyEnd.lastEventId === lastEventId &&
        emptyEnd.upstreamId !== current.upstream.info.upstreamId,
    });
    switch (decision.kind) {
      case "complete":
        complete(current);
        return;
      case "unconfirmed":
        emptyEnd = {
          lastEventId,
          upstreamId: current.upstream.info.upstreamId,
        };
        handleLoss(current, {
          wasSent: true,
          mayBeSound: true,
          reason: decision.reason,
        });
        return;
      case "break":
        handleLoss(current, { wasSent: true, reason: decision.reason });
        return;
      default:
        assertNever(decision);
    }
  }

  function complete(current: StreamAttempt): void {
    if (current.firstEventAtMs !== undefined) recordSoundRun(current);
    stop("complete");
    if (caller.getState() === CallerState.Waiting) {
      const { status, headers } = current.head!;
      caller.startResponse(status, protocol.buildCallerHeaders(headers));
    }
    caller.endResponse();
  }

  /** A stream that began without ids would be repeated from its start. */
  function isResumable(): boolean {
    return route.isResumable &&
      (eventCount === 0 || lastEventId !== undefined);
  }

  function isResumed(current: StreamAttempt): boolean {
    return responder !== undefined && responder !== current;
  }

  /** Handles a complete response that is an error instead of a stream. */
  function endWithError(current: StreamAttempt): void {
    const { status, headers } = current.head!;
    directory.recordFailure(current.upstream.info.upstreamId);
    const errorBody = current.errorBody.takeAll();
    const mayResume = status >= 500 && route.isResumable &&
      ranCount + 1 < route.maxAttempts;
    if (isBrokenOff(caller.method, { status, headers, body: errorBody })) {
      handleLoss(current, {
        wasSent: true,
        reason: "the error response was broken off",
      });
      return;
    }
    if (mayResume || caller.getState() !== CallerState.Waiting) {
      handleLoss(current, { wasSent: true, reason: `status ${status}` });
      return;
    }
    stop("failed");
    caller.startResponse(status, protocol.buildCallerHeaders(headers));
    caller.endResponse(errorBody);
  }

  /**
   * Ends a run at a silent engine only if the stream can go on elsewhere, since
   * a sound engine goes on as well.
   */
  function handleSilence(current: StreamAttempt, reason: string): void {
    if (run !== current || isFinished) return;
    const { upstream } = current;
    const silentMs = clock.nowMs() -
      Math.max(
        current.lastEventAtMs ?? current.startedAtMs,
        current.resumedAtMs,
      );
    // A run that is ended and can't be repeated yet would be a loss.
    const mayLeave = budget.hasReserve(budgetKey, 1) && mayLeaveSilentRun({
      remainingMs: deadlineAtMs - clock.nowMs(),
      isResumable: isResumable(),
      ranCount: ranCount + 1,
      maxAttempts: route.maxAttempts,
      silentMs,
    });
    const target = mayLeave ? findTarget(current) : undefined;
    if (target) {
      hasLeftRun = true;
      handleLoss(current, { wasSent: true, reason, nextEngine: target });
      return;
    }
    if (current.isSilenceLogged) return;
    current.isSilenceLogged = true;
    logger.log(logEvents.streamStaysAtSilentEngine, {
      request: requestId,
      engine: upstream.info.upstreamId,
      reason,
      lastEventId,
      ranCount,
      mayLeave,
    });
  }

  /** Returns an engine at which the stream can go on instead. */
  function findTarget(current: StreamAttempt): Upstream | undefined {
    const copy = current.lastEventAtMs === undefined
      ? undefined
      : findUsableCopy(current);
    if (copy) return copy.holder;
    const { upstreamId } = current.upstream.info;
    const others = listCandidates().filter(({ info }) =>
      info.upstreamId !== upstreamId
    );
    return chooseAdmitting(others, getPlacementContext());
  }

  function handleLoss(
    lost: StreamAttempt,
    {
      wasSent,
      isRefused = false,
      hasEngineEnded = false,
      mayBeSound = false,
      reason,
      nextEngine,
    }: AttemptLoss,
  ): void {
    if (run !== lost || isFinished) return;
    const { upstreamId } = lost.upstream.info;
    const afterCrash: CrashDecision = hasEngineEnded && !lost.isPastStart
      ? crashGuard.recordCrash(lost.upstream.info, lost.startedAtMs)
      : { kind: "resume" };
    const mayUseCopy = wasSent && lost.lastEventAtMs !== undefined &&
      afterCrash.kind === "resume";
    const copy = mayUseCopy ? findUsableCopy(lost) : undefined;
    const saysNothing = hasEngineEnded || isRefused || mayBeSound || !wasSent;
    lost.wait.end(saysNothing ? WaitEnd.Cancelled : WaitEnd.Abandoned);
    if (!saysNothing) lost.pace.recordSilence(clock.nowMs());
    endAttempt(lost, copy !== undefined);
    triedIds.add(upstreamId);
    if (wasSent) ranCount += 1;
    if (!isRefused && !mayBeSound) directory.recordLoss(upstreamId, reason);
    const decision = decideAfterLoss({
      isResumable: isResumable(),
      ranCount,
      maxAttempts: route.maxAttempts,
      remainingMs: deadlineAtMs - clock.nowMs(),
      hasCopy: copy !== undefined,
      wasNotRun: !wasSent,
    });
    metrics.lostAttempts.add({ decision });
    logger.log(logEvents.streamAttemptFailed, {
      request: requestId,
      lost: upstreamId,
      reason,
      lastEventId,
      silentMs: Math.round(
        clock.nowMs() - (lost.lastEventAtMs ?? lost.startedAtMs),
      ),
      writingMs: getWritingMs(lost, clock.nowMs()),
      copyAt: copy?.holder.info.upstreamId,
      decision,
      ranCount,
    });
    if (afterCrash.kind === "stop") {
      failStream(
        ErrorKind.UpstreamsCrashed,
        "engines crashed each time that they started to run the request",
      );
      return;
    }
    switch (decision) {
      case "fail":
        failStream(
          ranCount > 0 ? ErrorKind.UpstreamFailed : ErrorKind.NoUpstream,
          reason,
        );
        return;
      case "resumeFromCopy":
        if (budget.tryDrawReserve(budgetKey, 1)) {
          startAttempt(copy!.holder, copy!.source);
        } else waitForBudget();
        return;
      case "resume":
        // A request that never reached an engine has caused no work there, so
        // it does not draw on the budget.
        if ((wasSent || isRefused) && !drawForRepeat(wasSent)) waitForBudget();
        else if (afterCrash.kind === "delay") {
          waitTimer = setTimeout(placeAttempt, afterCrash.delayMs);
        } else if (nextEngine) startAttempt(nextEngine, undefined);
        else placeAttempt();
        return;
      default:
        assertNever(decision);
    }
  }

  /** The reserve is for streams that have lost a run. */
  function drawForRepeat(hasRun: boolean): boolean {
    return hasRun
      ? budget.tryDrawReserve(budgetKey, 1)
      : budget.tryDraw(budgetKey, 1);
  }

  /**
   * Waits until the work of others has paid for one more repeat. The caller of a
   * stream that has not run is refused instead if that takes long.
   */
  function waitForBudget(): void {
    const hasRun = ranCount > 0;
    waitingSinceMs ??= clock.nowMs();
    if (!hasRun && clock.nowMs() - waitingSinceMs >= maxEngineWaitMs) {
      failStream(ErrorKind.NoUpstream, "the retry budget is used up");
      return;
    }
    waitTimer = setTimeout(() => {
      if (!drawForRepeat(hasRun)) {
        waitForBudget();
        return;
      }
      // The time to wait for an engine begins now.
      if (hasRun) waitingSinceMs = undefined;
      placeAttempt();
    }, budgetPollIntervalMs);
  }

  /** A holder whose limit has no room is of no use. */
  function findUsableCopy({ copyManager }: StreamAttempt) {
    const copy = copyManager.getUsableCopy();
    return copy && context.limits.hasRoom(copy.holder.info.upstreamId)
      ? copy
      : undefined;
  }

  function endAttempt(ended: StreamAttempt, isCopyUsed: boolean): void {
    ended.wait.end(WaitEnd.Abandoned);
    monitor.remove(ended);
    ended.exchange?.cancel();
    ended.requestLoad.release();
    ended.copyManager.end(isCopyUsed);
    run = undefined;
  }

  function handleDeadline(): void {
    failStream(
      run === undefined && ranCount === 0
        ? ErrorKind.Overloaded
        : ErrorKind.OutcomeUnknown,
      "the deadline has passed",
    );
  }

  function failStream(kind: ErrorKind, reason: string, backlogMs = 0): void {
    if (isFinished) return;
    stop("failed");
    logger.log(logEvents.forwardingFailed, {
      request: requestId,
      route: route.name,
      kind,
      reason,
      eventCount,
      ranCount,
      revision: admitted.revision,
    });
    failRequest(context, admitted, { kind, reason, backlogMs });
  }

  function stop(outcome: string): void {
    if (isFinished) return;
    isFinished = true;
    crashGuard.end();
    endWaiting?.();
    clearTimeout(deadlineTimer);
    clearTimeout(waitTimer);
    if (run) endAttempt(run, false);
    if (firstEventAtMs !== undefined) {
      metrics.firstEventTime.observeMs(firstEventAtMs - caller.arrivedAtMs);
      metrics.eventGapTime.observeMs(longestGapMs);
    }
    logger.log(logEvents.streamEnded, {
      request: requestId,
      outcome,
      firstEventMs: firstEventAtMs === undefined
        ? undefined
        : Math.round(firstEventAtMs - caller.arrivedAtMs),
      longestGapMs: Math.round(longestGapMs),
      versions: [...usedVersions],
      durationMs: Math.round(clock.nowMs() - caller.arrivedAtMs),
      eventCount,
      ranCount,
    });
  }
}
