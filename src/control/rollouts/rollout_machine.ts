/**
 * State machine of a rollout: maps a state, an event and the current time to
 * effects.
 *
 * `applyRolloutEvent` changes the given state, performs no I/O and reads no
 * clock, because all replicas of the control log apply the same events with the
 * same times. `getDesiredRollout` derives from the state what the effects
 * announced, so that a new leader needs no record of earlier effects.
 */
import { assertNever } from "../../core/assert_never.ts";
import { planRollout } from "./rollout_plan.ts";
import {
  RollbackReason,
  type RolloutEffect,
  RolloutEffectKind,
  type RolloutEvent,
  RolloutEventKind,
  RolloutPhase,
  type RolloutSpec,
  type RolloutState,
} from "./rollout_types.ts";
import { createComparison } from "./comparison_state.ts";
import {
  getMissingEvidence,
  resetAcceptanceEvidence,
} from "./acceptance_evidence.ts";
import {
  addCrashes,
  addEngineTime,
  addEvidence,
} from "./version_comparison.ts";

const holdDistanceLog = 2;
const holdDurationMs = 6_000;
/** Candidate traffic must flow between holds, otherwise no evidence arrives. */
const holdIntervalMs = 20_000;

export function createRolloutState(spec: RolloutSpec): RolloutState {
  const plan = planRollout(spec);
  return {
    spec,
    plan,
    phase: RolloutPhase.Planned,
    stepIndex: 0,
    share: 0,
    fullShareAtWallMs: undefined,
    heldUntilWallMs: 0,
    nextHoldAtWallMs: 0,
    loadedEngineCount: 0,
    reason: undefined,
    finding: undefined,
    missingEvidence: [],
    history: [{
      phase: RolloutPhase.Planned,
      stepIndex: 0,
      atWallMs: spec.createdAtWallMs,
    }],
    comparison: createComparison(
      Math.max(1, plan.watchUntilWallMs - plan.steps[0]!.fromWallMs),
    ),
  };
}

export function applyRolloutEvent(
  state: RolloutState,
  event: RolloutEvent,
  nowMs: number,
): RolloutEffect[] {
  const effects: RolloutEffect[] = [];
  if (isTerminal(state)) return effects;
  switch (event.kind) {
    case RolloutEventKind.Ticked:
      break;
    case RolloutEventKind.EvidenceReceived:
      receiveEvidence(state, event, { effects, nowMs });
      break;
    case RolloutEventKind.EnginesReported:
      state.loadedEngineCount = event.candidateEngineCount;
      addEngineTime(state.comparison, {
        stableEngineMs: event.stableEngineCount * event.elapsedMs,
        candidateEngineMs: event.candidateEngineCount * event.elapsedMs,
      });
      break;
    case RolloutEventKind.LocalFaultReported:
      state.finding = event.finding;
      rollBack(state, RollbackReason.LocalFault, { effects, nowMs });
      break;
    case RolloutEventKind.Cancelled:
      // A completed rollout is reverted by a rollout of the previous version.
      if (state.phase !== RolloutPhase.Done) {
        rollBack(state, RollbackReason.Cancelled, { effects, nowMs });
      }
      break;
    default:
      assertNever(event);
  }
  advanceRollout(state, { effects, nowMs });
  return effects;
}

export interface DesiredRollout {
  readonly share: number;
  readonly candidateEngineCount: number;
  /** Whether engines keep the stable version in addition to the candidate. */
  readonly isStableNeeded: boolean;
}

export function getDesiredRollout(state: RolloutState): DesiredRollout {
  const { spec, phase, share } = state;
  switch (phase) {
    case RolloutPhase.Planned:
    case RolloutPhase.RolledBack:
      return { share, candidateEngineCount: 0, isStableNeeded: true };
    case RolloutPhase.Loading:
    case RolloutPhase.Ramping:
    case RolloutPhase.Done:
      return {
        share,
        candidateEngineCount: getTargetEngineCount(state),
        isStableNeeded: true,
      };
    case RolloutPhase.Closed:
      return {
        share,
        candidateEngineCount: spec.engineCount,
        isStableNeeded: false,
      };
    default:
      return assertNever(phase);
  }
}

