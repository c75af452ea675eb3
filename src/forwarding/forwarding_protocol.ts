/**
 * The interface between forwarding and the protocol of callers and upstreams.
 * An adapter translates names and formats only; all decisions stay in this
 * folder.
 */
import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import type { Result } from "neverthrow";
import type { SystemError } from "../core/errors.ts";
import type { UpstreamId } from "../core/types.ts";

/** Header names and values alternately, in the order of the message. */
export type RawHeaders = readonly string[];

export interface PromptPart {
  readonly partId: string;
  readonly tokens: number;
}

/** The properties that a caller states for its request. */
export interface RequestDescription {
  readonly requestId: string;
  /** How long the caller waits; undefined if not stated. */
  readonly deadlineMs: number | undefined;
  readonly apiKey: string | undefined;
  /** Last event that the caller received of the stream that it resumes. */
  readonly lastEventId: number | undefined;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly promptParts: readonly PromptPart[];
}

/** A KV cache copy from which another engine can resume the stream. */
export interface KvCacheCopy {
  /** Address of the engine that holds the copy. */
  readonly address: string;
  readonly copyId: string;
}

/** The properties that the system states to an upstream with a request. */
export interface UpstreamDirective {
  readonly upstreamId: UpstreamId;
  readonly remainingMs: number;
  /** Undefined on a public route. */
  readonly customerId: string | undefined;
  readonly lastEventId: number | undefined;
  /** Address of the engine that holds a copy of the stream's KV cache. */
  readonly copyHolderAddress: string | undefined;
  readonly resumeFrom: KvCacheCopy | undefined;
  /** 0 is the most urgent; undefined selects the engine's default. */
  readonly enginePriority: number | undefined;
  readonly bodyBytes: number;
}

export interface ReportedLoad {
  readonly runningCount: number;
  readonly waitingCount: number;
  readonly maxRunning: number;
  /**
   * How slow the machine is at the moment; 1 is usual. Undefined if it is not
   * stated or is no plausible value.
   */
  readonly slowness: number | undefined;
}

/** What a response states about the requests that its upstream takes. */
export type StatedLimit =
  | { readonly kind: "none" }
  /** Requests per second of all instances together; 0 or more. */
  | { readonly kind: "limited"; readonly requestsPerS: number }
  | { readonly kind: "unreadable" };

export interface ResponseDescription {
  /** The upstream states that it did not run the request. */
  readonly isNotRun: boolean;
  /** Empty if the response does not name the request that it belongs to. */
  readonly requestId: string;
  /** The upstream attests that the response is its own. */
  readonly isAttested: boolean;
  /** The body has a content encoding, which no upstream uses. */
  readonly isEncoded: boolean;
  /** Another upstream has taken over the address. */
  readonly isMisdirected: boolean;
  /** Id of the upstream that responded, if it states one. */
  readonly responderId: UpstreamId | undefined;
  readonly load: ReportedLoad | undefined;
  /** A figure of the stated load is unreadable or huge and states nothing. */
  readonly hasInvalidLoad: boolean;
  readonly limit: StatedLimit;
  /** With a refusal: how long the upstream wants no requests from here. */
  readonly waitMs: number | undefined;
}

/** A final error response that the entry instance itself sends. */
export interface LocalResponse {
  readonly error: SystemError;
  readonly requestId: string;
}

export interface EncodedResponse {
  readonly status: number;
  readonly headers: RawHeaders;
  readonly body: string;
}

export interface CopyDirective {
  /** The request id, by which the engine identifies the stream. */
  readonly runId: string;
  /** Address of the engine that receives the copy. */
  readonly targetAddress: string;
}

export interface CopyReply {
  readonly copyId: string;
}

export interface ProtocolCall {
  readonly method: string;
  readonly path: string;
  /** Without the Host header. */
  readonly headers: RawHeaders;
  readonly body: Buffer;
}

/** An engine's report of its own state. */
export interface EngineReport {
  /** Start of the engine in milliseconds since the epoch. */
  readonly startedAtWallMs: number | undefined;
  readonly runningCount: number;
  readonly waitingCount: number;
  readonly usedMemoryTokens: number;
  readonly totalMemoryTokens: number;
  readonly isLeaving: boolean;
  /** Whether the report names a model; only engines report models. */
  readonly servesModel: boolean;
}

export interface ForwardingProtocol {
  describeRequest(headers: IncomingHttpHeaders): RequestDescription;
  /** Converts a caller's headers to those sent to the upstream. */
  buildUpstreamHeaders(
    callerHeaders: RawHeaders,
    directive: UpstreamDirective,
  ): string[];
  describeResponse(status: number, headers: RawHeaders): ResponseDescription;
  /** Converts an upstream's headers to those sent to the caller. */
  buildCallerHeaders(upstreamHeaders: RawHeaders): string[];
  /**
   * Like `buildCallerHeaders`, without the length: if the stream is resumed
   * elsewhere, it may have another one.
   */
  buildStreamHeaders(upstreamHeaders: RawHeaders): string[];
  encodeLocalResponse(answer: LocalResponse): EncodedResponse;
  /** Asks an engine to copy the KV cache of a running stream to another one. */
  buildCopyCall(copy: CopyDirective): ProtocolCall;
  parseCopyReply(body: Buffer): Result<CopyReply, SystemError>;
  /** Frees, at both engines, a copy created with `buildCopyCall`. */
  buildFreeCopyCall(copyId: string): ProtocolCall;
  readonly reportPath: string;
  parseReport(body: Buffer): Result<EngineReport, SystemError>;
}
