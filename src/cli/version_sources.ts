/**
 * Reads a document to check, and the version that it is compared with: the one
 * in force, an accepted ticket, or a file.
 */
import {
  err,
  errAsync,
  ok,
  okAsync,
  type Result,
  type ResultAsync,
} from "neverthrow";
import {
  applyChanges,
  type Configuration,
  configurationSchema,
  getEmptyConfiguration,
} from "../control/configuration.ts";
import {
  createTableTicket,
  type DecodeTable,
  maxTableDocumentBytes,
  readTableDocument,
} from "../control/table_document.ts";
import { maxTicketBytes, parseTicket } from "../control/ticket.ts";
import { parseJson } from "../core/parse_json.ts";
import { type FieldIssue, getFieldIssues } from "../core/strict_fields.ts";

/** Reads the configuration documents of a platform. */
export interface DocumentAdapter {
  readonly decode: DecodeTable;
  /** Path at the operators' API that returns the document in force. */
  readonly documentPath: string;
}

export enum DocumentFormat {
  Ticket = "ticket",
  Platform = "platform",
}

export interface ReadDocument {
  readonly format: DocumentFormat;
  /** Errors in reading, which the service's acceptance would also report. */
  readonly issues: readonly FieldIssue[];
  /** The content of a ticket, not checked; undefined if there are issues. */
  readonly ticket: unknown;
}

export interface ComparedVersion {
  readonly label: string;
  readonly configuration: Configuration;
  /** Whether it has all objects, or only those of one document. */
  readonly isComplete: boolean;
}

/** What a version is read from; each fails with a message. */
export interface VersionSources {
  getConfiguration(): ResultAsync<unknown, string>;
  getTicket(number: number): ResultAsync<unknown, string>;
  /** Fetches the platform's document in force. */
  getDocument(): ResultAsync<unknown, string>;
  readFile(path: string): Result<string, string>;
}

/** Fails if the text is not JSON. */
export function readDocument(
  text: string,
  adapter: DocumentAdapter | undefined,
): Result<ReadDocument, string> {
  return parseWithoutQuotation(text).map((value) => {
    const isPlatform = adapter !== undefined && !hasField(value, "number");
    const format = isPlatform ? DocumentFormat.Platform : DocumentFormat.Ticket;
    const maxBytes = isPlatform ? maxTableDocumentBytes : maxTicketBytes;
    if (new TextEncoder().encode(text).length > maxBytes) {
      const message = `the document exceeds ${maxBytes} bytes`;
      return { format, issues: [{ path: "", message }], ticket: undefined };
    }
    if (!isPlatform) return { format, issues: [], ticket: value };
    return readTableDocument(text, adapter.decode).match(
      (document): ReadDocument => ({
        format,
        issues: [],
        ticket: createTableTicket(document),
      }),
      (issues) => ({ format, issues, ticket: undefined }),
    );
  });
}

export function readInForce(
  format: DocumentFormat,
  sources: VersionSources,
  adapter: DocumentAdapter | undefined,
): ResultAsync<ComparedVersion, string> {
  return format === DocumentFormat.Ticket
    ? sources.getConfiguration().andThen(readConfiguration)
    : sources.getDocument().andThen((value) =>
      readPlatformVersion(value, adapter!).map(({ version }) => version)
    );
}

/** `spec` is the number of a version, or the path of a file. */
export function readVersion(
  spec: string,
  format: DocumentFormat,
  sources: VersionSources,
  adapter: DocumentAdapter | undefined,
): ResultAsync<ComparedVersion, string> {
  if (!isVersionNumber(spec)) {
    return sources.readFile(spec).andThen((text) =>
      readVersionFile(text, adapter).mapErr((message) => `${spec}: ${message}`)
    ).asyncAndThen((version) => okAsync({ ...version, label: spec }));
  }
  const number = Number(spec);
  if (format === DocumentFormat.Ticket) {
    return sources.getTicket(number).andThen((record) =>
      readTicket((record as { readonly ticket?: unknown } | null)?.ticket)
    );
  }
  return sources.getDocument().andThen((value) =>
    readPlatformVersion(value, adapter!)
  ).andThen((read) =>
    read.number === number ? okAsync(read.version) : errAsync(
      `only the version in force can be read, which is ${read.number}`,
    )
  );
}

/** A file whose name is a number has to be given with its folder. */
export function isVersionNumber(spec: string): boolean {
  return /^[1-9][0-9]{0,15}$/.test(spec);
}

function readVersionFile(
  text: string,
  adapter: DocumentAdapter | undefined,
): Result<ComparedVersion, string> {
  return parseWithoutQuotation(text).andThen((value) => {
    if (hasField(value, "number")) return readTicket(value);
    const isConfiguration = hasField(value, "configuration") ||
      hasField(value, "revision");
    if (isConfiguration || !adapter) return readConfiguration(value);
    return readPlatformVersion(value, adapter).map(({ version }) => version);
  });
}

/** The parser's message may quote the text, which may contain API keys. */
function parseWithoutQuotation(text: string): Result<unknown, string> {
  return parseJson(text).mapErr((message) =>
    message.endsWith("is not valid JSON") ? "unexpected character" : message
  );
}

/** The fields of the document tell tickets from other documents. */
function hasField(value: unknown, name: string): boolean {
  return typeof value === "object" && value !== null &&
    Object.hasOwn(value, name);
}

/** Reads a configuration, or the reply that contains it. */
function readConfiguration(value: unknown): Result<ComparedVersion, string> {
  const parsed = configurationSchema.safeParse(
    hasField(value, "configuration")
      ? (value as { readonly configuration: unknown }).configuration
      : value,
  );
  if (!parsed.success) return err(describe(getFieldIssues(parsed.error)));
  return ok({
    label: `revision ${parsed.data.revision}`,
    configuration: parsed.data,
    isComplete: true,
  });
}

function readTicket(value: unknown): Result<ComparedVersion, string> {
  return parseTicket(value).mapErr(describe).map((ticket) => ({
    label: `ticket ${ticket.number}`,
    configuration: applyChanges(getEmptyConfiguration(), ticket, 0),
    isComplete: false,
  }));
}

function readPlatformVersion(value: unknown, adapter: DocumentAdapter) {
  return adapter.decode(value).mapErr(describe).andThen((decoded) =>
    readTicket(createTableTicket({ ...decoded, source: "" })).map(
      (version) => ({
        number: decoded.number,
        version: { ...version, label: `version ${decoded.number}` },
      }),
    )
  );
}

function describe(issues: readonly FieldIssue[]): string {
  const [first] = issues;
  return `cannot be read: ${first?.path || "(document)"}: ${first?.message}`;
}
