/**
 * Sums of load summaries that are kept up to date while summaries are added and
 * subtracted. Every summary that is subtracted must have been added before.
 */
import type { UpstreamId } from "../core/types.ts";
import type {
  EngineLoadSummary,
  LoadEntry,
  RepeatCounts,
  SpeedEntry,
} from "./engine_load_summary.ts";
import { createRankDemandTotals } from "./rank_demand_totals.ts";
import { createDomainDemandTotals } from "./domain_demand_totals.ts";

export interface LoadTotals {
  add(summary: EngineLoadSummary): void;
  subtract(summary: EngineLoadSummary): void;
  /** The sum of all added summaries, without the given one of them. */
  getSummaryWithout(excepted: EngineLoadSummary | undefined): EngineLoadSummary;
  getRepeatCounts(service: string): RepeatTotal | undefined;
}

interface LoadTotal {
  /** Number of summaries that contain the upstream. */
  summaryCount: number;
  runningCount: number;
  uncachedTokens: number;
  memoryTokens: number;
}

export interface RepeatTotal {
  /** Number of summaries that contain the service. */
  summaryCount: number;
  requestCount: number;
  repeatCount: number;
  grantedCount: number;
}

interface SuccessorTotal {
  readonly formerId: UpstreamId;
  readonly newId: UpstreamId;
  summaryCount: number;
}

export function createLoadTotals(): LoadTotals {
  const loads = new Map<UpstreamId, LoadTotal>();
  const lossCounts = new Map<UpstreamId, number>();
  const successors = new Map<string, SuccessorTotal>();
  /** In thousandths per second, so that sums are exact. */
  const demands = new Map<string, number>();
  const repeats = new Map<string, RepeatTotal>();
  const rankDemands = createRankDemandTotals();
  const speeds = new Map<UpstreamId, SpeedEntry>();
  const domainDemands = createDomainDemandTotals();
  return {
    add: (summary) => apply(summary, 1),
    subtract: (summary) => apply(summary, -1),
    getSummaryWithout,
    getRepeatCounts: (service) => repeats.get(service),
  };

  function apply(summary: EngineLoadSummary, sign: 1 | -1): void {
    for (const entry of summary.loads) applyLoad(entry, sign);
    for (const upstreamId of summary.lostIds) {
      const count = (lossCounts.get(upstreamId) ?? 0) + sign;
      if (count > 0) lossCounts.set(upstreamId, count);
      else lossCounts.delete(upstreamId);
    }
    for (const [service, milliPerS] of summary.demands ?? []) {
      const sum = (demands.get(service) ?? 0) + sign * milliPerS;
      if (sum > 0) demands.set(service, sum);
      else demands.delete(service);
    }
    for (const counts of summary.repeats ?? []) applyRepeats(counts, sign);
    rankDemands.apply(summary.rankDemands ?? [], sign);
    for (const entry of summary.speeds ?? []) {
      const sum = addSpeeds(speeds.get(entry[0]), entry, sign);
      if (hasSamples(sum)) speeds.set(entry[0], sum);
      else speeds.delete(entry[0]);
    }
    domainDemands.apply(summary.domainDemands ?? [], sign);
    for (const [formerId, newId] of summary.successors ?? []) {
      const key = getSuccessorKey(formerId, newId);
      const total = successors.get(key) ??
        { formerId, newId, summaryCount: 0 };
      total.summaryCount += sign;
      if (total.summaryCount > 0) successors.set(key, total);
      else successors.delete(key);
    }
  }

  function applyRepeats(
    [service, requestCount, repeatCount, grantedCount]: RepeatCounts,
    sign: 1 | -1,
  ): void {
    const total = repeats.get(service) ??
      { summaryCount: 0, requestCount: 0, repeatCount: 0, grantedCount: 0 };
    total.summaryCount += sign;
    total.requestCount += sign * requestCount;
    total.repeatCount += sign * repeatCount;
    total.grantedCount += sign * grantedCount;
    if (total.summaryCount > 0) repeats.set(service, total);
    else repeats.delete(service);
  }

  function applyLoad(
    [upstreamId, runningCount, uncachedTokens, memoryTokens]: LoadEntry,
    sign: 1 | -1,
  ): void {
    const total = loads.get(upstreamId) ?? {
      summaryCount: 0,
      runningCount: 0,
      uncachedTokens: 0,
      memoryTokens: 0,
    };
    total.summaryCount += sign;
    total.runningCount += sign * runningCount;
    // Whole tokens, so that the sum of all added and subtracted values is exact.
    total.uncachedTokens += sign * Math.round(uncachedTokens);
    total.memoryTokens += sign * Math.round(memoryTokens);
    if (total.summaryCount > 0) loads.set(upstreamId, total);
    else loads.delete(upstreamId);
  }

  function getSummaryWithout(
    excepted: EngineLoadSummary | undefined,
  ): EngineLoadSummary {
    const without = createIndex(excepted);
    const remainingLoads: LoadEntry[] = [];
    for (const [upstreamId, total] of loads) {
      const own = without.loads.get(upstreamId);
      if (own && total.summaryCount === 1) continue;
      remainingLoads.push([
        upstreamId,
        total.runningCount - (own?.[1] ?? 0),
        total.uncachedTokens - Math.round(own?.[2] ?? 0),
        total.memoryTokens - Math.round(own?.[3] ?? 0),
      ]);
    }
    const remainingSuccessors = [...successors].filter(([key, total]) =>
      total.summaryCount > 1 || !without.successorKeys.has(key)
    );
    const remainingDemands = [...demands].map((
      [service, milliPerS],
    ): [string, number] => [
      service,
      milliPerS - (without.demands.get(service) ?? 0),
    ]).filter(([, milliPerS]) => milliPerS > 0);
    const remainingRepeats = [...repeats].map((
      [service, { requestCount, repeatCount, grantedCount }],
    ): RepeatCounts => {
      const own = without.repeats.get(service);
      return [
        service,
        requestCount - (own?.[1] ?? 0),
        repeatCount - (own?.[2] ?? 0),
        grantedCount - (own?.[3] ?? 0),
      ];
    }).filter(([, ...counts]) => counts.some((count) => count > 0));
    const remainingRanks = rankDemands.getWithout(excepted?.rankDemands ?? []);
    const remainingSpeeds = [...speeds.values()].map((sum) => {
      const own = without.speeds.get(sum[0]);
      return own ? addSpeeds(sum, own, -1) : sum;
    }).filter(hasSamples);
    const remainingDomainDemands = domainDemands.listWithout(
      excepted?.domainDemands ?? [],
    );
    return {
      ...(remainingRanks.length > 0 ? { rankDemands: remainingRanks } : {}),
      ...(remainingRepeats.length > 0 ? { repeats: remainingRepeats } : {}),
      ...(remainingSpeeds.length > 0 ? { speeds: remainingSpeeds } : {}),
      ...(remainingDomainDemands.length > 0
        ? { domainDemands: remainingDomainDemands }
        : {}),
      ...(remainingDemands.length > 0 ? { demands: remainingDemands } : {}),
      loads: remainingLoads,
      lostIds: [...lossCounts].filter(([upstreamId, count]) =>
        count > 1 || !without.lostIds.has(upstreamId)
      ).map(([upstreamId]) => upstreamId),
      ...(remainingSuccessors.length > 0
        ? {
          successors: remainingSuccessors.map((
            [, { formerId, newId }],
          ): [UpstreamId, UpstreamId] => [formerId, newId]),
        }
        : {}),
    };
  }
}

