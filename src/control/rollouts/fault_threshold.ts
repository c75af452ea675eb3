/**
 * Thresholds of the fault test.
 */
import { loadBucketCount, maxRoutes } from "./evidence.ts";

/** Probability that a good version is ever rolled back by the fault test. */
export const falseRollbackRate = 0.01;
export const maxStrata = 64;
const metricCount = 6;
const scopeCount = 4;

/** The error rate is split evenly over kinds of scope, then over scopes. */
export function getThresholdLog(scope: string): number {
  const scopesOfKind = scope === "all"
    ? 1
    : scope.startsWith("route:")
    ? maxRoutes
    : scope.startsWith("load:")
    ? loadBucketCount
    : maxStrata;
  return Math.log(
    scopeCount * scopesOfKind * metricCount / falseRollbackRate,
  );
}
