/**
 * Decides by urgency when streams are placed. Pure.
 *
 * The rank of a stream is the position of its priority among those of the
 * service's streaming routes; 0 is the most urgent. A service whose routes all
 * have the same priority has no ranks, and its streams are not scheduled.
 */
import { assertNever } from "../core/assert_never.ts";
import { EngineChoice, type EngineRoom } from "./engine_room.ts";
import type { StreamDemand } from "./placement.ts";

/** Engines know the priorities 0 to 9. */
const maxEnginePriority = 9;

/**
 * Returns the rank of a priority. One that is not listed takes the position that
 * it would have.
 */
export function getStreamRank(
  priorities: readonly number[],
  priority: number,
): number | undefined {
  if (priorities.length < 2) return undefined;
  return priorities.filter((other) => other < priority).length;
}

/** Engines run requests of a lower number first, and preempt them last. */
export function getEnginePriority(
  rank: number | undefined,
): number | undefined {
  return rank === undefined ? undefined : Math.min(maxEnginePriority, rank);
}

export enum WaitReason {
  /** The engines have no room beside what more urgent streams need. */
  Room = "room",
  /** As `Room`, and the stream can't meet its objective any more. */
  Late = "late",
  /** No engine can be reached. */
  Engine = "engine",
  /** The retry budget is used up. */
  Budget = "budget",
}

/** What decides which of the streams that wait goes first. */
export interface WaitingOrder {
  /** Its caller waits for the next event. */
  readonly hasBegun: boolean;
  readonly rank: number;
  readonly phase: WaitingPhase;
  /** Latest start that still meets the objective. */
  readonly startByMs: number;
}

export enum WaitingPhase {
  /** It has waited for the longest permitted time. */
  Overdue = 0,
  OnTime = 1,
  Late = 2,
}

/** Less than 0 if the first one goes before the second one. */
export function compareWaiting(
  left: WaitingOrder,
  right: WaitingOrder,
): number {
  return Number(right.hasBegun) - Number(left.hasBegun) ||
    left.rank - right.rank ||
    left.phase - right.phase ||
    left.startByMs - right.startByMs;
}

export interface SchedulingState {
  readonly nowMs: number;
  readonly hasBegun: boolean;
  readonly rank: number;
  readonly arrivedAtMs: number;
  readonly objectiveMs: number;
  readonly deadlineAtMs: number;
  /** It was told to wait before. */
  readonly hasWaited: boolean;
  /** Since when it wants to be placed. */
  readonly waitingSinceMs: number | undefined;
  readonly room: EngineRoom;
  /** Engines that are left to more urgent streams, or its own if it is urgent. */
  readonly urgentIds: ReadonlySet<string>;
  /** Part of the arrivals that are urgent, 0 to 1. */
  readonly urgentShare: number;
  readonly demand: StreamDemand;
  /** Age of the known loads of other instances. */
  readonly loadAgeMs: number;
  /** Placements of other instances that the known loads don't show. */
  readonly unseenPlacements: number;
  /** Streams that wait here and go first. */
  readonly aheadCount: number;
  /** All other streams that wait here. */
  readonly waitingCount: number;
  /** Part of the engines' capacity that this instance uses, 0 to 1. */
  readonly capacityShare: number;
  /** When a stream that had waited here for room was placed last. */
  readonly lastReleaseAtMs: number;
  /** The first event cannot come sooner at any engine. */
  readonly earliestFirstEventMs: number;
}

export type SchedulingDecision =
  | {
    readonly kind: "place";
    readonly choice: EngineChoice;
    /** The request may not be refused, whatever its estimates are. */
    readonly isCertain: boolean;
  }
  | {
    readonly kind: "wait";
    readonly reason: WaitReason.Room | WaitReason.Late;
  }
  /** `backlogMs` is the time until the streams ahead of it are placed. */
  | { readonly kind: "refuse"; readonly backlogMs: number };

