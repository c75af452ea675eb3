/**
 * When a fault could be seen by a test that knows the normal distribution, the
 * fault's size, time, route and load, and gets every outcome at once: the
 * likelihood ratio test at the error rate of the system's own test. No real
 * test can be faster; the trials report how far behind it the system is.
 */
import { falseRollbackRate } from "../src/control/rollouts/fault_threshold.ts";
import {
  firstTokenSigma,
  isFaulty,
  type RunOptions,
  type ServiceModel,
} from "./rollout_model.ts";

export function createOracle(model: ServiceModel) {
  const thresholdLog = Math.log(1 / falseRollbackRate);
  let log = 0;
  let observableAtMs: number | undefined;
  return { addFirstToken, addEnd, getObservableAtMs: () => observableAtMs };

  function addFirstToken(
    run: RunOptions,
    firstTokenMs: number,
    nowMs: number,
  ): void {
    if (!isFaulty(model.fault, run)) return;
    const shift = Math.log(model.fault!.slowFactor) / firstTokenSigma;
    if (shift === 0) return;
    const normalMs = 150 * (1 + run.batchSize / 16) * run.engineFactor;
    const deviation = Math.log(firstTokenMs / normalMs) / firstTokenSigma;
    add(shift * deviation - shift ** 2 / 2, nowMs);
  }

  function addEnd(run: RunOptions, isFailure: boolean, nowMs: number): void {
    if (!isFaulty(model.fault, run)) return;
    const normal = model.normalFailRatio;
    const bad = normal + model.fault!.failRatio;
    add(
      isFailure ? Math.log(bad / normal) : Math.log((1 - bad) / (1 - normal)),
      nowMs,
    );
  }

  function add(change: number, nowMs: number): void {
    log += change;
    if (log >= thresholdLog) observableAtMs ??= nowMs;
  }
}
