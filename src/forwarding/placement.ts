/**
 * Chooses the upstream of a request. Pure functions from what the entry
 * instance knows to a choice; nothing is shared between instances but the load
 * that upstreams report, so own work in flight counts first.
 */
import type { Random } from "../core/random.ts";
import type { DomainId, UpstreamId } from "../core/types.ts";
import type { EngineTraits } from "./forwarding_table.ts";
import type { Upstream } from "./upstream_directory.ts";

export interface PlacementContext {
  readonly nowMs: number;
  readonly ownDomainId: DomainId;
  /** Upstreams that this request has tried already. */
  readonly triedIds: ReadonlySet<UpstreamId>;
  readonly random: Random;
  /**
   * Streams that other entry instances of the own failure domain have placed
   * since the loads they told of; an estimate.
   */
  readonly unseenPlacements: number;
  isDomainSuspect(domainId: DomainId): boolean;
}

export interface StreamDemand {
  readonly traits: EngineTraits;
  /** Tokens that the engine has to read before the first event. */
  readonly tokensToRead: number;
  /** Tokens in memory at the end of the run. */
  readonly totalTokens: number;
}

/** A reported load loses half of its weight in this time. */
const reportHalfLifeMs = 1_000;
/** Half a place of an upstream weighs as much as the way to another domain. */
const remotePenaltyPlaces = 0.5;
/** Failing every time weighs as much as this many full upstreams. */
const failurePenaltyLoads = 8;
const coldPenaltyLoads = 1;
/** Engines read about this many prompt tokens in a millisecond. */
const readTokensPerMs = 8;
/**
 * A prompt that is read takes most of the steps of the requests that run
 * beside it for about a second, and theirs slow down this one later.
 */
const runningDelayMs = 400;
/**
 * A stream within the own failure domain survives a partition, and a crash of
 * the domain's engines leaves its copy elsewhere.
 */
const remoteDelayMs = 700;
/** More than any backlog: a suspect domain is used when nothing else is left. */
const suspectDelayMs = 8_000;
const suspectPenaltyLoads = 6;
const coldDelayMs = 1_000;
/** Two random choices avoid most of the collisions of one. */
const minCandidates = 2;
/** Engines of other domains that are compared with those of the own one. */
const remoteCandidates = 4;
/** Spreads copies over the engines that hold the least. */
const copyTokensPerMs = 20;
/** A run that does not fit has to wait for others to end. */
const noMemoryDelayMs = 10_000;
const failureDelayMs = 4_000;
/** Costs closer than this are equal, which spreads simultaneous choices. */
const equalDelayMs = 40;
const equalLoad = 0.05;

/** Chooses an upstream that answers at once, by its share of places in use. */
export function chooseForCall(
  upstreams: readonly Upstream[],
  context: PlacementContext,
): Upstream | undefined {
  return chooseLeast(
    listAvailable(upstreams, context),
    (upstream) => getCallCost(upstream, context),
    { tolerance: equalLoad, random: context.random },
  );
}

/** Chooses the engine of a stream, by the expected time to its first event. */
export function chooseForStream(
  upstreams: readonly Upstream[],
  demand: StreamDemand,
  context: PlacementContext,
): Upstream | undefined {
  const available = listAvailable(upstreams, context);
  const isNear = ({ info }: Upstream) =>
    info.domainId === context.ownDomainId &&
    !context.isDomainSuspect(info.domainId);
  const near = available.filter(isNear);
  const far = available.filter((upstream) => !isNear(upstream));
  const drawn = [
    ...drawSome(near, getComparedCount(near.length, context), context.random),
    ...drawSome(
      far,
      near.length > 0
        ? remoteCandidates
        : Math.max(remoteCandidates, getComparedCount(far.length, context)),
      context.random,
    ),
  ];
  return chooseLeast(
    drawn,
    (upstream) => getStreamDelayMs(upstream, demand, context),
    { tolerance: equalDelayMs, random: context.random },
  );
}

/**
 * Instances that see the same old loads would all choose the same engine. The
 * more of them place streams unseen, the fewer engines each one compares.
 */
function getComparedCount(
  count: number,
  { unseenPlacements }: PlacementContext,
): number {
  const share = Math.ceil(count / (1 + unseenPlacements));
  return Math.min(count, Math.max(minCandidates, share));
}

