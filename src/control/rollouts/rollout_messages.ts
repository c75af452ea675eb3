/**
 * Messages between instances and the control leader about rollouts: instances
 * send evidence and faults, and receive traffic leases.
 */
import * as z from "zod";
import { findingSchema, rolloutBatchSchema } from "./rollout_commands.ts";

const idSchema = z.string().min(1).max(200);

export const syncRolloutsSchema = z.object({
  batches: z.array(z.object({
    rolloutId: idSchema,
    batch: rolloutBatchSchema,
  })).max(64),
  faults: z.array(z.object({
    rolloutId: idSchema,
    instanceId: idSchema,
    finding: findingSchema,
  })).max(64),
});

export const trafficGrantSchema = z.object({
  rolloutId: idSchema,
  service: idSchema,
  stableVersion: idSchema,
  candidateVersion: idSchema,
  share: z.number().min(0).max(1),
  candidateEngineIds: z.array(idSchema).max(10_000),
  /** Whether instances collect evidence. */
  isWatched: z.boolean(),
  /** Rolled back: no answer may be resumed on the candidate. */
  isWithdrawn: z.boolean(),
  /** False once the candidate has replaced the stable version. */
  isStableNeeded: z.boolean(),
  /** Parameters of the instance's own fault test. */
  horizonMs: z.number().positive(),
  instanceCount: z.int().min(1),
  validForMs: z.int().min(0),
});

export const syncRolloutsReplySchema = z.object({
  isLeader: z.boolean(),
  leaderId: z.string().max(200),
  grants: z.array(trafficGrantSchema).max(1_000),
});

export type SyncRollouts = z.output<typeof syncRolloutsSchema>;
export type SyncRolloutsReply = z.output<typeof syncRolloutsReplySchema>;
export type TrafficGrant = z.output<typeof trafficGrantSchema>;
