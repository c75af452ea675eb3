/**
 * The room that engines have for prompts, as this instance knows it. Pure.
 *
 * A place is room for one more prompt such that a more urgent one that comes
 * after it would still meet its objective at the same engine.
 */
import { assertNever } from "../core/assert_never.ts";
import {
  defaultPrefillMsPerToken,
  tokensPerRunningRequest,
} from "./expected_time.ts";
import type { EngineTraits } from "./forwarding_table.ts";
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
}

export interface EngineRoom {
  readonly placeCount: number;
  readonly enginesWithPlace: readonly Upstream[];
  /**
   * Times after which the engines could begin to read a prompt, the shortest
   * first.
   */
  readonly waitsMs: readonly number[];
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

export function getEngineRoom(
  engines: readonly Upstream[],
  demand: RoomDemand,
  nowMs: number,
): EngineRoom {
  const { traits, urgentPromptTokens } = demand;
  const prefillTokens = Math.max(1, demand.prefillTokens);
  const totalTokens = Math.max(1, demand.totalTokens);
  const waitsMs: number[] = [];
  const enginesWithPlace: Upstream[] = [];
  let placeCount = 0;
  let prefillMs = 0;
  let promptsPerMs = 0;
  let runningCount = 0;
  let waitingCount = 0;
  for (const engine of engines) {
    const msPerToken = engine.speed.prefillMsPerToken ??
      defaultPrefillMsPerToken;
    const running = engine.inFlightCount + engine.others.runningCount;
    const backlogTokens = getBacklogTokens(
      engine,
      msPerToken,
      demand.loadAgeMs,
    );
    const aheadTokens = backlogTokens + running * tokensPerRunningRequest;
    const timelyTokens = usedObjectiveRatio * demand.urgentObjectiveMs /
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
    waitsMs.push(aheadTokens * msPerToken);
    prefillMs += prefillTokens * msPerToken / engines.length;
    promptsPerMs += 1 / (prefillTokens * msPerToken);
    runningCount += running;
    waitingCount += getWaitingCount(engine, nowMs);
  }
  return {
    placeCount,
    enginesWithPlace,
    waitsMs: waitsMs.sort((left, right) => left - right),
    prefillMs,
    promptsPerMs,
    isHalfFree: waitingCount === 0 &&
      2 * runningCount <= engines.length * traits.maxRunning,
  };
}

export enum EngineChoice {
  Any = "any",
  /** Engines that have room. */
  WithPlace = "withPlace",
  /** Engines that are not kept for more urgent streams. */
  Unreserved = "unreserved",
}

export function listChoice(
  choice: EngineChoice,
  engines: readonly Upstream[],
  { room, reservedPlaces, loadAgeMs }: {
    readonly room: EngineRoom;
    readonly reservedPlaces: number;
    readonly loadAgeMs: number;
  },
): readonly Upstream[] {
  switch (choice) {
    case EngineChoice.Any:
      return engines;
    case EngineChoice.WithPlace:
      return room.enginesWithPlace;
    case EngineChoice.Unreserved:
      return listUnreserved(engines, { reservedPlaces, loadAgeMs });
    default:
      return assertNever(choice);
  }
}

/**
 * Leaves out the engines that are kept for more urgent streams: those that could
 * begin first.
 */
function listUnreserved(
  engines: readonly Upstream[],
  { reservedPlaces, loadAgeMs }: {
    readonly reservedPlaces: number;
    readonly loadAgeMs: number;
  },
): Upstream[] {
  const getWaitMs = (engine: Upstream) => {
    const msPerToken = engine.speed.prefillMsPerToken ??
      defaultPrefillMsPerToken;
    return getBacklogTokens(engine, msPerToken, loadAgeMs) * msPerToken;
  };
  return engines.map((engine) => ({ engine, waitMs: getWaitMs(engine) }))
    .sort((left, right) => left.waitMs - right.waitMs)
    .slice(countKept(engines.length, reservedPlaces))
    .map(({ engine }) => engine);
}

/** How soon the first engine that is not kept could begin to read a prompt. */
export function getUnreservedWaitMs(
  { waitsMs }: EngineRoom,
  reservedPlaces: number,
): number {
  return waitsMs[countKept(waitsMs.length, reservedPlaces)] ?? 0;
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

function countKept(engineCount: number, reservedPlaces: number): number {
  return Math.max(0, Math.min(engineCount - 1, Math.ceil(reservedPlaces)));
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
