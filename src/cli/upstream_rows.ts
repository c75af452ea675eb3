/**
 * The table rows that describe upstreams to operators.
 */
export interface ShownUpstream {
  readonly upstreamId: string;
  readonly kind: string;
  readonly service: string;
  readonly version: string;
  readonly domainId: string;
  readonly state: string;
  readonly inFlightCount: number;
  readonly isLeavingReported: boolean;
  /** Operators marked the upstream as leaving with a ticket. */
  readonly isMarkedLeaving: boolean;
}

export function formatUpstreams(
  upstreams: readonly ShownUpstream[],
): (string | number)[][] {
  return upstreams.map((entry) => {
    const isLeaving = entry.isLeavingReported || entry.isMarkedLeaving;
    return [
      entry.upstreamId,
      entry.kind,
      entry.service,
      entry.version || "-",
      entry.domainId,
      isLeaving ? "leaving" : entry.state,
      entry.inFlightCount,
    ];
  });
}
