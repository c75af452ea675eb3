/**
 * Schemas of the commands in the control log and of their results. A command
 * carries the time of its proposal, so that every replica applies it with the
 * same effect.
 */
import * as z from "zod";
import { configurationSchema } from "./configuration.ts";
import {
  moveOrderSchema,
  moveProgressSchema,
  versionMoveSchema,
} from "./moves/move_types.ts";
import { rolloutCommandSchema } from "./rollouts/rollout_commands.ts";
import {
  quarantineChangeSchema,
  quarantineRecordSchema,
} from "../quarantine/quarantine_types.ts";
import { pricesSchema, usageBatchSchema } from "../reports/usage.ts";
import { ticketNumberSchema } from "./ticket.ts";
import { ticketRecordSchema } from "./ticket_table.ts";

export enum CommandKind {
  Claim = "claim",
  SettleClaim = "settleClaim",
  SubmitTicket = "submitTicket",
  /** Reads pass through the log, so that a stale leader cannot serve them. */
  ReadTickets = "readTickets",
  Rollout = "rollout",
  ReadRollouts = "readRollouts",
  StartMove = "startMove",
  AdvanceMove = "advanceMove",
  ReadMove = "readMove",
  ChangeQuarantine = "changeQuarantine",
  ReadQuarantine = "readQuarantine",
  RecordUsage = "recordUsage",
  ReadBill = "readBill",
  ReadBurn = "readBurn",
}

const claimKeySchema = z.object({
  customerId: z.string().min(1).max(200),
  service: z.string().min(1).max(200),
  idempotencyKey: z.string().min(1).max(200),
});

export enum OutcomeKind {
  Answered = "answered",
  NotRun = "notRun",
}

export const storedResponseSchema = z.object({
  status: z.int().min(100).max(599),
  contentType: z.string().max(200),
  body: z.string().max(262_144),
});

const outcomeSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal(OutcomeKind.Answered),
    response: storedResponseSchema,
  }),
  z.object({ kind: z.literal(OutcomeKind.NotRun) }),
]);

export const commandSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal(CommandKind.Claim),
    key: claimKeySchema,
    bodySha256: z.string().length(64),
    /** Unique per claim, so that a retried claim gets the same reply. */
    claimId: z.string().min(1).max(200),
    atWallMs: z.number(),
  }),
  z.object({
    kind: z.literal(CommandKind.SettleClaim),
    key: claimKeySchema,
    claimId: z.string().min(1).max(200),
    outcome: outcomeSchema,
    atWallMs: z.number(),
  }),
  z.object({
    kind: z.literal(CommandKind.SubmitTicket),
    /**
     * Validated when it is applied, so that the check sees the replicated
     * state.
     */
    ticket: z.unknown(),
    /** Sent only after a reply that the log has no configuration yet. */
    initial: configurationSchema.optional(),
    atWallMs: z.number(),
  }),
  z.object({
    kind: z.literal(CommandKind.ReadTickets),
    /** Reads only this ticket; if absent, the newest below `beforeNumber`. */
    number: ticketNumberSchema.optional(),
    /** Reads only the ticket in force for this object, e.g. `limits.clinic`. */
    objectPath: z.string().max(500).optional(),
    beforeNumber: ticketNumberSchema.default(Number.MAX_SAFE_INTEGER),
    limit: z.int().min(1).max(1_000).default(100),
  }),
  z.object({
    kind: z.literal(CommandKind.Rollout),
    rollout: rolloutCommandSchema,
  }),
  z.object({ kind: z.literal(CommandKind.ReadRollouts) }),
  z.object({
    kind: z.literal(CommandKind.StartMove),
    order: moveOrderSchema,
  }),
  z.object({
    kind: z.literal(CommandKind.AdvanceMove),
    progress: moveProgressSchema,
  }),
  z.object({
    kind: z.literal(CommandKind.ReadMove),
    service: z.string().min(1).max(200),
  }),
  z.object({
    kind: z.literal(CommandKind.ChangeQuarantine),
    change: quarantineChangeSchema,
  }),
  z.object({ kind: z.literal(CommandKind.ReadQuarantine) }),
  z.object({
    kind: z.literal(CommandKind.RecordUsage),
    batch: usageBatchSchema,
  }),
  z.object({
    kind: z.literal(CommandKind.ReadBill),
    prices: pricesSchema,
    atWallMs: z.number(),
  }),
  z.object({
    kind: z.literal(CommandKind.ReadBurn),
    atWallMs: z.number(),
  }),
]);

export type ClaimKey = z.output<typeof claimKeySchema>;
export type StoredResponse = z.output<typeof storedResponseSchema>;
export type Outcome = z.output<typeof outcomeSchema>;
export type Command = z.output<typeof commandSchema>;
export type ClaimCommand = Extract<Command, { kind: CommandKind.Claim }>;
export type SettleCommand = Extract<Command, { kind: CommandKind.SettleClaim }>;

export type ReadTicketsCommand = Extract<
  Command,
  { kind: CommandKind.ReadTickets }
>;

export const readTicketsResultSchema = z.object({
  records: z.array(ticketRecordSchema),
});

/** `move` is absent if no move of the service has been ordered. */
export const readMoveResultSchema = z.object({
  move: versionMoveSchema.optional(),
});

export const changeQuarantineResultSchema = z.object({
  hasChanged: z.boolean(),
});

export const readQuarantineResultSchema = z.object({
  records: z.array(quarantineRecordSchema),
});

export enum ClaimStatus {
  /** The proposer may dispatch the call. */
  Granted = "granted",
  /** Another claim holds the key and has no answer yet. */
  Pending = "pending",
  Answered = "answered",
  /** The key was used with a different body. */
  KeyReused = "keyReused",
  /** The claim was settled as not run before it was applied. */
  Withdrawn = "withdrawn",
}

export const claimResultSchema = z.object({
  status: z.enum(ClaimStatus),
  response: storedResponseSchema.optional(),
});

export type ClaimResult = z.output<typeof claimResultSchema>;
