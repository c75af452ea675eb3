/**
 * Keeps what the choice of a failure domain needs: the demand of callers by
 * domain, the share that leaves this instance's domain, and the bytes of a
 * request. Instances exchange their demands through the load summaries; all
 * other figures come from the directory of upstreams.
 */
import type { Clock } from "../core/clock.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import type { MetricCounter } from "../core/metrics_registry.ts";
import type { Random } from "../core/random.ts";
import type { DomainId } from "../core/types.ts";
import type { DomainDemandEntry } from "../upstreams/engine_load_summary.ts";
import {
  type DomainFigures,
  type DomainPlan,
  DomainPlanKind,
  drawDomain,
  getCallHold,
  getLeavingCost,
  getStreamHoldMs,
  planDomains,
  stepShares,
} from "./domain_choice.ts";
import {
  type DomainDemand,
  getCallFigures,
  getStreamFigures,
  type UpstreamTimes,
} from "./domain_figures.ts";
import { type DomainCost, getDefaultDomainCost } from "./placement.ts";
import type { ServiceObjectives } from "./route_table.ts";
import type { Upstream } from "./upstream_types.ts";

/** What an operator states about traffic between failure domains. */
export interface DomainPrices {
  readonly roundTripMs: number;
  readonly priceMsPerMs: number;
  readonly priceMsPerMegabyte: number;
}

export interface DomainTraffic {
  recordRequest(service: string): void;
  /** Records an attempt; `promptTokens` are those that it has to prefill. */
  recordAttempt(service: string, domainId: DomainId): void;
  recordPromptTokens(service: string, tokens: number): void;
  /** Records bytes that were sent to and received from a domain. */
  recordBytes(service: string, domainId: DomainId, bytes: number): void;
  /** Demands of this instance's callers, for other instances. */
  getDemands(): DomainDemandEntry[];
  /** Replaces the demands of others; undefined if their builds state none. */
  setRemoteDemands(demands: readonly DomainDemandEntry[] | undefined): void;
  /** Draws for one request whether it leaves the domain. */
  drawCosts(service: string): (domainId: DomainId) => DomainCost;
}

export interface DomainTrafficOptions {
  readonly clock: Pick<Clock, "nowMs">;
  readonly random: Random;
  readonly logger: Pick<Logger, "log">;
  readonly domainId: DomainId;
  readonly prices: DomainPrices;
  /** Attempts by service, domain and the state of the plan. */
  readonly attempts: MetricCounter;
  /** Bytes to and from other domains. */
  readonly bytes: MetricCounter;
  listUsable(service: string): readonly Upstream[];
  isLoadAware(service: string): boolean;
  getObjectives(service: string): ServiceObjectives;
  isDomainSuspected(service: string, domainId: DomainId): boolean;
  getTimes(upstream: Upstream): UpstreamTimes;
}

/** Time over which a demand is averaged. */
const averagingMs = 1_500;
const planIntervalMs = 200;
/** Demands up to this age count in full; from the second on not at all. */
const freshAgeMs = 1_000;
const staleAgeMs = 2_000;
/** Greatest share that leaves while only this instance's knowledge is there. */
const maxOwnKnowledgeShare = 0.25;
/** Part of its objective that a call is assumed to take without a queue. */
const callTimeRatio = 0.3;
const logIntervalMs = 5_000;
const loggedShareChange = 0.1;
const bytesPerMegabyte = 1_000_000;
/** Services and domains of the remote demands that are kept. */
const maxDemandEntries = 10_000;
/** A service without requests for so long is forgotten. */
const maxIdleMs = 600_000;

interface ServiceState {
  requests: DecayingSum;
  tokens: DecayingSum;
  bytes: DecayingSum;
  attempts: DecayingSum;
  stream: DomainState;
  call: DomainState;
}

/** State of the streams, or of the calls, of a service. */
interface DomainState {
  plan: DomainPlan;
  figures: readonly DomainFigures[];
  shares: ReadonlyMap<DomainId, number>;
  plannedAtMs: number;
  loggedAtMs: number;
  loggedKind: DomainPlanKind;
  loggedShare: number;
}

interface DecayingSum {
  weight: number;
  atMs: number;
}

