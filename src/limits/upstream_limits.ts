/**
 * Limits that upstreams state in their responses: the requests per second that
 * an upstream takes from all instances together. This instance uses its share
 * of them. A limit holds for as long as the upstream states it.
 */
import type { Clock } from "../core/clock.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import type { UpstreamId } from "../core/types.ts";

export interface UpstreamLimits {
  /** Records the limit that a response states; undefined if it states none. */
  recordResponse(
    upstream: { readonly upstreamId: UpstreamId; readonly service: string },
    limitPerS: number | undefined,
  ): void;
  /** Whether this instance may send one more request to the upstream now. */
  hasRoom(upstreamId: UpstreamId): boolean;
  /** Must be called for each request that is sent to the upstream. */
  recordSend(upstreamId: UpstreamId): void;
  /** Requests per second of this instance; undefined without a limit. */
  getRatePerS(upstreamId: UpstreamId): number | undefined;
  count(): number;
}

export interface UpstreamLimitsOptions {
  readonly clock: Pick<Clock, "nowMs">;
  readonly logger: Logger;
  readonly random: Random;
  /** Share of the limits of a service that this instance may use. */
  getShare(service: string): number;
}

interface LimitState {
  readonly service: string;
  limitPerS: number;
  statedAtMs: number;
  /** Requests that may be sent now; negative after sends beyond the rate. */
  allowance: number;
  updatedAtMs: number;
  sentCount: number;
}

/**
 * An upstream that allows nothing states the end of its limit only in a
 * response, so a request is still sent from time to time.
 */
const minLimitPerS = 0.2;
const maxLimitPerS = 1_000_000;
/**
 * What all instances together may send at once, beyond the rate: the requests of
 * this time, and a few more so that low limits can be used.
 */
const burstMs = 1_000;
const extraBurstCount = 2;
/** An upstream that has stated nothing for this long is presumably gone. */
const maxSilenceMs = 60_000;
/** Requests beyond the rate that later ones make up for. */
const maxDebt = 5;

export function createUpstreamLimits(
  { clock, logger, random, getShare }: UpstreamLimitsOptions,
): UpstreamLimits {
  const states = new Map<UpstreamId, LimitState>();
  return {
    recordResponse: ({ upstreamId, service }, limitPerS) => {
      const nowMs = clock.nowMs();
      const known = states.get(upstreamId);
      if (limitPerS === undefined) {
        if (known) end(upstreamId, known);
        return;
      }
      const limit = Math.min(maxLimitPerS, Math.max(minLimitPerS, limitPerS));
      if (known) {
        refill(known, nowMs);
        known.limitPerS = limit;
        known.statedAtMs = nowMs;
        return;
      }
      removeSilent(nowMs);
      states.set(upstreamId, {
        service,
        limitPerS: limit,
        statedAtMs: nowMs,
        // Instances that learn of the limit together do not send together.
        allowance: random.next(),
        updatedAtMs: nowMs,
        sentCount: 0,
      });
      logger.log(logEvents.upstreamLimited, {
        upstream: upstreamId,
        limitPerS: limit,
        share: getShare(service),
      });
    },
    hasRoom: (upstreamId) => {
      const state = states.get(upstreamId);
      if (!state) return true;
      refill(state, clock.nowMs());
      return state.allowance >= 1;
    },
    recordSend: (upstreamId) => {
      const state = states.get(upstreamId);
      if (!state) return;
      refill(state, clock.nowMs());
      state.allowance = Math.max(-maxDebt, state.allowance - 1);
      state.sentCount += 1;
    },
    getRatePerS: (upstreamId) => {
      const state = states.get(upstreamId);
      return state && getRatePerS(state);
    },
    count: () => states.size,
  };

  function getRatePerS({ service, limitPerS }: LimitState): number {
    return limitPerS * getShare(service);
  }

  function refill(state: LimitState, nowMs: number): void {
    const ratePerS = getRatePerS(state);
    const added = ratePerS * (nowMs - state.updatedAtMs) / 1_000;
    state.allowance = limitAllowance(state.allowance + added, {
      ratePerS,
      limitPerS: state.limitPerS,
    });
    state.updatedAtMs = nowMs;
  }

  function removeSilent(nowMs: number): void {
    for (const [upstreamId, state] of states) {
      if (nowMs - state.statedAtMs > maxSilenceMs) end(upstreamId, state);
    }
  }

  function end(upstreamId: UpstreamId, { sentCount }: LimitState): void {
    states.delete(upstreamId);
    logger.log(logEvents.upstreamLimitEnded, {
      upstream: upstreamId,
      sentCount,
    });
  }
}

/**
 * Bounds the requests that all instances together may send at once. With many
 * instances the part of one is less than a request. Its turn then lasts for a
 * limited time and is lost if the instance does not use it, because the turns
 * of all instances would add up otherwise.
 */
function limitAllowance(
  allowance: number,
  { ratePerS, limitPerS }: {
    readonly ratePerS: number;
    readonly limitPerS: number;
  },
): number {
  const turnS = burstMs / 1_000 + extraBurstCount / limitPerS;
  const ownBurst = ratePerS * turnS;
  if (ownBurst >= 1 || allowance < 1) {
    return Math.min(allowance, Math.max(1, ownBurst));
  }
  const sinceTurn = (allowance - 1) % 1;
  return sinceTurn < ownBurst ? 1 + sinceTurn : sinceTurn;
}
