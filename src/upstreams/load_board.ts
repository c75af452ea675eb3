/**
 * What entry instances have open at engines, collected by control instances.
 *
 * Each entry instance reports its own work with its heartbeats to one control
 * instance, which answers with the work of all others. Control instances tell
 * each other the sums of what was reported to them.
 */
import { z } from "zod";
import type { InstanceId, UpstreamId } from "../core/types.ts";

/** Upstream, running requests, prompt tokens to read, tokens in memory. */
export const loadEntrySchema = z.tuple([
  z.string().min(1).max(200),
  z.int().min(0),
  z.number().min(0),
  z.number().min(0),
]);

export const loadReportSchema = z.array(loadEntrySchema).max(10_000);

export type LoadEntry = z.output<typeof loadEntrySchema>;
export type LoadReport = z.output<typeof loadReportSchema>;

export interface LoadBoard {
  record(fromId: InstanceId, report: LoadReport, isControl: boolean): void;
  /** The work of all instances but one that reported here. */
  getOthers(exceptId: InstanceId): LoadReport;
  /** The work of the entry instances that report here. */
  getReported(): LoadReport;
}

interface Report {
  readonly entries: LoadReport;
  readonly atMs: number;
  readonly isControl: boolean;
}

/** Three heartbeats; work that nobody reports any more has ended. */
const maxAgeMs = 1_500;

export function createLoadBoard(
  { getNowMs }: { getNowMs(): number },
): LoadBoard {
  const reports = new Map<InstanceId, Report>();
  return {
    record: (fromId, entries, isControl) => {
      reports.set(fromId, { entries, atMs: getNowMs(), isControl });
    },
    getOthers: (exceptId) => sum(([fromId]) => fromId !== exceptId),
    getReported: () => sum(([, { isControl }]) => !isControl),
  };

  function sum(
    includes: (entry: readonly [InstanceId, Report]) => boolean,
  ): LoadReport {
    const oldestMs = getNowMs() - maxAgeMs;
    const totals = new Map<UpstreamId, LoadEntry>();
    for (const [fromId, report] of reports) {
      if (report.atMs < oldestMs) reports.delete(fromId);
      else if (includes([fromId, report])) addTo(totals, report.entries);
    }
    return [...totals.values()];
  }
}

function addTo(
  totals: Map<UpstreamId, LoadEntry>,
  entries: LoadReport,
): void {
  for (const [upstreamId, running, unread, memory] of entries) {
    const total = totals.get(upstreamId) ?? [upstreamId, 0, 0, 0];
    totals.set(upstreamId, [
      upstreamId,
      total[1] + running,
      total[2] + unread,
      total[3] + memory,
    ]);
  }
}
