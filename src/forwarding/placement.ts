/**
 * Chooses the upstream of a request. The functions are pure: they depend only
 * on what this entry instance knows. Instances share nothing but the loads that
 * upstreams report and the load summaries that entry instances exchange through
 * control. Both arrive with a delay, so this instance's own requests in flight
 * count first.
 */
import type { Random } from "../core/random.ts";
import type { DomainId, UpstreamId } from "../core/types.ts";
import type { EngineTraits } from "./forwarding_table.ts";
import {
  countAhead,
  estimateFirstEventMs,
  estimateQueue,
  getPrefillMsPerToken,
  getServiceMs,
  getSlots,
} from "./expected_time.ts";
import {
  chooseSpread,
  chooseUnevenSpread,
  type UnevenAlternative,
} from "./spread_choice.ts";
import type { Upstream } from "./upstream_types.ts";

export interface PlacementContext {
  readonly nowMs: number;
  /** Upstreams that this request has already tried. */
  readonly triedIds: ReadonlySet<UpstreamId>;
  readonly random: Random;
  /**
   * Whether upstreams are compared by the expected completion instead of used
   * slots.
   */
  readonly isLoadAware: boolean;
  /**
   * Estimated number of streams that other entry instances of the same failure
   * domain have placed since the loads that they last reported.
   */
  readonly unreportedPlacementCount: number;
  isDomainSuspected(domainId: DomainId): boolean;
  /** Whether the limit that the upstream states allows one more request. */
  hasRoom(upstreamId: UpstreamId): boolean;
  /** What a request to an upstream of the failure domain costs in addition. */
  getDomainCost(domainId: DomainId): DomainCost;
}

export interface DomainCost {
  /** For streams, as a delay of the first event. */
  readonly delayMs: number;
  /** For calls, in slots of an upstream. */
  readonly slots: number;
}

export interface StreamDemand {
  readonly traits: EngineTraits;
  /** Tokens that the engine has to prefill before the first event. */
  readonly prefillTokens: number;
  /** Tokens in the KV cache at the end of the stream. */
  readonly totalTokens: number;
}

const ownDomainCost: DomainCost = { delayMs: 0, slots: 0 };
/**
 * The delay makes streams prefer the failure domain of this instance: there
 * they survive a partition, and a crash of the domain's engines does not affect
 * their copies in another domain.
 */
const otherDomainCost: DomainCost = { delayMs: 700, slots: 0.5 };
/** The weight of a reported load halves in this time. */
const reportHalfLifeMs = 1_000;
/** Cost of an upstream that always fails, in fully loaded upstreams. */
const failurePenaltyLoads = 8;
const coldPenaltyLoads = 1;
/** Approximate prefill rate of an engine. */
const prefillTokensPerMs = 8;
/**
 * A prefill takes most of the engine's steps from the requests that run beside
 * it for about a second, and their prefills slow down this request later.
 */
const runningDelayMs = 400;
/** The same delay for an engine whose prefill rate was observed. */
const runningDelayTokens = runningDelayMs * prefillTokensPerMs;
/** Part of the calls that are placed to learn the speed of upstreams. */
const explorationRatio = 0.01;
const maxExploredFailureRatio = 0.1;
/** Costs within this part of the shortest call count as equal. */
const serviceToleranceRatio = 0.15;
/** Exceeds any backlog, so a suspected domain is used only as the last resort. */
const suspicionDelayMs = 8_000;
const suspicionPenaltyLoads = 6;
const coldDelayMs = 1_000;
/** Choosing the better of two random candidates avoids most collisions. */
const minSampleSize = 2;
/** Makes copies prefer engines that hold few tokens. */
const copyTokensPerMs = 20;
/** A stream that does not fit has to wait until others end. */
const noMemoryDelayMs = 10_000;
const failureDelayMs = 4_000;
/** Costs within this range count as equal, which spreads concurrent choices. */
const delayToleranceMs = 40;
const loadTolerance = 0.05;

/** The constant preference for the failure domain of this instance. */
export function getDefaultDomainCost(
  domainId: DomainId,
  ownDomainId: DomainId,
): DomainCost {
  return domainId === ownDomainId ? ownDomainCost : otherDomainCost;
}

/**
 * Chooses the upstream of a non-streaming call by the expected completion, or by
 * the ratio of used slots.
 */
export function chooseForCall(
  upstreams: readonly Upstream[],
  context: PlacementContext,
): Upstream | undefined {
  if (context.isLoadAware) return chooseByCompletion(upstreams, context);
  return chooseCheapest(
    listAvailable(upstreams, context),
    (upstream) => getCallCost(upstream, context),
    { tolerance: loadTolerance, random: context.random },
  );
}

