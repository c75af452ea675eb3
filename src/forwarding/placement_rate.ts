/**
 * Estimates how many streams the other entry instances of a failure domain have
 * placed since the loads they last told of: each is taken to place as many as
 * this one.
 */
import type { Clock } from "../core/clock.ts";

export interface PlacementRate {
  recordPlacement(): void;
  getUnseenPlacements(): number;
}

export interface PlacementRateOptions {
  readonly clock: Pick<Clock, "nowMs">;
  /** Age of the loads that others told of. */
  readonly newsAgeMs: number;
  /** Other entry instances of the failure domain. */
  getNeighbourCount(): number;
}

const windowMs = 10_000;

export function createPlacementRate(
  { clock, newsAgeMs, getNeighbourCount }: PlacementRateOptions,
): PlacementRate {
  let placedAtMs: number[] = [];
  return {
    recordPlacement: () => placedAtMs.push(clock.nowMs()),
    getUnseenPlacements: () => {
      const sinceMs = clock.nowMs() - windowMs;
      placedAtMs = placedAtMs.filter((atMs) => atMs >= sinceMs);
      const perMs = placedAtMs.length / windowMs;
      return perMs * newsAgeMs * Math.max(0, getNeighbourCount());
    },
  };
}
