/**
 * Decides which share of a failure domain's requests to a service leaves the
 * domain, and where to. Pure.
 *
 * Every instance computes the same plan for all domains from figures that all
 * of them have: the callers' demand in each domain, and the capacity and the
 * backlog of its upstreams. An instance then draws for each request whether it
 * leaves, so a domain as a whole sends the planned share although its instances
 * do not talk to each other. The demand of callers does not depend on where
 * their requests run, so the plan does not swing with its own effect; only its
 * correction by the backlog does, and that is spread over `horizonMs`.
 */
import { assertNever } from "../core/assert_never.ts";
import type { DomainId } from "../core/types.ts";

export interface DomainFigures {
  readonly domainId: DomainId;
  /** Requests per second of the domain's own callers; undefined if unknown. */
  readonly demandPerS: number | undefined;
  /** Requests per second that its usable upstreams complete; 0 if it has none. */
  readonly capacityPerS: number;
  /** Time in which its upstreams complete the work that they have. */
  readonly backlogMs: number;
  /** Time that an idle upstream needs until the first event or the answer. */
  readonly serviceMs: number;
}

export enum DomainPlanKind {
  /** The constant cost applies. */
  HomeHasRoom = "homeHasRoom",
  FiguresUnknown = "figuresUnknown",
  /** No domain meets the objective, but another one is much better. */
  Unbalanced = "unbalanced",
  /** A share leaves. */
  Leave = "leave",
  /** Home misses the objective, and so would the other domains. */
  NothingGained = "nothingGained",
}

export interface DomainPlan {
  readonly kind: DomainPlanKind;
  /** Part of this domain's requests that goes to each other domain. */
  readonly shares: ReadonlyMap<DomainId, number>;
}

export interface DomainPlanOptions {
  readonly homeId: DomainId;
  readonly domains: readonly DomainFigures[];
  readonly objectiveMs: number;
  /** What leaving costs, in milliseconds of the time of a request. */
  readonly priceMs: number;
  /** Whether a share leaves now; a smaller backlog then ends it. */
  readonly isLeaving: boolean;
}

/**
 * Part of the objective in which a request is expected to be answered. The rest
 * covers that upstreams of a domain differ and that figures are a second old.
 */
const targetRatio = 0.6;
/** Once a share leaves, it does so until the expected time is below this. */
const returnRatio = 0.5;
/**
 * Time over which a backlog is removed. Figures are up to a second old and
 * refreshed twice a second: correcting a backlog within a shorter time would
 * correct it twice.
 */
const horizonMs = 1_500;
/** Part of a domain's capacity up to which it has room for other domains. */
const spareRatio = 0.9;
/** A better domain gains at least this part of the objective. */
const unbalancedRatio = 0.5;

const noShares: ReadonlyMap<DomainId, number> = new Map();

export function planDomains(
  { homeId, domains, objectiveMs, priceMs, isLeaving }: DomainPlanOptions,
): DomainPlan {
  const home = domains.find(({ domainId }) => domainId === homeId);
  if (!home || domains.length < 2) {
    return { kind: DomainPlanKind.FiguresUnknown, shares: noShares };
  }
  const ratio = isLeaving ? returnRatio : targetRatio;
  const excessPerS = getExcessPerS(home, objectiveMs * ratio);
  if (excessPerS <= 0) {
    return { kind: DomainPlanKind.HomeHasRoom, shares: noShares };
  }
  const homeMs = getExpectedMs(home);
  const others = domains.filter(({ domainId }) => domainId !== homeId);
  const spares = others.map((other) =>
    getExpectedMs(other) + priceMs < homeMs
      ? getSparePerS(other, objectiveMs * targetRatio - priceMs)
      : 0
  );
  const totalSpare = spares.reduce((sum, spare) => sum + spare, 0);
  if (totalSpare <= 0) {
    const bestMs = Math.min(...others.map(getExpectedMs));
    const isMuchBetter = bestMs + priceMs + objectiveMs * unbalancedRatio <
      homeMs;
    return {
      kind: isMuchBetter
        ? DomainPlanKind.Unbalanced
        : DomainPlanKind.NothingGained,
      shares: noShares,
    };
  }
  // Other domains whose upstreams are too few use the same spare capacity.
  const totalExcess = excessPerS + others.reduce(
    (sum, other) => sum + getExcessPerS(other, objectiveMs * targetRatio),
    0,
  );
  const granted = Math.min(1, totalSpare / totalExcess) * excessPerS;
  const demandPerS = Math.max(getDemandPerS(home), granted);
  return {
    kind: DomainPlanKind.Leave,
    shares: new Map(others.flatMap(({ domainId }, index) => {
      const share = granted * spares[index]! / totalSpare / demandPerS;
      return share > 0 ? [[domainId, share] as const] : [];
    })),
  };
}

/** Without a known demand, the backlog alone decides. */
function getDemandPerS({ demandPerS, capacityPerS }: DomainFigures): number {
  return demandPerS ?? capacityPerS;
}

/** Expected backlog at the horizon if no request crosses domains. */
function getFutureBacklogMs(figures: DomainFigures): number {
  const { capacityPerS, backlogMs } = figures;
  if (capacityPerS <= 0) return Infinity;
  const growth = getDemandPerS(figures) / capacityPerS - 1;
  return Math.max(0, backlogMs + growth * horizonMs);
}

