/**
 * Decides whether a stream is worth an engine's time. Pure.
 *
 * Answers the load pattern after a large loss: the engines that are left have
 * prompts to read for longer than callers wait, and callers come back with
 * little time left. A prompt that cannot be read before its caller's time is
 * over would only delay the others, so it is refused at once.
 */

export interface StreamProspect {
  /** Until the caller's time is over. */
  readonly remainingMs: number;
  /** Of this stream, before its first event. */
  readonly tokensToRead: number;
  /** Of other streams at the chosen engine, before this one's. */
  readonly backlogTokens: number;
  /** The fastest that an engine of the service was seen to read. */
  readonly fastestTokensPerMs: number | undefined;
}

/** Meanwhile the engine has read a part of what is known of its backlog. */
export const backlogAgeMs = 2_000;

export type AdmissionDecision =
  | { readonly kind: "admit" }
  /** `backlogMs` is when the engine has read what it has now. */
  | { readonly kind: "refuse"; readonly backlogMs: number };

export function decideStreamAdmission(
  prospect: StreamProspect,
): AdmissionDecision {
  const { remainingMs, tokensToRead, backlogTokens, fastestTokensPerMs } =
    prospect;
  if (fastestTokensPerMs === undefined) return { kind: "admit" };
  const backlogMs = Math.max(
    0,
    backlogTokens / fastestTokensPerMs - backlogAgeMs,
  );
  const readMs = tokensToRead / fastestTokensPerMs;
  return backlogMs + readMs < remainingMs
    ? { kind: "admit" }
    : { kind: "refuse", backlogMs };
}

export interface ReadingSpeed {
  record(tokens: number, durationMs: number): void;
  getFastestTokensPerMs(): number | undefined;
}

/** Shorter prompts say more about the network than about the engine. */
const minTokens = 1_000;
/** The fastest of fewer prompts may be an exception in the other direction. */
const minCount = 5;

/**
 * Only the fastest counts: what even that speed cannot do is certain to fail,
 * whatever the engine is busy with.
 */
export function createReadingSpeed(): ReadingSpeed {
  let count = 0;
  let fastestTokensPerMs = 0;
  return {
    record: (tokens, durationMs) => {
      if (tokens < minTokens || durationMs <= 0) return;
      count += 1;
      fastestTokensPerMs = Math.max(fastestTokensPerMs, tokens / durationMs);
    },
    getFastestTokensPerMs: () =>
      count < minCount ? undefined : fastestTokensPerMs,
  };
}
