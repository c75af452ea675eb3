/**
 * Thresholds of the fault test.
 */
import { maxRoutes } from "./evidence.ts";

/** Probability that a good version is ever rolled back by the fault test. */
export const falseRollbackRate = 0.01;
export const maxStrata = 64;
const metricCount = 6;
const scopeCount = 3;

/** The error rate is split evenly over kinds of scope, then over scopes. */
export function getThresholdLog(scope: string): number {
  const scopesOfKind = scope === "all"
    ? 1
    : scope.startsWith("route:")
    ? maxRoutes
    : maxStrata;
  return Math.log(
    scopeCount * scopesOfKind * metricCount / falseRollbackRate,
  );
}
