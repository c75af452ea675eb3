/**
 * Decides when a started instance knows a configuration it may serve with.
 *
 * A cached configuration is at least the last one in force here. Without one,
 * the instance compares its revision with that of its peers first, because the
 * settings file may be older than what it served with before.
 */

export interface StartupView {
  readonly hasCache: boolean;
  readonly isListRead: boolean;
  readonly ownRevision: number;
  /** Other listed instances. */
  readonly members: readonly {
    readonly isReachable: boolean;
    readonly revision: number;
  }[];
  readonly sinceStartMs: number;
}

/** Time for heartbeats of slow peers; later the reachable ones suffice. */
const waitForAllMs = 2_000;

export function isStartupComplete(view: StartupView): boolean {
  if (view.hasCache) return true;
  if (!view.isListRead) return false;
  if (view.members.length === 0) return true;
  const reachable = view.members.filter((member) => member.isReachable);
  if (reachable.length === 0) return false;
  if (reachable.some((member) => member.revision > view.ownRevision)) {
    return false;
  }
  return reachable.length === view.members.length ||
    view.sinceStartMs >= waitForAllMs;
}
