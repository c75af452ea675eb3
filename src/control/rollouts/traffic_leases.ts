/**
 * Traffic leases of an instance, which allow it to send requests to candidate
 * versions.
 *
 * A lease starts when its request is sent, so it expires at the instance before
 * control may assume that it has expired. Without a valid lease, new answers
 * use the stable version.
 */
import type { Clock } from "../../core/clock.ts";
import { logEvents } from "../../core/log_events.ts";
import type { Logger } from "../../core/logger.ts";
import type { Random } from "../../core/random.ts";
import type { UpstreamInfo } from "../../core/types.ts";
import { createTrafficSplitter } from "../../routing/traffic_splitter.ts";
import type { Finding } from "./comparison_state.ts";
import type { TrafficGrant } from "./rollout_messages.ts";

export interface TrafficLeases {
  /** Returns the version for a new answer of the service. */
  chooseVersion(choice: {
    readonly service: string;
    readonly route: string;
    readonly stableVersion: string;
  }): string;
  /** Whether new requests for the version may be sent to the engine. */
  servesVersion(info: UpstreamInfo, version: string): boolean;
  /**
   * Returns the version to restart on if the given version was rolled back or
   * stopped at this instance.
   */
  getReplacementVersion(service: string, version: string): string | undefined;
  getWatchedGrant(service: string): TrafficGrant | undefined;
  listGrants(): TrafficGrant[];
  update(grants: readonly TrafficGrant[], requestedAtMs: number): void;
  /** Stops candidate traffic immediately, regardless of later grants. */
  stopLocally(rolloutId: string, finding: Finding): void;
}

export interface TrafficLeasesOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: Random;
  onRolledBack(grant: TrafficGrant): void;
}

interface Lease {
  grant: TrafficGrant;
  endsAtMs: number;
  isExpiryLogged: boolean;
}

export function createTrafficLeases(
  { clock, logger, random, onRolledBack }: TrafficLeasesOptions,
): TrafficLeases {
  const share = createTrafficSplitter(random);
  const leases = new Map<string, Lease>();
  const stoppedIds = new Set<string>();
  const rolledBackIds = new Set<string>();
  return {
    chooseVersion,
    servesVersion,
    getReplacementVersion,
    getWatchedGrant,
    listGrants: () => [...leases.values()].map((lease) => lease.grant),
    update,
    stopLocally,
  };

  function chooseVersion({ service, route, stableVersion }: {
    service: string;
    route: string;
    stableVersion: string;
  }): string {
    const lease = findLatestLease(service);
    if (!lease) return stableVersion;
    const { grant } = lease;
    if (!grant.isStableNeeded) return grant.candidateVersion;
    const isCandidate = share.tryRouteToCandidate(
      `${service} ${route}`,
      getShare(lease),
    );
    return isCandidate ? grant.candidateVersion : grant.stableVersion;
  }

  function getShare(lease: Lease): number {
    const { grant } = lease;
    if (grant.isWithdrawn || stoppedIds.has(grant.rolloutId)) return 0;
    if (clock.nowMs() < lease.endsAtMs) return grant.share;
    if (!lease.isExpiryLogged && grant.share > 0) {
      lease.isExpiryLogged = true;
      logger.log(logEvents.trafficLeaseExpired, { rollout: grant.rolloutId });
    }
    return 0;
  }

  /**
   * Candidate engines keep the stable version loaded and can serve it again.
   */
  function servesVersion(info: UpstreamInfo, version: string): boolean {
    const lease = findLatestLease(info.service);
    const isCandidateEngine =
      lease?.grant.candidateEngineIds.includes(info.upstreamId) === true;
    if (!lease || !isCandidateEngine) return info.version === version;
    const { grant } = lease;
    if (version === grant.candidateVersion) return !grant.isWithdrawn;
    return version === info.version && getShare(lease) === 0;
  }

  function getReplacementVersion(
    service: string,
    version: string,
  ): string | undefined {
    for (const { grant } of leases.values()) {
      if (
        grant.service === service && grant.candidateVersion === version &&
        (grant.isWithdrawn || stoppedIds.has(grant.rolloutId))
      ) return grant.stableVersion;
    }
    return undefined;
  }

  function getWatchedGrant(service: string): TrafficGrant | undefined {
    const grant = findLatestLease(service)?.grant;
    return grant?.isWatched ? grant : undefined;
  }

  /** Grants are listed in the order in which their rollouts were started. */
  function findLatestLease(service: string): Lease | undefined {
    return [...leases.values()].findLast(({ grant }) =>
      grant.service === service
    );
  }

  function update(
    grants: readonly TrafficGrant[],
    requestedAtMs: number,
  ): void {
    // Rebuilt in the order of the grants; leases of unlisted rollouts are
    // removed.
    leases.clear();
    for (const grant of grants) {
      leases.set(grant.rolloutId, {
        grant,
        endsAtMs: requestedAtMs + grant.validForMs,
        isExpiryLogged: false,
      });
      if (grant.isWithdrawn) reportRollback(grant);
    }
  }

  function reportRollback(grant: TrafficGrant): void {
    if (rolledBackIds.has(grant.rolloutId)) return;
    rolledBackIds.add(grant.rolloutId);
    logger.log(logEvents.versionRolledBack, {
      rollout: grant.rolloutId,
      version: grant.candidateVersion,
    });
    onRolledBack(grant);
  }

  function stopLocally(rolloutId: string, finding: Finding): void {
    if (stoppedIds.has(rolloutId)) return;
    stoppedIds.add(rolloutId);
    logger.log(logEvents.candidateFaultDetected, {
      rollout: rolloutId,
      ...finding,
    });
  }
}
