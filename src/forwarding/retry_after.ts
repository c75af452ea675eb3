/**
 * Computes the retry-after delay of a caller that was refused because no
 * upstream was available. Pure.
 *
 * When a failure domain loses its upstreams at once, all its callers are
 * refused at nearly the same time. The delay ends when the first upstream is
 * tried again, plus jitter, so that the retries find a free slot instead of
 * arriving together.
 */
import type { Random } from "../core/random.ts";
import { getAvailableAtMs } from "./placement.ts";
import type { Upstream } from "./upstream_types.ts";

/** An upstream may accept work again at any time, and a retry is cheap. */
const minDelayMs = 200;
/** The delay if no upstream is listed. */
const unknownDelayMs = 5_000;
/** Upstreams may state longer waits, but others may be listed by then. */
const maxDelayMs = 60_000;
/** Maximum jitter as a part of the delay. */
const jitterRatio = 0.5;

export function getRetryAfterMs(
  upstreams: readonly Pick<Upstream, "suspendedUntilMs" | "waitsUntilMs">[],
  { nowMs, random, backlogMs = 0 }: {
    readonly nowMs: number;
    readonly random: Random;
    /** Time that the upstreams need for the work that they already have. */
    readonly backlogMs?: number;
  },
): number {
  const firstAvailableAtMs = upstreams.length === 0
    ? nowMs + unknownDelayMs
    : Math.min(nowMs + maxDelayMs, ...upstreams.map(getAvailableAtMs));
  const delayMs = Math.max(minDelayMs, firstAvailableAtMs - nowMs, backlogMs);
  return Math.round(delayMs * (1 + random.next() * jitterRatio));
}

/** Callers honour a delay up to a third of their time; some of it is spent. */
const honouredRatio = 0.3;
/** A response and the repetition after it take about this long. */
const minReturnMs = 20;

/**
 * The retry-after delay of a caller that was refused for lack of capacity:
 * spread over the time in which capacity becomes free, within what the caller
 * honours if that allows a delay at all.
 */
export function getCapacityRetryAfterMs(
  { freeInMs, spreadMs, remainingMs, random }: {
    /** Time until the first capacity becomes free. */
    readonly freeInMs: number;
    /** Time in which what waits now is started. */
    readonly spreadMs: number;
    readonly remainingMs: number;
    readonly random: Random;
  },
): number {
  const fromMs = Math.min(maxDelayMs, Math.max(minReturnMs, freeInMs));
  const usefulMs = remainingMs * honouredRatio - fromMs;
  const rangeMs = usefulMs > 0 ? Math.min(spreadMs, usefulMs) : spreadMs;
  return Math.round(
    Math.min(maxDelayMs, fromMs + random.next() * Math.max(0, rangeMs)),
  );
}

/** How long a caller with so much time left waits when it is told the delay. */
export function getHonouredDelayMs(
  delayMs: number,
  remainingMs: number,
): number {
  return Math.min(delayMs, Math.max(0, remainingMs * honouredRatio));
}
