/**
 * Decides whether an instance that is short of processor, memory or link
 * capacity refuses a request that it has read and not sent. Pure.
 *
 * A request spends time here in turns of the event loop and behind bytes that
 * the link has not taken. The instance is short if this time exceeds what the
 * objectives of recent requests leave for it, or if its memory runs out. It then
 * refuses a share of the requests that grows while the shortage lasts: the least
 * urgent first, and never more than a stated part of all.
 */
import { assertNever } from "../core/assert_never.ts";
import type { InstanceFigures } from "../core/instance_figures.ts";
import type { Random } from "../core/random.ts";
import { CallerStanding } from "./call_returns.ts";
import type { ForwardingRoute } from "./forwarding_table.ts";
import { getCapacityRetryAfterMs } from "./retry_after.ts";

export interface OverloadLimits {
  /** Part of a route's objective that a request may spend at this instance. */
  readonly objectiveRatio: number;
  /** Greatest part of the requests that is refused. */
  readonly maxRefusedRatio: number;
  readonly maxHeapRatio: number;
  readonly maxHeldRatio: number;
  /** Capacity of the link; null if it is not known. */
  readonly linkBytesPerS: number | null;
}

export enum Shortage {
  Processor = "processor",
  Link = "link",
  Heap = "heap",
  Held = "held",
}

/** The requests of one priority. */
interface Kind {
  readonly priority: number;
  /** Recent arrivals, weighted by age. */
  readonly weight: number;
  readonly seenAtMs: number;
  /** Shortest time that recent requests may spend here. */
  readonly needMs: number;
  readonly needAtMs: number;
}

export interface OverloadState {
  /** Time that a request spends here; 0 if it is not known. */
  readonly localMs: number;
  /** Memory in use, relative to its limit; 0 if it is not known. */
  readonly memoryPressure: number;
  /** The shortage that is greatest. */
  readonly shortage: Shortage;
  readonly figuresAtMs: number;
  readonly shortCount: number;
  readonly ignoredUntilMs: number;
  /** Part of the requests that is to be refused. */
  readonly refusedRatio: number;
  /** Refusals that the bound allows; at most `maxSavedRefusals`. */
  readonly allowance: number;
  /** The most urgent first. */
  readonly kinds: readonly Kind[];
}

export interface ArrivedRequest {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** See `getNeedMs`. */
  readonly needMs: number;
  readonly remainingMs: number;
  /** Whether this instance has refused the caller before. */
  readonly standing: CallerStanding;
  /**
   * A random number in [0, 1). With a regular choice, callers that return at
   * regular intervals could be refused each time.
   */
  readonly draw: number;
}

export interface AdmissionDecision {
  readonly state: OverloadState;
  /** Undefined if the request is admitted. */
  readonly refusal: Shortage | undefined;
}

/** Interval of the figures. */
export const figuresIntervalMs = 250;
/** A request is read in one turn, and its response in another. */
const turnsPerRequest = 2;
/** The event loop delay is sampled at 10 ms; below this it states nothing. */
const minLocalMs = 20;
/** One collection or one large request is no shortage. */
const minShortCount = 2;
/**
 * Below this part of the limit the shortage is over. Requests that can be
 * carried in time are admitted before, but the share to refuse is kept.
 */
const releaseRatio = 0.7;
/** From none to half of the requests in 1.25 s, a quarter of a usual burst. */
const maxRise = 0.1;
const minRise = 0.05;
const fall = 0.1;
/** Between release and limit; ends refusals that are no longer needed. */
const slowFall = 0.01;
/** What arrived in a pause is handled in this time after it. */
const pauseEffectMs = 1_000;
/** The smallest instances have 0.243 cores, and use them when overloaded. */
const minProcessorUse = 0.1;
/** Older figures state nothing. */
const maxFiguresAgeMs = 3_000;
/** Time in which the weight of an arrival falls to 1/e. */
const kindWindowMs = 2_000;
/** Less urgent priorities count as this one. */
const maxPriority = 15;
/** No kind may be served less than a quarter as often as all. */
const maxKindRatio = 0.75;
/** Lets the number of refusals vary at random below the bound. */
const maxSavedRefusals = 5;
/** Without such a use of the link, unsent bytes wait for slow readers. */
const minLinkUse = 0.5;
const maxDelayMs = 60_000;
const maxBytes = 2 ** 40;
const maxProcessorUse = 1_000;
/** The return of a refused caller takes this part of the objective at most. */
const returnRatio = 0.25;
const maxReturnSpreadMs = 250;

export function createOverloadState(): OverloadState {
  return {
    localMs: 0,
    memoryPressure: 0,
    shortage: Shortage.Processor,
    figuresAtMs: -Infinity,
    shortCount: 0,
    ignoredUntilMs: -Infinity,
    refusedRatio: 0,
    allowance: 0,
    kinds: [],
  };
}

/**
 * The time that requests of the route may spend here. It does not depend on the
 * callers' deadlines, so that a caller with a short one can't have others
 * refused.
 */
