/**
 * Finds the earliest time at which a fault can be detected. The oracle knows
 * the normal distribution and the fault's size, time, route and load, and gets
 * every outcome without delay. It applies the likelihood ratio test at the
 * error rate of the production test. No real test can be faster; the trials
 * report how much later the production test is.
 */
import { falseRollbackRate } from "../src/control/rollouts/fault_threshold.ts";
import {
  firstTokenSigma,
  isFaulty,
  type RequestConditions,
  type ServiceModel,
} from "./rollout_model.ts";

export function createOracle(model: ServiceModel) {
  const thresholdLog = Math.log(1 / falseRollbackRate);
  let log = 0;
  let observableAtMs: number | undefined;
  return {
    addFirstToken,
    addOutcome,
    getObservableAtMs: () => observableAtMs,
  };

  function addFirstToken(
    run: RequestConditions,
    firstTokenMs: number,
    nowMs: number,
  ): void {
    if (!isFaulty(model.fault, run)) return;
    const shift = Math.log(model.fault!.slowFactor) / firstTokenSigma;
    if (shift === 0) return;
    const normalMs = 150 * (1 + run.batchSize / 16) * run.engineFactor;
    const deviation = Math.log(firstTokenMs / normalMs) / firstTokenSigma;
    addLogRatio(shift * deviation - shift ** 2 / 2, nowMs);
  }

  function addOutcome(
    run: RequestConditions,
    isFailure: boolean,
    nowMs: number,
  ): void {
    if (!isFaulty(model.fault, run)) return;
    const normalRatio = model.normalFailRatio;
    const faultyRatio = normalRatio + model.fault!.failRatio;
    addLogRatio(
      isFailure
        ? Math.log(faultyRatio / normalRatio)
        : Math.log((1 - faultyRatio) / (1 - normalRatio)),
      nowMs,
    );
  }

  function addLogRatio(change: number, nowMs: number): void {
    log += change;
    if (log >= thresholdLog) observableAtMs ??= nowMs;
  }
}
