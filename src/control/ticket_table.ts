/**
 * Table of accepted tickets and the configuration that results from them, part
 * of the replicated state.
 *
 * A number is bound to one content permanently. A record is kept while any
 * object still has the state from its ticket, and the newest records are kept
 * in any case. A number without a record is outdated if it is at or below the
 * highest number whose record was discarded, or the number of the last ticket
 * that touched one of its objects.
 */
import * as z from "zod";
import {
  applyChanges,
  type Configuration,
  type ConfigurationChanges,
  getEmptyConfiguration,
} from "./configuration.ts";
import { checkTicket } from "./configuration_checks.ts";
import {
  getContentSha256,
  listTouchedPaths,
  parseTicket,
  type Ticket,
  ticketNumberSchema,
  ticketSchema,
} from "./ticket.ts";

export const ticketRecordSchema = z.object({
  number: ticketNumberSchema,
  contentSha256: z.string(),
  /** Revision of the configuration that the ticket produced. */
  revision: z.int().min(1),
  acceptedAtWallMs: z.number(),
  ticket: ticketSchema,
});

export type TicketRecord = z.output<typeof ticketRecordSchema>;

const fieldIssueSchema = z.object({ path: z.string(), message: z.string() });

export const ticketResultSchema = z.discriminatedUnion("status", [
  z.object({
    status: z.literal("accepted"),
    number: ticketNumberSchema,
    revision: z.int(),
    acceptedAtWallMs: z.number(),
  }),
  z.object({
    status: z.literal("invalid"),
    issues: z.array(fieldIssueSchema),
  }),
  /** The number belongs to a ticket with other content. */
  z.object({ status: z.literal("conflict"), inForce: ticketRecordSchema }),
  z.object({
    status: z.literal("outdated"),
    /** Last ticket that touched one of the objects, if it has a record. */
    inForce: ticketRecordSchema.nullable(),
    /** Numbers above this one are accepted. */
    lastNumber: z.int(),
  }),
  /** The log has no configuration yet: resubmit with the one in force. */
  z.object({ status: z.literal("initialRequired") }),
]);

export type TicketResult = z.output<typeof ticketResultSchema>;

export interface TicketSnapshot {
  readonly configuration: Configuration;
  readonly isInitialized: boolean;
  readonly records: readonly TicketRecord[];
  readonly lastNumbers: readonly (readonly [string, number])[];
  readonly discardedUpTo: number;
}

export interface TicketSubmission {
  readonly ticket: unknown;
  /** Initial configuration, used if the log has none yet. */
  readonly initial?: Configuration | undefined;
  readonly atWallMs: number;
}

export interface TicketTable {
  submit(submission: TicketSubmission): TicketResult;
  /** Changes objects without a ticket, as when a rollout is decided. */
  change(changes: ConfigurationChanges): Configuration;
  getConfiguration(): Configuration;
  getRecord(number: number): TicketRecord | undefined;
  /** Returns the ticket that set the present state of the object. */
  findInForce(objectPath: string): TicketRecord | undefined;
  /** Lists the newest first, at most `limit` below `beforeNumber`. */
  listRecords(beforeNumber: number, limit: number): TicketRecord[];
  getSnapshot(): TicketSnapshot;
  restore(snapshot: TicketSnapshot): void;
}

export interface TicketTableOptions {
  /**
   * Minimum number of records to keep. Resubmissions of their tickets get the
   * same reply.
   */
  readonly retainedRecordCount?: number;
  onChanged?(configuration: Configuration, changes: ConfigurationChanges): void;
}

/** Covers half a day at 7,400 changes a day; about 3 MB at 0.7 KB a record. */
const defaultRetainedRecordCount = 4_000;

