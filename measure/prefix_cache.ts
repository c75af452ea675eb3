/**
 * Bounded prefix cache of a simulated engine. Its events become visible with a
 * delay, and some of them are lost.
 */
import { createHash } from "node:crypto";
import type { Random } from "../src/core/random.ts";

export interface CacheEvent {
  readonly seq: number;
  readonly kind: "stored" | "evicted";
  readonly block: string;
}

export interface PrefixCache {
  /**
   * Stores the prompt's blocks and returns the number of prompt tokens that
   * were cached before.
   */
  touch(prompt: string): number;
  readEvents(after: number): {
    readonly events: readonly CacheEvent[];
    readonly blocks?: readonly string[];
    readonly seq: number;
  };
}

const blockChars = 256;
const blockTokens = blockChars / 4;
const maxEvents = 1_000;
const eventDelayMs = 500;
const eventLossRatio = 0.02;

export function createPrefixCache(
  maxBlocks: number,
  random: Random,
  getNowMs: () => number = Date.now,
): PrefixCache {
  const blocks = new Set<string>();
  const events: { event: CacheEvent; visibleAtMs: number }[] = [];
  let nextSeq = 1;
  return { touch, readEvents };

  function touch(prompt: string): number {
    let cachedBlocks = 0;
    let isPrefixCached = true;
    for (let end = blockChars; end <= prompt.length; end += blockChars) {
      const block = getPrefixHash(prompt.slice(0, end));
      isPrefixCached &&= blocks.delete(block);
      if (isPrefixCached) cachedBlocks += 1;
      else record("stored", block);
      blocks.add(block);
    }
    while (blocks.size > maxBlocks) {
      const oldest = blocks.values().next().value!;
      blocks.delete(oldest);
      record("evicted", oldest);
    }
    return cachedBlocks * blockTokens;
  }

  function record(kind: CacheEvent["kind"], block: string): void {
    const event = { seq: nextSeq++, kind, block };
    if (random.next() < eventLossRatio) return;
    events.push({ event, visibleAtMs: getNowMs() + eventDelayMs });
    if (events.length > maxEvents) events.shift();
  }

  /** With `after` 0, returns the whole set of blocks for a resync. */
  function readEvents(after: number) {
    if (after === 0) {
      return { events: [], blocks: [...blocks], seq: nextSeq - 1 };
    }
    const nowMs = getNowMs();
    const visible = events
      .filter(({ event, visibleAtMs }) =>
        event.seq > after && visibleAtMs <= nowMs
      )
      .map(({ event }) => event);
    return { events: visible, seq: visible.at(-1)?.seq ?? after };
  }
}

export function getPrefixHash(prefix: string): string {
  return createHash("sha256").update(prefix).digest("hex").slice(0, 16);
}
