/**
 * Acceptance evidence: shows that the candidate is good enough for a larger
 * share. Each route must pass a sequential test against the lowest rates that
 * count as bad, and so must the outcomes at high load. A small sample is never
 * sufficient.
 */
import { addTotals, type Comparison, Metric } from "./comparison_state.ts";
import { describeLoadBucket, type EvidenceCell } from "./evidence.ts";
import { getThresholdLog } from "./fault_threshold.ts";
import { getAcceptanceLog } from "./fault_detector.ts";

/** Metrics that need acceptance evidence on each route. */
const acceptanceMetrics = [
  Metric.Failure,
  Metric.FirstToken90,
  Metric.TokenGap90,
] as const;

/** Probability that a bad version is accepted on a route. */
export const falseGoodRate = 0.01;
/** Failure rate above normal that acceptance rules out. */
const badFailureMargin = 0.05;
/** Share of slow requests, normally 0.1, that acceptance rules out. */
const badSlowRate = 0.45;
/**
 * Routes and load buckets below these shares of traffic need no acceptance
 * evidence of their own.
 */
const minRouteShare = 0.01;
const minLoadShare = 0.1;

/**
 * The share does not grow while a fault statistic is this close to its
 * threshold: a fault under rare load would recur with a larger share of
 * requests.
 */
const minThresholdDistanceLog = 4;

/**
 * Discards the evidence per route: evidence for a larger share must come from
 * the step before it.
 */
export function resetAcceptanceEvidence(comparison: Comparison): void {
  comparison.good = {};
}

export function addAcceptanceEvidence(
  comparison: Comparison,
  { cell, metric, outcomes }: {
    cell: Pick<EvidenceCell, "route" | "loadBucket">;
    metric: Metric;
    outcomes: { normalRate: number; count: number; badCount: number };
  },
): void {
  if (!(acceptanceMetrics as readonly Metric[]).includes(metric)) return;
  const { normalRate } = outcomes;
  const badRate = metric === Metric.Failure
    ? normalRate + badFailureMargin
    : Math.max(badSlowRate, normalRate + 0.1);
  if (badRate >= 1) return;
  const log = getAcceptanceLog({ ...outcomes, badRate });
  for (
    const metrics of [
      comparison.good[cell.route] ??= {},
      comparison.goodByLoad[cell.loadBucket] ??= {},
    ]
  ) {
    const evidence = metrics[metric] ??= {
      log: 0,
      count: 0,
      badCount: 0,
      normalBadCount: 0,
    };
    evidence.log += log;
    addTotals(evidence, outcomes);
  }
}

/**
 * Lists the evidence that is still missing for acceptance; empty if none is.
 */
export function getMissingEvidence(comparison: Comparison): string[] {
  const missing: string[] = [];
  const requiredLog = Math.log(1 / falseGoodRate);
  const routes = listKeysAboveShare(
    comparison.stableRouteCounts,
    minRouteShare,
  );
  if (routes.length === 0) missing.push("no outcomes on the stable version");
  for (const route of routes) {
    for (const metric of acceptanceMetrics) {
      const evidence = comparison.good[route]?.[metric];
      if (evidence && evidence.log >= requiredLog) continue;
      missing.push(
        `route ${route}, ${metric}: ${evidence?.count ?? 0} outcomes give ` +
          `${(evidence?.log ?? 0).toFixed(2)} of ${requiredLog.toFixed(2)}`,
      );
    }
  }
  const buckets = listKeysAboveShare(comparison.stableLoadCounts, minLoadShare);
  const highestBucket = Math.max(0, ...buckets.map(Number));
  const lowestBucket = Math.max(0, highestBucket - 1);
  for (const metric of acceptanceMetrics) {
    const highLoadEvidence = Object.entries(comparison.goodByLoad)
      .filter(([bucket]) => Number(bucket) >= lowestBucket)
      .flatMap(([, metrics]) => metrics[metric] ?? []);
    const log = highLoadEvidence.reduce(
      (sum, evidence) => sum + evidence.log,
      0,
    );
    if (log >= requiredLog) continue;
    const count = highLoadEvidence.reduce(
      (sum, evidence) => sum + evidence.count,
      0,
    );
    missing.push(
      `load of ${
        describeLoadBucket(lowestBucket)
      } requests and above, ${metric}: ` +
        `${count} outcomes give ${log.toFixed(2)} of ${requiredLog.toFixed(2)}`,
    );
  }
  for (const [key, { currentLog }] of Object.entries(comparison.detectors)) {
    const scope = key.slice(0, key.lastIndexOf("|"));
    const thresholdLog = getThresholdLog(scope);
    if (thresholdLog - currentLog > minThresholdDistanceLog) continue;
    missing.push(
      `suspicion on ${key}: ${currentLog.toFixed(1)} near the threshold ` +
        thresholdLog.toFixed(1),
    );
  }
  return missing;
}

function listKeysAboveShare(
  counts: Record<string, number>,
  minShare: number,
): string[] {
  const total = Object.values(counts).reduce((sum, count) => sum + count, 0);
  return Object.keys(counts).filter((key) => counts[key]! >= minShare * total)
    .sort();
}
