/**
 * Messages between the replicas of the control log.
 *
 * Messages are one-way: a reply is a separate message, so a replica can reply
 * after its next sync to disk. `toId` is empty in a `hello`, whose sender does
 * not know the identity of the receiver's data folder yet.
 */
import * as z from "zod";

const replicaIdSchema = z.string().min(1).max(200);
const indexSchema = z.int().min(0);
// Received bytes are views of a whole frame; a copy allows freeing the frame.
const bytesSchema = z.instanceof(Uint8Array)
  .transform((bytes): Uint8Array => new Uint8Array(bytes));

export enum EntryKind {
  /** Appended by a new leader, which can commit only entries of its term. */
  Noop = "noop",
  Command = "command",
  Configuration = "configuration",
}

export const logConfigurationSchema = z.object({
  voters: z.array(replicaIdSchema).max(32),
  learners: z.array(replicaIdSchema).max(32),
});

export const entrySchema = z.object({
  index: indexSchema,
  term: indexSchema,
  kind: z.enum(EntryKind),
  /** The encoded command; empty for other kinds. */
  data: bytesSchema,
  configuration: logConfigurationSchema.nullable(),
});

/** How long members have been silent, as the sender knows. */
const silencesSchema = z.array(z.object({
  replicaId: replicaIdSchema,
  silentMs: z.number().min(0),
})).max(64).default([]);

export enum LogMessageKind {
  Hello = "hello",
  HelloReply = "helloReply",
  VoteRequest = "voteRequest",
  VoteReply = "voteReply",
  Append = "append",
  AppendReply = "appendReply",
  Snapshot = "snapshot",
  SnapshotReply = "snapshotReply",
}

const messageSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal(LogMessageKind.Hello),
    founderIds: z.array(z.string().max(200)).max(16),
  }),
  z.object({
    kind: z.literal(LogMessageKind.HelloReply),
    /** The sender was never part of a group and has the same `founderIds`. */
    isFresh: z.boolean(),
  }),
  z.object({
    kind: z.literal(LogMessageKind.VoteRequest),
    isPreVote: z.boolean(),
    term: indexSchema,
    lastIndex: indexSchema,
    lastTerm: indexSchema,
  }),
  z.object({
    kind: z.literal(LogMessageKind.VoteReply),
    isPreVote: z.boolean(),
    term: indexSchema,
    isGranted: z.boolean(),
    memberSilences: silencesSchema,
  }),
  z.object({
    kind: z.literal(LogMessageKind.Append),
    term: indexSchema,
    prevIndex: indexSchema,
    prevTerm: indexSchema,
    entries: z.array(entrySchema).max(100_000),
    commitIndex: indexSchema,
    /** Monotonic time of the leader, returned in the reply for its lease. */
    sentAtMs: z.number(),
    /** Only in heartbeats. */
    memberSilences: silencesSchema,
  }),
  z.object({
    kind: z.literal(LogMessageKind.AppendReply),
    term: indexSchema,
    isMatch: z.boolean(),
    /** Last matching index, or on a mismatch the index to try next. */
    index: indexSchema,
    sentAtMs: z.number(),
  }),
  z.object({
    kind: z.literal(LogMessageKind.Snapshot),
    term: indexSchema,
    index: indexSchema,
    indexTerm: indexSchema,
    configuration: logConfigurationSchema,
    offsetBytes: indexSchema,
    totalBytes: indexSchema,
    data: bytesSchema,
    sentAtMs: z.number(),
  }),
  z.object({
    kind: z.literal(LogMessageKind.SnapshotReply),
    term: indexSchema,
    index: indexSchema,
    /** Equal to `totalBytes` once the snapshot is installed. */
    nextOffsetBytes: indexSchema,
    sentAtMs: z.number(),
  }),
]);

export const logEnvelopeSchema = z.object({
  /** Empty while the sender is not part of a group. */
  groupId: z.string().max(200),
  fromId: replicaIdSchema,
  toId: z.string().max(200),
  message: messageSchema,
});

export type MemberSilences = z.output<typeof silencesSchema>;
export type LogConfiguration = z.output<typeof logConfigurationSchema>;
export type LogEntry = z.output<typeof entrySchema>;
export type LogMessage = z.output<typeof messageSchema>;
export type LogEnvelope = z.output<typeof logEnvelopeSchema>;
export type LogMessageOf<K extends LogMessageKind> = Extract<
  LogMessage,
  { kind: K }
>;
