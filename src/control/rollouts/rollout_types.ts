/**
 * State, events and effects of one version rollout.
 */
import type { EvidenceCell } from "./evidence.ts";
import type { Comparison, Finding } from "./comparison_state.ts";

export interface RolloutSpec {
  readonly rolloutId: string;
  readonly service: string;
  readonly stableVersion: string;
  readonly candidateVersion: string;
  readonly createdAtWallMs: number;
  readonly targetAtWallMs: number;
  /** Size of the weights of the candidate. */
  readonly weightBytes: number;
  readonly weightStoreBytesPerS: number;
  readonly engineCount: number;
}

export enum RolloutPhase {
  /** The first load does not have to start yet. */
  Planned = "planned",
  Loading = "loading",
  Ramping = "ramping",
  /**
   * The candidate serves all requests and is still watched. The stable version
   * is kept and can serve again.
   */
  Done = "done",
  /** Done and no longer watched; the stable version is no longer kept. */
  Closed = "closed",
  RolledBack = "rolledBack",
}

export enum RollbackReason {
  Fault = "fault",
  /** One instance detected the fault in its own outcomes. */
  LocalFault = "localFault",
  InsufficientEvidence = "insufficientEvidence",
  EnginesNotLoaded = "enginesNotLoaded",
  TargetTooClose = "targetTooClose",
  Cancelled = "cancelled",
}

export interface RolloutStep {
  readonly share: number;
  /** Number of engines that need the candidate for this share. */
  readonly engineCount: number;
  readonly loadFromWallMs: number;
  /** Planned time at which the full share is reached. */
  readonly fromWallMs: number;
  /** Minimum time at the full share. */
  readonly minDurationMs: number;
}

export interface RolloutPlan {
  readonly isFeasible: boolean;
  readonly loadMsPerEngine: number;
  readonly steps: readonly RolloutStep[];
  /** A decision is due at this time, shortly before the target date. */
  readonly decideAtWallMs: number;
  /** A fault rolls the rollout back until this time. */
  readonly watchUntilWallMs: number;
}

export interface PhaseChange {
  readonly phase: RolloutPhase;
  readonly stepIndex: number;
  readonly atWallMs: number;
}

export interface RolloutState {
  readonly spec: RolloutSpec;
  readonly plan: RolloutPlan;
  phase: RolloutPhase;
  stepIndex: number;
  /** Share of requests that may go to the candidate. */
  share: number;
  /** Time at which the full share of the step was reached. */
  fullShareAtWallMs: number | undefined;
  /** No requests go to the candidate before this time. */
  heldUntilWallMs: number;
  nextHoldAtWallMs: number;
  loadedEngineCount: number;
  reason: RollbackReason | undefined;
  /** The finding and the missing evidence on which the decision was based. */
  finding: Finding | undefined;
  missingEvidence: readonly string[];
  readonly history: PhaseChange[];
  readonly comparison: Comparison;
}

export enum RolloutEventKind {
  Ticked = "ticked",
  EvidenceReceived = "evidenceReceived",
  EnginesReported = "enginesReported",
  LocalFaultReported = "localFaultReported",
  Cancelled = "cancelled",
}

export type RolloutEvent =
  | { readonly kind: RolloutEventKind.Ticked }
  | {
    readonly kind: RolloutEventKind.EvidenceReceived;
    readonly cells: readonly EvidenceCell[];
    readonly stableCrashCount: number;
    readonly candidateCrashCount: number;
  }
  | {
    readonly kind: RolloutEventKind.EnginesReported;
    readonly stableEngineCount: number;
    readonly candidateEngineCount: number;
    /** Time since the previous report, used for crash rates. */
    readonly elapsedMs: number;
  }
  | {
    readonly kind: RolloutEventKind.LocalFaultReported;
    readonly finding: Finding;
  }
  | { readonly kind: RolloutEventKind.Cancelled };

export enum RolloutEffectKind {
  /** Sets the number of engines that should have the candidate. */
  SetCandidateEngines = "setCandidateEngines",
  SetShare = "setShare",
  /** The candidate becomes the service's stable version. */
  Completed = "completed",
  RolledBack = "rolledBack",
  /** The previous stable version is no longer needed on any engine. */
  ReleaseStable = "releaseStable",
}

export type RolloutEffect =
  | {
    readonly kind: RolloutEffectKind.SetCandidateEngines;
    readonly engineCount: number;
  }
  | { readonly kind: RolloutEffectKind.SetShare; readonly share: number }
  | { readonly kind: RolloutEffectKind.Completed }
  | {
    readonly kind: RolloutEffectKind.RolledBack;
    readonly reason: RollbackReason;
  }
  | { readonly kind: RolloutEffectKind.ReleaseStable };
