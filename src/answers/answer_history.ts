/**
 * Records what happened to one answer at one instance, for operators.
 */
import * as z from "zod";
import type { Clock } from "../core/clock.ts";

export enum HistoryKind {
  Opened = "opened",
  AttemptStarted = "attemptStarted",
  HedgeStarted = "hedgeStarted",
  AttemptFailed = "attemptFailed",
  ReplicaChosen = "replicaChosen",
  Unreplicated = "unreplicated",
  Reset = "reset",
  Ended = "ended",
  Superseded = "superseded",
}

export const historyEntrySchema = z.object({
  kind: z.enum(HistoryKind),
  atWallMs: z.number(),
  /** Number of tokens in the journal at that time. */
  position: z.int().min(0),
  /** Engine, replica, version or reason, depending on the kind. */
  detail: z.string().max(500),
});

export enum AnswerRole {
  Owner = "owner",
  Replica = "replica",
}

export const answerRecordSchema = z.object({
  instanceId: z.string().max(200),
  role: z.enum(AnswerRole),
  customerId: z.string().max(200),
  service: z.string().max(200),
  version: z.string().max(200),
  ownerId: z.string().max(200),
  tokenCount: z.int().min(0),
  releasedCount: z.int().min(0),
  isEnded: z.boolean(),
  endReason: z.string().max(200),
  replicaId: z.string().max(200),
  duplicatedTokens: z.int().min(0),
  refilledTokens: z.int().min(0),
  unreplicatedTokens: z.int().min(0),
  history: z.array(historyEntrySchema).max(1_000),
});

export type HistoryEntry = z.output<typeof historyEntrySchema>;
export type AnswerRecord = z.output<typeof answerRecordSchema>;

export interface AnswerHistory {
  add(
    kind: HistoryKind,
    entry: { readonly position: number; readonly detail: string },
  ): void;
  list(): HistoryEntry[];
}

/**
 * Beyond this, entries from the middle are dropped: the first entries explain
 * most, and a long series of failures repeats itself.
 */
const maxEntries = 100;
const maxDetailChars = 500;

export function createAnswerHistory(clock: Clock): AnswerHistory {
  const entries: HistoryEntry[] = [];
  return { add, list: () => [...entries] };

  function add(
    kind: HistoryKind,
    { position, detail }: { position: number; detail: string },
  ): void {
    if (entries.length >= maxEntries) entries.splice(maxEntries / 2, 1);
    entries.push({
      kind,
      atWallMs: clock.wallMs(),
      position,
      detail: detail.slice(0, maxDetailChars),
    });
  }
}
