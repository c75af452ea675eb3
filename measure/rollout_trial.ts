/**
 * Runs one seeded trial: drives the production rollout decisions with a model
 * of a service, its entry instances and the delays between them and control.
 */
import {
  getLatencyBin,
  getLoadBucket,
} from "../src/control/rollouts/evidence.ts";
import {
  applyRolloutEvent,
  createRolloutState,
  isDecided,
} from "../src/control/rollouts/rollout_machine.ts";
import {
  RollbackReason,
  RolloutEventKind,
  RolloutPhase,
  type RolloutState,
} from "../src/control/rollouts/rollout_types.ts";
import { createComparison } from "../src/control/rollouts/comparison_state.ts";
import { addEvidence } from "../src/control/rollouts/version_comparison.ts";
import { createCellCounter } from "../src/control/rollouts/cell_counter.ts";
import { createRandom, type Random } from "../src/core/random.ts";
import { createTrafficSplitter } from "../src/routing/traffic_splitter.ts";
import { createEngineFleet } from "./rollout_fleet.ts";
import {
  chooseRoute,
  createServiceModel,
  type FaultKind,
  getRequestsPerS,
  isFaulty,
  type RequestOutcome,
  type ServiceModel,
  simulateRequest,
} from "./rollout_model.ts";
import { createOracle } from "./rollout_oracle.ts";

export interface TrialOptions {
  readonly kind: FaultKind;
  readonly seed: number;
  /** Time from the start to the target date. Tests use a short one. */
  readonly windowMs?: number;
}

export interface TrialResult {
  readonly isRolledBack: boolean;
  readonly reason: string | undefined;
  readonly isDecidedAtTarget: boolean;
  /** Whether a request on the candidate met the fault. */
  readonly isFaultActive: boolean;
  readonly isDetected: boolean;
  readonly detectionDelayMs: number | undefined;
  /** Requests on the candidate since the first faulty one. */
  readonly badRequestCount: number;
  /** `badRequestCount` as a share of all requests since the rollout started. */
  readonly badShare: number;
  readonly shareSinceStart: number;
  /**
   * Requests on the candidate later than 3 s after the fault became observable,
   * which is when the same test detects it if it gets every outcome without
   * delay.
   */
  readonly lateRequestCount: number;
  /** As `lateRequestCount`, with that test at a tenth of the error rate. */
  readonly lateWhenCertainCount: number;
  /**
   * As `lateRequestCount`, for an oracle that knows the fault's distribution.
   */
  readonly lateForOracleCount: number;
}

const tickMs = 100;
const controlIntervalMs = 500;
const flushIntervalMs = 500;
/** A flush is late when the event loop is busy or the clock is skewed. */
const lateFlushRatio = 0.05;
const leaseMs = 2_000;
const certaintyFactor = 10;
const reactionLimitMs = 3_000;
/**
 * Part of the window that the trial continues after the target date, to cover
 * faults that appear after the ramp.
 */
const afterTargetRatio = 0.15;
const weightBytes = 30e9;
const weightStoreBytesPerS = 2e9;
/** The token gap is reported after this many tokens, not only at the end. */
const gapSampleTokenCount = 32;

interface InstanceModel {
  readonly cellCounter: ReturnType<typeof createCellCounter>;
  readonly controlDelayMs: number;
  isLate: boolean;
  share: number;
  leaseEndsAtMs: number;
}

export function runTrial(options: TrialOptions): TrialResult {
  const random = createRandom(options.seed);
  const model = createServiceModel(options.kind, random, options.windowMs);
  const state = createRolloutState({
    rolloutId: "trial",
    service: "model",
    stableVersion: "v1",
    candidateVersion: "v2",
    createdAtWallMs: 0,
    targetAtWallMs: model.windowMs,
    weightBytes,
    weightStoreBytesPerS,
    engineCount: model.engineCount,
  });
  return simulate(model, state, random);
}

