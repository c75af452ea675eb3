/**
 * Chooses the engine of a stream's next attempt. While none can be chosen, the
 * stream waits for an engine, for room at the engines, for room below the limits
 * that engines state, or for the retry budget.
 */
import { assertNever } from "../core/assert_never.ts";
import { ErrorKind } from "../core/errors.ts";
import { logEvents } from "../core/log_events.ts";
import { createPlacementContext, limitReason } from "./forwarding_steps.ts";
import {
  chooseForStream,
  listReachable,
  type PlacementContext,
} from "./placement.ts";
import {
  type AdmissionDecision,
  decideStreamAdmission,
} from "./stream_admission.ts";
import { announcementAgeMs } from "./placement_estimator.ts";
import { minResumeMs } from "./stream_decisions.ts";
import { listChoice, type ListedChoice } from "./engine_room.ts";
import { defaultPrefillMsPerToken } from "./expected_time.ts";
import { decideScheduling, WaitReason } from "./stream_scheduling.ts";
import { createSchedulingView } from "./scheduling_view.ts";
import { createStreamWait } from "./stream_wait.ts";
import { getStreamDemand, type StreamState } from "./stream_state.ts";
import type { Upstream } from "./upstream_types.ts";

export interface StreamPlacement {
  /** Starts the next attempt, now or as soon as an engine can be chosen. */
  placeAttempt(): void;
  placeAttemptAfter(delayMs: number): void;
  /** Draws on the retry budget; `hasRun` if the last attempt may have run. */
  drawForRepeat(hasRun: boolean): boolean;
  /**
   * Starts the next attempt when the retry budget allows it: with
   * `resumeFromCopy`, unless that returns false because the copy has gone.
   */
  waitForBudget(resumeFromCopy?: () => boolean): void;
  /** `isForCopy` for the engine that holds a copy of the KV cache. */
  getPlacementContext(isForCopy?: boolean): PlacementContext;
  /** The engines that may get the next attempt. */
  listCandidates(): Upstream[];
  /**
   * Chooses among the engines that can prefill the prompt in time, at first those
   * that are not left to more urgent streams.
   */
  chooseAdmitting(
    engines: readonly Upstream[],
    placement: PlacementContext,
  ): Upstream | undefined;
  refuseQuarantined(partId: string): void;
  /** Ends any wait. */
  end(): void;
}

export interface StreamPlacementOptions {
  readonly stream: StreamState;
  startAttempt(engine: Upstream): void;
  fail(kind: ErrorKind, reason: string, backlogMs?: number): void;
}

/** Engines that fail briefly are available again within this time. */
const maxEngineWaitMs = 1_500;
const enginePollIntervalMs = 50;
/** Interval at which a stream that the retry budget does not cover asks again. */
const budgetPollIntervalMs = 250;

