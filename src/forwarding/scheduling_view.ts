/**
 * What this instance knows when it decides whether a stream is placed: the room
 * at the engines, the more urgent demand, and the streams that wait here.
 */
import {
  countUnseenPlacements,
  getEngineRoom,
  maxLoadAgeMs,
} from "./engine_room.ts";
import { announcementAgeMs } from "./placement_estimator.ts";
import { getEarliestFirstEventMs } from "./stream_admission.ts";
import {
  getReservedPlaces,
  getStartByMs,
  getWaitingPhase,
  type SchedulingState,
  type WaitingOrder,
  WaitingPhase,
} from "./stream_scheduling.ts";
import { getStreamDemand, type StreamState } from "./stream_state.ts";
import type { Upstream } from "./upstream_types.ts";

export interface SchedulingView {
  /** Reads the present state; `reachable` are those of the engines that can be reached. */
  update(
    engines: readonly Upstream[],
    reachable: readonly Upstream[],
  ): SchedulingState;
  /** As of the last update. */
  getOrder(): WaitingOrder;
  /** Records that the stream waits for room. */
  recordWait(): void;
  recordPlacement(): void;
}

export function createSchedulingView(stream: StreamState): SchedulingView {
  const { context, admitted, traits } = stream;
  const { clock, directory, streamQueue } = context;
  const { caller, route, service, deadlineAtMs } = admitted;
  const rank = stream.rank ?? 0;
  const { objectiveMs } = route;
  let phase = WaitingPhase.OnTime;
  let startByMs = caller.arrivedAtMs + objectiveMs;
  let waitingSinceMs: number | undefined;
  let hasWaited = false;
  return {
    update,
    getOrder,
    recordWait: () => {
      hasWaited = true;
    },
    recordPlacement: () => {
      if (hasWaited) streamQueue.recordRelease(service.name, clock.nowMs());
      hasWaited = false;
    },
  };

  function getOrder(): WaitingOrder {
    return { hasBegun: hasBegun(), rank, phase, startByMs };
  }

  function hasBegun(): boolean {
    return stream.eventCount > 0 || stream.hasLeftRun;
  }

  function update(
    engines: readonly Upstream[],
    reachable: readonly Upstream[],
  ): SchedulingState {
    const nowMs = clock.nowMs();
    waitingSinceMs ??= nowMs;
    const { prefillTokens, totalTokens } = getStreamDemand(stream);
    const urgent = context.rankDemand.getMoreUrgent(service.name, rank);
    const loadAgeMs = Math.min(
      maxLoadAgeMs,
      directory.getRemoteLoadAgeMs() + announcementAgeMs,
    );
    const room = getEngineRoom(reachable, {
      traits,
      prefillTokens,
      totalTokens,
      urgentPromptTokens: urgent.streamsPerS > 0
        ? urgent.promptTokensPerS / urgent.streamsPerS
        : 0,
      urgentObjectiveMs: context.getUrgentObjectiveMs(service.name) ??
        objectiveMs,
      loadAgeMs,
    }, nowMs);
    const { prefillMs } = room;
    const state = {
      nowMs,
      hasBegun: hasBegun(),
      rank,
      arrivedAtMs: caller.arrivedAtMs,
      objectiveMs,
      deadlineAtMs,
      waitingSinceMs,
      hasWaited,
      loadAgeMs,
      lastReleaseAtMs: streamQueue.getLastReleaseAtMs(service.name),
      room,
      reservedPlaces: getReservedPlaces(urgent, {
        prefillMs,
        loadAgeMs,
        prefillTokens,
        engineCount: reachable.length,
      }),
      unseenPlacements: countUnseenPlacements({
        engines,
        streamsPerS: context.rankDemand.getAll(service.name).streamsPerS,
        loadAgeMs,
        nowMs,
      }),
      waitingCount: streamQueue.countOf(service.name),
      capacityShare: context.demand.getShare(service.name),
      earliestFirstEventMs: getEarliestMs(reachable, prefillTokens),
    };
    phase = getWaitingPhase(state);
    startByMs = getStartByMs(state);
    return {
      ...state,
      aheadCount: streamQueue.countAhead(service.name, getOrder()),
    };
  }

  function getEarliestMs(
    engines: readonly Upstream[],
    prefillTokens: number,
  ): number {
    const fastestTokensPerMs = directory.getPrefillRateTracker(service.name)
      .getFastestTokensPerMs();
    const backlogTokens = engines.reduce(
      (least, { unreadTokens, others }) =>
        Math.min(least, unreadTokens + others.unreadTokens),
      Infinity,
    );
    return getEarliestFirstEventMs({
      prefillTokens,
      backlogTokens,
      fastestTokensPerMs,
    });
  }
}
