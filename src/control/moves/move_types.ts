/**
 * Types of version moves. A version move is an operator's order to move the
 * traffic of a service to upstreams of another version within seconds. It is
 * independent of version rollouts by ticket, which load model weights and take
 * hours.
 */
import * as z from "zod";

export enum MovePhase {
  /** A small share of the requests goes to the target. */
  Watching = "watching",
  /**
   * New requests go to the target; the stable versions finish their running
   * ones.
   */
  Moving = "moving",
  Complete = "complete",
  RolledBack = "rolledBack",
}

/** The oldest ones are forgotten; their upstreams have left long before. */
export const maxRejectedVersions = 100;

const nameSchema = z.string().min(1).max(200);
const versionSchema = z.string().max(200);
const durationMsSchema = z.number().positive().max(86_400_000);
/** Share of a service's requests that may go to the target. */
const shareSchema = z.number().min(0).max(1);

export const moveOrderSchema = z.object({
  service: nameSchema,
  target: versionSchema,
  /** Versions in use at the time of the order. */
  stableVersions: z.array(versionSchema).max(100),
  durationMs: durationMsSchema,
  /**
   * Number of the service's newest move when the order was read, or 0. Absent
   * in entries of versions that did not number moves.
   */
  afterNumber: z.int().min(0).optional(),
});

export const moveProgressSchema = z.object({
  service: nameSchema,
  target: versionSchema,
  /** Absent in entries of versions that did not number moves. */
  number: z.int().min(1).optional(),
  phase: z.enum(MovePhase),
  share: shareSchema,
  /** Time since the order, excluding the time without a control leader. */
  elapsedMs: z.number().min(0),
  reason: z.string().max(500),
});

export const versionMoveSchema = z.object({
  ...moveOrderSchema.omit({ afterNumber: true }).shape,
  ...moveProgressSchema.shape,
  /** Counts the moves of the service, from 1. */
  number: z.int().min(1).default(1),
  /**
   * Versions that were rolled back and not ordered again since. Their upstreams
   * may still be listed.
   */
  rejectedVersions: z.array(versionSchema).max(maxRejectedVersions).default([]),
});

export type MoveOrder = z.output<typeof moveOrderSchema>;
export type MoveProgress = z.output<typeof moveProgressSchema>;
export type VersionMove = z.output<typeof versionMoveSchema>;

export const startMoveResultSchema = z.object({
  status: z.enum([
    "started",
    /** The same move was ordered before. */
    "repeated",
    /** Another move of the service is still running. */
    "conflict",
    /** Another move was started since the order was read. */
    "overtaken",
  ]),
});

export type StartMoveResult = z.output<typeof startMoveResultSchema>;

export type RunningPhase = MovePhase.Watching | MovePhase.Moving;

export function isRunning<T extends { readonly phase: MovePhase }>(
  move: T,
): move is T & { readonly phase: RunningPhase } {
  return move.phase === MovePhase.Watching || move.phase === MovePhase.Moving;
}
