/**
 * What the forwarding entry needs from the protocol that callers and upstreams
 * speak. An adapter translates names and formats; every decision stays here.
 */
import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import type { Result } from "neverthrow";
import type { SystemError } from "../core/errors.ts";
import type { UpstreamId } from "../core/types.ts";

/** Header names and values by turns, in the order of the message. */
export type RawHeaders = readonly string[];

export interface PromptPart {
  readonly partId: string;
  readonly tokens: number;
}

/** What a caller says about its request. */
export interface RequestDescription {
  readonly requestId: string;
  /** How long the caller waits; undefined when it does not say. */
  readonly deadlineMs: number | undefined;
  readonly apiKey: string | undefined;
  /** Last event that the caller has of a stream that it resumes. */
  readonly lastEventId: number | undefined;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly promptParts: readonly PromptPart[];
}

/** Where a run's memory lies that another engine may go on from. */
export interface MemoryCopy {
  /** Address of the engine that holds the copy. */
  readonly address: string;
  readonly copyId: string;
}

/** What the system tells an upstream about a request that it forwards. */
export interface UpstreamDirective {
  readonly upstreamId: UpstreamId;
  readonly remainingMs: number;
  /** Absent for a public route. */
  readonly customerId: string | undefined;
  readonly lastEventId: number | undefined;
  /** Address of the engine that keeps a copy of the run's memory. */
  readonly backupAddress: string | undefined;
  readonly resumeFrom: MemoryCopy | undefined;
  /** 0 is the most urgent; undefined leaves the engine's default. */
  readonly enginePriority: number | undefined;
  readonly bodyBytes: number;
}

export interface ReportedLoad {
  readonly runningCount: number;
  readonly waitingCount: number;
  readonly maxRunning: number;
}

export interface ResponseDescription {
  /** The upstream states that it did not run the request. */
  readonly isNotRun: boolean;
  /** Empty when the response does not say which request it answers. */
  readonly requestId: string;
  /** The upstream vouches for the response. */
  readonly hasReceipt: boolean;
  /** The body is encoded, which no upstream does. */
  readonly isEncoded: boolean;
  /** The address belongs to another upstream now. */
  readonly isMisdirected: boolean;
  readonly load: ReportedLoad | undefined;
}

/** A final answer that the entry gives by itself. */
export interface OwnAnswer {
  readonly error: SystemError;
  readonly requestId: string;
}

export interface EncodedAnswer {
  readonly status: number;
  readonly headers: RawHeaders;
  readonly body: string;
}

export interface CopyDirective {
  /** Request id of the run. */
  readonly runId: string;
  /** Address of the engine that gets the copy. */
  readonly targetAddress: string;
}

export interface CopyReply {
  readonly copyId: string;
}

export interface ProtocolCall {
  readonly method: string;
  readonly path: string;
  /** Without the host. */
  readonly headers: RawHeaders;
  readonly body: Buffer;
}

/** State that an engine reports about itself. */
export interface EngineReport {
  /** Milliseconds of the epoch at which the engine started. */
  readonly startedAtWallMs: number | undefined;
  readonly runningCount: number;
  readonly waitingCount: number;
  readonly usedMemoryTokens: number;
  readonly totalMemoryTokens: number;
  readonly isLeaving: boolean;
}

export interface ForwardingProtocol {
  describeRequest(headers: IncomingHttpHeaders): RequestDescription;
  /** The caller's headers as the upstream gets them. */
  buildUpstreamHeaders(
    callerHeaders: RawHeaders,
    directive: UpstreamDirective,
  ): string[];
  describeResponse(status: number, headers: RawHeaders): ResponseDescription;
  /** The upstream's headers as the caller gets them. */
  buildCallerHeaders(upstreamHeaders: RawHeaders): string[];
  encodeOwnAnswer(answer: OwnAnswer): EncodedAnswer;
  /** Asks an engine to copy a run's memory to another one while it runs. */
  buildCopyCall(copy: CopyDirective): ProtocolCall;
  parseCopyReply(body: Buffer): Result<CopyReply, SystemError>;
  /** Frees a copy that `buildCopyCall` made, at both engines. */
  buildFreeCall(copyId: string): ProtocolCall;
  readonly reportPath: string;
  parseReport(body: Buffer): Result<EngineReport, SystemError>;
}