/** Expected time of a request that arrives now. */
export function getExpectedMs(
  { capacityPerS, serviceMs, backlogMs }: DomainFigures,
): number {
  return capacityPerS > 0 ? serviceMs + backlogMs : Infinity;
}

/** Requests per second that would miss the target at home. */
function getExcessPerS(figures: DomainFigures, targetMs: number): number {
  const { capacityPerS, serviceMs } = figures;
  if (capacityPerS <= 0) return getDemandPerS(figures);
  const allowedMs = Math.max(0, targetMs - serviceMs);
  const excessMs = getFutureBacklogMs(figures) - allowedMs;
  return Math.max(0, excessMs) / horizonMs * capacityPerS;
}

/** Requests per second that the domain can take besides its own callers'. */
function getSparePerS(figures: DomainFigures, targetMs: number): number {
  const { capacityPerS, serviceMs, backlogMs, demandPerS } = figures;
  if (capacityPerS <= 0) return 0;
  const roomMs = targetMs - serviceMs -
    Math.max(backlogMs, getFutureBacklogMs(figures));
  if (roomMs <= 0) return 0;
  const byBacklog = roomMs / horizonMs * capacityPerS;
  return demandPerS === undefined
    ? byBacklog / 2
    : Math.max(0, Math.min(byBacklog, capacityPerS * spareRatio - demandPerS));
}

export interface ShareLimits {
  /** Time since the shares were last changed. */
  readonly elapsedMs: number;
  /** Greatest part of the requests that leaves. */
  readonly maxShare: number;
}

/** Time after which the effect of a change can be seen in the figures. */
const figureAgeMs = 750;
/** Greatest increase of a share within `figureAgeMs`. */
const stepUp = 0.25;
/** The way back is faster: home's own upstreams are known best. */
const stepDown = 0.5;
const minShare = 0.005;

/** Moves the shares towards the planned ones by bounded steps. */
export function stepShares(
  current: ReadonlyMap<DomainId, number>,
  planned: ReadonlyMap<DomainId, number>,
  { elapsedMs, maxShare }: ShareLimits,
): ReadonlyMap<DomainId, number> {
  const periods = Math.min(1, Math.max(0, elapsedMs) / figureAgeMs);
  const total = sum(planned);
  const scale = total > maxShare ? maxShare / total : 1;
  const next = new Map<DomainId, number>();
  for (const domainId of new Set([...current.keys(), ...planned.keys()])) {
    const from = current.get(domainId) ?? 0;
    const to = (planned.get(domainId) ?? 0) * scale;
    const share = Math.min(
      from + stepUp * periods,
      Math.max(from - stepDown * periods, to),
    );
    if (share >= minShare) next.set(domainId, share);
  }
  return next;
}

function sum(shares: ReadonlyMap<DomainId, number>): number {
  return [...shares.values()].reduce((total, share) => total + share, 0);
}

/** Draws where a request goes; undefined stands for its own domain. */
export function drawDomain(
  shares: ReadonlyMap<DomainId, number>,
  point: number,
): DomainId | undefined {
  let rest = point;
  for (const [domainId, share] of shares) {
    rest -= share;
    if (rest < 0) return domainId;
  }
  return undefined;
}

/** In milliseconds for streams, and in times of a call for calls. */
export interface CostBasis {
  readonly kind: DomainPlanKind;
  /** The constant cost of leaving. */
  readonly constant: number;
  readonly price: number;
  /** Whether the request was drawn to go to the domain. */
  readonly isDrawn: boolean;
  /** What keeps a request at home that was not drawn to leave. */
  readonly hold: number;
}

/**
 * Requests that are not drawn to leave stay although a single upstream of
 * another domain has less to do than those at home: all instances see it in the
 * same outdated figures, and its own domain's requests are on their way to it.
 * The backlogs of a domain's upstreams differ by about their mean.
 */
const holdRatio = 2;

export function getStreamHoldMs(
  { backlogMs }: Pick<DomainFigures, "backlogMs">,
  objectiveMs: number,
): number {
  return Math.min(holdRatio * backlogMs, objectiveMs);
}

/**
 * Calls that were not drawn to leave are in time at home. The less idle it is,
 * the more of them would leave for a time that no caller needs: up to the time
 * of one call. Without a known demand they are not held.
 */
export function getCallHold(
  { demandPerS, capacityPerS }: Pick<
    DomainFigures,
    "demandPerS" | "capacityPerS"
  >,
): number {
  return demandPerS === undefined || capacityPerS <= 0
    ? 0
    : Math.min(1, demandPerS / capacityPerS);
}

/** The cost of another domain, in the unit of the basis. */
export function getLeavingCost(
  { kind, constant, price, isDrawn, hold }: CostBasis,
): number {
  const usual = constant + price;
  if (isDrawn) return price;
  switch (kind) {
    case DomainPlanKind.FiguresUnknown:
    case DomainPlanKind.Unbalanced:
      return usual;
    case DomainPlanKind.HomeHasRoom:
    case DomainPlanKind.Leave:
    case DomainPlanKind.NothingGained:
      return usual + hold;
    default:
      return assertNever(kind);
  }
}
