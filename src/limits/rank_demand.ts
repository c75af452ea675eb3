/**
 * Streams that arrive for a service by rank, and the size of their prompts, at
 * all instances together. Instances exchange sums, so the mean size is exact.
 * Without reports, an instance takes its own demand for that of each other one.
 */
import type { Clock } from "../core/clock.ts";
import type { RankDemandEntry } from "../upstreams/engine_load_summary.ts";

export interface ArrivalRate {
  readonly streamsPerS: number;
  readonly promptTokensPerS: number;
}

export interface RankDemand {
  recordStream(service: string, rank: number, promptTokens: number): void;
  /** Demand of this instance, for the other instances. */
  getOwnDemands(): RankDemandEntry[];
  /** Replaces the sums of the demands of all other instances. */
  setRemoteDemands(demands: readonly RankDemandEntry[]): void;
  /** Streams of all ranks that are more urgent, at all instances. */
  getMoreUrgent(service: string, rank: number): ArrivalRate;
  /** Streams of all ranks, at all instances. */
  getAll(service: string): ArrivalRate;
}

export interface RankDemandOptions {
  readonly clock: Pick<Clock, "nowMs">;
  /** Entry instances of the deployment, at least 1. */
  getInstanceCount(): number;
}

const averagingMs = 3_000;
/** After this time without a report, the demands of the others are unknown. */
const maxReportAgeMs = 2_000;
/** Ranks that are told apart; later ones count as the last one. */
const maxRankCount = 10;
/** More than engines hold; a larger prompt size is an error of the caller. */
const maxPromptTokens = 10_000_000;
/** A lower demand counts as none, in thousandths per second. */
const minDemandMilliPerS = 10;

interface Sums {
  readonly service: string;
  readonly rank: number;
  /** Both decay with `averagingMs`. */
  streams: number;
  promptTokens: number;
  atMs: number;
}

export function createRankDemand(
  { clock, getInstanceCount }: RankDemandOptions,
): RankDemand {
  const own = new Map<string, Sums>();
  let remote: readonly RankDemandEntry[] = [];
  let reportedAtMs = -Infinity;
  return {
    recordStream,
    getOwnDemands,
    setRemoteDemands: (demands) => {
      remote = demands;
      reportedAtMs = clock.nowMs();
    },
    // Later ranks count as the last one, whose own demand is not more urgent.
    getMoreUrgent: (service, rank) =>
      sumBelow(service, Math.min(rank, maxRankCount - 1)),
    getAll: (service) => sumBelow(service, maxRankCount),
  };

  function recordStream(
    service: string,
    rank: number,
    promptTokens: number,
  ): void {
    const boundedRank = Math.min(rank, maxRankCount - 1);
    const key = `${boundedRank} ${service}`;
    const sums = own.get(key) ?? {
      service,
      rank: boundedRank,
      streams: 0,
      promptTokens: 0,
      atMs: clock.nowMs(),
    };
    decay(sums);
    sums.streams += 1;
    sums.promptTokens += promptTokens <= maxPromptTokens ? promptTokens : 0;
    own.set(key, sums);
  }

  function getOwnDemands(): RankDemandEntry[] {
    const entries: RankDemandEntry[] = [];
    for (const [key, sums] of own) {
      decay(sums);
      const { service, rank, streams, promptTokens } = sums;
      const milliPerS = Math.round(streams * 1_000_000 / averagingMs);
      const tokensPerS = Math.round(promptTokens * 1_000 / averagingMs);
      if (milliPerS < minDemandMilliPerS) own.delete(key);
      else entries.push([service, rank, milliPerS, tokensPerS]);
    }
    return entries;
  }

  function sumBelow(service: string, rank: number): ArrivalRate {
    const isKnown = clock.nowMs() - reportedAtMs <= maxReportAgeMs;
    const ownSum = sumUp(getOwnDemands(), service, rank);
    const others = isKnown ? sumUp(remote, service, rank) : {
      streamsPerS: ownSum.streamsPerS * (getInstanceCount() - 1),
      promptTokensPerS: ownSum.promptTokensPerS * (getInstanceCount() - 1),
    };
    return {
      streamsPerS: ownSum.streamsPerS + others.streamsPerS,
      promptTokensPerS: ownSum.promptTokensPerS + others.promptTokensPerS,
    };
  }

  function decay(sums: Sums): void {
    const nowMs = clock.nowMs();
    const factor = Math.exp((sums.atMs - nowMs) / averagingMs);
    sums.streams *= factor;
    sums.promptTokens *= factor;
    sums.atMs = nowMs;
  }
}

function sumUp(
  entries: readonly RankDemandEntry[],
  service: string,
  rank: number,
): ArrivalRate {
  let milliPerS = 0;
  let promptTokensPerS = 0;
  for (const [entryService, entryRank, streams, tokens] of entries) {
    if (entryService !== service || entryRank >= rank) continue;
    milliPerS += streams;
    promptTokensPerS += tokens;
  }
  return { streamsPerS: milliPerS / 1_000, promptTokensPerS };
}