export function createTicketTable(
  options: TicketTableOptions = {},
): TicketTable {
  const retainedRecordCount = options.retainedRecordCount ??
    defaultRetainedRecordCount;
  let configuration = getEmptyConfiguration();
  let isInitialized = false;
  /** In order of acceptance. */
  let records = new Map<number, TicketRecord>();
  /** Per object, the number of the last ticket that touched it. */
  let lastNumbers = new Map<string, number>();
  let discardedUpTo = 0;
  return {
    submit,
    change,
    getConfiguration: () => configuration,
    getRecord: (number) => records.get(number),
    findInForce: (objectPath) => records.get(lastNumbers.get(objectPath) ?? 0),
    listRecords: (beforeNumber, limit) =>
      [...records.values()]
        .filter(({ number }) => number < beforeNumber)
        .sort((left, right) => right.number - left.number)
        .slice(0, limit),
    getSnapshot: () => ({
      configuration,
      isInitialized,
      records: [...records.values()],
      lastNumbers: [...lastNumbers],
      discardedUpTo,
    }),
    restore,
  };

  function submit(submission: TicketSubmission): TicketResult {
    const parsed = parseTicket(submission.ticket);
    if (parsed.isErr()) return { status: "invalid", issues: parsed.error };
    const ticket = parsed.value;
    if (!isInitialized) {
      if (!submission.initial) return { status: "initialRequired" };
      configuration = submission.initial;
      isInitialized = true;
    }
    const contentSha256 = getContentSha256(ticket);
    const record = records.get(ticket.number);
    if (record) {
      return record.contentSha256 === contentSha256
        ? getAcceptedReply(record)
        : { status: "conflict", inForce: record };
    }
    const lastNumber = getLastNumber(ticket);
    if (ticket.number <= lastNumber) {
      const inForce = records.get(lastNumber) ?? null;
      return { status: "outdated", inForce, lastNumber };
    }
    const next = applyChanges(configuration, ticket, configuration.revision);
    const issues = checkTicket({
      ticket,
      current: configuration,
      next,
      atWallMs: submission.atWallMs,
    });
    if (issues.length > 0) return { status: "invalid", issues };
    return accept(ticket, contentSha256, submission.atWallMs);
  }

  function getLastNumber(ticket: Ticket): number {
    return listTouchedPaths(ticket).reduce(
      (last, path) => Math.max(last, lastNumbers.get(path) ?? 0),
      discardedUpTo,
    );
  }

  function accept(
    ticket: Ticket,
    contentSha256: string,
    acceptedAtWallMs: number,
  ): TicketResult {
    const { number, comment: _comment, source: _source, ...changes } = ticket;
    const record: TicketRecord = {
      number,
      contentSha256,
      revision: configuration.revision + 1,
      acceptedAtWallMs,
      ticket,
    };
    const superseded = new Set<number>();
    for (const path of listTouchedPaths(ticket)) {
      const lastNumber = lastNumbers.get(path);
      if (lastNumber !== undefined) superseded.add(lastNumber);
      lastNumbers.set(path, number);
    }
    for (const last of superseded) discardLargeContent(last);
    records.set(number, record);
    if (records.size > 2 * retainedRecordCount) discardRecords();
    change(changes);
    return getAcceptedReply(record);
  }

  /**
   * Discards the large content of a ticket once none of its objects is in
   * force. Forwarding tables and source documents are sent whole with every
   * ticket, and the hash suffices to recognize a resubmission.
   */
  function discardLargeContent(number: number): void {
    const record = records.get(number);
    if (!record) return;
    const isInForce = listTouchedPaths(record.ticket).some((path) =>
      lastNumbers.get(path) === number
    );
    if (isInForce) return;
    const { source: _source, forwarding: _forwarding, ...ticket } =
      record.ticket;
    records.set(number, { ...record, ticket });
  }

  function change(changes: ConfigurationChanges): Configuration {
    const revision = configuration.revision + 1;
    configuration = applyChanges(configuration, changes, revision);
    options.onChanged?.(configuration, changes);
    return configuration;
  }

  /** Runs once per `retainedRecordCount` tickets, to keep acceptance cheap. */
  function discardRecords(): void {
    const inForce = new Set(lastNumbers.values());
    const surplus = [...records.keys()].slice(0, -retainedRecordCount);
    for (const number of surplus) {
      if (inForce.has(number)) continue;
      records.delete(number);
      discardedUpTo = Math.max(discardedUpTo, number);
    }
  }

  function restore(snapshot: TicketSnapshot): void {
    configuration = snapshot.configuration;
    isInitialized = snapshot.isInitialized;
    records = new Map(snapshot.records.map((entry) => [entry.number, entry]));
    lastNumbers = new Map(snapshot.lastNumbers);
    discardedUpTo = snapshot.discardedUpTo;
  }
}

function getAcceptedReply(record: TicketRecord): TicketResult {
  const { number, revision, acceptedAtWallMs } = record;
  return { status: "accepted", number, revision, acceptedAtWallMs };
}
