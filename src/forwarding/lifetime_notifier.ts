/**
 * Tells the users of the directory that an address has passed to another id, so
 * that what ran at the former id is lost.
 */
import type { UpstreamId } from "../core/types.ts";
import type { ListedUpstream } from "../upstreams/upstream_view.ts";

/** Called with the former id. */
export type LifetimeListener = (upstreamId: UpstreamId, reason: string) => void;

export interface LifetimeNotifier {
  subscribe(listener: LifetimeListener): void;
  notify: LifetimeListener;
  /** Compares a new list with the upstreams that were known before it. */
  notifyOfList(
    known: Iterable<{ readonly info: ListedUpstream }>,
    listed: readonly ListedUpstream[],
  ): void;
}

export function createLifetimeNotifier(): LifetimeNotifier {
  const listeners: LifetimeListener[] = [];
  return {
    subscribe: (listener) => listeners.push(listener),
    notify,
    notifyOfList,
  };

  function notify(upstreamId: UpstreamId, reason: string): void {
    for (const listener of listeners) listener(upstreamId, reason);
  }

  function notifyOfList(
    known: Iterable<{ readonly info: ListedUpstream }>,
    listed: readonly ListedUpstream[],
  ): void {
    const former = [...known].map(({ info }) => info);
    const formerIds = new Set(former.map(({ upstreamId }) => upstreamId));
    const added = new Map(
      listed.filter(({ upstreamId }) => !formerIds.has(upstreamId))
        .map((info) => [toAddress(info), info.upstreamId]),
    );
    if (added.size === 0) return;
    for (const info of former) {
      const successorId = added.get(toAddress(info));
      if (successorId === undefined) continue;
      notify(info.upstreamId, `the list names ${successorId} at its address`);
    }
  }
}

function toAddress({ host, port }: ListedUpstream): string {
  return `${host}:${port}`;
}
