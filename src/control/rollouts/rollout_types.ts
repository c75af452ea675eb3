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
  /** Before the time at which the first load has to start. */
  Planned = "planned",
  Loading = "loading",
  Ramping = "ramping",
  /** Done and watched: the stable version can still serve. */
  Done = "done",
  /** Done, and the stable version is no longer kept. */
  Closed = "closed",
  RolledBack = "rolledBack",
}

export enum RollbackReason {
  Fault = "fault",
  /** One instance saw the fault in its own outcomes. */
  LocalFault = "localFault",
  InsufficientEvidence = "insufficientEvidence",
  EnginesNotLoaded = "enginesNotLoaded",
  TargetTooClose = "targetTooClose",
  Cancelled = "cancelled",
}

export interface RolloutStep {
  readonly share: number;
  /** Engines that need the candidate for this share. */
  readonly engineCount: number;
  readonly loadFromWallMs: number;
  /** Planned time at which the whole share is reached. */
  readonly fromWallMs: number;
  /** Least time at the whole share. */
  readonly minDurationMs: number;
}

export interface RolloutPlan {
  readonly isFeasible: boolean;
  readonly loadMsPerEngine: number;
  readonly steps: readonly RolloutStep[];
  /** A decision is due at this time, shortly before the target date. */
  readonly decideAtWallMs: number;
  /** Until then a fault still rolls back. */
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
  /** Since when the share is that of the step. */
  fullShareAtWallMs: number | undefined;
  /** No requests go to the candidate before this time. */
  heldUntilWallMs: number;
  nextHoldAtWallMs: number;
  loadedEngineCount: number;
  reason: RollbackReason | undefined;
  /** The findings and gaps in the evidence the decision rested on. */
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
    /** Time since the previous report, for crash rates. */
    readonly elapsedMs: number;
  }
  | {
    readonly kind: RolloutEventKind.LocalFaultReported;
    readonly finding: Finding;
  }
  | { readonly kind: RolloutEventKind.Cancelled };

export enum RolloutEffectKind {
  /** Engines that should have the candidate from now on. */
  SetCandidateEngines = "setCandidateEngines",
  SetShare = "setShare",
  /** The service's stable version becomes the candidate. */
  Completed = "completed",
  RolledBack = "rolledBack",
  /** The old version is no longer needed anywhere. */
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
