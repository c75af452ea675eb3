/**
 * The room that engines have for prompts, as this instance knows it. Pure.
 *
 * A place is room for one more prompt such that a more urgent one that comes
 * after it would still meet its objective at the same engine.
 */
import { assertNever } from "../core/assert_never.ts";
import {
  defaultPrefillMsPerToken,
  estimateFirstEventMs,
  tokensPerRunningRequest,
} from "./expected_time.ts";
import type { EngineTraits } from "./forwarding_table.ts";
import { hasCapacity, type StreamDemand } from "./placement.ts";
import type { Upstream } from "./upstream_types.ts";

export interface RoomDemand {
  readonly traits: EngineTraits;
  readonly prefillTokens: number;
  readonly totalTokens: number;
  /** Mean prompt of the more urgent streams. */
  readonly urgentPromptTokens: number;
  readonly urgentObjectiveMs: number;
  /** Age of the known loads of other instances. */
  readonly loadAgeMs: number;
  /**
   * Engines that are left to more urgent streams. They have no places, unless no
   * other engine can be reached.
   */
  readonly urgentIds: ReadonlySet<string>;
}

export interface EngineRoom {
  readonly placeCount: number;
  readonly enginesWithPlace: readonly Upstream[];
  /** How soon the first engine could begin to read a prompt. */
  readonly waitMs: number;
  /** Mean time in which an engine reads the prompt. */
  readonly prefillMs: number;
  /** Prompts of this size that all engines together read. */
  readonly promptsPerMs: number;
  /** At least half of the slots are free and no request waits at an engine. */
  readonly isHalfFree: boolean;
}

/**
 * The loads of other instances are not older than that: half a heartbeat
 * interval until control has them, and as much until its next reply. In this
 * time the engines have read on.
 */
export const maxLoadAgeMs = 750;
/** A reported queue says nothing about the present after this time. */
const maxReportAgeMs = 2_000;
/**
 * The rest of the objective is for the network and for prompts that other
 * instances place at the same engine before their loads are known. In trials
 * with the replay of an overload (seeds 2 to 8), 0.8 left 85 % of the urgent
 * streams on time, 0.5 left 89 %.
 */
const usedObjectiveRatio = 0.5;
/**
 * The same for engines beside those that are left to urgent streams, which come
 * here only if their own are busy. In trials with the same replay (seeds 2 to 6),
 * 0.8 left 98.6 % of the others on time, 0.5 left 95.7 %; of the urgent ones, 99 %
 * were on time with both.
 */
const usedObjectiveRatioOutside = 0.8;

export function getEngineRoom(
  engines: readonly Upstream[],
  demand: RoomDemand,
  nowMs: number,
): EngineRoom {
  const { traits, urgentPromptTokens } = demand;
  const prefillTokens = Math.max(1, demand.prefillTokens);
  const totalTokens = Math.max(1, demand.totalTokens);
  const usable = listOutside(engines, demand.urgentIds);
  const isRestricted = usable.length < engines.length;
  const usedRatio = demand.urgentIds.size > 0
    ? usedObjectiveRatioOutside
    : usedObjectiveRatio;
  const enginesWithPlace: Upstream[] = [];
  let waitMs = Infinity;
  let placeCount = 0;
  let prefillMs = 0;
  let promptsPerMs = 0;
  let runningCount = 0;
  let waitingCount = 0;
  for (const engine of engines) {
    const msPerToken = engine.speed.prefillMsPerToken ??
      defaultPrefillMsPerToken;
    const running = engine.inFlightCount + engine.others.runningCount;
    runningCount += running;
    waitingCount += getWaitingCount(engine, nowMs);
    if (isRestricted && demand.urgentIds.has(engine.info.upstreamId)) continue;
    const backlogTokens = getBacklogTokens(
      engine,
      msPerToken,
      demand.loadAgeMs,
    );
    const aheadTokens = backlogTokens + running * tokensPerRunningRequest;
    const timelyTokens = usedRatio * demand.urgentObjectiveMs /
        msPerToken - aheadTokens - urgentPromptTokens;
    const freeTokens = traits.memoryTokens - engine.memoryTokens -
      engine.others.memoryTokens;
    const timelyPlaces = Math.max(
      // An engine that reads nothing would otherwise be left idle.
      backlogTokens === 0 ? 1 : 0,
      Math.floor(timelyTokens / prefillTokens),
    );
    const places = Math.min(
      timelyPlaces,
      Math.floor(freeTokens / totalTokens),
      traits.maxRunning - running,
    );
    if (places > 0) {
      placeCount += places;
      enginesWithPlace.push(engine);
    }
    waitMs = Math.min(waitMs, aheadTokens * msPerToken);
    prefillMs += prefillTokens * msPerToken / usable.length;
    promptsPerMs += 1 / (prefillTokens * msPerToken);
  }
  return {
    placeCount,
    enginesWithPlace,
    waitMs: usable.length > 0 ? waitMs : 0,
    prefillMs,
    promptsPerMs,
    isHalfFree: waitingCount === 0 &&
      2 * runningCount <= engines.length * traits.maxRunning,
  };
}