function drawSome(
  upstreams: readonly Upstream[],
  count: number,
  random: Random,
): Upstream[] {
  const left = [...upstreams];
  const drawn: Upstream[] = [];
  while (drawn.length < count && left.length > 0) {
    drawn.push(...left.splice(random.nextInt(left.length), 1));
  }
  return drawn;
}

/**
 * Chooses the engine that keeps a copy of a run's memory. Crashes take one
 * failure domain at a time, so it lies in another one than the run.
 */
export function chooseForCopy(
  upstreams: readonly Upstream[],
  running: Upstream,
  demand: StreamDemand,
  context: PlacementContext,
): Upstream | undefined {
  const elsewhere = upstreams.filter(({ info, suspendedUntilMs }) =>
    info.domainId !== running.info.domainId &&
    info.upstreamId !== running.info.upstreamId &&
    suspendedUntilMs <= context.nowMs
  );
  const fitting = elsewhere.filter((upstream) =>
    fits(upstream, demand) && !context.isDomainSuspect(upstream.info.domainId)
  );
  return chooseLeast(
    drawSome(
      fitting,
      getComparedCount(fitting.length, context),
      context.random,
    ),
    (upstream) =>
      getStreamDelayMs(upstream, demand, context) +
      (upstream.memoryTokens + upstream.others.memoryTokens) /
        copyTokensPerMs,
    { tolerance: equalDelayMs, random: context.random },
  );
}

/** One that is suspended could not be reached lately and would cost time. */
function listAvailable(
  upstreams: readonly Upstream[],
  { nowMs, triedIds }: PlacementContext,
): readonly Upstream[] {
  return upstreams.filter(({ info, suspendedUntilMs }) =>
    !triedIds.has(info.upstreamId) && suspendedUntilMs <= nowMs
  );
}

function getReportedCount(
  { reported }: Upstream,
  nowMs: number,
): number {
  if (!reported) return 0;
  const { runningCount, waitingCount } = reported.load;
  const weight = 0.5 ** ((nowMs - reported.atMs) / reportHalfLifeMs);
  return (runningCount + waitingCount) * weight;
}

function getCallCost(upstream: Upstream, context: PlacementContext): number {
  const { info, inFlightCount, failureRatio } = upstream;
  const places = Math.max(1, info.maxRunning);
  const open = Math.max(
    inFlightCount,
    getReportedCount(upstream, context.nowMs),
  );
  const isRemote = info.domainId !== context.ownDomainId;
  return (open + (isRemote ? remotePenaltyPlaces : 0)) / places +
    failureRatio * failurePenaltyLoads +
    (context.isDomainSuspect(info.domainId) ? suspectPenaltyLoads : 0) +
    (info.isCold ? coldPenaltyLoads : 0);
}

export function getStreamDelayMs(
  upstream: Upstream,
  demand: StreamDemand,
  context: PlacementContext,
): number {
  const { info, unreadTokens, inFlightCount, others, failureRatio } = upstream;
  const running = Math.max(
    inFlightCount + others.runningCount,
    getReportedCount(upstream, context.nowMs),
  );
  return (unreadTokens + others.unreadTokens) / readTokensPerMs +
    running * runningDelayMs +
    (info.domainId === context.ownDomainId ? 0 : remoteDelayMs) +
    (info.isCold ? coldDelayMs : 0) +
    (context.isDomainSuspect(info.domainId) ? suspectDelayMs : 0) +
    (fits(upstream, demand) ? 0 : noMemoryDelayMs) +
    failureRatio * failureDelayMs;
}

function fits(upstream: Upstream, { traits, totalTokens }: StreamDemand) {
  const { memoryTokens, inFlightCount, others } = upstream;
  return memoryTokens + others.memoryTokens + totalTokens <=
      traits.memoryTokens &&
    inFlightCount + others.runningCount < traits.maxRunning;
}

/** One of the cheapest, drawn at random among those that are about equal. */
function chooseLeast(
  upstreams: readonly Upstream[],
  getCost: (upstream: Upstream) => number,
  { tolerance, random }: { tolerance: number; random: Random },
): Upstream | undefined {
  if (upstreams.length === 0) return undefined;
  const costs = upstreams.map(getCost);
  const limit = Math.min(...costs) + tolerance;
  const best = upstreams.filter((_, index) => costs[index]! <= limit);
  return best[random.nextInt(best.length)];
}
