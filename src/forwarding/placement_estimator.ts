/**
 * Estimates how many streams the other entry instances of a failure domain have
 * placed since the loads that they last reported. Assumes that each of them
 * places streams at the same rate as this instance, and at least one stream
 * after a loss of engines that affects all of them.
 */
import type { Clock } from "../core/clock.ts";

export interface PlacementEstimator {
  recordPlacement(): void;
  /**
   * `isBurst` if the instances of the failure domain have just lost engines.
   * `loadAgeMs` is the age of the loads of domain peers that announce each
   * placement; by default, they report their loads from time to time.
   */
  getUnreportedPlacementCount(isBurst: boolean, loadAgeMs?: number): number;
}

export interface PlacementEstimatorOptions {
  readonly clock: Pick<Clock, "nowMs">;
  /** Age of the load summary by which the load of domain peers is known. */
  readonly loadSummaryAgeMs: number;
  /** Number of other entry instances in the failure domain. */
  getDomainPeerCount(): number;
}

/** Time until a placement that another instance announces is visible here. */
export const announcementAgeMs = 50;
const windowMs = 10_000;
/**
 * After a crash in the failure domain each of its instances has streams that it
 * places elsewhere within the age of a load summary.
 */
const burstPlacements = 1;

export function createPlacementEstimator(
  { clock, loadSummaryAgeMs, getDomainPeerCount }: PlacementEstimatorOptions,
): PlacementEstimator {
  let placedAtMs: number[] = [];
  return {
    recordPlacement: () => placedAtMs.push(clock.nowMs()),
    getUnreportedPlacementCount: (isBurst, loadAgeMs = loadSummaryAgeMs) => {
      const sinceMs = clock.nowMs() - windowMs;
      placedAtMs = placedAtMs.filter((atMs) => atMs >= sinceMs);
      const usualCount = placedAtMs.length / windowMs *
        Math.min(loadAgeMs, loadSummaryAgeMs);
      const perInstance = isBurst
        ? Math.max(usualCount, burstPlacements)
        : usualCount;
      return perInstance * Math.max(0, getDomainPeerCount());
    },
  };
}
