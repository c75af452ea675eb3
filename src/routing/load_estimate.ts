/**
 * Estimates the requests an engine has open, from this instance's own work and
 * from a load report that is old by the time it is used.
 */

export interface LoadInput {
  /** Requests this instance has open at the engine. */
  readonly ownCount: number;
  readonly report: {
    readonly totalCount: number;
    /** This instance's requests there when the report arrived. */
    readonly ownCount: number;
    readonly ageMs: number;
  } | undefined;
}

export interface LoadContext {
  /** Entry instances that send work to the same engines. */
  readonly instanceCount: number;
  /** Mean work of other instances per engine, for engines without a report. */
  readonly meanOtherCount: number;
}

/** After 2 s half of a report has given way to the mean over the engines. */
const halfLifeMs = 2_000;

export function getReportWeight(ageMs: number): number {
  return 0.5 ** (Math.max(0, ageMs) / halfLifeMs);
}

/** Requests of other instances according to the report. */
export function getOtherCount({ report }: LoadInput): number {
  return report ? Math.max(0, report.totalCount - report.ownCount) : 0;
}

export function estimateLoad(input: LoadInput, context: LoadContext): number {
  const { ownCount, report } = input;
  const otherInstances = Math.max(0, context.instanceCount - 1);
  if (!report) return ownCount + context.meanOtherCount;
  const weight = getReportWeight(report.ageMs);
  const others = getOtherCount(input) * weight +
    context.meanOtherCount * (1 - weight);
  // The other instances read the same report and react to it as this one does,
  // so what this instance sent since then is expected from each of them.
  const sentSince = Math.max(0, ownCount - report.ownCount);
  return ownCount + others + sentSince * otherInstances;
}