/** Leaves out the engines of more urgent streams, if there are others. */
export function listOutside(
  engines: readonly Upstream[],
  urgentIds: ReadonlySet<string>,
): readonly Upstream[] {
  if (urgentIds.size === 0) return engines;
  const outside = engines.filter(({ info }) => !urgentIds.has(info.upstreamId));
  return outside.length > 0 ? outside : engines;
}

export enum EngineChoice {
  /** The engines of urgent streams while they can serve it in time, or any. */
  Urgent = "urgent",
  /** Engines that have room. */
  WithPlace = "withPlace",
  /** For streams that would starve. */
  Any = "any",
  /** Engines that are not left to more urgent streams. */
  Outside = "outside",
}

export interface ListedChoice {
  readonly engines: readonly Upstream[];
  /**
   * Placements of other instances at these engines that the known loads don't
   * show; undefined if they are no different from those at other engines.
   */
  readonly unseenCount: number | undefined;
}

export interface ChoiceState {
  readonly room: EngineRoom;
  readonly urgentIds: ReadonlySet<string>;
  /** Part of the arrivals that are urgent, 0 to 1. */
  readonly urgentShare: number;
  /** Placements of other instances that the known loads don't show. */
  readonly unseenPlacements: number;
  readonly objectiveMs: number;
  readonly demand: StreamDemand;
  readonly nowMs: number;
}

export function listChoice(
  choice: EngineChoice,
  engines: readonly Upstream[],
  state: ChoiceState,
): ListedChoice {
  switch (choice) {
    case EngineChoice.Any:
      return { engines, unseenCount: undefined };
    case EngineChoice.Urgent:
      return listUrgent(engines, state);
    case EngineChoice.WithPlace:
      return { engines: state.room.enginesWithPlace, unseenCount: undefined };
    case EngineChoice.Outside:
      return {
        engines: listOutside(engines, state.urgentIds),
        unseenCount: undefined,
      };
    default:
      return assertNever(choice);
  }
}

/**
 * Other engines may get streams of lower ranks that are not visible yet. So they
 * are used only if no engine of the set is expected to begin in time. The unseen
 * placements are taken with twice their standard deviation, since a second prompt
 * at an engine costs more time than the choice of a slower one.
 */
function listUrgent(
  engines: readonly Upstream[],
  state: ChoiceState,
): ListedChoice {
  const { urgentIds, objectiveMs, demand, nowMs } = state;
  const timely = engines.filter((engine) =>
    urgentIds.has(engine.info.upstreamId) && hasCapacity(engine, demand) &&
    estimateFirstEventMs(engine, demand, nowMs) <=
      usedObjectiveRatio * objectiveMs
  );
  const unseenCount = state.unseenPlacements * state.urgentShare;
  return timely.length === 0 ? { engines, unseenCount: undefined } : {
    engines: timely,
    unseenCount: unseenCount + 2 * Math.sqrt(unseenCount),
  };
}

/**
 * Estimates the placements of other instances that the known loads don't show
 * yet: the streams that arrived since, and those that have just lost their
 * engines and are resumed elsewhere.
 */
export function countUnseenPlacements(
  { engines, streamsPerS, loadAgeMs, nowMs }: {
    readonly engines: readonly Upstream[];
    /** Arrivals at all instances. */
    readonly streamsPerS: number;
    readonly loadAgeMs: number;
    readonly nowMs: number;
  },
): number {
  const displacedCount = engines.filter(({ suspendedUntilMs, lostAtMs }) =>
    suspendedUntilMs > nowMs && nowMs - lostAtMs <= 2 * maxLoadAgeMs
  ).reduce((sum, { others }) => sum + others.runningCount, 0);
  return streamsPerS * loadAgeMs / 1_000 + displacedCount;
}

function getBacklogTokens(
  { unreadTokens, others }: Upstream,
  msPerToken: number,
  loadAgeMs: number,
): number {
  return unreadTokens +
    Math.max(0, others.unreadTokens - loadAgeMs / msPerToken);
}

function getWaitingCount({ reported }: Upstream, nowMs: number): number {
  return reported && nowMs - reported.atMs <= maxReportAgeMs
    ? reported.load.waitingCount
    : 0;
}
