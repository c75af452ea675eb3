/**
 * Histograms of latencies in buckets of equal ratio, small enough to be sent
 * with every heartbeat.
 */
import * as z from "zod";

const bucketRatio = 1.2;
/** More than a day. */
const maxBucket = 100;

/** Bucket and count, without empty buckets. */
export const latencyHistogramSchema = z.array(
  z.tuple([z.int().min(0).max(maxBucket), z.int().min(0)]).readonly(),
).max(maxBucket + 1).readonly();

export type LatencyHistogram = z.output<typeof latencyHistogramSchema>;

/** Returns the bucket whose lower end is nearest below the latency. */
export function getBucket(latencyMs: number): number {
  const exact = Math.log(Math.max(1, latencyMs)) / Math.log(bucketRatio);
  return Math.min(maxBucket, Math.floor(exact));
}

export function countAll(histogram: LatencyHistogram): number {
  return histogram.reduce((sum, [, count]) => sum + count, 0);
}

/** Counts the latencies in buckets that lie wholly above the limit. */
export function countAbove(
  histogram: LatencyHistogram,
  limitMs: number,
): number {
  return histogram.reduce(
    (sum, [bucket, count]) =>
      bucketRatio ** bucket >= limitMs ? sum + count : sum,
    0,
  );
}

/** Adds the second histogram `factor` times, which may be negative. */
export function addHistogram(
  histogram: LatencyHistogram,
  added: LatencyHistogram,
  factor = 1,
): LatencyHistogram {
  const counts = new Map(histogram);
  for (const [bucket, count] of added) {
    counts.set(bucket, (counts.get(bucket) ?? 0) + factor * count);
  }
  return [...counts].filter(([, count]) => count > 0);
}

export interface LatencyCounter {
  record(latencyMs: number): void;
  getHistogram(): LatencyHistogram;
}

export function createLatencyCounter(): LatencyCounter {
  const counts = new Map<number, number>();
  return {
    record: (latencyMs) => {
      const bucket = getBucket(latencyMs);
      counts.set(bucket, (counts.get(bucket) ?? 0) + 1);
    },
    getHistogram: () => [...counts],
  };
}
