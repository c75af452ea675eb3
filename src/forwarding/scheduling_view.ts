/**
 * What this instance knows when it decides whether a stream is placed: the room
 * at the engines, the more urgent demand, and the streams that wait here.
 */
import {
  countUnseenPlacements,
  getEngineRoom,
  listOutside,
  maxLoadAgeMs,
} from "./engine_room.ts";
import { announcementAgeMs } from "./placement_estimator.ts";
import { getEarliestFirstEventMs } from "./stream_admission.ts";
import {
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
  /**
   * Leaves out the engines of more urgent streams, if there are others. Applies
   * to services that are scheduled by urgency.
   */
  listOwn(engines: readonly Upstream[]): readonly Upstream[];
  /** As of the last update. */
  getOrder(): WaitingOrder;
  /** Records that the stream waits for room. */
  recordWait(): void;
  recordPlacement(engine: Upstream): void;
}

const noIds: ReadonlySet<string> = new Set();

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
  let isScheduled = false;
  let urgentIds = noIds;
  return {
    update,
    listOwn,
    getOrder,
    recordWait: () => {
      hasWaited = true;
    },
    recordPlacement: ({ info }) => {
      if (isScheduled) {
        const isUrgent = urgentIds.has(info.upstreamId);
        context.metrics.scheduledStreams.add({
          rank: String(rank),
          engine: isUrgent ? "urgent" : "other",
        });
      }
      if (hasWaited) streamQueue.recordRelease(service.name, clock.nowMs());
      hasWaited = false;
    },
  };

  function listOwn(engines: readonly Upstream[]): readonly Upstream[] {
    if (rank === 0 || !context.isLoadAware(service.name)) return engines;
    const urgent = context.rankDemand.getMoreUrgent(service.name, rank);
    const listed = directory.listUsable(service.name);
    return listOutside(
      engines,
      context.urgentEngines.getIds(service.name, listed, urgent),
    );
  }

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
    const demand = getStreamDemand(stream);
    const { prefillTokens, totalTokens } = demand;
    // An urgent stream itself uses the engines that others leave to it.
    const urgent = context.rankDemand.getMoreUrgent(
      service.name,
      Math.max(1, rank),
    );
    const all = context.rankDemand.getAll(service.name);
    const loadAgeMs = Math.min(
      maxLoadAgeMs,
      directory.getRemoteLoadAgeMs() + announcementAgeMs,
    );
    isScheduled = true;
    urgentIds = context.urgentEngines.getIds(
      service.name,
      engines,
      urgent,
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
      urgentIds: rank === 0 ? noIds : urgentIds,
    }, nowMs);
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
      urgentIds,
      urgentShare: all.streamsPerS > 0
        ? urgent.streamsPerS / all.streamsPerS
        : 0,
      demand,
      unseenPlacements: countUnseenPlacements({
        engines,
        streamsPerS: all.streamsPerS,
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
