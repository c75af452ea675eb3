/**
 * Evidence about versions: counts of outcomes per route and load bucket.
 *
 * Latencies are counted in logarithmic bins, so that batches of several
 * instances can be added up and a batch stays small at any traffic rate.
 */
import * as z from "zod";

/** Bin counts as pairs of bin and count; absent bins are zero. */
const binsSchema = z.array(z.tuple([z.int().min(0).max(255), z.int().min(1)]));

/**
 * Callers choose the route names; routes beyond `maxRoutes` are counted as one.
 */
const routeSchema = z.string().regex(/^[a-z0-9-]{1,63}$/);
export const maxRoutes = 16;
export const otherRoute = "other";

export const evidenceCellSchema = z.object({
  route: routeSchema,
  loadBucket: z.int().min(0).max(15),
  isCandidate: z.boolean(),
  /** Attempts that produced a first token, or failed before it. */
  attemptCount: z.int().min(0),
  /** Failures of attempts on an engine that is still alive. */
  failureCount: z.int().min(0),
  firstTokenBins: binsSchema,
  tokenGapBins: binsSchema,
});

export type EvidenceCell = z.output<typeof evidenceCellSchema>;
export type Bins = EvidenceCell["firstTokenBins"];

/** Each bin is 5% wide, so 256 bins cover 0.5 ms to about two minutes. */
const binRatio = 1.05;
const smallestLatencyMs = 0.5;
export const latencyBinCount = 256;

export function getLatencyBin(latencyMs: number): number {
  const bin = Math.floor(
    Math.log(latencyMs / smallestLatencyMs) / Math.log(binRatio),
  );
  return Math.min(latencyBinCount - 1, Math.max(0, bin));
}

const loadBucketStarts = [0, 2, 4, 6, 8, 11, 15, 20, 28, 40, 56, 80, 112, 160];

export const loadBucketCount = loadBucketStarts.length;

/**
 * Returns the bucket of a batch size or a reported load. Only outcomes in the
 * same bucket are compared with each other.
 */
export function getLoadBucket(requestCount: number): number {
  let bucket = 0;
  while (
    bucket + 1 < loadBucketStarts.length &&
    requestCount >= loadBucketStarts[bucket + 1]!
  ) bucket++;
  return bucket;
}

export function describeLoadBucket(bucket: number): string {
  const from = loadBucketStarts[bucket] ?? 0;
  const next = loadBucketStarts[bucket + 1];
  return next === undefined ? `${from} or more` : `${from} to ${next - 1}`;
}
