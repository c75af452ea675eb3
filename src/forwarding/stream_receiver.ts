/**
 * Receives the responses of a stream's attempts and passes their events on to the
 * caller.
 */
import type { Buffer } from "node:buffer";
import { assertNever } from "../core/assert_never.ts";
import { logEvents } from "../core/log_events.ts";
import { CallerState } from "./caller_exchange.ts";
import { isPastStart } from "./crash_guard.ts";
import { maxEventBytes, type StreamEvent } from "./event_splitter.ts";
import { classifyHead, HeadClass } from "./forwarding_steps.ts";
import { isBrokenOff } from "./response_framing.ts";
import {
  EventProgress,
  findBreak,
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
import type { AttemptLoss } from "./stream_losses.ts";
import type { StreamState } from "./stream_state.ts";
import type { ResponseOrigin } from "./upstream_connections.ts";
import { WaitEnd } from "./version_answers.ts";

export interface StreamReceiver {
  onHead(
    current: StreamAttempt,
    head: ResponseHead,
    origin: ResponseOrigin,
  ): void;
  onData(current: StreamAttempt, chunk: Buffer): void;
  onEnd(current: StreamAttempt): void;
}

export interface StreamReceiverOptions {
  readonly stream: StreamState;
  handleLoss(lost: StreamAttempt, loss: AttemptLoss): void;
  stop(outcome: string): void;
}

/** An engine's error has some hundred bytes; more is no error response. */
const maxErrorBytes = 64 * 1024;

export function createStreamReceiver(
  { stream, handleLoss, stop }: StreamReceiverOptions,
): StreamReceiver {
  const { context, admitted } = stream;
  const { clock, logger, protocol, directory } = context;
  const { caller, route, service } = admitted;
  const { requestId } = caller.description;
  return { onHead, onData, onEnd };

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
    if (!stream.responder || !isStream(current)) return;
    const reason = findForeignHead(stream.responder.head!, head);
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
      if (stream.run !== current) return;
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
      hasEvents: stream.eventCount > 0,
      lastEventId: stream.lastEventId,
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
    if (current.lastEventAtMs === undefined && stream.attemptCount > 1) {
      logger.log(logEvents.streamResumed, {
        request: requestId,
        engine: current.upstream.info.upstreamId,
        hasCopy: current.prefillTokens === 0,
        attemptMs: Math.round(clock.nowMs() - current.startedAtMs),
        eventId,
        lastEventId: stream.lastEventId,
      });
    }
    recordEventTime();
    current.firstEventAtMs ??= stream.lastEventAtMs;
    current.isSilenceLogged = false;
    current.lastEventAtMs = stream.lastEventAtMs;
    current.pace.recordEvent(stream.lastEventAtMs);
    if (isPastStart(current, stream.lastEventAtMs)) recordSoundRun(current);
    if (decision.kind === "skip") return;
    stream.lastEventId = eventId ?? stream.lastEventId;
    stream.eventCount += 1;
    current.hasAddedEvents = true;
    relay(current, bytes);
  }

  function recordSoundRun(current: StreamAttempt): void {
    if (current.isPastStart) return;
    current.isPastStart = true;
    stream.hasRunPastStart = true;
    stream.crashGuard.recordSoundRun();
  }

  function relay(current: StreamAttempt, bytes: Buffer): void {
    if (caller.getState() === CallerState.Waiting) {
      const { status, headers } = current.head!;
      stream.responder = current;
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
    if (stream.firstEventAtMs === undefined) stream.firstEventAtMs = nowMs;
    else {
      const gapMs = nowMs - stream.lastEventAtMs;
      stream.longestGapMs = Math.max(stream.longestGapMs, gapMs);
    }
    stream.lastEventAtMs = nowMs;
  }

  function onEnd(current: StreamAttempt): void {
    if (stream.run !== current) return;
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
      isConfirmed: stream.emptyEnd !== undefined &&
        stream.emptyEnd.lastEventId === stream.lastEventId &&
        stream.emptyEnd.upstreamId !== current.upstream.info.upstreamId,
    });
    switch (decision.kind) {
      case "complete":
        complete(current);
        return;
      case "unconfirmed":
        stream.emptyEnd = {
          lastEventId: stream.lastEventId,
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

  function isResumed(current: StreamAttempt): boolean {
    return stream.responder !== undefined && stream.responder !== current;
  }

  /** Handles a complete response that is an error instead of a stream. */
  function endWithError(current: StreamAttempt): void {
    const { status, headers } = current.head!;
    directory.recordFailure(current.upstream.info.upstreamId);
    const errorBody = current.errorBody.takeAll();
    const mayResume = status >= 500 && route.isResumable &&
      stream.ranCount + 1 < route.maxAttempts;
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
}
