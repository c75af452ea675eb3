/**
 * Decides whether a non-streaming call is relayed, retried or failed after an
 * attempt. Pure.
 */
import { ErrorKind } from "../core/errors.ts";
import { RequestKind } from "./forwarding_table.ts";
import type { AttemptOutcome } from "./call_attempt.ts";

export interface CallProgress {
  readonly kind: RequestKind;
  /** Attempts that ran or may have run. */
  readonly ranCount: number;
  /** Attempts that certainly did not run. */
  readonly notRunCount: number;
  readonly maxAttempts: number;
  readonly remainingMs: number;
  /** The retry budget allows one more attempt. */
  readonly hasBudget: boolean;
  /** An upstream that this call has not tried is available. */
  readonly hasUpstream: boolean;
  /** The call can wait here until an upstream has capacity. */
  readonly canWait: boolean;
}

export type CallDecision =
  | { readonly kind: "relay" }
  | { readonly kind: "retry" }
  /** The call has not run and waits for an upstream like one that arrives. */
  | { readonly kind: "schedule" }
  | { readonly kind: "fail"; readonly error: ErrorKind };

/** An attempt with less time left would be cut off by the deadline. */
const minAttemptMs = 20;
/** Maximum number of refused attempts after which a call is still retried. */
const maxRefusals = 4;

export function decideAfterAttempt(
  outcome: AttemptOutcome,
  progress: CallProgress,
): CallDecision {
  switch (outcome.kind) {
    case "passedOn":
      return { kind: "relay" };
    case "answered": {
      const isFailure = outcome.status >= 500;
      const mayRetry = isFailure && progress.kind === RequestKind.Safe &&
        progress.ranCount < progress.maxAttempts && canRetry(progress);
      return { kind: mayRetry ? "retry" : "relay" };
    }
    case "notRun": {
      const maySend = progress.notRunCount <= maxRefusals &&
        progress.ranCount < progress.maxAttempts && canSendAgain(progress);
      if (maySend && progress.canWait && progress.ranCount === 0) {
        return { kind: "schedule" };
      }
      if (maySend && progress.hasUpstream) return { kind: "retry" };
      // NoUpstream guarantees to the caller that the request did not run. That
      // does not hold if an earlier attempt may have run.
      const isCertainlyNotRun = progress.ranCount === 0;
      return {
        kind: "fail",
        error: isCertainlyNotRun
          ? ErrorKind.NoUpstream
          : ErrorKind.UpstreamFailed,
      };
    }
    case "unknown": {
      const mayRetry = progress.kind === RequestKind.Safe &&
        progress.ranCount < progress.maxAttempts && canRetry(progress);
      if (mayRetry) return { kind: "retry" };
      return { kind: "fail", error: ErrorKind.UpstreamFailed };
    }
  }
}

function canRetry(progress: CallProgress): boolean {
  return canSendAgain(progress) && progress.hasUpstream;
}

function canSendAgain({ remainingMs, hasBudget }: CallProgress): boolean {
  return remainingMs >= minAttemptMs && hasBudget;
}
