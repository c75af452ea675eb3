/**
 * What follows after an attempt of a plain call: a pure decision.
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
  /** An upstream that was not tried is available. */
  readonly hasUpstream: boolean;
}

export type CallDecision =
  | { readonly kind: "relay" }
  | { readonly kind: "retry" }
  | { readonly kind: "fail"; readonly error: ErrorKind };

/** An attempt in less time than this would be cut off. */
const minAttemptMs = 20;
/** Upstreams that refused a request without running it. */
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
        progress.ranCount < progress.maxAttempts && canTryAgain(progress);
      return { kind: mayRetry ? "retry" : "relay" };
    }
    case "notRun": {
      const mayRetry = progress.notRunCount <= maxRefusals &&
        progress.ranCount < progress.maxAttempts && canTryAgain(progress);
      if (mayRetry) return { kind: "retry" };
      // An earlier attempt may have run, so nothing is promised then.
      const isPromise = progress.ranCount === 0;
      return {
        kind: "fail",
        error: isPromise ? ErrorKind.NoUpstream : ErrorKind.UpstreamFailed,
      };
    }
    case "unknown": {
      const mayRetry = progress.kind === RequestKind.Safe &&
        progress.ranCount < progress.maxAttempts && canTryAgain(progress);
      if (mayRetry) return { kind: "retry" };
      return { kind: "fail", error: ErrorKind.UpstreamFailed };
    }
  }
}

function canTryAgain(progress: CallProgress): boolean {
  return progress.remainingMs >= minAttemptMs && progress.hasBudget &&
    progress.hasUpstream;
}