export function isDecided(state: RolloutState): boolean {
  return isTerminal(state) || state.phase === RolloutPhase.Done;
}

function isTerminal({ phase }: RolloutState): boolean {
  return phase === RolloutPhase.RolledBack || phase === RolloutPhase.Closed;
}

interface EventContext {
  readonly effects: RolloutEffect[];
  readonly nowMs: number;
}

function receiveEvidence(
  state: RolloutState,
  event: Extract<RolloutEvent, { kind: RolloutEventKind.EvidenceReceived }>,
  context: EventContext,
): void {
  addCrashes(state.comparison, event);
  const { finding, distanceLog } = addEvidence(
    state.comparison,
    event.cells,
    { nowMs: context.nowMs, testCount: 1 },
  );
  if (!finding) {
    holdNearThreshold(state, distanceLog, context);
    return;
  }
  state.finding = finding;
  rollBack(state, RollbackReason.Fault, context);
}

/**
 * Holds candidate traffic when a statistic is near its threshold. The outcomes
 * of the requests in flight decide most cases, so they are awaited before more
 * requests are sent.
 */
function holdNearThreshold(
  state: RolloutState,
  distanceLog: number,
  { nowMs }: EventContext,
): void {
  if (distanceLog > holdDistanceLog || nowMs < state.nextHoldAtWallMs) {
    return;
  }
  state.heldUntilWallMs = nowMs + holdDurationMs;
  state.nextHoldAtWallMs = nowMs + holdIntervalMs;
}

/** Advances the rollout as far as the time and the evidence allow. */
function advanceRollout(state: RolloutState, context: EventContext): void {
  const { plan } = state;
  const { effects, nowMs } = context;
  if (isTerminal(state)) return;
  if (state.phase === RolloutPhase.Done) {
    if (nowMs < plan.watchUntilWallMs) {
      emitCandidateEngineCount(state, context);
      return;
    }
    setPhase(state, RolloutPhase.Closed, nowMs);
    effects.push({ kind: RolloutEffectKind.ReleaseStable });
    return;
  }
  if (!plan.isFeasible) {
    rollBack(state, RollbackReason.TargetTooClose, context);
    return;
  }
  if (nowMs >= plan.decideAtWallMs) {
    decideAtTargetDate(state, context);
    return;
  }
  if (
    state.phase === RolloutPhase.Planned &&
    nowMs >= plan.steps[0]!.loadFromWallMs
  ) {
    setPhase(state, RolloutPhase.Loading, nowMs);
  }
  if (
    state.phase === RolloutPhase.Loading &&
    nowMs >= plan.steps[0]!.fromWallMs && state.loadedEngineCount > 0
  ) {
    startStep(state, 0, context);
  } else if (
    state.phase === RolloutPhase.Ramping && canStartNextStep(state, nowMs)
  ) {
    startStep(state, state.stepIndex + 1, context);
  }
  updateShare(state, context);
  emitCandidateEngineCount(state, context);
}

function canStartNextStep(state: RolloutState, nowMs: number): boolean {
  const { plan, stepIndex, fullShareAtWallMs } = state;
  const next = plan.steps[stepIndex + 1];
  return next !== undefined && fullShareAtWallMs !== undefined &&
    nowMs >= next.loadFromWallMs &&
    nowMs - fullShareAtWallMs >= plan.steps[stepIndex]!.minDurationMs &&
    getMissingEvidence(state.comparison).length === 0;
}

function startStep(
  state: RolloutState,
  index: number,
  context: EventContext,
): void {
  state.stepIndex = index;
  state.fullShareAtWallMs = undefined;
  setPhase(state, RolloutPhase.Ramping, context.nowMs);
}

