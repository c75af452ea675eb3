/**
 * The load that entry instances put on engines, as instances exchange it.
 */
import * as z from "zod";

const upstreamIdSchema = z.string().min(1).max(200);

/** Upstream, running requests, uncached prompt tokens, tokens in KV caches. */
export const loadEntrySchema = z.tuple([
  upstreamIdSchema,
  z.int().min(0),
  z.number().min(0),
  z.number().min(0),
]);

/**
 * Service, requests, repeats that instances drew on their shares, and repeats
 * that the leader granted.
 */
export const repeatCountsSchema = z.tuple([
  z.string().min(1).max(200),
  z.int().min(0),
  z.int().min(0),
  z.int().min(0),
]).readonly();

/**
 * Upstream, number of calls, their time in tenths of a millisecond, number of
 * prompts, their tokens, and the milliseconds to their first events: the
 * samples of the last 8 to 10 s. Whole numbers, so that sums are exact.
 */
export const speedEntrySchema = z.tuple([
  upstreamIdSchema,
  z.int().min(0),
  z.int().min(0),
  z.int().min(0),
  z.int().min(0),
  z.int().min(0),
]);

/** Service, rank, streams in thousandths per second, prompt tokens per second. */
export const rankDemandSchema = z.tuple([
  z.string().min(1).max(200),
  z.int().min(0).max(9),
  z.int().min(0),
  z.int().min(0),
]).readonly();

/**
 * Service, failure domain of the callers, and in thousandths per second their
 * requests and prompt tokens.
 */
const domainDemandSchema = z.tuple([
  z.string().min(1).max(200),
  z.string().min(1).max(200),
  z.int().min(0),
  z.int().min(0),
]).readonly();

export const engineLoadSummarySchema = z.object({
  loads: z.array(loadEntrySchema).max(10_000),
  /** Engines that were lost recently. */
  lostIds: z.array(upstreamIdSchema).max(10_000),
  /**
   * Engines that restarted under another id, as former and new id. Absent in
   * summaries of earlier builds.
   */
  successors: z.array(
    z.tuple([upstreamIdSchema, upstreamIdSchema]).readonly(),
  ).max(10_000).optional(),
  /**
   * Speeds of upstreams that responded recently, at most one entry each. Absent
   * in summaries of earlier builds, which also leave it out of their sums.
   */
  speeds: z.array(speedEntrySchema).max(10_000).optional(),
  /**
   * Requests for a service, in thousandths per second. Absent in summaries of
   * earlier builds.
   */
  demands: z.array(
    z.tuple([z.string().min(1).max(200), z.int().min(0)]).readonly(),
  ).max(10_000).optional(),
  /**
   * Requests and repeats in the window in which repeats are limited. Absent in
   * summaries of earlier builds.
   */
  repeats: z.array(repeatCountsSchema).max(10_000).optional(),
  /**
   * Streams that arrive, by rank, of services that rank their streams. Absent in
   * summaries of earlier builds.
   */
  rankDemands: z.array(rankDemandSchema).max(10_000).optional(),
  /** Demand by service and failure domain. Absent in earlier builds. */
  domainDemands: z.array(domainDemandSchema).max(10_000).optional(),
});

export type RepeatCounts = z.output<typeof repeatCountsSchema>;
export type RankDemandEntry = z.output<typeof rankDemandSchema>;
export type DomainDemandEntry = z.output<typeof domainDemandSchema>;
export type LoadEntry = z.output<typeof loadEntrySchema>;
export type SpeedEntry = z.output<typeof speedEntrySchema>;
export type EngineLoadSummary = z.output<typeof engineLoadSummarySchema>;
