/**
 * Handles the loss of a stream's attempt: whether and where the stream goes on,
 * and whether it leaves an engine that is silent.
 */
import { assertNever } from "../core/assert_never.ts";
import { ErrorKind } from "../core/errors.ts";
import { logEvents } from "../core/log_events.ts";
import type { CrashDecision } from "../quarantine/crash_decisions.ts";
import type { KvCacheCopy } from "./forwarding_protocol.ts";
import { LostCause, mayEndLostRun } from "./run_health.ts";
import { getWritingMs, type StreamAttempt } from "./stream_attempt.ts";
import {
  decideAfterLoss,
  mayLeaveSilentRun,
  probeAfterMs,
} from "./stream_decisions.ts";
import type { StreamMonitor } from "./stream_monitor.ts";
import type { StreamPlacement } from "./stream_placement.ts";
import { isStreamResumable, type StreamState } from "./stream_state.ts";
import type { Upstream } from "./upstream_types.ts";
import { WaitEnd } from "./version_answers.ts";

export interface AttemptLoss {
  readonly wasSent: boolean;
  /** The connection ended, as it does when an engine crashes. */
  readonly hasEngineEnded?: boolean;
  /** The engine received a request, probably this one, and did not run it. */
  readonly isRefused?: boolean;
  /** The directory knows already that the engine's lifetime has ended. */
  readonly isRecorded?: boolean;
  /** Another id has the engine's address. */
  readonly isReplaced?: boolean;
  /** The response may be right, so it says nothing about the engine. */
  readonly mayBeSound?: boolean;
  readonly reason: string;
  /** Where the stream goes on without a copy; chosen now by default. */
  readonly nextEngine?: Upstream;
}

export interface StreamLosses {
  handleLoss(lost: StreamAttempt, loss: AttemptLoss): void;
  /**
   * Ends a run at a silent engine only if the stream can go on elsewhere, since
   * a sound engine goes on as well.
   */
  handleSilence(current: StreamAttempt, reason: string): void;
  /** Ends a run whose engine has a new lifetime, if the stream may go on. */
  handleNewLifetime(
    current: StreamAttempt,
    cause: LostCause,
    reason: string,
  ): void;
  endAttempt(ended: StreamAttempt, isCopyUsed: boolean): void;
}

export interface StreamLossesOptions {
  readonly stream: StreamState;
  readonly monitor: StreamMonitor;
  readonly placement: StreamPlacement;
  startAttempt(engine: Upstream, source?: KvCacheCopy): void;
  fail(kind: ErrorKind, reason: string): void;
}

