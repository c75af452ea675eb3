/**
 * Decides whether a stream is admitted to its chosen engine. Pure.
 *
 * After a large loss the remaining engines have a prefill backlog that exceeds
 * the time that callers wait, and callers retry with little time left. A prompt
 * that cannot be prefilled before its caller's deadline would only delay the
 * others, so it is refused at once.
 */

export interface StreamEstimate {
  /** Time until the caller's deadline. */
  readonly remainingMs: number;
  /** Tokens of this stream that are prefilled before its first event. */
  readonly prefillTokens: number;
  /** Tokens of other streams that the chosen engine prefills first. */
  readonly backlogTokens: number;
  /** Highest prefill rate observed at an engine of the service. */
  readonly fastestTokensPerMs: number | undefined;
}

/**
 * Maximum age of the known backlog. The engine may have prefilled a part of it
 * in the meantime.
 */
export const backlogAgeMs = 2_000;

export type AdmissionDecision =
  | { readonly kind: "admit" }
  /** `backlogMs` is the time that the engine needs for its current backlog. */
  | { readonly kind: "refuse"; readonly backlogMs: number };

export function decideStreamAdmission(
  estimate: StreamEstimate,
): AdmissionDecision {
  const { remainingMs, fastestTokensPerMs } = estimate;
  if (fastestTokensPerMs === undefined) return { kind: "admit" };
  return getEarliestFirstEventMs(estimate) < remainingMs
    ? { kind: "admit" }
    : { kind: "refuse", backlogMs: getLeastBacklogMs(estimate) };
}

/** The first event can't come sooner; 0 as long as nothing is known. */
export function getEarliestFirstEventMs(
  estimate: Omit<StreamEstimate, "remainingMs">,
): number {
  const { prefillTokens, fastestTokensPerMs } = estimate;
  return fastestTokensPerMs === undefined
    ? 0
    : getLeastBacklogMs(estimate) + prefillTokens / fastestTokensPerMs;
}

function getLeastBacklogMs(
  { backlogTokens, fastestTokensPerMs }: Omit<StreamEstimate, "remainingMs">,
): number {
  return fastestTokensPerMs === undefined
    ? 0
    : Math.max(0, backlogTokens / fastestTokensPerMs - backlogAgeMs);
}

export interface PrefillRateTracker {
  record(tokens: number, durationMs: number): void;
  getFastestTokensPerMs(): number | undefined;
}

/**
 * The time to the first event of a shorter prompt depends more on the network
 * than on the engine.
 */
const minPromptTokens = 1_000;
/** With fewer prompts the highest rate may be unusually low. */
const minPromptCount = 5;

/**
 * Tracks the highest rate only: a prompt that is too long even at this rate is
 * certain to miss its deadline, whatever else the engine is running.
 */
export function createPrefillRateTracker(): PrefillRateTracker {
  let count = 0;
  let fastestTokensPerMs = 0;
  return {
    record: (tokens, durationMs) => {
      if (tokens < minPromptTokens || durationMs <= 0) return;
      count += 1;
      fastestTokensPerMs = Math.max(fastestTokensPerMs, tokens / durationMs);
    },
    getFastestTokensPerMs: () =>
      count < minPromptCount ? undefined : fastestTokensPerMs,
  };
}