/** Chooses the engine of a stream, by the expected time to its first event. */
export function chooseForStream(
  upstreams: readonly Upstream[],
  demand: StreamDemand,
  context: PlacementContext,
): Upstream | undefined {
  if (context.isLoadAware) {
    return chooseUnevenSpread(
      listAvailable(upstreams, context).map((upstream) => ({
        value: upstream,
        cost: getExpectedStreamDelayMs(upstream, demand, context),
        costPerChoice: (demand.prefillTokens + runningDelayTokens) *
          getPrefillMsPerToken(upstream, context.nowMs),
      })),
      {
        unseenChoiceCount: context.unreportedPlacementCount,
        tolerance: delayToleranceMs,
      },
      context.random,
    );
  }
  return chooseSpread(
    listAvailable(upstreams, context),
    (upstream) => getStreamDelayMs(upstream, demand, context),
    {
      unseenChoiceCount: context.unreportedPlacementCount,
      costPerChoice: demand.prefillTokens / prefillTokensPerMs +
        runningDelayMs,
      tolerance: delayToleranceMs,
    },
    context.random,
  );
}

/**
 * Returns how many engines are compared for a copy. Instances that compare all engines by
 * the same outdated loads would all choose the same one (thundering herd), so
 * each compares fewer engines the more placements are unreported.
 */
function getSampleSize(
  count: number,
  { unreportedPlacementCount }: PlacementContext,
): number {
  const share = Math.ceil(count / (1 + unreportedPlacementCount));
  return Math.min(count, Math.max(minSampleSize, share));
}

function sampleUpstreams(
  upstreams: readonly Upstream[],
  count: number,
  random: Random,
): Upstream[] {
  const remaining = [...upstreams];
  const sampled: Upstream[] = [];
  while (sampled.length < count && remaining.length > 0) {
    sampled.push(...remaining.splice(random.nextInt(remaining.length), 1));
  }
  return sampled;
}

/**
 * Chooses the engine that holds a copy of a stream's KV cache. Crashes hit one
 * failure domain at a time, so the copy is placed in another one than the
 * stream.
 */
export function chooseForCopy(
  upstreams: readonly Upstream[],
  running: Upstream,
  demand: StreamDemand,
  context: PlacementContext,
): Upstream | undefined {
  const inOtherDomains = upstreams.filter((upstream) =>
    upstream.info.domainId !== running.info.domainId &&
    upstream.info.upstreamId !== running.info.upstreamId &&
    getAvailableAtMs(upstream) <= context.nowMs
  );
  const fitting = inOtherDomains.filter((upstream) =>
    hasCapacity(upstream, demand) &&
    !context.isDomainSuspected(upstream.info.domainId)
  );
  return chooseCheapest(
    sampleUpstreams(
      fitting,
      getSampleSize(fitting.length, context),
      context.random,
    ),
    (upstream) => getCopyCostMs(upstream, demand, context),
    { tolerance: delayToleranceMs, random: context.random },
  );
}

function getCopyCostMs(
  upstream: Upstream,
  demand: StreamDemand,
  context: PlacementContext,
): number {
  const heldTokens = upstream.memoryTokens + upstream.others.memoryTokens;
  if (!context.isLoadAware) {
    return getStreamDelayMs(upstream, demand, context) +
      heldTokens / copyTokensPerMs;
  }
  return getExpectedStreamDelayMs(upstream, demand, context) +
    heldTokens * prefillTokensPerMs / copyTokensPerMs *
      getPrefillMsPerToken(upstream, context.nowMs);
}

/** Lists the upstreams that can be tried and whose limits have room. */
function listAvailable(
  upstreams: readonly Upstream[],
  context: PlacementContext,
): readonly Upstream[] {
  return listReachable(upstreams, context).filter(({ info }) =>
    context.hasRoom(info.upstreamId)
  );
}

/** When the upstream may get new requests again; in the past if it may now. */
export function getAvailableAtMs(
  { suspendedUntilMs, waitsUntilMs }: Pick<
    Upstream,
    "suspendedUntilMs" | "waitsUntilMs"
  >,
): number {
  return Math.max(suspendedUntilMs, waitsUntilMs);
}

/**
 * Lists the upstreams that are not tried, not suspended and did not ask to wait.
 * A suspended one was recently unreachable, so trying it would cost time.
 */