export function createDomainTraffic(
  options: DomainTrafficOptions,
): DomainTraffic {
  const { clock, random, logger, domainId: homeId, prices } = options;
  const services = new Map<string, ServiceState>();
  let remote: Map<string, Map<DomainId, DomainDemand>> | undefined;
  let remoteAtMs = -Infinity;
  return {
    recordRequest: (service) => add(getState(service).requests, 1),
    recordAttempt: (service, domainId) => {
      const state = getState(service);
      add(state.attempts, 1);
      if (!options.isLoadAware(service)) return;
      const { kind } = (isStreaming(service) ? state.stream : state.call).plan;
      options.attempts.add({ service, domain: domainId, reason: kind });
    },
    recordPromptTokens: (service, tokens) =>
      add(getState(service).tokens, tokens),
    recordBytes: (service, domainId, bytes) => {
      add(getState(service).bytes, bytes);
      if (domainId === homeId) return;
      options.bytes.add({ service, domain: domainId }, bytes);
    },
    getDemands,
    setRemoteDemands,
    drawCosts,
  };

  function getDemands(): DomainDemandEntry[] {
    const idleSinceMs = clock.nowMs() - maxIdleMs;
    const demands: DomainDemandEntry[] = [];
    for (const [service, { requests, tokens }] of services) {
      if (requests.atMs < idleSinceMs) services.delete(service);
      const requestsMilliPerS = Math.round(getRatePerS(requests) * 1_000);
      if (requestsMilliPerS === 0) continue;
      const tokensMilliPerS = Math.round(getRatePerS(tokens) * 1_000);
      demands.push([service, homeId, requestsMilliPerS, tokensMilliPerS]);
    }
    return demands;
  }

  function setRemoteDemands(
    demands: readonly DomainDemandEntry[] | undefined,
  ): void {
    if (!demands) return;
    remoteAtMs = clock.nowMs();
    remote = new Map();
    for (const entry of demands.slice(0, maxDemandEntries)) {
      const [service, domainId, requestsMilliPerS, tokensMilliPerS] = entry;
      const byDomain = remote.get(service) ?? new Map<DomainId, DomainDemand>();
      remote.set(service, byDomain);
      byDomain.set(domainId, {
        requestsPerS: requestsMilliPerS / 1_000,
        tokensPerS: tokensMilliPerS / 1_000,
      });
    }
  }

  function drawCosts(service: string): (domainId: DomainId) => DomainCost {
    if (!options.isLoadAware(service)) {
      return (domainId) => getDefaultDomainCost(domainId, homeId);
    }
    const state = getState(service);
    const objectives = options.getObjectives(service);
    update(service, state, objectives);
    const point = random.next();
    const streamDomain = drawDomain(state.stream.shares, point);
    const callDomain = drawDomain(state.call.shares, point);
    const priceMs = getPriceMs(state);
    const { firstEventMs = 0, callMs = 0 } = objectives;
    // The cost of calls is stated in times of a call.
    const slotsPerMs = callMs > 0 ? 1 / (callMs * callTimeRatio) : 0;
    const weight = getRemoteWeight();
    const streamHome = getHome(state.stream);
    const streamHoldMs = streamHome
      ? getStreamHoldMs(streamHome, firstEventMs) * weight
      : 0;
    const callHome = getHome(state.call);
    const callHold = callHome ? getCallHold(callHome) * weight : 0;
    const costs = new Map<DomainId, DomainCost>();
    return (domainId) => {
      const known = costs.get(domainId);
      if (known) return known;
      const cost = getCost(domainId);
      costs.set(domainId, cost);
      return cost;
    };

    function getCost(domainId: DomainId): DomainCost {
      const constant = getDefaultDomainCost(domainId, homeId);
      if (domainId === homeId) return constant;
      return {
        delayMs: getLeavingCost({
          kind: state.stream.plan.kind,
          constant: constant.delayMs,
          price: priceMs,
          isDrawn: domainId === streamDomain,
          hold: streamHoldMs,
        }),
        slots: getLeavingCost({
          kind: state.call.plan.kind,
          constant: constant.slots,
          price: priceMs * slotsPerMs,
          isDrawn: domainId === callDomain,
          hold: callHold,
        }),
      };
    }
  }

  function getHome({ figures }: DomainState): DomainFigures | undefined {
    return figures.find(({ domainId }) => domainId === homeId);
  }

  function update(
    service: string,
    state: ServiceState,
    { firstEventMs, callMs }: ServiceObjectives,
  ): void {
    const nowMs = clock.nowMs();
    const dueMs = nowMs - planIntervalMs;
    const needsStreams = firstEventMs !== undefined &&
      state.stream.plannedAtMs <= dueMs;
    const needsCalls = callMs !== undefined && state.call.plannedAtMs <= dueMs;
    if (!needsStreams && !needsCalls) return;
    const facts = {
      nowMs,
      upstreams: options.listUsable(service),
      demands: getDomainDemands(service, state),
      getTimes: options.getTimes,
      isDomainSuspected: (id: DomainId) =>
        options.isDomainSuspected(service, id),
    };
    if (needsStreams) {
      replan(service, state, state.stream, {
        figures: getStreamFigures(facts),
        objectiveMs: firstEventMs,
        traffic: "streams",
      });
    }
    if (needsCalls) {
      replan(service, state, state.call, {
        figures: getCallFigures(facts, callMs * callTimeRatio),
        objectiveMs: callMs,
        traffic: "calls",
      });
    }
  }

  function replan(
    service: string,
    state: ServiceState,
    domainState: DomainState,
    { figures, objectiveMs, traffic }: {
      readonly figures: readonly DomainFigures[];
      readonly objectiveMs: number;
      readonly traffic: "streams" | "calls";
    },
  ): void {
    const nowMs = clock.nowMs();
    const weight = getRemoteWeight();
    domainState.figures = figures;
    domainState.plan = planDomains({
      homeId,
      domains: figures,
      objectiveMs,
      priceMs: getPriceMs(state),
      isLeaving: domainState.shares.size > 0,
    });
    domainState.shares = stepShares(
      domainState.shares,
      domainState.plan.shares,
      {
        elapsedMs: nowMs - domainState.plannedAtMs,
        maxShare: Math.max(maxOwnKnowledgeShare, weight),
      },
    );
    domainState.plannedAtMs = nowMs;
    logChange(service, domainState, traffic);
  }

  function logChange(
    service: string,
    state: DomainState,
    traffic: "streams" | "calls",
  ): void {
    const nowMs = clock.nowMs();
    const share = [...state.shares.values()].reduce(
      (sum, part) => sum + part,
      0,
    );
    const { kind } = state.plan;
    const isSame = kind === state.loggedKind &&
      Math.abs(share - state.loggedShare) < loggedShareChange;
    if (isSame || nowMs - state.loggedAtMs < logIntervalMs) return;
    state.loggedAtMs = nowMs;
    state.loggedKind = kind;
    state.loggedShare = share;
    logger.log(logEvents.domainShareChanged, {
      service,
      traffic,
      reason: kind,
      shares: Object.fromEntries(
        [...state.shares].map(([id, part]) => [id, Number(part.toFixed(2))]),
      ),
    });
  }

  /** 1 while the demands of others are fresh, 0 when they are unknown. */
  function getRemoteWeight(): number {
    const ageMs = clock.nowMs() - remoteAtMs;
    const weight = (staleAgeMs - ageMs) / (staleAgeMs - freshAgeMs);
    return Math.min(1, Math.max(0, weight));
  }

  function getDomainDemands(
    service: string,
    { requests, tokens }: ServiceState,
  ): Map<DomainId, DomainDemand> | undefined {
    if (!remote || getRemoteWeight() === 0) return undefined;
    const demands = new Map(remote.get(service) ?? []);
    const others = demands.get(homeId);
    demands.set(homeId, {
      requestsPerS: getRatePerS(requests) + (others?.requestsPerS ?? 0),
      tokensPerS: getRatePerS(tokens) + (others?.tokensPerS ?? 0),
    });
    return demands;
  }

  function getPriceMs({ bytes, attempts }: ServiceState): number {
    const { roundTripMs, priceMsPerMs, priceMsPerMegabyte } = prices;
    const attemptsPerS = getRatePerS(attempts);
    const bytesPerRequest = attemptsPerS > 0
      ? getRatePerS(bytes) / attemptsPerS
      : 0;
    return roundTripMs * priceMsPerMs +
      bytesPerRequest / bytesPerMegabyte * priceMsPerMegabyte;
  }

  function isStreaming(service: string): boolean {
    return options.getObjectives(service).firstEventMs !== undefined;
  }

  function getState(service: string): ServiceState {
    let state = services.get(service);
    if (!state) {
      state = createServiceState();
      services.set(service, state);
    }
    return state;
  }

  function add(sum: DecayingSum, amount: number): void {
    sum.weight = decay(sum) + amount;
    sum.atMs = clock.nowMs();
  }

  function decay({ weight, atMs }: DecayingSum): number {
    return weight === 0
      ? 0
      : weight * Math.exp((atMs - clock.nowMs()) / averagingMs);
  }

  function getRatePerS(sum: DecayingSum): number {
    return decay(sum) / (averagingMs / 1_000);
  }
}

function createServiceState(): ServiceState {
  const createSum = () => ({ weight: 0, atMs: 0 });
  return {
    requests: createSum(),
    tokens: createSum(),
    bytes: createSum(),
    attempts: createSum(),
    stream: createDomainState(),
    call: createDomainState(),
  };
}

function createDomainState(): DomainState {
  return {
    plan: { kind: DomainPlanKind.FiguresUnknown, shares: new Map() },
    figures: [],
    shares: new Map(),
    plannedAtMs: -Infinity,
    loggedAtMs: -Infinity,
    loggedKind: DomainPlanKind.HomeHasRoom,
    loggedShare: 0,
  };
}
