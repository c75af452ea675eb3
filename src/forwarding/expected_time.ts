/**
 * Estimates when an upstream would complete a call or send the first event of a
 * stream, from its learned speed, the slowness that it stated, and the load
 * that is known. Pure.
 */
import type { StreamDemand } from "./placement.ts";
import type { Upstream } from "./upstream_types.ts";

export interface CallEstimate {
  /** Time in the queue of the upstream. */
  readonly waitMs: number;
  /** Time from the start of the work to the response. */
  readonly serviceMs: number;
}

/** Time of a call at a service without samples. */
const defaultCallMs = 50;
/** Prefill time of a token at a service without samples. */
export const defaultPrefillMsPerToken = 1 / 8;
/** Upstreams that list no slots have at least this number. */
const defaultSlots = 6;
/** Queues of some ten calls of 43 ms at 6 slots drain within this time. */
const reportFreshnessHalfLifeMs = 200;
/** Without another figure, the weight of a reported load halves in this time. */
const reportHalfLifeMs = 1_000;
/** Machines were observed to change their slowness this often. */
const slownessPeriodMs = 600;
/** A stated slowness outside this range is no more credible than its limit. */
const slownessRange = { min: 0.25, max: 8 };
/**
 * A running request delays a prefill, which is read in chunks between the
 * tokens of the others, like this number of tokens.
 */
export const tokensPerRunningRequest = 400;

export function estimateCall(upstream: Upstream, nowMs: number): CallEstimate {
  const slots = getSlots(upstream);
  const serviceMs = getServiceMs(upstream, nowMs);
  const aheadCount = countAhead(upstream, nowMs);
  return {
    waitMs: Math.max(0, aheadCount + 1 - slots) * serviceMs / slots,
    serviceMs,
  };
}

/** Expected time of a call from the start of the work to the response. */
export function getServiceMs(upstream: Upstream, nowMs: number): number {
  return (upstream.speed.callMs ?? defaultCallMs) *
    getMomentaryFactor(upstream, nowMs);
}

export function estimateFirstEventMs(
  upstream: Upstream,
  { prefillTokens }: Pick<StreamDemand, "prefillTokens">,
  nowMs: number,
): number {
  return getPrefillWork(upstream, prefillTokens) *
    getPrefillMsPerToken(upstream, nowMs);
}

/** Expected prefill time of a token at this moment. */
export function getPrefillMsPerToken(
  upstream: Upstream,
  nowMs: number,
): number {
  return (upstream.speed.prefillMsPerToken ?? defaultPrefillMsPerToken) *
    getMomentaryFactor(upstream, nowMs);
}

/**
 * Tokens that the upstream reads before the first event of a request, with the
 * requests that run beside it. The learned prefill time of a token is the time
 * to the first event divided by this figure.
 */
export function getPrefillWork(
  { unreadTokens, others, inFlightCount }: Pick<
    Upstream,
    "unreadTokens" | "others" | "inFlightCount"
  >,
  prefillTokens: number,
  ownRunningCount = inFlightCount,
): number {
  return unreadTokens + others.unreadTokens + prefillTokens +
    (ownRunningCount + others.runningCount) * tokensPerRunningRequest;
}

export function getSlots({ info, reported }: Upstream): number {
  return info.maxRunning || reported?.load.maxRunning || defaultSlots;
}

export interface ExpectedQueue {
  /** Requests that run or wait at the upstream. */
  readonly aheadCount: number;
  /** How much the last report shows of the present queue, 0 to 1. */
  readonly freshness: number;
}

/** Expected number of requests at the upstream. */
export function countAhead(upstream: Upstream, nowMs: number): number {
  return estimateQueue(upstream, nowMs).aheadCount;
}

/**
 * Requests of this instance are certain. A report counts most while it is
 * fresh; then what instances exchange through control counts, or the old report
 * if that is more.
 */
export function estimateQueue(
  { inFlightCount, others, reported }: Upstream,
  nowMs: number,
): ExpectedQueue {
  const known = inFlightCount + others.runningCount;
  if (!reported) return { aheadCount: known, freshness: 0 };
  const reportedCount = reported.load.runningCount + reported.load.waitingCount;
  const ageMs = nowMs - reported.atMs;
  const freshness = 0.5 ** (ageMs / reportFreshnessHalfLifeMs);
  const weight = 0.5 ** (ageMs / reportHalfLifeMs);
  const unreported = Math.max(known, reportedCount * weight);
  return {
    aheadCount: Math.max(
      inFlightCount,
      freshness * reportedCount + (1 - freshness) * unreported,
    ),
    freshness,
  };
}

/**
 * How slow the machine is now compared with its mean. A stated slowness loses
 * its weight within the time after which it is likely to have changed.
 */
function getMomentaryFactor(
  { reported, speed }: Upstream,
  nowMs: number,
): number {
  const slowness = reported?.load.slowness;
  if (slowness === undefined || speed.meanSlowness === undefined) return 1;
  const weight = Math.max(0, 1 - (nowMs - reported!.atMs) / slownessPeriodMs);
  const { min, max } = slownessRange;
  const factor = Math.min(max, Math.max(min, slowness)) / speed.meanSlowness;
  return 1 + weight * (factor - 1);
}
