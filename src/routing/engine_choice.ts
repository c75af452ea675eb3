/**
 * Decides which of the available engines gets a request: compares the expected
 * delay by prefill and by load of a few candidates.
 */
import type { Random } from "../core/random.ts";
import type { UpstreamId } from "../core/types.ts";
import { blockTokens } from "./prefix_blocks.ts";

export interface EngineCandidate {
  readonly upstreamId: UpstreamId;
  /** Estimated open requests of all instances. */
  readonly load: number;
  /** Share of normal work, below 1 after overload. */
  readonly share: number;
  /** Leading blocks of the prompt in its cache. */
  readonly cachedBlocks: number;
}

export interface ChoiceInput {
  readonly candidates: readonly EngineCandidate[];
  /** Tokens to prefill where nothing is cached. */
  readonly promptTokens: number;
}

/** Random candidates besides those with affinity. */
const randomCandidates = 2;
const cachedCandidates = 2;
const prefillMsPerToken = 0.1;
/**
 * Delay that one more open request adds. Trials with 2 and 4 had a shorter time
 * to first token at 75% load, and 472 and 192 ms instead of 71 ms at p95 near
 * saturation.
 */
const loadMsPerRequest = 8;
const minShare = 0.05;

export function chooseCandidate(
  input: ChoiceInput,
  random: Random,
): EngineCandidate | undefined {
  const { candidates } = input;
  if (candidates.length === 0) return undefined;
  const drawn = drawCandidates(candidates, random);
  let best = drawn[0]!;
  let bestMs = Infinity;
  for (const candidate of drawn) {
    const delayMs = getExpectedDelayMs(candidate, input.promptTokens);
    if (delayMs >= bestMs) continue;
    best = candidate;
    bestMs = delayMs;
  }
  return best;
}

function drawCandidates(
  candidates: readonly EngineCandidate[],
  random: Random,
): EngineCandidate[] {
  const cached = candidates.filter(({ cachedBlocks }) => cachedBlocks > 0)
    .sort((left, right) =>
      right.cachedBlocks - left.cachedBlocks || left.load - right.load
    );
  const drawn = cached.slice(0, cachedCandidates);
  for (let count = 0; count < randomCandidates; count++) {
    drawn.push(candidates[random.nextInt(candidates.length)]!);
  }
  return drawn;
}

export function getExpectedDelayMs(
  { load, share, cachedBlocks }: EngineCandidate,
  promptTokens: number,
): number {
  const uncachedTokens = Math.max(0, promptTokens - cachedBlocks * blockTokens);
  const delayMs = uncachedTokens * prefillMsPerToken + load * loadMsPerRequest;
  return delayMs / Math.max(minShare, share);
}
