/**
 * Aggregates the load summaries of entry instances on a control instance: the
 * requests that each of them runs on the engines, and the engines that it has
 * just lost.
 *
 * Each entry instance reports its summary with its heartbeats to one control
 * instance, which replies with the sum of all others. Control instances
 * exchange the sums of the summaries that entry instances reported to them.
 *
 * The sums are kept up to date with each report, so that a reply does not cost
 * more with every instance.
 */
import type { InstanceId } from "../core/types.ts";
import type { EngineLoadSummary } from "./engine_load_summary.ts";
import { createLoadTotals, type RepeatTotal } from "./load_totals.ts";

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
  /** Counts of all entry instances; undefined if none has requests. */
  getRepeatCounts(service: string): RepeatTotal | undefined;
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
  /** Oldest first, because a new report is inserted at the end. */
  const reports = new Map<InstanceId, Report>();
  const allTotals = createLoadTotals();
  const entryTotals = createLoadTotals();
  return {
    record: (fromId, summary, isControl) => {
      remove(fromId);
      reports.set(fromId, { summary, atMs: getNowMs(), isControl });
      allTotals.add(summary);
      if (!isControl) entryTotals.add(summary);
    },
    isReporting: (instanceId) => {
      removeOutdated();
      return reports.has(instanceId);
    },
    aggregateOthers: (exceptId) => {
      removeOutdated();
      return allTotals.getSummaryWithout(reports.get(exceptId)?.summary);
    },
    aggregateEntryReports: () => {
      removeOutdated();
      return entryTotals.getSummaryWithout(undefined);
    },
    getRepeatCounts: (service) => {
      removeOutdated();
      return allTotals.getRepeatCounts(service);
    },
  };

  function removeOutdated(): void {
    const oldestMs = getNowMs() - maxReportAgeMs;
    for (const [fromId, { atMs }] of reports) {
      if (atMs >= oldestMs) return;
      remove(fromId);
    }
  }

  function remove(fromId: InstanceId): void {
    const report = reports.get(fromId);
    if (!report) return;
    reports.delete(fromId);
    allTotals.subtract(report.summary);
    if (!report.isControl) entryTotals.subtract(report.summary);
  }
}
