/**
 * Tracks for how long an open answer has had no reader.
 */
import type { Clock } from "../core/clock.ts";
import type { AnswerId } from "../core/types.ts";

export interface ReaderPresence {
  add(answerId: AnswerId): void;
  remove(answerId: AnswerId): void;
  trackRead<T>(answerId: AnswerId, read: () => Promise<T>): Promise<T>;
  /** Returns 0 while a reader waits, and for an unknown answer. */
  getTimeWithoutReaderMs(answerId: AnswerId): number;
}

interface Presence {
  readerCount: number;
  lastSeenAtMs: number;
}

export function createReaderPresence(clock: Clock): ReaderPresence {
  const presences = new Map<AnswerId, Presence>();
  return {
    add: (answerId) => {
      presences.set(answerId, { readerCount: 0, lastSeenAtMs: clock.nowMs() });
    },
    remove: (answerId) => {
      presences.delete(answerId);
    },
    trackRead,
    getTimeWithoutReaderMs: (answerId) => {
      const presence = presences.get(answerId);
      if (!presence || presence.readerCount > 0) return 0;
      return clock.nowMs() - presence.lastSeenAtMs;
    },
  };

  async function trackRead<T>(
    answerId: AnswerId,
    read: () => Promise<T>,
  ): Promise<T> {
    const presence = presences.get(answerId);
    if (presence) presence.readerCount += 1;
    try {
      return await read();
    } finally {
      if (presence) {
        presence.readerCount -= 1;
        presence.lastSeenAtMs = clock.nowMs();
      }
    }
  }
}
