/**
 * Interface between the owner of an answer and the engines: an attempt is
 * started with the journal so far and reports to its sink.
 */
import type { SystemError } from "../core/errors.ts";
import type { FinishReason, UpstreamId } from "../core/types.ts";
import type { AnswerMeta } from "../peer/messages.ts";

export interface AttemptRequest {
  readonly answerId: string;
  readonly attemptNumber: number;
  readonly meta: AnswerMeta;
  /** The journal so far; the attempt resumes after its last token. */
  readonly tokens: readonly string[];
  readonly isHedge: boolean;
  /** Engines that failed or are in use for this answer. */
  readonly avoidedUpstreamIds: readonly UpstreamId[];
  /** Engines that still run an attempt of this answer. */
  readonly inUseUpstreamIds: readonly UpstreamId[];
}

export interface AttemptSink {
  onTokens(fromPosition: number, tokens: readonly string[]): void;
  onEnded(reason: FinishReason, tokenCount: number): void;
  onFailed(error: SystemError): void;
}

export interface AttemptHandle {
  /** Returns the engine, or undefined until one is chosen. */
  getUpstreamId(): UpstreamId | undefined;
  /** Returns the time without tokens that makes the attempt suspected. */
  getSilenceLimitMs(): number;
  /** Reports that the attempt exceeded its silence limit and is hedged. */
  markSuspected(): void;
  /** Stops the attempt; the sink is not called afterwards. */
  cancel(): void;
}

export interface AttemptRunner {
  start(request: AttemptRequest, sink: AttemptSink): AttemptHandle;
}