function createIndex(summary: EngineLoadSummary | undefined) {
  return {
    loads: new Map(summary?.loads.map((entry) => [entry[0], entry])),
    lostIds: new Set(summary?.lostIds),
    demands: new Map(summary?.demands),
    repeats: new Map(summary?.repeats?.map((counts) => [counts[0], counts])),
    speeds: new Map(summary?.speeds?.map((entry) => [entry[0], entry])),
    successorKeys: new Set(
      summary?.successors?.map(([formerId, newId]) =>
        getSuccessorKey(formerId, newId)
      ),
    ),
  };
}

function addSpeeds(
  sum: SpeedEntry | undefined,
  entry: SpeedEntry,
  sign: 1 | -1,
): SpeedEntry {
  const [upstreamId, ...values] = entry;
  const [calls, callTenthMs, prompts, promptTokens, promptMs] = values;
  return [
    upstreamId,
    (sum?.[1] ?? 0) + sign * calls,
    (sum?.[2] ?? 0) + sign * callTenthMs,
    (sum?.[3] ?? 0) + sign * prompts,
    (sum?.[4] ?? 0) + sign * promptTokens,
    (sum?.[5] ?? 0) + sign * promptMs,
  ];
}

function hasSamples([, callCount, , promptCount]: SpeedEntry): boolean {
  return callCount > 0 || promptCount > 0;
}

function getSuccessorKey(formerId: UpstreamId, newId: UpstreamId): string {
  return `${formerId}\n${newId}`;
}
