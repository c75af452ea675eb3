/**
 * Aggregates the load summaries of entry instances on a control instance: the
 * requests that each of them runs on the engines, and the engines that it has
 * just lost.
 *
 * Each entry instance reports its summary with its heartbeats to one control
 * instance, which replies with the sum of all others. Control instances
 * exchange the sums of the summaries that entry instances reported to them.
 */
import * as z from "zod";
import type { InstanceId, UpstreamId } from "../core/types.ts";

const upstreamIdSchema = z.string().min(1).max(200);

/** Upstream, running requests, uncached prompt tokens, tokens in KV caches. */
export const loadEntrySchema = z.tuple([
  upstreamIdSchema,
  z.int().min(0),
  z.number().min(0),
  z.number().min(0),
]);

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
});

export type LoadEntry = z.output<typeof loadEntrySchema>;
export type EngineLoadSummary = z.output<typeof engineLoadSummarySchema>;

export interface EngineLoadAggregator {
  record(
    fromId: InstanceId,
    summary: EngineLoadSummary,
    isControl: boolean,
  ): void;
  /** Whether the instance has recently reported to this control instance. */
  isReporting(instanceId: InstanceId): boolean;
  /** The sum of the reports of all instances but one. */
  aggregateOthers(exceptId: InstanceId): EngineLoadSummary;
  /** The sum of what entry instances reported to this control instance. */
  aggregateEntryReports(): EngineLoadSummary;
}

interface Report {
  readonly summary: EngineLoadSummary;
  readonly atMs: number;
  readonly isControl: boolean;
}

/** Three heartbeat intervals; requests no longer reported have ended. */
const maxReportAgeMs = 1_500;

export function createEngineLoadAggregator(
  { getNowMs }: { getNowMs(): number },
): EngineLoadAggregator {
  const reports = new Map<InstanceId, Report>();
  return {
    record: (fromId, summary, isControl) => {
      reports.set(fromId, { summary, atMs: getNowMs(), isControl });
    },
    isReporting: (instanceId) => {
      const report = reports.get(instanceId);
      return report !== undefined &&
        getNowMs() - report.atMs <= maxReportAgeMs;
    },
    aggregateOthers: (exceptId) => aggregate((fromId) => fromId !== exceptId),
    aggregateEntryReports: () =>
      aggregate((_fromId, { isControl }) => !isControl),
  };

  function aggregate(
    includes: (fromId: InstanceId, report: Report) => boolean,
  ): EngineLoadSummary {
    const oldestMs = getNowMs() - maxReportAgeMs;
    const totals = new Map<UpstreamId, LoadEntry>();
    const lostIds = new Set<UpstreamId>();
    const successors = new Map<UpstreamId, UpstreamId>();
    for (const [fromId, report] of reports) {
      if (report.atMs < oldestMs) {
        reports.delete(fromId);
        continue;
      }
      if (!includes(fromId, report)) continue;
      addToTotals(totals, report.summary.loads);
      for (const upstreamId of report.summary.lostIds) lostIds.add(upstreamId);
      for (const [formerId, newId] of report.summary.successors ?? []) {
        successors.set(formerId, newId);
      }
    }
    return {
      loads: [...totals.values()],
      lostIds: [...lostIds],
      ...(successors.size > 0 ? { successors: [...successors] } : {}),
    };
  }
}

function addToTotals(
  totals: Map<UpstreamId, LoadEntry>,
  entries: readonly LoadEntry[],
): void {
  for (
    const [upstreamId, running, uncachedPromptTokens, memoryTokenCount]
      of entries
  ) {
    const total = totals.get(upstreamId) ?? [upstreamId, 0, 0, 0];
    totals.set(upstreamId, [
      upstreamId,
      total[1] + running,
      total[2] + uncachedPromptTokens,
      total[3] + memoryTokenCount,
    ]);
  }
}
