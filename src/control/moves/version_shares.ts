/**
 * Computes the share of a service's requests that each listed upstream may get
 * under the version moves. Pure functions.
 */
import type { ListedUpstream } from "../../upstreams/upstream_view.ts";
import { MovePhase, type VersionMove } from "./move_types.ts";

/**
 * Assigns shares on the control leader, which has applied every acknowledged
 * order.
 */
export function assignShares(
  upstreams: readonly ListedUpstream[],
  getMove: (service: string) => VersionMove | undefined,
): ListedUpstream[] {
  return upstreams.map((upstream) => {
    const move = getMove(upstream.service);
    return move === undefined
      ? upstream
      : { ...upstream, versionShare: getShare(upstream.version, move) };
  });
}

function getShare(version: string, move: VersionMove): number {
  if (version === move.target) return move.share;
  if (move.rejectedVersions.includes(version)) return 0;
  // Upstreams of stable versions stop without notice once the move is complete.
  const isReplaced = move.phase === MovePhase.Complete &&
    move.stableVersions.includes(version);
  return isReplaced ? 0 : 1;
}

/**
 * Assigns shares at an instance that reads the upstream list itself because no
 * control instance is reachable. A version that the instance does not know may
 * be the target of a running move, so it gets no requests unless none of the
 * known serving versions is listed any more.
 */
export function assignFallbackShares(
  upstreams: readonly ListedUpstream[],
  known: readonly ListedUpstream[],
): ListedUpstream[] {
  const shares = new Map(known.map((entry) => [
    getVersionKey(entry),
    entry.versionShare,
  ]));
  const servedServices = new Set(
    upstreams.filter((entry) => shares.get(getVersionKey(entry)) === 1)
      .map(({ service }) => service),
  );
  return upstreams.map((upstream) => {
    const share = shares.get(getVersionKey(upstream)) ??
      (servedServices.has(upstream.service) ? 0 : 1);
    return { ...upstream, versionShare: share < 1 ? 0 : 1 };
  });
}

function getVersionKey({ service, version }: ListedUpstream): string {
  return `${service}/${version}`;
}
