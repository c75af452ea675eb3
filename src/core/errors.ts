/**
 * The closed list of error kinds, and the response to each of them.
 *
 * Every failure that can reach a caller, an operator or another instance is one
 * of these kinds. The table defines the HTTP status, whether the request was
 * executed, and whether the sender may retry, so that no module defines this on
 * its own.
 */
import { Maybe } from "true-myth/maybe";

export enum ErrorKind {
  InvalidRequest = "invalidRequest",
  Unauthenticated = "unauthenticated",
  Forbidden = "forbidden",
  NotFound = "notFound",
  PayloadTooLarge = "payloadTooLarge",
  HeadersTooLarge = "headersTooLarge",
  Overloaded = "overloaded",
  CustomerLimit = "customerLimit",
  NoUpstream = "noUpstream",
  NoQuorum = "noQuorum",
  UpstreamFailed = "upstreamFailed",
  /** The request, or a part of its prompt, crashes upstreams. */
  RequestQuarantined = "requestQuarantined",
  /** Upstreams ended while they ran the request. */
  UpstreamsCrashed = "upstreamsCrashed",
  OutcomeUnknown = "outcomeUnknown",
  KeyReused = "keyReused",
  AnswerLost = "answerLost",
  AnswerDiverged = "answerDiverged",
  AnswerFailed = "answerFailed",
  /** An operator's order may have been overtaken; nothing has changed. */
  StaleOrder = "staleOrder",
  TicketConflict = "ticketConflict",
  TicketOutdated = "ticketOutdated",
  InvalidTicket = "invalidTicket",
  NotLeader = "notLeader",
  PeerUnreachable = "peerUnreachable",
  ProtocolError = "protocolError",
  InvalidSettings = "invalidSettings",
  Storage = "storage",
  ShuttingDown = "shuttingDown",
  Internal = "internal",
}

/** Whether a failed request was executed. */
export enum Execution {
  NotRun = "notRun",
  Unknown = "unknown",
  Partial = "partial",
}

export interface ErrorResponse {
  readonly httpStatus: number;
  readonly execution: Execution;
  /** Whether the sender may retry the same request. */
  readonly retryable: boolean;
}

const notRun = Execution.NotRun;
const unknown = Execution.Unknown;
const partial = Execution.Partial;

export const errorResponses: Readonly<Record<ErrorKind, ErrorResponse>> = {
  [ErrorKind.InvalidRequest]: answer(400, notRun, false),
  [ErrorKind.Unauthenticated]: answer(401, notRun, false),
  [ErrorKind.Forbidden]: answer(403, notRun, false),
  [ErrorKind.NotFound]: answer(404, notRun, false),
  [ErrorKind.PayloadTooLarge]: answer(413, notRun, false),
  [ErrorKind.HeadersTooLarge]: answer(431, notRun, false),
  [ErrorKind.Overloaded]: answer(503, notRun, true),
  [ErrorKind.CustomerLimit]: answer(429, notRun, true),
  [ErrorKind.NoUpstream]: answer(503, notRun, true),
  [ErrorKind.NoQuorum]: answer(503, notRun, true),
  [ErrorKind.UpstreamFailed]: answer(502, partial, true),
  [ErrorKind.RequestQuarantined]: answer(422, notRun, false),
  [ErrorKind.UpstreamsCrashed]: answer(502, partial, false),
  [ErrorKind.OutcomeUnknown]: answer(504, unknown, false),
  [ErrorKind.KeyReused]: answer(422, notRun, false),
  [ErrorKind.AnswerLost]: answer(410, partial, false),
  [ErrorKind.AnswerDiverged]: answer(409, partial, false),
  [ErrorKind.AnswerFailed]: answer(502, partial, true),
  [ErrorKind.StaleOrder]: answer(503, notRun, true),
  [ErrorKind.TicketConflict]: answer(409, notRun, false),
  [ErrorKind.TicketOutdated]: answer(409, notRun, false),
  [ErrorKind.InvalidTicket]: answer(422, notRun, false),
  [ErrorKind.NotLeader]: answer(503, notRun, true),
  [ErrorKind.PeerUnreachable]: answer(503, unknown, true),
  [ErrorKind.ProtocolError]: answer(502, unknown, false),
  [ErrorKind.InvalidSettings]: answer(500, notRun, false),
  [ErrorKind.Storage]: answer(500, unknown, false),
  [ErrorKind.ShuttingDown]: answer(503, notRun, true),
  [ErrorKind.Internal]: answer(500, unknown, false),
};

/** A failure with its kind and message. Optional details are `Maybe`. */
export interface SystemError {
  readonly kind: ErrorKind;
  readonly message: string;
  readonly retryAfterMs: Maybe<number>;
  /** Path of the offending field, for settings, tickets and requests. */
  readonly fieldPath: Maybe<string>;
}

export interface ErrorDetails {
  readonly retryAfterMs?: number;
  readonly fieldPath?: string;
}

export function createError(
  kind: ErrorKind,
  message: string,
  details: ErrorDetails = {},
): SystemError {
  return {
    kind,
    message,
    retryAfterMs: Maybe.of(details.retryAfterMs),
    fieldPath: Maybe.of(details.fieldPath),
  };
}

/** JSON body of the response to a caller or operator for a failure. */
export interface ErrorBody {
  readonly error: {
    readonly type: ErrorKind;
    readonly message: string;
    readonly execution: Execution;
    readonly retryable: boolean;
    readonly retryAfterMs?: number;
    readonly fieldPath?: string;
  };
}

export function getErrorBody(error: SystemError): ErrorBody {
  const { execution, retryable } = errorResponses[error.kind];
  const retryAfterMs = error.retryAfterMs.unwrapOr(-1);
  const fieldPath = error.fieldPath.unwrapOr("");
  return {
    error: {
      type: error.kind,
      message: error.message,
      execution,
      retryable,
      ...(retryAfterMs >= 0 ? { retryAfterMs } : {}),
      ...(fieldPath !== "" ? { fieldPath } : {}),
    },
  };
}

/** Representation of an error in messages between instances. */
export interface ErrorRecord {
  readonly kind: string;
  readonly message: string;
  readonly retryAfterMs?: number;
}

export function toErrorRecord(error: SystemError): ErrorRecord {
  const retryAfterMs = error.retryAfterMs.unwrapOr(-1);
  return {
    kind: error.kind,
    message: error.message,
    ...(retryAfterMs >= 0 ? { retryAfterMs } : {}),
  };
}

export function fromErrorRecord(record: ErrorRecord): SystemError {
  const kinds: readonly string[] = Object.values(ErrorKind);
  const kind = kinds.includes(record.kind)
    ? record.kind as ErrorKind
    : ErrorKind.ProtocolError;
  return createError(kind, String(record.message), {
    ...(record.retryAfterMs === undefined
      ? {}
      : { retryAfterMs: record.retryAfterMs }),
  });
}

export function getErrorMessage(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}

function answer(
  httpStatus: number,
  execution: Execution,
  retryable: boolean,
): ErrorResponse {
  return { httpStatus, execution, retryable };
}