export function listReachable(
  upstreams: readonly Upstream[],
  { nowMs, triedIds }: Pick<PlacementContext, "nowMs" | "triedIds">,
): readonly Upstream[] {
  return upstreams.filter((upstream) =>
    !triedIds.has(upstream.info.upstreamId) &&
    getAvailableAtMs(upstream) <= nowMs
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
  const slots = Math.max(1, info.maxRunning);
  const requestCount = Math.max(
    inFlightCount,
    getReportedCount(upstream, context.nowMs),
  );
  return (requestCount + context.getDomainCost(info.domainId).slots) / slots +
    failureRatio * failurePenaltyLoads +
    (context.isDomainSuspected(info.domainId) ? suspicionPenaltyLoads : 0) +
    (info.isCold ? coldPenaltyLoads : 0);
}

/**
 * The calls that others have in flight were placed after the figures that are
 * known of them, and end before these are known. So they are assumed to be
 * spread by cost, as this instance would do, instead of where they were seen.
 */
function chooseByCompletion(
  upstreams: readonly Upstream[],
  context: PlacementContext,
): Upstream | undefined {
  const { random, nowMs } = context;
  let unseenChoiceCount = 0;
  let leastMs = Infinity;
  const alternatives: UnevenAlternative<Upstream>[] = [];
  for (const upstream of listAvailable(upstreams, context)) {
    const serviceMs = getServiceMs(upstream, nowMs);
    const { aheadCount, freshness } = estimateQueue(upstream, nowMs);
    unseenChoiceCount += (aheadCount - upstream.inFlightCount) *
      (1 - freshness);
    leastMs = Math.min(leastMs, serviceMs);
    alternatives.push({
      value: upstream,
      cost: serviceMs * getCallLoads(upstream, freshness, context),
      costPerChoice: serviceMs / getSlots(upstream),
    });
  }
  if (random.next() < explorationRatio) {
    const explored = alternatives[random.nextInt(alternatives.length)];
    if (explored && isWorthExploring(explored.value, context)) {
      return explored.value;
    }
  }
  return chooseUnevenSpread(
    alternatives,
    { unseenChoiceCount, tolerance: leastMs * serviceToleranceRatio },
    random,
  );
}

/**
 * The expected time of a call, in times that it takes alone. A call at a full
 * upstream takes about twice as long.
 */
function getCallLoads(
  upstream: Upstream,
  freshness: number,
  context: PlacementContext,
): number {
  const { info, inFlightCount, reported, failureRatio } = upstream;
  const reportedCount = reported
    ? reported.load.runningCount + reported.load.waitingCount
    : 0;
  const knownCount = Math.max(inFlightCount, reportedCount * freshness);
  return 1 + knownCount / getSlots(upstream) +
    failureRatio * failurePenaltyLoads +
    (context.isDomainSuspected(info.domainId) ? suspicionPenaltyLoads : 0) +
    (info.isCold ? coldPenaltyLoads : 0) +
    context.getDomainCost(info.domainId).slots;
}

/**
 * An upstream that is too slow to be chosen may have become faster. One that
 * fails, or that costs more to reach, isn't tried just for that.
 */
function isWorthExploring(
  { info, failureRatio }: Upstream,
  context: PlacementContext,
): boolean {
  return failureRatio < maxExploredFailureRatio && !info.isCold &&
    !context.isDomainSuspected(info.domainId) &&
    context.getDomainCost(info.domainId).slots === 0;
}

function getExpectedStreamDelayMs(
  upstream: Upstream,
  demand: StreamDemand,
  context: PlacementContext,
): number {
  const { nowMs } = context;
  return estimateFirstEventMs(upstream, demand, nowMs) +
    countAhead(upstream, nowMs) * runningDelayTokens *
      getPrefillMsPerToken(upstream, nowMs) +
    getStreamPenaltyMs(upstream, demand, context);
}

export function getStreamDelayMs(
  upstream: Upstream,
  demand: StreamDemand,
  context: PlacementContext,
): number {
  const { unreadTokens, inFlightCount, others } = upstream;
  const running = Math.max(
    inFlightCount + others.runningCount,
    getReportedCount(upstream, context.nowMs),
  );
  return (unreadTokens + others.unreadTokens) / prefillTokensPerMs +
    running * runningDelayMs +
    getStreamPenaltyMs(upstream, demand, context);
}

function getStreamPenaltyMs(
  upstream: Upstream,
  demand: StreamDemand,
  context: PlacementContext,
): number {
  const { info, failureRatio } = upstream;
  return context.getDomainCost(info.domainId).delayMs +
    (info.isCold ? coldDelayMs : 0) +
    (context.isDomainSuspected(info.domainId) ? suspicionDelayMs : 0) +
    (hasCapacity(upstream, demand) ? 0 : noMemoryDelayMs) +
    failureRatio * failureDelayMs;
}

/** Whether the engine has a slot and memory for the stream, as far as known. */
export function hasCapacity(
  upstream: Upstream,
  { traits, totalTokens }: Pick<StreamDemand, "traits" | "totalTokens">,
): boolean {
  const { memoryTokens, inFlightCount, others } = upstream;
  return memoryTokens + others.memoryTokens + totalTokens <=
      traits.memoryTokens &&
    inFlightCount + others.runningCount < traits.maxRunning;
}

/** Chooses at random among the upstreams whose cost is within the tolerance. */
function chooseCheapest(
  upstreams: readonly Upstream[],
  getCost: (upstream: Upstream) => number,
  { tolerance, random }: { tolerance: number; random: Random },
): Upstream | undefined {
  if (upstreams.length === 0) return undefined;
  const costs = upstreams.map(getCost);
  const limit = Math.min(...costs) + tolerance;
  const cheapest = upstreams.filter((_, index) => costs[index]! <= limit);
  return cheapest[random.nextInt(cheapest.length)];
}