/** Bounds the streams that wait at one instance, whose bodies it holds. */
const maxWaitingCount = 1_000;
const minCapacityShare = 0.001;
/** Time until other instances see a placement, if they are told at once. */
const minReleaseAgeMs = 100;

/** Latest start by which the first event is expected within the objective. */
export function getStartByMs(
  { arrivedAtMs, objectiveMs, room }: Pick<
    SchedulingState,
    "arrivedAtMs" | "objectiveMs" | "room"
  >,
): number {
  return arrivedAtMs + objectiveMs - room.prefillMs - room.waitMs;
}

export function getWaitingPhase(
  state: Omit<SchedulingState, "aheadCount">,
): WaitingPhase {
  if (isOverdue(state)) return WaitingPhase.Overdue;
  // An engine may be faster than expected.
  const isLate = state.nowMs > getStartByMs(state) + startToleranceMs;
  return isLate ? WaitingPhase.Late : WaitingPhase.OnTime;
}

/** Longer than the interval at which waiting streams are checked. */
const startToleranceMs = 200;

export function decideScheduling(state: SchedulingState): SchedulingDecision {
  const { room, nowMs } = state;
  const isCalm = room.isHalfFree && state.waitingCount === 0;
  const place = (choice: EngineChoice): SchedulingDecision => ({
    kind: "place",
    choice,
    isCertain: isCalm,
  });
  if (state.rank === 0) return place(EngineChoice.Urgent);
  if (state.hasBegun) return place(EngineChoice.Outside);
  const delayMs = state.aheadCount /
    (room.promptsPerMs * Math.max(minCapacityShare, state.capacityShare));
  const backlogMs = delayMs + room.waitMs;
  const isHopeless = nowMs + delayMs + state.earliestFirstEventMs >=
    state.deadlineAtMs;
  if (!isCalm && (isHopeless || state.waitingCount >= maxWaitingCount)) {
    return { kind: "refuse", backlogMs };
  }
  if (hasPlace(state)) return place(EngineChoice.WithPlace);
  const phase = getWaitingPhase(state);
  switch (phase) {
    case WaitingPhase.Overdue:
      return place(EngineChoice.Any);
    case WaitingPhase.Late:
      return { kind: "wait", reason: WaitReason.Late };
    case WaitingPhase.OnTime:
      return nowMs < getStartByMs(state)
        ? { kind: "wait", reason: WaitReason.Room }
        : place(EngineChoice.Outside);
    default:
      return assertNever(phase);
  }
}

/**
 * When streams wait, they do so at all instances. If each of them placed its own
 * as soon as it learns of free places, all would take the same ones, so each
 * takes its share of them in the time until the next figures arrive.
 */
function hasPlace(state: SchedulingState): boolean {
  const { room, waitingCount, capacityShare } = state;
  const freePlaces = room.placeCount;
  if (state.aheadCount > 0 || freePlaces < 1) return false;
  if (waitingCount === 0 && !state.hasWaited) {
    // Urgent streams are placed at engines that are left to them.
    const otherShare = state.urgentIds.size > 0 ? 1 - state.urgentShare : 1;
    return freePlaces - state.unseenPlacements * otherShare >= 1;
  }
  const intervalMs = Math.max(minReleaseAgeMs, state.loadAgeMs) /
    (freePlaces * Math.max(minCapacityShare, capacityShare));
  return state.nowMs - state.lastReleaseAtMs >= intervalMs;
}

/**
 * A stream waits at most for its objective, and with little time left for half
 * of that, so that it isn't starved by more urgent ones.
 */
function isOverdue(
  { nowMs, waitingSinceMs, objectiveMs, deadlineAtMs, room }: Omit<
    SchedulingState,
    "aheadCount"
  >,
): boolean {
  if (waitingSinceMs === undefined) return false;
  const usableMs = deadlineAtMs - room.prefillMs - waitingSinceMs;
  return nowMs - waitingSinceMs >= Math.min(objectiveMs, usableMs / 2);
}
