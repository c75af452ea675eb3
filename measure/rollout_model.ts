/**
 * Models a service with a stable and a candidate version: traffic, engines,
 * normal variation, crashes and the faults of a bad candidate.
 */
import type { Random } from "../src/core/random.ts";

export enum FaultKind {
  None = "none",
  AtOnce = "atOnce",
  Late = "late",
  UnderLoad = "underLoad",
  OneRoute = "oneRoute",
  SlowOnly = "slowOnly",
  FailingOnly = "failingOnly",
}

export interface Fault {
  readonly fromMs: number;
  readonly failRatio: number;
  readonly slowFactor: number;
  /** Batch size from which the fault appears. */
  readonly minBatch: number;
  /** Route on which the fault appears, empty for all routes. */
  readonly route: string;
}

export interface Route {
  readonly name: string;
  readonly share: number;
}

export interface ServiceModel {
  readonly engineCount: number;
  readonly instanceCount: number;
  readonly windowMs: number;
  readonly baseRequestsPerS: number;
  readonly periodMs: number;
  readonly phase: number;
  readonly routes: readonly Route[];
  readonly normalFailRatio: number;
  /** Duration factor of each engine. */
  readonly engineFactors: readonly number[];
  readonly meanCrashIntervalMs: number;
  readonly fault: Fault | undefined;
}

export interface RequestOutcome {
  readonly isFailure: boolean;
  readonly firstTokenMs: number;
  readonly tokenGapMs: number;
  /** Time from the start to the failure or the last token. */
  readonly durationMs: number;
}

export function createServiceModel(
  kind: FaultKind,
  random: Random,
  windowMs = 40 * 60_000,
): ServiceModel {
  const baseRequestsPerS = 25 + 20 * random.next();
  return {
    engineCount: 17,
    instanceCount: 6,
    windowMs,
    baseRequestsPerS,
    periodMs: (8 + 8 * random.next()) * 60_000,
    phase: random.next() * 2 * Math.PI,
    routes: [
      { name: "manuals", share: 0.55 },
      { name: "reviews", share: 0.3 },
      { name: "letters", share: 0.15 },
    ],
    normalFailRatio: 0.002 + 0.018 * random.next(),
    engineFactors: Array.from(
      { length: 17 },
      () => Math.exp(0.04 * sampleNormal(random)),
    ),
    meanCrashIntervalMs: 15 * 60_000,
    fault: createFault(kind, { windowMs, baseRequestsPerS }, random),
  };
}

function createFault(
  kind: FaultKind,
  { windowMs, baseRequestsPerS }: {
    windowMs: number;
    baseRequestsPerS: number;
  },
  random: Random,
): Fault | undefined {
  const failRatio = 0.2 + 0.6 * random.next();
  const slowFactor = 1.6 + 1.4 * random.next();
  const isSlow = random.next() < 0.5;
  const symptom = isSlow ? { failRatio: 0, slowFactor } : {
    failRatio,
    slowFactor: 1,
  };
  const base = { ...symptom, fromMs: 0, minBatch: 0, route: "" };
  switch (kind) {
    case FaultKind.None:
      return undefined;
    case FaultKind.AtOnce:
      return base;
    case FaultKind.Late:
      return { ...base, fromMs: (0.2 + 0.85 * random.next()) * windowMs };
    case FaultKind.UnderLoad:
      return {
        ...base,
        // A quarter above the mean batch size, at 6.5 s for a request.
        minBatch: Math.round(baseRequestsPerS / 17 * 6.5 * 1.25),
      };
    case FaultKind.OneRoute:
      return {
        ...base,
        route: ["manuals", "reviews", "letters"][random.nextInt(3)]!,
      };
    case FaultKind.SlowOnly:
      return { ...base, failRatio: 0, slowFactor };
    case FaultKind.FailingOnly:
      return { ...base, failRatio, slowFactor: 1 };
  }
}

export function getRequestsPerS(model: ServiceModel, nowMs: number): number {
  const angle = 2 * Math.PI * nowMs / model.periodMs + model.phase;
  return model.baseRequestsPerS * (1 + 0.5 * Math.sin(angle));
}

export function chooseRoute(model: ServiceModel, random: Random): string {
  let rest = random.next();
  for (const { name, share } of model.routes) {
    rest -= share;
    if (rest < 0) return name;
  }
  return model.routes[0]!.name;
}

export interface RequestConditions {
  readonly isCandidate: boolean;
  readonly route: string;
  readonly batchSize: number;
  readonly engineFactor: number;
  readonly nowMs: number;
}

export function isFaulty(
  fault: Fault | undefined,
  run: RequestConditions,
): boolean {
  return fault !== undefined && run.isCandidate && run.nowMs >= fault.fromMs &&
    run.batchSize >= fault.minBatch &&
    (fault.route === "" || fault.route === run.route);
}

export const firstTokenSigma = 0.35;
const tokenGapSigma = 0.12;

export function simulateRequest(
  model: ServiceModel,
  run: RequestConditions,
  random: Random,
): RequestOutcome {
  const isBad = isFaulty(model.fault, run);
  const slowFactor = isBad ? model.fault!.slowFactor : 1;
  const extraFailRatio = isBad ? model.fault!.failRatio : 0;
  const factor = run.engineFactor * slowFactor;
  const firstTokenMs = 150 * (1 + run.batchSize / 16) * factor *
    Math.exp(firstTokenSigma * sampleNormal(random));
  const tokenGapMs = 20 * (1 + run.batchSize / 32) * factor *
    Math.exp(tokenGapSigma * sampleNormal(random));
  const tokenCount = 20 + Math.floor(-180 * Math.log(1 - random.next()));
  const fullDurationMs = firstTokenMs + tokenCount * tokenGapMs;
  const isFailure = random.next() < model.normalFailRatio + extraFailRatio;
  return {
    isFailure,
    firstTokenMs,
    tokenGapMs,
    durationMs: isFailure
      ? random.next() ** 2 * fullDurationMs
      : fullDurationMs,
  };
}

export function sampleNormal(random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random.next())) *
    Math.cos(2 * Math.PI * random.next());
}
