/**
 * Schema of a change ticket. A ticket contains the complete new state of every
 * object that it touches; `docs/tickets.md` describes the format.
 */
import { createHash } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import {
  type FieldIssue,
  getFieldIssues,
  intInRange,
  strictFields,
} from "../core/strict_fields.ts";
import { changeFields, objectKinds } from "./configuration.ts";

/** Limits the size of a log entry and the time to check one ticket. */
export const maxTouchedObjects = 2_000;

/** Limits the document of a ticket in the product's own format. */
export const maxTicketBytes = 1_048_576;

/**
 * Fits into one frame between instances together with the objects that are made
 * from the document.
 */
const maxSourceChars = 4 * 1024 * 1024;

export const ticketNumberSchema = intInRange(1, Number.MAX_SAFE_INTEGER);

export const ticketSchema = strictFields({
  number: ticketNumberSchema,
  comment: z.string().max(2_000).default(""),
  /** The operator's document from which the ticket was made. */
  source: z.string().max(maxSourceChars).optional(),
  ...changeFields,
});

export type Ticket = z.output<typeof ticketSchema>;

export function parseTicket(value: unknown): Result<Ticket, FieldIssue[]> {
  const parsed = ticketSchema.safeParse(value);
  if (!parsed.success) return err(getFieldIssues(parsed.error));
  const count = listTouchedPaths(parsed.data).length;
  if (count >= 1 && count <= maxTouchedObjects) return ok(parsed.data);
  const allowed = objectKinds.join(", ");
  return err([{
    path: "",
    message: `touches ${count} objects; allowed: 1 to ${maxTouchedObjects} ` +
      `in ${allowed}`,
  }]);
}

/** Paths of the touched objects, such as `services.taller-lm`. */
export function listTouchedPaths(ticket: Ticket): string[] {
  return objectKinds.flatMap((kind) =>
    Object.keys(ticket[kind] ?? {}).map((name) => `${kind}.${name}`)
  );
}

/** Hash of the content, independent of the order of fields in the file. */
export function getContentSha256(ticket: Ticket): string {
  return createHash("sha256").update(JSON.stringify(sortKeys(ticket)))
    .digest("hex");
}

function sortKeys(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sortKeys);
  if (typeof value !== "object" || value === null) return value;
  const entries = Object.entries(value)
    .filter(([, field]) => field !== undefined)
    .sort(([left], [right]) => left < right ? -1 : 1)
    .map(([key, field]) => [key, sortKeys(field)]);
  return Object.fromEntries(entries);
}
