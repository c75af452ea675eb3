/**
 * Decides when a non-streaming call is sent, while many instances share a few
 * upstreams with little room. Pure.
 *
 * An upstream has a short queue of its own, and instances learn its length only
 * from the responses to their own calls, which may be a second old. A call is
 * therefore sent as soon as an upstream is expected to start it within the time
 * that its queue keeps the slots busy anyway: a round trip plus the age of the
 * figures. A call that would wait longer there waits at this instance, where a
 * more urgent one can pass it and another upstream can still be chosen. The
 * older the figures, the shorter is the wait.
 */

/** What is expected of one upstream that can be tried now. */
export interface CallForecast<T> {
  readonly upstream: T;
  /** Time until the upstream would start the call. */
  readonly waitMs: number;
  readonly serviceMs: number;
  readonly slots: number;
  readonly freeSlots: number;
  /** Age of the load that the upstream reported; Infinity without a report. */
  readonly reportAgeMs: number;
}

export interface CapacityState<T> {
  readonly nowMs: number;
  /** The upstreams that can be tried now. */
  readonly forecasts: readonly CallForecast<T>[];
  /** Time until the first other upstream can be tried; Infinity without one. */
  readonly availableInMs: number;
  /** This instance has recently lost all upstreams of the service. */
  readonly isOutage: boolean;
  /** Part of the service's capacity that this instance may expect to use. */
  readonly share: number;
}

export interface CallTimes {
  /** A response by this time has its full value. */
  readonly objectiveAtMs: number;
  /** The earlier of the caller's deadline and the route's timeout. */
  readonly deadlineAtMs: number;
}

export interface QueuePlace {
  /** Waiting calls that are sent before this one. */
  readonly aheadCount: number;
  /** All calls of the service that wait at this instance. */
  readonly waitingCount: number;
  /** From 0 to 1, drawn once per call. */
  readonly jitter: number;
}

export enum CallRefusal {
  /** The call would not be complete before its deadline. */
  Deadline = "deadline",
  NoUpstream = "noUpstream",
  /** The limits that the upstreams state do not allow the call in time. */
  StatedLimit = "statedLimit",
  QueueFull = "queueFull",
}

export type CallSchedule<T> =
  | { readonly kind: "send"; readonly upstreams: readonly T[] }
  | { readonly kind: "wait" }
  | { readonly kind: "refuse"; readonly refusal: CallRefusal };

/** Time between a slot's release and the arrival of the call sent for it. */
const roundTripMs = 20;
/** Machines change their speed within this time, so older figures say nothing. */
const maxReportAgeMs = 600;

export function decideCall<T>(
  { objectiveAtMs, deadlineAtMs }: CallTimes,
  state: CapacityState<T>,
  place: QueuePlace,
): CallSchedule<T> {
  const { nowMs, forecasts } = state;
  if (place.aheadCount === 0) {
    const startable = forecasts.filter((forecast) =>
      canStartSoon(forecast, place.jitter)
    );
    const onTime = startable.filter(isOnTime);
    // A slow upstream with free slots is not used while another one can still
    // answer the call within its objective.
    const preferred = onTime.length > 0 || forecasts.some(isOnTime)
      ? onTime
      : startable;
    if (preferred.length > 0) return send(preferred);
  }
  // Callers may still reach the upstreams through another instance.
  if (forecasts.length === 0 && state.isOutage) {
    return { kind: "refuse", refusal: CallRefusal.NoUpstream };
  }
  if (nowMs + getCompletionMs(state, place.aheadCount) <= deadlineAtMs) {
    return { kind: "wait" };
  }
  // The forecast may be wrong; slots that are free show that it is.
  const free = forecasts.filter(({ freeSlots }) => freeSlots > 0);
  if (place.waitingCount === 0 && isHalfFree(forecasts)) return send(free);
  return { kind: "refuse", refusal: CallRefusal.Deadline };

  function isOnTime({ waitMs, serviceMs }: CallForecast<T>): boolean {
    return nowMs + waitMs + serviceMs <= objectiveAtMs;
  }
}

/**
 * The jitter spreads the calls of the instances that wait for the same upstream
 * over the time in which one of its slots becomes free.
 */
function canStartSoon(
  { waitMs, serviceMs, freeSlots, reportAgeMs }: CallForecast<unknown>,
  jitter: number,
): boolean {
  if (freeSlots > 0 || reportAgeMs > maxReportAgeMs) return true;
  return waitMs + jitter * serviceMs <= roundTripMs + reportAgeMs;
}

function isHalfFree(forecasts: readonly CallForecast<unknown>[]): boolean {
  const slots = forecasts.reduce((sum, forecast) => sum + forecast.slots, 0);
  const free = forecasts.reduce((sum, { freeSlots }) => sum + freeSlots, 0);
  return free > 0 && free * 2 >= slots;
}

function send<T>(forecasts: readonly CallForecast<T>[]): CallSchedule<T> {
  return {
    kind: "send",
    upstreams: forecasts.map(({ upstream }) => upstream),
  };
}

/** Time until a call with so many others ahead of it is started. */
export function getStartMs(
  { forecasts, availableInMs, share }: CapacityState<unknown>,
  aheadCount: number,
): number {
  if (forecasts.length === 0) return availableInMs;
  const firstMs = Math.min(...forecasts.map(getKnownWaitMs));
  if (aheadCount === 0) return firstMs;
  const startsPerMs = share * forecasts.reduce(
    (sum, { slots, serviceMs }) => sum + slots / Math.max(1, serviceMs),
    0,
  );
  return firstMs + aheadCount / Math.max(startsPerMs, Number.EPSILON);
}

/** Time of a call at the fastest upstream; undefined if none can be tried. */
export function getServiceMs(
  { forecasts }: CapacityState<unknown>,
): number | undefined {
  if (forecasts.length === 0) return undefined;
  return Math.min(...forecasts.map(({ serviceMs }) => serviceMs));
}

function getCompletionMs(
  state: CapacityState<unknown>,
  aheadCount: number,
): number {
  const firstMs = getStartMs(state, 0);
  const completionMs = state.forecasts.length === 0
    ? firstMs
    : Math.min(...state.forecasts.map((forecast) =>
      getKnownWaitMs(forecast) + forecast.serviceMs
    ));
  return completionMs + getStartMs(state, aheadCount) - firstMs;
}

function getKnownWaitMs(
  { waitMs, reportAgeMs }: CallForecast<unknown>,
): number {
  return reportAgeMs > maxReportAgeMs ? 0 : waitMs;
}
