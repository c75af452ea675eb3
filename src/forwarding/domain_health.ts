/**
 * Notices when a whole failure domain is lost: crashes and partitions take most
 * of the upstreams of one domain within a moment, and an instance hears of each
 * of them only by using it. Pure state without clock or input and output.
 */
import type { DomainId, UpstreamId } from "../core/types.ts";

export interface DomainHealth {
  recordLost(domainId: DomainId, upstreamId: UpstreamId, nowMs: number): void;
  isSuspect(domainId: DomainId, nowMs: number): boolean;
}

interface Loss {
  readonly upstreamId: UpstreamId;
  readonly atMs: number;
}

/** Losses further apart than this are taken for separate ones. */
const lossWindowMs = 1_000;
/** One upstream alone says nothing about its domain. */
const minLostUpstreams = 2;
/** Crashed engines are back after little more than a second. */
const suspicionMs = 1_300;

export function createDomainHealth(): DomainHealth {
  const losses = new Map<DomainId, Loss[]>();
  const suspectUntilMs = new Map<DomainId, number>();
  return {
    recordLost,
    isSuspect: (domainId, nowMs) =>
      nowMs < (suspectUntilMs.get(domainId) ?? -Infinity),
  };

  function recordLost(
    domainId: DomainId,
    upstreamId: UpstreamId,
    nowMs: number,
  ): void {
    const recent = (losses.get(domainId) ?? []).filter(({ atMs }) =>
      nowMs - atMs <= lossWindowMs
    );
    recent.push({ upstreamId, atMs: nowMs });
    losses.set(domainId, recent);
    const lost = new Set(recent.map((loss) => loss.upstreamId));
    if (lost.size < minLostUpstreams) return;
    suspectUntilMs.set(domainId, nowMs + suspicionMs);
  }
}