export function createStreamLosses(
  { stream, monitor, placement, startAttempt, fail }: StreamLossesOptions,
): StreamLosses {
  const { context, admitted } = stream;
  const { clock, logger, directory, budget, metrics } = context;
  const { route, deadlineAtMs } = admitted;
  const { requestId } = admitted.caller.description;
  return { handleLoss, handleSilence, handleNewLifetime, endAttempt };

  function handleNewLifetime(
    current: StreamAttempt,
    cause: LostCause,
    reason: string,
  ): void {
    if (stream.run !== current || stream.isFinished) return;
    const mayEnd = mayEndLostRun({
      hasBudget: () => budget.hasReserve(stream.budgetKey, 1),
      remainingMs: deadlineAtMs - clock.nowMs(),
      isResumable: isStreamResumable(stream),
      ranCount: stream.ranCount + 1,
      maxAttempts: route.maxAttempts,
    });
    if (!mayEnd) {
      logStay(current, reason, false);
      return;
    }
    handleLoss(current, {
      wasSent: true,
      // An engine that was replaced on purpose, or that got the request in its
      // new lifetime, is no evidence of a crash by the request.
      hasEngineEnded: cause === LostCause.Restarted,
      isReplaced: cause === LostCause.AddressTaken,
      isRecorded: true,
      reason,
    });
  }

  function handleSilence(current: StreamAttempt, reason: string): void {
    if (stream.run !== current || stream.isFinished) return;
    const { upstream } = current;
    const silentMs = clock.nowMs() -
      Math.max(
        current.lastEventAtMs ?? current.startedAtMs,
        current.resumedAtMs,
      );
    // Under load an engine may be slow for half a second, and works on.
    const isEngineAlive = context.isLoadAware(admitted.service.name) &&
      clock.nowMs() - upstream.lastActivityAtMs < probeAfterMs;
    // A run that is ended and can't be repeated yet would be a loss. The budget
    // comes last, since it asks for a repeat that would not be used otherwise.
    const mayLeave = mayLeaveSilentRun({
      remainingMs: deadlineAtMs - clock.nowMs(),
      isResumable: isStreamResumable(stream),
      ranCount: stream.ranCount + 1,
      maxAttempts: route.maxAttempts,
      silentMs,
      isSlowWithoutCopy: isEngineAlive &&
        current.lastEventAtMs !== undefined && !findUsableCopy(current),
    });
    const target = mayLeave ? findTarget(current) : undefined;
    if (target && budget.hasReserve(stream.budgetKey, 1)) {
      stream.hasLeftRun = true;
      handleLoss(current, {
        wasSent: true,
        mayBeSound: isEngineAlive,
        reason,
        nextEngine: target,
      });
      return;
    }
    logStay(current, reason, mayLeave);
  }

  function logStay(
    current: StreamAttempt,
    reason: string,
    mayLeave: boolean,
  ): void {
    if (current.isSilenceLogged) return;
    current.isSilenceLogged = true;
    logger.log(logEvents.streamStaysAtSilentEngine, {
      request: requestId,
      engine: current.upstream.info.upstreamId,
      reason,
      lastEventId: stream.lastEventId,
      ranCount: stream.ranCount,
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
    const others = placement.listCandidates().filter(({ info }) =>
      info.upstreamId !== upstreamId
    );
    return placement.chooseAdmitting(
      others,
      placement.getPlacementContext(),
    );
  }

  function handleLoss(
    lost: StreamAttempt,
    {
      wasSent,
      isRefused = false,
      hasEngineEnded = false,
      isRecorded = false,
      isReplaced = false,
      mayBeSound = false,
      reason,
      nextEngine,
    }: AttemptLoss,
  ): void {
    if (stream.run !== lost || stream.isFinished) return;
    const { upstreamId } = lost.upstream.info;
    const afterCrash: CrashDecision = hasEngineEnded && !lost.isPastStart
      ? stream.crashGuard.recordCrash(lost.upstream.info, lost.startedAtMs)
      : { kind: "resume" };
    const mayUseCopy = wasSent && lost.lastEventAtMs !== undefined &&
      afterCrash.kind === "resume";
    const copy = mayUseCopy ? findUsableCopy(lost) : undefined;
    const saysNothing = hasEngineEnded || isReplaced || isRefused ||
      mayBeSound || !wasSent;
    lost.wait.end(saysNothing ? WaitEnd.Cancelled : WaitEnd.Abandoned);
    if (!saysNothing) lost.pace.recordSilence(clock.nowMs());
    endAttempt(lost, copy !== undefined);
    stream.triedIds.add(upstreamId);
    if (wasSent) stream.ranCount += 1;
    if (!isRefused && !mayBeSound && !isRecorded) {
      directory.recordLoss(upstreamId, reason);
    }
    const decision = decideAfterLoss({
      isResumable: isStreamResumable(stream),
      ranCount: stream.ranCount,
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
      lastEventId: stream.lastEventId,
      silentMs: Math.round(
        clock.nowMs() - (lost.lastEventAtMs ?? lost.startedAtMs),
      ),
      writingMs: getWritingMs(lost, clock.nowMs()),
      copyAt: copy?.holder.info.upstreamId,
      decision,
      ranCount: stream.ranCount,
    });
    if (afterCrash.kind === "stop") {
      fail(
        ErrorKind.UpstreamsCrashed,
        "engines crashed each time that they started to run the request",
      );
      return;
    }
    switch (decision) {
      case "fail":
        fail(
          stream.ranCount > 0 ? ErrorKind.UpstreamFailed : ErrorKind.NoUpstream,
          reason,
        );
        return;
      case "resumeFromCopy":
        if (budget.tryDrawReserve(stream.budgetKey, 1)) {
          startAttempt(copy!.holder, copy!.source);
        } else {
          const lostAtMs = clock.nowMs();
          placement.waitForBudget(() => resumeFromCopy(lost, lostAtMs));
        }
        return;
      case "resume":
        // A request that never reached an engine has caused no work there, so
        // it does not draw on the budget.
        if ((wasSent || isRefused) && !placement.drawForRepeat(wasSent)) {
          placement.waitForBudget();
        } else if (afterCrash.kind === "delay") {
          placement.placeAttemptAfter(afterCrash.delayMs);
        } else if (nextEngine) startAttempt(nextEngine);
        else placement.placeAttempt();
        return;
      default:
        assertNever(decision);
    }
  }

  /** Returns false if the copy of a stream that has waited is gone. */
  function resumeFromCopy(lost: StreamAttempt, lostAtMs: number): boolean {
    const isKept = clock.nowMs() - lostAtMs < stream.traits.copyTtlMs;
    const copy = isKept ? findUsableCopy(lost) : undefined;
    if (copy) startAttempt(copy.holder, copy.source);
    return copy !== undefined;
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
    stream.run = undefined;
  }
}
