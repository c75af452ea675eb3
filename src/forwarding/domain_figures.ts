/**
 * Derives the figures of each failure domain from what an entry instance knows
 * of the upstreams of a service. Pure.
 */
import type { DomainId } from "../core/types.ts";
import type { DomainFigures } from "./domain_choice.ts";
import { defaultPrefillMsPerToken } from "./expected_time.ts";
import { getAvailableAtMs } from "./placement.ts";
import type { Upstream } from "./upstream_types.ts";

/** Requests of the callers of one domain, and their prompt tokens. */
export interface DomainDemand {
  readonly requestsPerS: number;
  readonly tokensPerS: number;
}

export interface DomainFacts {
  readonly nowMs: number;
  readonly upstreams: readonly Upstream[];
  /**
   * Undefined if the demand of other instances is not known. A domain that is
   * missing may be cut off, so its demand is unknown too.
   */
  readonly demands: ReadonlyMap<DomainId, DomainDemand> | undefined;
  /** Most upstreams of a suspected domain are probably lost. */
  isDomainSuspected(domainId: DomainId): boolean;
  getTimes(upstream: Upstream): UpstreamTimes;
}

/** Learned times of an upstream; undefined where none is known. */
export interface UpstreamTimes {
  /** Time of a call at the upstream without a queue. */
  readonly callMs?: number;
  readonly prefillMsPerToken?: number;
}

/** Reported loads older than this say nothing. */
const maxReportAgeMs = 2_000;
/** Assumed until prompts are known. */
const defaultPromptTokens = 1_000;
/** A demand further above the capacity is taken for a wrong figure. */
const maxDemandRatio = 2;
/** Used where an upstream does not state its number of slots. */
const defaultSlots = 1;

/** Figures of a service whose requests are bounded by the prefill of prompts. */
export function getStreamFigures(facts: DomainFacts): DomainFigures[] {
  const promptTokens = getMeanPromptTokens(facts.demands);
  return mapDomains(facts, (reachable, demand) => {
    const tokensPerMs = sumOver(
      reachable,
      (upstream) =>
        1 / getTime(
          facts.getTimes(upstream).prefillMsPerToken,
          defaultPrefillMsPerToken,
        ),
    );
    const unreadTokens = sumOver(
      reachable,
      ({ unreadTokens, others }) => unreadTokens + others.unreadTokens,
    );
    const capacityPerS = tokensPerMs / promptTokens * 1_000;
    return {
      demandPerS: demand && limitDemand(
        // Prompts of the domains may differ in length.
        Math.max(0, demand.tokensPerS / promptTokens || demand.requestsPerS),
        capacityPerS,
      ),
      capacityPerS,
      backlogMs: tokensPerMs > 0 ? unreadTokens / tokensPerMs : 0,
      serviceMs: reachable.length === 0
        ? 0
        : promptTokens * reachable.length / tokensPerMs,
    };
  });
}

/** Figures of a service whose upstreams run a number of calls at once. */
export function getCallFigures(
  facts: DomainFacts,
  /** Time of a call at upstreams whose time is not known. */
  defaultCallMs: number,
): DomainFigures[] {
  return mapDomains(facts, (reachable, demand) => {
    const callsPerMs = sumOver(
      reachable,
      (upstream) =>
        getSlots(upstream) /
        getTime(facts.getTimes(upstream).callMs, defaultCallMs),
    );
    const waitingCount = sumOver(
      reachable,
      (upstream) =>
        Math.max(0, getCallCount(upstream, facts.nowMs) - getSlots(upstream)),
    );
    const capacityPerS = callsPerMs * 1_000;
    return {
      demandPerS: demand && limitDemand(demand.requestsPerS, capacityPerS),
      capacityPerS,
      backlogMs: callsPerMs > 0 ? waitingCount / callsPerMs : 0,
      serviceMs: callsPerMs > 0 ? sumOver(reachable, getSlots) / callsPerMs : 0,
    };
  });
}

function getSlots({ info, reported }: Upstream): number {
  return Math.max(
    defaultSlots,
    info.maxRunning > 0 ? info.maxRunning : reported?.load.maxRunning ?? 0,
  );
}

function mapDomains(
  { nowMs, upstreams, demands, isDomainSuspected }: DomainFacts,
  describe: (
    reachable: readonly Upstream[],
    demand: DomainDemand | undefined,
  ) => Omit<DomainFigures, "domainId">,
): DomainFigures[] {
  const reachable = new Map<DomainId, Upstream[]>();
  for (const upstream of upstreams) {
    const { domainId } = upstream.info;
    const inDomain = reachable.get(domainId) ?? [];
    reachable.set(domainId, inDomain);
    const isAvailable = getAvailableAtMs(upstream) <= nowMs &&
      !isDomainSuspected(domainId);
    if (isAvailable) inDomain.push(upstream);
  }
  return [...reachable].map(([domainId, inDomain]) => ({
    domainId,
    ...describe(inDomain, demands?.get(domainId)),
  }));
}

function getMeanPromptTokens(demands: DomainFacts["demands"]): number {
  const all = [...demands?.values() ?? []];
  const requests = sumOver(all, ({ requestsPerS }) => requestsPerS);
  const tokens = sumOver(all, ({ tokensPerS }) => tokensPerS);
  return requests > 0 && tokens > 0 ? tokens / requests : defaultPromptTokens;
}

function getCallCount({ inFlightCount, reported }: Upstream, nowMs: number) {
  if (!reported || nowMs - reported.atMs > maxReportAgeMs) return inFlightCount;
  const { runningCount, waitingCount } = reported.load;
  return Math.max(inFlightCount, runningCount + waitingCount);
}

function getTime(learned: number | undefined, nominal: number): number {
  return learned !== undefined && Number.isFinite(learned) && learned > 0
    ? learned
    : nominal;
}

function limitDemand(demandPerS: number, capacityPerS: number): number {
  return capacityPerS > 0
    ? Math.min(demandPerS, maxDemandRatio * capacityPerS)
    : demandPerS;
}

function sumOver<T>(values: readonly T[], read: (value: T) => number): number {
  return values.reduce((total, value) => total + read(value), 0);
}
