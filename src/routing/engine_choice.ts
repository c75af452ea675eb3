/**
 * Decides which of the available engines gets a request: compares the expected
 * delay by prefill and by load of a few candidates.
 */
import { createHash } from "node:crypto";
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
  /** First block of the prompt; empty for a prompt shorter than one block. */
  readonly firstBlock: string;
}

/** Random candidates besides those with affinity. */
const randomCandidates = 2;
const cachedCandidates = 2;
/** Engines that all instances agree on for a prefix nobody has cached yet. */
const rendezvousCandidates = 2;
const prefillMsPerToken = 0.1;
/** Delay that one more open request than the mean adds. */
const loadMsPerRequest = 12;
const minShare = 0.05;

export function chooseCandidate(
  input: ChoiceInput,
  random: Random,
): EngineCandidate | undefined {
  const { candidates } = input;
  if (candidates.length === 0) return undefined;
  const drawn = drawCandidates(input, random);
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
  { candidates, firstBlock }: ChoiceInput,
  random: Random,
): EngineCandidate[] {
  const drawn: EngineCandidate[] = [];
  for (let count = 0; count < randomCandidates; count++) {
    drawn.push(candidates[random.nextInt(candidates.length)]!);
  }
  if (firstBlock === "") return drawn;
  const cached = candidates.filter(({ cachedBlocks }) => cachedBlocks > 0)
    .sort((left, right) =>
      right.cachedBlocks - left.cachedBlocks || left.load - right.load
    );
  drawn.push(...cached.slice(0, cachedCandidates));
  if (cached.length < cachedCandidates) {
    drawn.push(
      ...rankByHash(candidates, firstBlock).slice(0, rendezvousCandidates),
    );
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

/** Rendezvous hashing: the order depends only on the engine ids and the key. */
export function rankByHash<T extends { readonly upstreamId: UpstreamId }>(
  engines: readonly T[],
  key: string,
): T[] {
  return engines.map((engine) => ({
    engine,
    rank: createHash("sha256").update(`${key}\0${engine.upstreamId}`)
      .digest().readUInt32BE(0),
  })).sort((left, right) => right.rank - left.rank)
    .map(({ engine }) => engine);
}
