/**
 * The engines that streams of lower ranks leave to more urgent ones. Pure, apart
 * from a cache.
 *
 * All instances derive the same set from the list of engines, without messages:
 * the engines of each failure domain are ordered by a hash of their ids
 * (rendezvous hashing), and the set takes the first ones of all domains in turn.
 * A smaller set is therefore part of a larger one, so instances whose estimates
 * of the demand differ differ only in the last engines. If an engine joins or
 * leaves, at most one engine of a set of the same size is replaced.
 */
import type { ArrivalRate } from "../limits/rank_demand.ts";
import { maxLoadAgeMs } from "./engine_room.ts";
import { defaultPrefillMsPerToken } from "./expected_time.ts";
import type { Upstream } from "./upstream_types.ts";

export interface UrgentEngines {
  /** Returns the ids of the engines that are left to streams with the demand. */
  getIds(
    service: string,
    engines: readonly Upstream[],
    demand: ArrivalRate,
  ): ReadonlySet<string>;
}

interface Order {
  /** The engines that the order was derived from. */
  readonly listedIds: readonly string[];
  readonly orderedIds: readonly string[];
  readonly domainCount: number;
  ids: ReadonlySet<string>;
}

/**
 * Keeps the order of each service until its list of engines changes, and the
 * last set. There is one entry for each service of the configuration.
 */
export function createUrgentEngines(): UrgentEngines {
  const orders = new Map<string, Order>();
  return {
    getIds: (service, engines, demand) => {
      if (demand.streamsPerS === 0) return noIds;
      let order = orders.get(service);
      if (!order || !isOrderOf(order, engines)) {
        order = {
          listedIds: engines.map(({ info }) => info.upstreamId),
          orderedIds: orderEngines(engines),
          domainCount: countDomains(engines),
          ids: noIds,
        };
        orders.set(service, order);
      }
      const count = getUrgentEngineCount(demand, engines, order.domainCount);
      if (order.ids.size !== count) {
        order.ids = new Set(order.orderedIds.slice(0, count));
      }
      return order.ids;
    },
  };
}

const noIds: ReadonlySet<string> = new Set();

function isOrderOf(
  { listedIds }: Order,
  engines: readonly Upstream[],
): boolean {
  return listedIds.length === engines.length &&
    engines.every(({ info }, index) => info.upstreamId === listedIds[index]);
}

/** The first ones of each failure domain come before the second ones. */
export function orderEngines(
  engines: readonly Pick<Upstream, "info">[],
): string[] {
  const scored = engines.map(({ info: { upstreamId, domainId } }) => ({
    upstreamId,
    domainId,
    score: hashId(upstreamId),
    position: 0,
  })).sort(compareScores);
  const counts = new Map<string, number>();
  for (const entry of scored) {
    entry.position = counts.get(entry.domainId) ?? 0;
    counts.set(entry.domainId, entry.position + 1);
  }
  return scored.sort((left, right) =>
    left.position - right.position || compareScores(left, right)
  ).map(({ upstreamId }) => upstreamId);
}

interface Scored {
  readonly upstreamId: string;
  readonly score: number;
}

function compareScores(left: Scored, right: Scored): number {
  return right.score - left.score ||
    (left.upstreamId < right.upstreamId ? -1 : 1);
}

/** FNV-1a with a final mix, since ids often differ only in their last digits. */
function hashId(id: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < id.length; index++) {
    hash = Math.imul(hash ^ id.charCodeAt(index), 0x01000193);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Number of engines that are left to streams with this demand: for those that
 * arrive while an engine reads one prompt and since the loads were known, and
 * twice the square root of their number, which is its standard deviation. The
 * engines of one failure domain may be lost, so the others have to suffice. At
 * most half of the engines are left, and none for less than one stream, since
 * engines would be idle while others wait.
 */
export function getUrgentEngineCount(
  { streamsPerS, promptTokensPerS }: ArrivalRate,
  engines: readonly Upstream[],
  domainCount = countDomains(engines),
): number {
  if (streamsPerS === 0 || engines.length === 0) return 0;
  let msPerTokenSum = 0;
  for (const { speed } of engines) {
    msPerTokenSum += speed.prefillMsPerToken ?? defaultPrefillMsPerToken;
  }
  const prefillMs = promptTokensPerS / streamsPerS * msPerTokenSum /
    engines.length;
  const arrivals = streamsPerS * (prefillMs + maxLoadAgeMs) / 1_000;
  const needed = Math.floor(arrivals + 2 * Math.sqrt(arrivals));
  const withLoss = domainCount > 1
    ? Math.ceil(needed * domainCount / (domainCount - 1))
    : needed;
  return Math.min(withLoss, Math.floor(engines.length / 2));
}

function countDomains(engines: readonly Upstream[]): number {
  return new Set(engines.map(({ info }) => info.domainId)).size;
}
