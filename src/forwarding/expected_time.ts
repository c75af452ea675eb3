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
const defaultPrefillMsPerToken = 1 / 8;
/** Upstreams that list no slots have at least this number. */
const defaultSlots = 6;
/** The weight of a reported load halves in this time. */
const reportHalfLifeMs = 1_000;
/** Machines were observed to change their slowness this often. */
const slownessPeriodMs = 600;
/** A stated slowness outside this range is no more credible than its limit. */
const slownessRange = { min: 0.25, max: 8 };
/**
 * A running request delays a prefill, which is read in chunks between the
 * tokens of the others, like this number of tokens.
 */
const tokensPerRunningRequest = 400;

export function estimateCall(upstream: Upstream, nowMs: number): CallEstimate {
  const slots = getSlots(upstream);
  const serviceMs = (upstream.speed.callMs ?? defaultCallMs) *
    getMomentaryFactor(upstream, nowMs);
  const aheadCount = countAhead(upstream, nowMs);
  return {
    waitMs: Math.max(0, aheadCount + 1 - slots) * serviceMs / slots,
    serviceMs,
  };
}

export function estimateFirstEventMs(
  upstream: Upstream,
  { prefillTokens }: Pick<StreamDemand, "prefillTokens">,
  nowMs: number,
): number {
  const { speed, unreadTokens, others } = upstream;
  const msPerToken = speed.prefillMsPerToken ?? defaultPrefillMsPerToken;
  const tokens = unreadTokens + others.unreadTokens + prefillTokens +
    countAhead(upstream, nowMs) * tokensPerRunningRequest;
  return tokens * msPerToken * getMomentaryFactor(upstream, nowMs);
}

export function getSlots({ info, reported }: Upstream): number {
  return info.maxRunning || reported?.load.maxRunning || defaultSlots;
}

/** Requests at the upstream; what it reported loses weight with its age. */
function countAhead(
  { inFlightCount, others, reported }: Upstream,
  nowMs: number,
): number {
  const known = inFlightCount + others.runningCount;
  if (!reported) return known;
  const { runningCount, waitingCount } = reported.load;
  const weight = 0.5 ** ((nowMs - reported.atMs) / reportHalfLifeMs);
  return Math.max(known, (runningCount + waitingCount) * weight);
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