export function getNeedMs(
  { objectiveMs, maxEventGapMs }: Pick<
    ForwardingRoute,
    "objectiveMs" | "maxEventGapMs"
  >,
  { objectiveRatio }: OverloadLimits,
): number {
  const objective = objectiveMs > 0 ? objectiveMs : Infinity;
  // An event passes in one turn.
  const gapMs = (maxEventGapMs ?? Infinity) * turnsPerRequest;
  return objectiveRatio * Math.min(objective, gapMs > 0 ? gapMs : Infinity);
}

/** The number of figures that can't be right, and are treated as missing. */
export function countAbsurdFigures(figures: InstanceFigures): number {
  const usable = dropAbsurdFigures(figures);
  const names = Object.keys(figures) as (keyof InstanceFigures)[];
  return names.filter((name) =>
    figures[name] !== undefined && usable[name] === undefined
  ).length;
}

function dropAbsurdFigures(figures: InstanceFigures): InstanceFigures {
  const check = (value: number | undefined, max: number, min = 0) =>
    value !== undefined && value >= min && value <= max ? value : undefined;
  const heapLimitBytes = check(figures.heapLimitBytes, maxBytes, 1);
  const heldLimitBytes = check(figures.heldLimitBytes, maxBytes, 1);
  return {
    eventLoopDelayMs: check(figures.eventLoopDelayMs, maxDelayMs),
    // Each of them may exceed its limit by what is allocated at once.
    heapUsedBytes: check(figures.heapUsedBytes, 2 * (heapLimitBytes ?? 0)),
    heapLimitBytes,
    heldBytes: check(figures.heldBytes, 2 * (heldLimitBytes ?? 0)),
    heldLimitBytes,
    unsentBytes: check(figures.unsentBytes, maxBytes),
    sentBytesPerS: check(figures.sentBytesPerS, maxBytes),
    processorUse: check(figures.processorUse, maxProcessorUse),
  };
}

/** Applies new figures, which are taken every `figuresIntervalMs`. */
export function applyFigures(
  state: OverloadState,
  { figures, hasPaused }: {
    readonly figures: InstanceFigures;
    /** Whether a check was late since the last figures (`PauseWatch`). */
    readonly hasPaused: boolean;
  },
  limits: OverloadLimits,
  nowMs: number,
): OverloadState {
  const usable = dropAbsurdFigures(figures);
  // A process that works in long turns is late too, but uses the processor.
  const stoodStill = hasPaused && (usable.processorUse ?? 0) < minProcessorUse;
  const ignoredUntilMs = stoodStill
    ? nowMs + pauseEffectMs
    : state.ignoredUntilMs;
  if (nowMs < ignoredUntilMs) {
    return {
      ...createOverloadState(),
      kinds: state.kinds,
      ignoredUntilMs,
    };
  }
  const turnsMs = (usable.eventLoopDelayMs ?? 0) * turnsPerRequest;
  const linkMs = getLinkMs(usable, limits);
  const localMs = turnsMs + linkMs < minLocalMs ? 0 : turnsMs + linkMs;
  const heapPressure = getRatio(usable.heapUsedBytes, usable.heapLimitBytes) /
    limits.maxHeapRatio;
  const heldPressure = getRatio(usable.heldBytes, usable.heldLimitBytes) /
    limits.maxHeldRatio;
  const memoryPressure = Math.max(heapPressure, heldPressure);
  const kinds = state.kinds.filter(({ seenAtMs }) =>
    nowMs - seenAtMs < 2 * kindWindowMs
  );
  const needMs = Math.min(...kinds.map((kind) => kind.needMs));
  const timePressure = localMs / needMs;
  const pressure = Math.max(timePressure, memoryPressure);
  const shortCount = pressure > 1 ? state.shortCount + 1 : 0;
  return {
    ...state,
    localMs,
    memoryPressure,
    shortage: pressure <= releaseRatio
      ? state.shortage
      : memoryPressure > timePressure
      ? heapPressure >= heldPressure ? Shortage.Heap : Shortage.Held
      : linkMs > turnsMs
      ? Shortage.Link
      : Shortage.Processor,
    figuresAtMs: nowMs,
    shortCount,
    ignoredUntilMs,
    refusedRatio: getRefusedRatio(state.refusedRatio, {
      pressure,
      shortCount,
      maxRatio: limits.maxRefusedRatio,
    }),
    kinds,
  };
}

function getLinkMs(
  { unsentBytes, sentBytesPerS }: InstanceFigures,
  { linkBytesPerS }: OverloadLimits,
): number {
  if (linkBytesPerS === null || unsentBytes === undefined) return 0;
  const isInUse = (sentBytesPerS ?? 0) >= minLinkUse * linkBytesPerS;
  return isInUse ? unsentBytes * 1_000 / linkBytesPerS : 0;
}

function getRatio(used: number | undefined, limit: number | undefined): number {
  return used === undefined || limit === undefined ? 0 : used / limit;
}