export function createStreamPlacement(
  { stream, startAttempt, fail }: StreamPlacementOptions,
): StreamPlacement {
  const { context, admitted } = stream;
  const { clock, logger, directory, budget, metrics } = context;
  const { route, service, deadlineAtMs } = admitted;
  const { requestId } = admitted.caller.description;
  let waitingSinceMs: number | undefined;
  let waitTimer: NodeJS.Timeout | undefined;
  let endWaiting: (() => void) | undefined;
  const view = createSchedulingView(stream);
  const wait = createStreamWait({ stream, getOrder: view.getOrder });
  return {
    placeAttempt,
    placeAttemptAfter: (delayMs) => {
      waitTimer = setTimeout(placeAttempt, delayMs);
    },
    drawForRepeat,
    waitForBudget,
    getPlacementContext,
    listCandidates,
    chooseAdmitting: (engines, placement) =>
      chooseAdmitting(view.listOwn(engines), placement) ??
        chooseAdmitting(engines, placement),
    refuseQuarantined,
    end: () => {
      endWaiting?.();
      wait.end();
      clearTimeout(waitTimer);
    },
  };

  function getPlacementContext(isForCopy = false): PlacementContext {
    return createPlacementContext(context, {
      service: service.name,
      isForCopy,
      triedIds: stream.triedIds,
      unreportedPlacementCount: context.getUnreportedPlacementCount(
        directory.isDomainSuspected(service.name, context.domainId),
        context.isLoadAware(service.name)
          ? directory.getRemoteLoadAgeMs() + announcementAgeMs
          : undefined,
      ),
    });
  }

  /**
   * Leaves out the engine that ended the stream without a further event, if the
   * service has others, since only another one can confirm that.
   */
  function listCandidates(): Upstream[] {
    const engines = directory.listUsable(service.name);
    if (
      stream.emptyEnd === undefined ||
      stream.emptyEnd.lastEventId !== stream.lastEventId
    ) {
      return engines;
    }
    const { upstreamId } = stream.emptyEnd;
    const others = engines.filter(({ info }) => info.upstreamId !== upstreamId);
    return others.length > 0 ? others : engines;
  }

  function placeAttempt(): void {
    if (stream.isFinished) return;
    const quarantinedId = stream.hasRunPastStart
      ? undefined
      : stream.crashGuard.findQuarantinedPart();
    if (quarantinedId !== undefined) {
      refuseQuarantined(quarantinedId);
      return;
    }
    const engines = listCandidates();
    const placement = getPlacementContext();
    const reachable = listReachable(engines, placement);
    const isScheduled = stream.rank !== undefined &&
      context.isLoadAware(service.name);
    if (isScheduled && reachable.length > 0) {
      schedule(engines, reachable, placement);
      return;
    }
    const engine = choose(engines, placement);
    if (engine) placeAt(engine);
    else if (reachable.length > 0) waitForLimit();
    else waitForEngine(engines.length);
  }

  function choose(
    engines: readonly Upstream[],
    placement: PlacementContext,
  ): Upstream | undefined {
    return chooseAdmitting(engines, placement) ??
      chooseForStream(engines, getStreamDemand(stream), placement);
  }

  /** Decides whether the stream is placed now, by its rank and the room. */
  function schedule(
    engines: readonly Upstream[],
    reachable: readonly Upstream[],
    placement: PlacementContext,
  ): void {
    const state = view.update(engines, reachable);
    const decision = decideScheduling(state);
    switch (decision.kind) {
      case "place":
        placeScheduled(reachable, placement, {
          isCertain: decision.isCertain,
          preferred: listChoice(decision.choice, reachable, state),
        });
        return;
      case "wait":
        view.recordWait();
        wait.begin(decision.reason, placeAttempt, {
          placeCount: state.room.placeCount,
          unseenPlacements: Math.round(state.unseenPlacements),
          urgentEngines: state.urgentIds.size,
          aheadCount: state.aheadCount,
        });
        return;
      case "refuse":
        logger.log(logEvents.streamRefused, {
          request: requestId,
          rank: stream.rank,
          placeCount: state.room.placeCount,
          aheadCount: state.aheadCount,
          backlogMs: Math.round(decision.backlogMs),
        });
        refuse(
          "the first event cannot be sent before the deadline",
          decision.backlogMs,
        );
        return;
      default:
        assertNever(decision);
    }
  }

  function placeScheduled(
    engines: readonly Upstream[],
    placement: PlacementContext,
    { isCertain, preferred }: {
      readonly isCertain: boolean;
      readonly preferred: ListedChoice;
    },
  ): void {
    const { unseenCount = placement.unreportedPlacementCount } = preferred;
    const engine = choose(preferred.engines, {
      ...placement,
      unreportedPlacementCount: unseenCount,
    }) ?? choose(engines, placement);
    if (!engine) {
      waitForLimit();
      return;
    }
    if (!isCertain) {
      placeAt(engine);
      return;
    }
    waitingSinceMs = undefined;
    begin(engine);
  }

  function begin(engine: Upstream): void {
    wait.end();
    view.recordPlacement(engine);
    startAttempt(engine);
  }

  function refuse(reason: string, backlogMs: number): void {
    metrics.refusedStreams.add({ rank: String(stream.rank ?? 0), reason });
    fail(
      stream.ranCount > 0 ? ErrorKind.UpstreamFailed : ErrorKind.Overloaded,
      reason,
      backlogMs,
    );
  }

  function placeAt(engine: Upstream): void {
    waitingSinceMs = undefined;
    const admission = decideAdmission(engine);
    switch (admission.kind) {
      case "admit":
        begin(engine);
        return;
      case "refuse":
        // The run that this instance ended might have been in time.
        if (stream.hasLeftRun) begin(engine);
        else {
          refuse(
            "the prompt cannot be prefilled before the deadline",
            admission.backlogMs,
          );
        }
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
    return chooseForStream(
      engines.filter(canAdmit),
      getStreamDemand(stream),
      placement,
    );
  }

  function canAdmit(engine: Upstream): boolean {
    return decideAdmission(engine).kind === "admit";
  }

  function decideAdmission(engine: Upstream): AdmissionDecision {
    return decideStreamAdmission({
      remainingMs: deadlineAtMs - clock.nowMs(),
      prefillTokens: getStreamDemand(stream).prefillTokens,
      backlogTokens: engine.unreadTokens + engine.others.unreadTokens,
      fastestTokensPerMs: directory.getPrefillRateTracker(service.name)
        .getFastestTokensPerMs(),
    });
  }

  /** Waits until a limit that an engine states has room. */
  function waitForLimit(): void {
    wait.end();
    endWaiting?.();
    const remove = context.limitQueue.add(service.name, {
      // The caller of a stream that has begun waits for its next event.
      priority: stream.eventCount > 0 ? -1 : admitted.priority,
      // One that has begun can't keep its objective any more.
      sendBeforeMs: deadlineAtMs -
        (stream.eventCount > 0 || stream.hasLeftRun
          ? minResumeMs
          : route.objectiveMs),
      send: () => {
        const engines = listCandidates();
        const placement = getPlacementContext();
        const engine = choose(view.listOwn(engines), placement) ??
          choose(engines, placement);
        if (!engine) return false;
        endWaiting = undefined;
        placeAt(engine);
        return true;
      },
      refuse: (backlogMs) =>
        fail(
          stream.ranCount > 0 ? ErrorKind.UpstreamFailed : ErrorKind.Overloaded,
          limitReason,
          backlogMs,
        ),
    });
    if (!stream.isFinished) endWaiting = remove;
  }

  /** Repeating the request is useless, so the error says that. */
  function refuseQuarantined(partId: string): void {
    const mayHaveRun = stream.ranCount > 0 || stream.run !== undefined;
    fail(
      mayHaveRun ? ErrorKind.UpstreamsCrashed : ErrorKind.RequestQuarantined,
      `requests with ${partId} crash engines`,
    );
  }

  function waitForEngine(listedCount: number): void {
    const nowMs = clock.nowMs();
    waitingSinceMs ??= nowMs;
    stream.triedIds.clear();
    // A run that this instance ended is made up for until the deadline.
    const isWaitOver = !stream.hasLeftRun &&
      nowMs - waitingSinceMs >= maxEngineWaitMs;
    const hasBegun = stream.eventCount > 0 || stream.hasLeftRun;
    const isUseless = listedCount === 0 || areAllWaiting(nowMs);
    if ((isUseless && !hasBegun) || isWaitOver) {
      fail(
        stream.ranCount > 0 ? ErrorKind.UpstreamFailed : ErrorKind.NoUpstream,
        "no engine is available",
      );
      return;
    }
    if (context.isLoadAware(service.name)) {
      wait.begin(WaitReason.Engine, placeAttempt, {});
    } else waitTimer = setTimeout(placeAttempt, enginePollIntervalMs);
  }

  /** Whether all engines have stated that they want no requests for longer. */
  function areAllWaiting(nowMs: number): boolean {
    return directory.listUsable(service.name).every(({ waitsUntilMs }) =>
      waitsUntilMs - nowMs > maxEngineWaitMs
    );
  }

  /** The reserve is for streams that have lost a run. */
  function drawForRepeat(hasRun: boolean): boolean {
    return hasRun
      ? budget.tryDrawReserve(stream.budgetKey, 1)
      : budget.tryDraw(stream.budgetKey, 1);
  }

  /**
   * Waits until the work of others has paid for one more repeat. The caller of a
   * stream that has not run is refused instead if that takes too long.
   */
  function waitForBudget(resumeFromCopy?: () => boolean): void {
    const hasRun = stream.ranCount > 0;
    waitingSinceMs ??= clock.nowMs();
    if (!hasRun && isBudgetWaitOver(waitingSinceMs)) {
      const reason = "the retry budget is used up";
      metrics.refusedStreams.add({ rank: String(stream.rank ?? 0), reason });
      fail(ErrorKind.NoUpstream, reason);
      return;
    }
    if (context.isLoadAware(service.name)) {
      wait.begin(
        WaitReason.Budget,
        () => drawAgain(hasRun, resumeFromCopy),
        {},
      );
    } else {
      waitTimer = setTimeout(
        () => drawAgain(hasRun, resumeFromCopy),
        budgetPollIntervalMs,
      );
    }
  }

  /**
   * Under load, a stream waits as long as it could still meet its objective: a
   * repeat of its caller would draw on the same budget.
   */
  function isBudgetWaitOver(sinceMs: number): boolean {
    const waitedMs = clock.nowMs() - sinceMs;
    if (waitedMs < maxEngineWaitMs) return false;
    if (!context.isLoadAware(service.name)) return true;
    const remainingMs = deadlineAtMs - clock.nowMs();
    const prefillMs = getStreamDemand(stream).prefillTokens *
      defaultPrefillMsPerToken;
    return waitedMs >= route.objectiveMs || remainingMs <= prefillMs ||
      !listCandidates().some(canAdmit);
  }

  function drawAgain(hasRun: boolean, resumeFromCopy?: () => boolean): void {
    if (stream.isFinished) return;
    if (!drawForRepeat(hasRun)) {
      waitForBudget(resumeFromCopy);
      return;
    }
    // The time to wait for an engine begins now.
    if (hasRun || context.isLoadAware(service.name)) waitingSinceMs = undefined;
    if (resumeFromCopy?.()) wait.end();
    else placeAttempt();
  }
}
