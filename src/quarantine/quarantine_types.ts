/**
 * Types of the quarantine. Some requests crash every upstream that starts to run
 * them. Prompts consist of parts that many requests share, so the quarantine
 * names the part: requests that contain it are refused. A request without shared
 * parts, such as a non-streaming call, is named by its own key.
 *
 * Entry instances report crashes and the parts that were present; control
 * instances combine the reports, decide, and record the quarantine in the
 * control log.
 */
import * as z from "zod";

const nameSchema = z.string().min(1).max(200);
/** Reports and notices leave out what is older. */
export const maxReportedAgeMs = 3_600_000;
const ageMsSchema = z.number().min(0).max(maxReportedAgeMs);

/** Service, and the id of a prompt part or the key of a request. */
export const partKeySchema = z.tuple([nameSchema, nameSchema]).readonly();

export const crashSuspectSchema = z.object({
  /**
   * The last part of the prompt, which a request shares only with its
   * repetitions and its session. Without a prompt, the digest of what the
   * repetitions of a request have in common.
   */
  requestKey: nameSchema,
  /** Parts that other requests may share, in the order of the prompt. */
  partIds: z.array(nameSchema).max(64).readonly(),
  /**
   * Time from sending the request to the crash. Absent from instances of
   * versions that do not send it.
   */
  sentBeforeMs: ageMsSchema.optional(),
});

const crashSchema = z.object({
  service: nameSchema,
  upstreamId: nameSchema,
  domainId: z.string().max(200),
  ageMs: ageMsSchema,
  /** Requests that may have just started to run on the upstream. */
  suspects: z.array(crashSuspectSchema).max(64),
});

export const soundPartSchema = z.object({
  key: partKeySchema,
  /** Time since a run with the part last got past its start. */
  ageMs: ageMsSchema,
  /** Such runs per second, averaged over the last half minute. */
  ratePerS: z.number().min(0).max(100_000),
});

/** What an entry instance observed itself. */
export const crashReportSchema = z.object({
  crashes: z.array(crashSchema).max(256),
  /** Only of parts that are under suspicion. */
  soundParts: z.array(soundPartSchema).max(512),
});

/** A request without shared parts that was present in crashes. */
export const suspectedRequestSchema = z.object({
  key: partKeySchema,
  /** Crashes after which it has not run; those of one moment count once. */
  crashCount: z.int().min(0),
  /** Time since the last of these; 0 if there are none. */
  lastCrashAgeMs: ageMsSchema,
  /** Time since it last ran at any instance, if it did. */
  lastRunAgeMs: ageMsSchema.optional(),
});

/** A control instance's reply to an entry instance. */
export const quarantineNoticeSchema = z.object({
  revision: z.int().min(0),
  /** All quarantined parts; absent if the receiver has this revision. */
  parts: z.array(partKeySchema).max(1_000).optional(),
  /** Parts whose quarantine the control log has not committed yet. */
  provisional: z.array(partKeySchema).max(1_000),
  /** Parts of which control needs to know the runs that got past their start. */
  watched: z.array(partKeySchema).max(1_000),
  /** Absent from instances of versions that do not send it. */
  suspected: z.array(suspectedRequestSchema).max(1_000).optional(),
});

export enum QuarantineState {
  Quarantined = "quarantined",
  /** Requests run again; the next quarantine takes fewer crashes. */
  Released = "released",
}

export const quarantineRecordSchema = z.object({
  service: nameSchema,
  partId: nameSchema,
  state: z.enum(QuarantineState),
  /** How often the part has been quarantined. */
  strikes: z.int().min(1),
  /**
   * Revision of the table with which the part was last quarantined. Absent in
   * records of versions that did not keep it.
   */
  addedRevision: z.int().min(1).optional(),
  changedAtWallMs: z.number(),
  reason: z.string().max(500),
});

export enum QuarantineChangeKind {
  Add = "add",
  /** The time of the quarantine is over. */
  Release = "release",
  /** An operator removes all that is known against the part. */
  Lift = "lift",
}

export const quarantineChangeSchema = z.object({
  kind: z.enum(QuarantineChangeKind),
  service: nameSchema,
  partId: nameSchema,
  atWallMs: z.number(),
  reason: z.string().max(500),
  /**
   * With a lift: the `addedRevision` of the record that the operator saw. A
   * record that was added since stays.
   */
  addedRevision: z.int().min(1).optional(),
});

export type PartKey = z.output<typeof partKeySchema>;
export type CrashSuspect = z.output<typeof crashSuspectSchema>;
export type CrashReport = z.output<typeof crashReportSchema>;
export type SuspectedRequest = z.output<typeof suspectedRequestSchema>;
export type SoundPart = z.output<typeof soundPartSchema>;
export type QuarantineNotice = z.output<typeof quarantineNoticeSchema>;
export type QuarantineRecord = z.output<typeof quarantineRecordSchema>;
export type QuarantineChange = z.output<typeof quarantineChangeSchema>;

export function formatPartKey(service: string, partId: string): string {
  return `${service}\n${partId}`;
}
