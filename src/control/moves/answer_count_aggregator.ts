/**
 * Sums the answers of each version over all entry instances.
 *
 * Entry instances report their totals since their start to all control
 * instances with every heartbeat, so that a new leader has the evidence without
 * replication and a lost heartbeat loses no counts.
 */
import type { InstanceId } from "../../core/types.ts";
import type { AnswerReport, TypicalLatencies } from "./answer_reports.ts";
import { addHistogram, type LatencyHistogram } from "./latency_histogram.ts";
import type { AnswerCounts } from "./answer_counts.ts";

export interface AnswerTotals extends AnswerCounts {
  readonly durations: LatencyHistogram;
  readonly paces: LatencyHistogram;
  readonly abandoned: LatencyHistogram;
  readonly waiting: LatencyHistogram;
}

/** Means over all instances; undefined without enough answers. */
export interface TypicalMeans {
  readonly durationMs: number | undefined;
  readonly paceMs: number | undefined;
}

export interface AnswerCountAggregator {
  record(
    from: { readonly instanceId: InstanceId; readonly incarnation: number },
    report: AnswerReport,
  ): void;
  getTotal(service: string, versions: readonly string[]): AnswerTotals;
  getTypical(service: string): TypicalMeans;
}

interface StoredReport {
  readonly report: AnswerReport;
  readonly atMs: number;
}

/** Covers every instance and its restarts during a move. */
const maxReports = 4_000;
/** Streams that a silent instance waited for are no longer known to wait. */
const maxWaitingAgeMs = 2_000;
const minTypicalCount = 10;

export function createAnswerCountAggregator(
  { getNowMs }: { getNowMs(): number },
): AnswerCountAggregator {
  const reports = new Map<string, StoredReport>();
  return {
    record: ({ instanceId, incarnation }, report) => {
      const key = `${instanceId}/${incarnation}`;
      reports.delete(key);
      reports.set(key, { report, atMs: getNowMs() });
      if (reports.size <= maxReports) return;
      reports.delete(reports.keys().next().value!);
    },
    getTotal,
    getTypical: (service) => ({
      durationMs: getMean(service, ({ durationCount, durationMs }) => ({
        count: durationCount,
        meanMs: durationMs,
      })),
      paceMs: getMean(service, ({ paceCount, paceMs }) => ({
        count: paceCount,
        meanMs: paceMs,
      })),
    }),
  };

  function getTotal(
    service: string,
    versions: readonly string[],
  ): AnswerTotals {
    let total = getEmptyTotals();
    const oldestWaitingMs = getNowMs() - maxWaitingAgeMs;
    for (const { report, atMs } of reports.values()) {
      for (const [name, version, answered, bad] of report.answers) {
        if (name !== service || !versions.includes(version)) continue;
        total = {
          ...total,
          answeredCount: total.answeredCount + answered,
          badCount: total.badCount + bad,
        };
      }
      for (const latencies of report.latencies) {
        if (latencies.service !== service) continue;
        if (!versions.includes(latencies.version)) continue;
        total = {
          ...total,
          durations: addHistogram(total.durations, latencies.durations),
          paces: addHistogram(total.paces, latencies.paces),
          abandoned: addHistogram(total.abandoned, latencies.abandoned),
          waiting: atMs < oldestWaitingMs
            ? total.waiting
            : addHistogram(total.waiting, latencies.waiting),
        };
      }
    }
    return total;
  }

  function getMean(
    service: string,
    select: (typical: TypicalLatencies) => { count: number; meanMs: number },
  ): number | undefined {
    let totalCount = 0;
    let sumMs = 0;
    for (const { report } of reports.values()) {
      for (const typical of report.typical) {
        if (typical.service !== service) continue;
        const { count, meanMs } = select(typical);
        totalCount += count;
        sumMs += count * meanMs;
      }
    }
    return totalCount < minTypicalCount ? undefined : sumMs / totalCount;
  }
}

export function getEmptyTotals(): AnswerTotals {
  return {
    answeredCount: 0,
    badCount: 0,
    durations: [],
    paces: [],
    abandoned: [],
    waiting: [],
  };
}

/** What was counted after `before`. */
export function subtractTotals(
  total: AnswerTotals,
  before: AnswerTotals,
): AnswerTotals {
  return {
    answeredCount: total.answeredCount - before.answeredCount,
    badCount: total.badCount - before.badCount,
    durations: addHistogram(total.durations, before.durations, -1),
    paces: addHistogram(total.paces, before.paces, -1),
    abandoned: addHistogram(total.abandoned, before.abandoned, -1),
    waiting: total.waiting,
  };
}
