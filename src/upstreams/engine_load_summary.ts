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
   * Requests for a service, in thousandths per second. Absent in summaries of
   * earlier builds.
   */
  demands: z.array(
    z.tuple([z.string().min(1).max(200), z.int().min(0)]).readonly(),
  ).max(10_000).optional(),
  /** Demand by service and failure domain. Absent in earlier builds. */
  domainDemands: z.array(domainDemandSchema).max(10_000).optional(),
});

export type DomainDemandEntry = z.output<typeof domainDemandSchema>;
export type LoadEntry = z.output<typeof loadEntrySchema>;
export type EngineLoadSummary = z.output<typeof engineLoadSummarySchema>;
