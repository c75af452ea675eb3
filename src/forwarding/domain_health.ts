/**
 * Detects the loss of a whole failure domain. A crash or a partition takes most
 * upstreams of a domain at once, but an instance detects the loss of a single
 * upstream only by using it. Holds state only; performs no I/O and reads no
 * clock.
 */
import type { DomainId, UpstreamId } from "../core/types.ts";

export interface DomainHealth {
  recordLoss(domainId: DomainId, upstreamId: UpstreamId, nowMs: number): void;
  /** Records that lost upstreams of the domain are back. */
  recordRecovery(domainId: DomainId): void;
  isSuspected(domainId: DomainId, nowMs: number): boolean;
}

interface Loss {
  readonly upstreamId: UpstreamId;
  readonly atMs: number;
}

/** Losses further apart than this count as unrelated. */
const lossWindowMs = 1_000;
/** The loss of a single upstream is no evidence about its domain. */
const minLostUpstreams = 2;
/** Crashed engines restart in little more than a second. */
const suspicionDurationMs = 1_300;

export function createDomainHealth(): DomainHealth {
  const losses = new Map<DomainId, Loss[]>();
  const suspectedUntilMs = new Map<DomainId, number>();
  return {
    recordLoss,
    recordRecovery: (domainId) => {
      losses.delete(domainId);
      suspectedUntilMs.delete(domainId);
    },
    isSuspected: (domainId, nowMs) =>
      nowMs < (suspectedUntilMs.get(domainId) ?? -Infinity),
  };

  function recordLoss(
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
    suspectedUntilMs.set(domainId, nowMs + suspicionDurationMs);
  }
}
