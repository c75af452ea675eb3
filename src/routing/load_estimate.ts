/**
 * Estimates the number of open requests at an engine from this instance's own
 * requests and from a load report that is outdated by the time it is used.
 */

export interface LoadInput {
  /** Requests that this instance has open at the engine. */
  readonly ownCount: number;
  readonly report: {
    readonly totalCount: number;
    /** Requests that this instance had open there when the report arrived. */
    readonly ownCount: number;
    readonly ageMs: number;
  } | undefined;
}

export interface LoadContext {
  /** Number of entry instances that send requests to the same engines. */
  readonly instanceCount: number;
  /**
   * Mean number of open requests of other instances per engine, used for
   * engines without a report.
   */
  readonly meanOtherCount: number;
}

/** After this age a report counts half, and the mean over the engines half. */
const halfLifeMs = 2_000;

export function getReportWeight(ageMs: number): number {
  return 0.5 ** (Math.max(0, ageMs) / halfLifeMs);
}

/** Open requests of other instances according to the report. */
export function getOtherCount({ report }: LoadInput): number {
  return report ? Math.max(0, report.totalCount - report.ownCount) : 0;
}

export function estimateLoad(input: LoadInput, context: LoadContext): number {
  const { ownCount, report } = input;
  const otherInstanceCount = Math.max(0, context.instanceCount - 1);
  if (!report) return ownCount + context.meanOtherCount;
  const weight = getReportWeight(report.ageMs);
  const others = getOtherCount(input) * weight +
    context.meanOtherCount * (1 - weight);
  // The other instances read the same report and react to it in the same way,
  // so each of them is expected to have sent as many requests since the report.
  const sentSinceReport = Math.max(0, ownCount - report.ownCount);
  return ownCount + others + sentSinceReport * otherInstanceCount;
}
