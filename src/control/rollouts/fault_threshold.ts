/**
 * Thresholds of the fault test. Every scope and metric is tested on its own, so
 * the tests share one error rate.
 */
import { loadBucketCount, maxRoutes } from "./evidence.ts";

/** Probability that a good version is ever rolled back by the fault test. */
export const falseRollbackRate = 0.01;
export const maxStrata = 64;
const metricCount = 6;
const scopeKindCount = 4;

/**
 * Splits the error rate evenly over the metrics, the kinds of scopes and the
 * scopes of a kind.
 */
export function getThresholdLog(scope: string): number {
  const scopesPerKind = scope === "all"
    ? 1
    : scope.startsWith("route:")
    ? maxRoutes
    : scope.startsWith("load:")
    ? loadBucketCount
    : maxStrata;
  return Math.log(
    scopeKindCount * scopesPerKind * metricCount / falseRollbackRate,
  );
}
