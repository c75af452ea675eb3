/**
 * State of the comparison between a candidate and the stable version. It is
 * part of the replicated state and therefore plain data.
 */
import type { FaultDetector } from "./fault_detector.ts";
import type { StableReference } from "./stable_reference.ts";

export enum Metric {
  Failure = "failure",
  FirstToken90 = "firstToken90",
  FirstToken98 = "firstToken98",
  TokenGap90 = "tokenGap90",
  TokenGap98 = "tokenGap98",
  Crash = "crash",
}

/** The figures on which a decision is based. */
export interface Finding {
  readonly scope: string;
  readonly metric: Metric;
  readonly candidateCount: number;
  readonly candidateBadCount: number;
  /** Expected bad outcomes at the highest normal rate. */
  readonly normalBadCount: number;
  readonly statisticLog: number;
  readonly thresholdLog: number;
}

export interface MetricTotals {
  count: number;
  badCount: number;
  normalBadCount: number;
}

export interface AcceptanceEvidence extends MetricTotals {
  log: number;
}

export interface Comparison {
  readonly horizonMs: number;
  readonly references: Record<string, StableReference>;
  readonly detectors: Record<string, FaultDetector>;
  readonly totals: Record<string, MetricTotals>;
  /** Acceptance evidence since the last step, per route and metric. */
  good: Record<string, Record<string, AcceptanceEvidence>>;
  /**
   * Acceptance evidence since the start, per load bucket and metric. It is kept
   * across steps because high load may be rare.
   */
  readonly goodByLoad: Record<string, Record<string, AcceptanceEvidence>>;
  /** Requests on the stable version per route and per load bucket. */
  readonly stableRouteCounts: Record<string, number>;
  readonly stableLoadCounts: Record<string, number>;
  readonly crashes: {
    stableCount: number;
    candidateCount: number;
    stableEngineMs: number;
    pendingCount: number;
    pendingEngineMs: number;
  };
}

export function createComparison(horizonMs: number): Comparison {
  return {
    horizonMs,
    references: {},
    detectors: {},
    totals: {},
    good: {},
    goodByLoad: {},
    stableRouteCounts: {},
    stableLoadCounts: {},
    crashes: {
      stableCount: 0,
      candidateCount: 0,
      stableEngineMs: 0,
      pendingCount: 0,
      pendingEngineMs: 0,
    },
  };
}

export function addTotals(
  totals: MetricTotals,
  { normalRate, count, badCount }: {
    normalRate: number;
    count: number;
    badCount: number;
  },
): void {
  totals.count += count;
  totals.badCount += badCount;
  totals.normalBadCount += count * normalRate;
}