/**
 * The share grows with the number of engines that have the candidate, so that
 * candidate and stable engines run at comparable load.
 */
function updateShare(
  state: RolloutState,
  { effects, nowMs }: EventContext,
): void {
  if (state.phase !== RolloutPhase.Ramping) return;
  const step = state.plan.steps[state.stepIndex]!;
  const share = nowMs < state.heldUntilWallMs ? 0 : Math.min(
    step.share,
    state.loadedEngineCount / state.spec.engineCount,
  );
  if (share !== state.share) {
    state.share = share;
    effects.push({ kind: RolloutEffectKind.SetShare, share });
  }
  if (share === step.share && state.fullShareAtWallMs === undefined) {
    state.fullShareAtWallMs = nowMs;
    resetAcceptanceEvidence(state.comparison);
  }
}

/** Completes the rollout at the target date or rolls it back. */
function decideAtTargetDate(state: RolloutState, context: EventContext): void {
  const { plan, stepIndex } = state;
  const { effects, nowMs } = context;
  if (state.phase !== RolloutPhase.Ramping) {
    rollBack(state, RollbackReason.EnginesNotLoaded, context);
    return;
  }
  const missingReasons = getMissingEvidence(state.comparison);
  const step = plan.steps[stepIndex]!;
  const stepMs = state.fullShareAtWallMs === undefined
    ? 0
    : nowMs - state.fullShareAtWallMs;
  if (stepIndex < plan.steps.length - 1) {
    missingReasons.push(
      `the ramp has reached step ${stepIndex + 1} of ${plan.steps.length}`,
    );
  } else if (stepMs < step.minDurationMs) {
    missingReasons.push(
      `the soak has lasted ${Math.round(stepMs / 1_000)} s of at least ` +
        `${Math.round(step.minDurationMs / 1_000)} s`,
    );
  }
  state.missingEvidence = missingReasons;
  if (missingReasons.length > 0) {
    const isEngineShortage = state.fullShareAtWallMs === undefined;
    rollBack(
      state,
      isEngineShortage
        ? RollbackReason.EnginesNotLoaded
        : RollbackReason.InsufficientEvidence,
      context,
    );
    return;
  }
  setPhase(state, RolloutPhase.Done, nowMs);
  state.share = 1;
  effects.push({ kind: RolloutEffectKind.SetShare, share: 1 });
  effects.push({ kind: RolloutEffectKind.Completed });
}

function rollBack(
  state: RolloutState,
  reason: RollbackReason,
  { effects, nowMs }: EventContext,
): void {
  state.reason = reason;
  state.share = 0;
  setPhase(state, RolloutPhase.RolledBack, nowMs);
  effects.push({ kind: RolloutEffectKind.SetShare, share: 0 });
  effects.push({ kind: RolloutEffectKind.RolledBack, reason });
  effects.push({ kind: RolloutEffectKind.SetCandidateEngines, engineCount: 0 });
}

function emitCandidateEngineCount(
  state: RolloutState,
  { effects }: EventContext,
): void {
  if (isTerminal(state) || state.phase === RolloutPhase.Planned) return;
  const engineCount = getTargetEngineCount(state);
  if (engineCount === state.loadedEngineCount) return;
  effects.push({ kind: RolloutEffectKind.SetCandidateEngines, engineCount });
}

/**
 * Candidate engines are added one at a time: the next load starts when the
 * previous one is reported, so that the weight store serves one load at a time
 * and the other engines keep serving requests.
 */
function getTargetEngineCount(state: RolloutState): number {
  const limit = state.phase === RolloutPhase.Done
    ? state.spec.engineCount
    : state.plan.steps[state.stepIndex]!.engineCount;
  return Math.min(limit, state.loadedEngineCount + 1);
}

function setPhase(
  state: RolloutState,
  phase: RolloutPhase,
  nowMs: number,
): void {
  state.phase = phase;
  state.history.push({ phase, stepIndex: state.stepIndex, atWallMs: nowMs });
}