function simulate(
  model: ServiceModel,
  state: RolloutState,
  random: Random,
): TrialResult {
  const fleet = createEngineFleet(model, random);
  const trafficSplitter = createTrafficSplitter(random);
  const instances = Array.from(
    { length: model.instanceCount },
    (): InstanceModel => ({
      cellCounter: createCellCounter(),
      controlDelayMs: 20 + 80 * random.next(),
      isLate: false,
      share: 0,
      leaseEndsAtMs: 0,
    }),
  );
  const idealComparison = createComparison(state.comparison.horizonMs);
  const idealCounter = createCellCounter();
  const controlCounter = createCellCounter();
  const oracle = createOracle(model);
  const scheduledActions = new Map<number, (() => void)[]>();
  // In some trials one instance is isolated from control for 20 s.
  const isolatedFromMs = random.next() * 2 * model.windowMs;
  const isolatedToMs = isolatedFromMs + 20_000;
  let totalCount = 0;
  let candidateCount = 0;
  let firstFaultyAtMs: number | undefined;
  let observableAtMs: number | undefined;
  let certainAtMs: number | undefined;
  let badRequestCount = 0;
  let lateRequestCount = 0;
  let lateWhenCertainCount = 0;
  let lateForOracleCount = 0;
  let rolledBackAtMs: number | undefined;
  let isDecidedAtTarget = false;
  const endMs = model.windowMs * (1 + afterTargetRatio);
  let nowMs = 0;
  for (; nowMs < endMs; nowMs += tickMs) {
    runScheduledActions();
    fleet.advance(nowMs, tickMs);
    if (nowMs % controlIntervalMs === 0) advanceControl();
    instances.forEach(flushInstance);
    simulateArrivals();
    if (nowMs === model.windowMs) isDecidedAtTarget = isDecided(state);
    if (
      rolledBackAtMs === undefined && state.phase === RolloutPhase.RolledBack
    ) {
      rolledBackAtMs = nowMs;
    }
    if (rolledBackAtMs !== undefined && nowMs > rolledBackAtMs + 8_000) break;
  }
  if (nowMs < model.windowMs) isDecidedAtTarget = isDecided(state);
  const isRolledBack = state.phase === RolloutPhase.RolledBack;
  return {
    isRolledBack,
    reason: state.reason,
    isDecidedAtTarget,
    isFaultActive: firstFaultyAtMs !== undefined,
    isDetected: state.reason === RollbackReason.Fault,
    detectionDelayMs:
      rolledBackAtMs === undefined || firstFaultyAtMs === undefined
        ? undefined
        : rolledBackAtMs - firstFaultyAtMs,
    badRequestCount,
    badShare: badRequestCount / totalCount,
    shareSinceStart: candidateCount / totalCount,
    lateRequestCount,
    lateWhenCertainCount,
    lateForOracleCount,
  };

  function schedule(atMs: number, action: () => void): void {
    const slot = Math.max(nowMs + tickMs, Math.ceil(atMs / tickMs) * tickMs);
    const actions = scheduledActions.get(slot);
    if (actions) actions.push(action);
    else scheduledActions.set(slot, [action]);
  }

  function runScheduledActions(): void {
    const actions = scheduledActions.get(nowMs) ?? [];
    scheduledActions.delete(nowMs);
    for (const action of actions) action();
  }

  function advanceControl(): void {
    const cells = controlCounter.takeCells();
    const crashes = fleet.collectCrashes();
    applyRolloutEvent(state, {
      kind: RolloutEventKind.EnginesReported,
      ...fleet.getCounts(),
      elapsedMs: controlIntervalMs,
    }, nowMs);
    applyRolloutEvent(state, {
      kind: RolloutEventKind.EvidenceReceived,
      cells,
      ...crashes,
    }, nowMs);
    for (
      const effect of applyRolloutEvent(
        state,
        { kind: RolloutEventKind.Ticked },
        nowMs,
      )
    ) {
      if (effect.kind === "setCandidateEngines") {
        fleet.setCandidateEngines(effect.engineCount, {
          nowMs,
          loadMs: state.plan.loadMsPerEngine,
        });
      }
    }
    if (model.fault && certainAtMs === undefined) {
      const { distanceLog } = addEvidence(
        idealComparison,
        idealCounter.takeCells(),
        { nowMs, testCount: 1 },
      );
      if (distanceLog <= 0) observableAtMs ??= nowMs;
      if (distanceLog <= -Math.log(certaintyFactor)) certainAtMs = nowMs;
    }
  }

  /** All instances flush at the same clock time, some of them a tick late. */
  function flushInstance(instance: InstanceModel, index: number): void {
    const sinceSlotMs = nowMs % flushIntervalMs;
    if (sinceSlotMs === 0) instance.isLate = random.next() < lateFlushRatio;
    if (sinceSlotMs !== (instance.isLate ? tickMs : 0)) return;
    if (index === 0 && nowMs >= isolatedFromMs && nowMs < isolatedToMs) return;
    const cells = instance.cellCounter.takeCells();
    schedule(nowMs + instance.controlDelayMs, () => {
      controlCounter.addCells(cells);
      const { share } = state;
      schedule(nowMs + instance.controlDelayMs, () => {
        instance.share = share;
        instance.leaseEndsAtMs = nowMs + leaseMs;
      });
    });
  }

  function simulateArrivals(): void {
    let remaining = getRequestsPerS(model, nowMs) * tickMs / 1_000;
    while (remaining > 0) {
      if (remaining >= 1 || random.next() < remaining) simulateArrival();
      remaining -= 1;
    }
  }

  function simulateArrival(): void {
    const index = random.nextInt(instances.length);
    const instance = instances[index]!;
    const route = chooseRoute(model, random);
    const share = nowMs < instance.leaseEndsAtMs ? instance.share : 0;
    totalCount += 1;
    const isCandidate = trafficSplitter.tryRouteToCandidate(
      `${index}:${route}`,
      share,
    );
    const engine = fleet.chooseEngine(isCandidate);
    if (!engine) return;
    const run = {
      isCandidate,
      route,
      batchSize: engine.inFlightCount,
      engineFactor: model.engineFactors[engine.index]!,
      nowMs,
    };
    if (isCandidate) countCandidateRequest(isFaulty(model.fault, run));
    const outcome = simulateRequest(model, run, random);
    const crashCount = engine.crashCount;
    engine.inFlightCount += 1;
    recordOutcome(instance, {
      ...run,
      loadBucket: getLoadBucket(run.batchSize),
    }, {
      outcome,
      isAlive: () => engine.crashCount === crashCount,
    });
    schedule(nowMs + outcome.durationMs, () => {
      if (engine.crashCount === crashCount) engine.inFlightCount -= 1;
    });
  }

  function countCandidateRequest(isFaultyRequest: boolean): void {
    candidateCount += 1;
    if (isFaultyRequest) firstFaultyAtMs ??= nowMs;
    if (firstFaultyAtMs !== undefined) badRequestCount += 1;
    if (isLateAfter(observableAtMs)) lateRequestCount += 1;
    if (isLateAfter(certainAtMs)) lateWhenCertainCount += 1;
    if (isLateAfter(oracle.getObservableAtMs())) lateForOracleCount += 1;
  }

  function isLateAfter(atMs: number | undefined): boolean {
    return atMs !== undefined && nowMs > atMs + reactionLimitMs;
  }

  function recordOutcome(
    instance: InstanceModel,
    key: {
      isCandidate: boolean;
      route: string;
      batchSize: number;
      engineFactor: number;
      nowMs: number;
      loadBucket: number;
    },
    { outcome, isAlive }: { outcome: RequestOutcome; isAlive: () => boolean },
  ): void {
    const { isFailure, firstTokenMs, tokenGapMs, durationMs } = outcome;
    const hasFirstToken = !isFailure || firstTokenMs < durationMs;
    const counters = model.fault
      ? [instance.cellCounter, idealCounter]
      : [instance.cellCounter];
    if (hasFirstToken) {
      schedule(nowMs + firstTokenMs, () => {
        if (!isAlive()) return;
        for (const counter of counters) {
          counter.addAttempt(key);
          counter.addFirstToken(key, getLatencyBin(firstTokenMs));
        }
        oracle.addFirstToken(key, firstTokenMs, nowMs);
      });
    }
    if (isFailure) {
      schedule(nowMs + durationMs, () => {
        if (!isAlive()) return;
        for (const counter of counters) {
          if (!hasFirstToken) counter.addAttempt(key);
          counter.addFailure(key);
        }
        oracle.addOutcome(key, true, nowMs);
      });
      return;
    }
    const gapKnownAfterMs = firstTokenMs + gapSampleTokenCount * tokenGapMs;
    schedule(nowMs + Math.min(gapKnownAfterMs, durationMs), () => {
      if (!isAlive()) return;
      for (const counter of counters) {
        counter.addTokenGap(key, getLatencyBin(tokenGapMs));
      }
      oracle.addOutcome(key, false, nowMs);
    });
  }
}
