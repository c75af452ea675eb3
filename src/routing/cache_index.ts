/**
 * Bounded index of the prompt prefixes in the engines' caches, built from their
 * cache events.
 *
 * The index is only a hint: a wrong entry costs a prefill but does not affect
 * correctness. Events after a gap are therefore still applied, and the whole
 * set is read again once the minimum resync interval has passed.
 */
import type { Clock } from "../core/clock.ts";
import type { UpstreamId } from "../core/types.ts";

export interface CacheEvent {
  readonly seq: number;
  readonly kind: "stored" | "evicted";
  readonly block: string;
}

export interface CacheEventsPage {
  readonly events: readonly CacheEvent[];
  /** The whole set of blocks, present in the reply to a resync. */
  readonly blocks?: readonly string[] | undefined;
  /** Sequence number up to which the page is complete. */
  readonly seq: number;
}

export interface CacheIndex {
  /** Sequence number after which to read events; 0 requests the whole set. */
  getPollCursor(upstreamId: UpstreamId): number;
  /** Returns true when the page revealed a gap. */
  applyPage(upstreamId: UpstreamId, page: CacheEventsPage): boolean;
  /** Number of leading blocks of the prompt that the engine holds. */
  getCachedBlockCount(
    upstreamId: UpstreamId,
    blocks: readonly string[],
  ): number;
  getBlockCount(): number;
  /** Discards the entries of an engine that lost its cache, as by a restart. */
  invalidate(upstreamId: UpstreamId): void;
}

export interface CacheIndexOptions {
  readonly clock: Clock;
  /** Limit of blocks over all engines; each engine gets an equal part. */
  readonly maxBlocks: number;
}

interface EngineCache {
  /** In insertion order, so that the oldest block is evicted first. */
  readonly blocks: Set<string>;
  seq: number;
  isResyncNeeded: boolean;
  resyncedAtMs: number;
}

/**
 * Limits how often a whole set is read: 2,000 blocks are about 40 KB, and an
 * engine that loses 2% of its events would otherwise cause a resync at every
 * poll.
 */
const minResyncIntervalMs = 5_000;
/** Recovers from events lost at the end of the sequence and engine restarts. */
const maxResyncIntervalMs = 60_000;
const minBlocksPerEngine = 64;

export function createCacheIndex(
  { clock, maxBlocks }: CacheIndexOptions,
): CacheIndex {
  const caches = new Map<UpstreamId, EngineCache>();
  return {
    getPollCursor,
    applyPage,
    getCachedBlockCount,
    getBlockCount,
    invalidate: (upstreamId) => {
      caches.delete(upstreamId);
    },
  };

  function getPollCursor(upstreamId: UpstreamId): number {
    const cache = caches.get(upstreamId);
    if (!cache) return 0;
    const ageMs = clock.nowMs() - cache.resyncedAtMs;
    if (cache.isResyncNeeded && ageMs >= minResyncIntervalMs) return 0;
    return ageMs >= maxResyncIntervalMs ? 0 : cache.seq;
  }

  function applyPage(upstreamId: UpstreamId, page: CacheEventsPage): boolean {
    if (page.blocks) {
      resync(upstreamId, page.blocks, page.seq);
      return false;
    }
    const cache = caches.get(upstreamId);
    if (!cache) return false;
    const events = [...page.events]
      .sort((left, right) => left.seq - right.seq);
    let hasGap = false;
    for (const event of events) {
      if (event.seq <= cache.seq) continue; // late or repeated
      if (event.seq !== cache.seq + 1) hasGap = true;
      cache.seq = event.seq;
      cache.blocks.delete(event.block);
      if (event.kind === "stored") cache.blocks.add(event.block);
    }
    if (page.seq > cache.seq) {
      hasGap = true;
      cache.seq = page.seq;
    }
    cache.isResyncNeeded ||= hasGap;
    evictOldest(cache);
    return hasGap;
  }

  function resync(
    upstreamId: UpstreamId,
    blocks: readonly string[],
    seq: number,
  ): void {
    const cache: EngineCache = {
      blocks: new Set(blocks),
      seq,
      isResyncNeeded: false,
      resyncedAtMs: clock.nowMs(),
    };
    caches.set(upstreamId, cache);
    evictOldest(cache);
  }

  function evictOldest(cache: EngineCache): void {
    const limit = Math.max(
      minBlocksPerEngine,
      Math.floor(maxBlocks / Math.max(1, caches.size)),
    );
    for (const block of cache.blocks) {
      if (cache.blocks.size <= limit) break;
      cache.blocks.delete(block);
    }
  }

  function getCachedBlockCount(
    upstreamId: UpstreamId,
    blocks: readonly string[],
  ): number {
    const cache = caches.get(upstreamId);
    if (!cache) return 0;
    let count = 0;
    while (count < blocks.length && cache.blocks.has(blocks[count]!)) {
      count += 1;
    }
    return count;
  }

  function getBlockCount(): number {
    let count = 0;
    for (const cache of caches.values()) count += cache.blocks.size;
    return count;
  }
}
