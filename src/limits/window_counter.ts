/**
 * Counts events of a sliding window in buckets; the oldest bucket counts in full,
 * so a count is never too low.
 */

export interface WindowCounter {
  add(nowMs: number, count?: number): void;
  /** Counts the events of the last `spanMs`, at most those of the window. */
  count(nowMs: number, spanMs: number): number;
}

const bucketMs = 250;

export function createWindowCounter(windowMs: number): WindowCounter {
  const buckets: { readonly startMs: number; count: number }[] = [];
  return {
    add: (nowMs, count = 1) => {
      const last = buckets.at(-1);
      if (last && nowMs - last.startMs < bucketMs) last.count += count;
      else buckets.push({ startMs: nowMs, count });
      removeOld(nowMs);
    },
    count: (nowMs, spanMs) => {
      removeOld(nowMs);
      let sum = 0;
      for (let index = buckets.length - 1; index >= 0; index--) {
        const { startMs, count } = buckets[index]!;
        if (nowMs - startMs >= spanMs + bucketMs) break;
        sum += count;
      }
      return sum;
    },
  };

  function removeOld(nowMs: number): void {
    while (
      buckets.length > 0 &&
      nowMs - buckets[0]!.startMs >= windowMs + bucketMs
    ) buckets.shift();
  }
}
