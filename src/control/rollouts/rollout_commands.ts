/**
 * Commands of the control log for version rollouts, and their results.
 *
 * A command of `commands.ts` carries a command of `rolloutCommandSchema`, and
 * `state_machine.ts` passes it to a `RolloutTable`.
 */
import * as z from "zod";
import { Metric } from "./comparison_state.ts";
import { evidenceCellSchema } from "./evidence.ts";

export enum RolloutCommandKind {
  Start = "startRollout",
  RecordEvidence = "recordRolloutEvidence",
  ReportEngines = "reportRolloutEngines",
  ReportLocalFault = "reportRolloutFault",
  Tick = "tickRollouts",
  Cancel = "cancelRollout",
}

const idSchema = z.string().min(1).max(200);
const wallMsSchema = z.number().min(0);

export const rolloutSpecSchema = z.object({
  rolloutId: idSchema,
  service: idSchema,
  stableVersion: idSchema,
  candidateVersion: idSchema,
  createdAtWallMs: wallMsSchema,
  targetAtWallMs: wallMsSchema,
  weightBytes: z.number().positive(),
  weightStoreBytesPerS: z.number().positive(),
  engineCount: z.int().min(1).max(10_000),
});

export const findingSchema = z.object({
  scope: z.string().max(200),
  metric: z.enum(Metric),
  candidateCount: z.number(),
  candidateBadCount: z.number(),
  normalBadCount: z.number(),
  statisticLog: z.number(),
  thresholdLog: z.number(),
});

/** Identifies a merged batch, so that no batch is counted twice. */
export const batchIdSchema = z.object({
  instanceId: idSchema,
  incarnation: z.number(),
  batchNumber: z.int().min(1),
});

/** Evidence of one instance since its previous batch. */
export const rolloutBatchSchema = z.object({
  ...batchIdSchema.shape,
  cells: z.array(evidenceCellSchema).max(2_000),
  crashedEngines: z.array(z.object({
    upstreamId: idSchema,
    isCandidate: z.boolean(),
  })).max(1_000),
});

export const rolloutCommandSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal(RolloutCommandKind.Start),
    spec: rolloutSpecSchema,
  }),
  z.object({
    kind: z.literal(RolloutCommandKind.RecordEvidence),
    rolloutId: idSchema,
    batches: z.array(rolloutBatchSchema).max(1_000),
    atWallMs: wallMsSchema,
  }),
  z.object({
    kind: z.literal(RolloutCommandKind.ReportEngines),
    rolloutId: idSchema,
    stableEngineIds: z.array(idSchema).max(10_000),
    candidateEngineIds: z.array(idSchema).max(10_000),
    atWallMs: wallMsSchema,
  }),
  z.object({
    kind: z.literal(RolloutCommandKind.ReportLocalFault),
    rolloutId: idSchema,
    instanceId: idSchema,
    finding: findingSchema,
    atWallMs: wallMsSchema,
  }),
  z.object({
    kind: z.literal(RolloutCommandKind.Tick),
    atWallMs: wallMsSchema,
  }),
  z.object({
    kind: z.literal(RolloutCommandKind.Cancel),
    rolloutId: idSchema,
    atWallMs: wallMsSchema,
  }),
]);

export type RolloutBatch = z.output<typeof rolloutBatchSchema>;
export type RolloutCommand = z.output<typeof rolloutCommandSchema>;

export enum RolloutCommandStatus {
  Applied = "applied",
  /** The same rollout already exists. */
  Repeated = "repeated",
  /** Another rollout of the service is not finished. */
  Conflict = "conflict",
  Unknown = "unknown",
}

export interface RolloutCommandResult {
  readonly status: RolloutCommandStatus;
  /** Rollouts that were started, or whose phase, step or share changed. */
  readonly changedRolloutIds: readonly string[];
}