function getRefusedRatio(
  ratio: number,
  { pressure, shortCount, maxRatio }: {
    readonly pressure: number;
    readonly shortCount: number;
    readonly maxRatio: number;
  },
): number {
  if (pressure <= releaseRatio) return Math.max(0, ratio - fall);
  if (pressure <= 1) return Math.max(0, ratio - slowFall);
  if (shortCount < minShortCount) return ratio;
  const rise = Math.min(maxRise, Math.max(minRise, maxRise * (pressure - 1)));
  return Math.min(maxRatio, ratio + rise);
}

/** Decides about a request that was read and not sent. */
export function decideAdmission(
  state: OverloadState,
  request: ArrivedRequest,
  limits: OverloadLimits,
  nowMs: number,
): AdmissionDecision {
  const priority = Math.min(maxPriority, request.priority);
  const kinds = recordArrival(state.kinds, { ...request, priority }, nowMs);
  const allowance = Math.min(
    maxSavedRefusals,
    state.allowance + limits.maxRefusedRatio,
  );
  const recorded = { ...state, kinds, allowance };
  const isShort = state.refusedRatio > 0 &&
    nowMs - state.figuresAtMs <= maxFiguresAgeMs &&
    isShortFor(recorded, priority, request.remainingMs);
  const isRefused = isShort && allowance >= 1 &&
    request.draw < getRequestRatio(recorded, request, nowMs);
  return {
    state: { ...recorded, allowance: allowance - (isRefused ? 1 : 0) },
    refusal: isRefused ? state.shortage : undefined,
  };
}

function getRequestRatio(
  state: OverloadState,
  { priority, standing }: ArrivedRequest,
  nowMs: number,
): number {
  switch (standing) {
    case CallerStanding.ReturnedAsTold:
      return 0;
    case CallerStanding.ReturnedEarly:
      return 1; // or else frequent repetitions would be admitted first
    case CallerStanding.New:
      return getKindRatio(state, Math.min(maxPriority, priority), nowMs);
    default:
      return assertNever(standing);
  }
}

/**
 * Whether requests of the priority, or more urgent ones, can't be carried in
 * time. Without the latter, a less urgent kind with a longer objective would be
 * served better.
 */
function isShortFor(
  { memoryPressure, localMs, kinds }: OverloadState,
  priority: number,
  remainingMs = Infinity,
): boolean {
  if (memoryPressure > releaseRatio) return true;
  const needs = kinds.filter((kind) => kind.priority <= priority)
    .map(({ needMs }) => needMs);
  return localMs > Math.min(...needs) || localMs > remainingMs;
}

/** Part of the kind that is refused if the least urgent are refused first. */
function getKindRatio(
  state: OverloadState,
  priority: number,
  nowMs: number,
): number {
  const weights = state.kinds.map((kind) => getWeight(kind, nowMs));
  let remaining = state.refusedRatio *
    weights.reduce((sum, weight) => sum + weight, 0);
  for (let index = state.kinds.length - 1; index >= 0; index--) {
    const kind = state.kinds[index]!;
    const weight = weights[index]!;
    const isOwn = kind.priority === priority;
    if (!isOwn && !isShortFor(state, kind.priority)) continue;
    const taken = Math.min(remaining, maxKindRatio * weight);
    if (isOwn) return taken / weight;
    remaining -= taken;
  }
  return 0;
}

function getWeight({ weight, seenAtMs }: Kind, nowMs: number): number {
  return weight * Math.exp(-(nowMs - seenAtMs) / kindWindowMs);
}

function recordArrival(
  kinds: readonly Kind[],
  { priority, needMs }: Pick<ArrivedRequest, "priority" | "needMs">,
  nowMs: number,
): readonly Kind[] {
  const known = kinds.find((kind) => kind.priority === priority);
  if (!known) {
    return replaceKind(kinds, {
      priority,
      weight: 1,
      seenAtMs: nowMs,
      needMs,
      needAtMs: nowMs,
    });
  }
  const isNeed = needMs <= known.needMs ||
    nowMs - known.needAtMs > kindWindowMs;
  return replaceKind(kinds, {
    ...known,
    weight: getWeight(known, nowMs) + 1,
    seenAtMs: nowMs,
    ...(isNeed ? { needMs, needAtMs: nowMs } : {}),
  });
}

function replaceKind(kinds: readonly Kind[], next: Kind): readonly Kind[] {
  return [...kinds.filter(({ priority }) => priority !== next.priority), next]
    .sort((left, right) => left.priority - right.priority);
}

/**
 * Other instances have capacity now. The spread keeps callers that were refused
 * together from arriving there together.
 */
export function getOverloadRetryAfterMs(
  { objectiveMs, remainingMs, random }: {
    readonly objectiveMs: number;
    readonly remainingMs: number;
    readonly random: Random;
  },
): number {
  const objective = objectiveMs > 0 ? objectiveMs : Infinity;
  return getCapacityRetryAfterMs({
    freeInMs: 0,
    spreadMs: Math.min(maxReturnSpreadMs, objective * returnRatio),
    remainingMs,
    random,
  });
}
