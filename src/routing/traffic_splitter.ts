/**
 * Routes at most a given share of requests to a candidate version.
 *
 * Each request adds its share to a credit, and each request to the candidate
 * costs a credit of one. The share is therefore never exceeded, not even over
 * the first few requests; independent random choices would exceed it half of
 * the time.
 */
import type { Random } from "../core/random.ts";

export interface TrafficSplitter {
  /** Returns true if the next request goes to the candidate. */
  tryRouteToCandidate(key: string, share: number): boolean;
}

/** Bounds the burst after a time without requests to the candidate. */
const maxCredit = 2;
const maxKeys = 1_000;

export function createTrafficSplitter(random: Random): TrafficSplitter {
  const credits = new Map<string, number>();
  return { tryRouteToCandidate };

  function tryRouteToCandidate(key: string, share: number): boolean {
    if (share <= 0) return false;
    if (share >= 1) return true;
    if (!credits.has(key) && credits.size >= maxKeys) return false;
    const credit = Math.min(maxCredit, (credits.get(key) ?? 0) + share);
    // The random choice avoids a fixed period: without it, a share of 5% would
    // select every twentieth request, which may come from the same caller.
    const isRoutedToCandidate = credit >= 1 &&
      random.next() < Math.min(1, 2 * share);
    credits.set(key, isRoutedToCandidate ? credit - 1 : credit);
    return isRoutedToCandidate;
  }
}
