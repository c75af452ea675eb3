/**
 * Decides when an instance knows a configuration to serve with after its start.
 *
 * A cached configuration is at least as new as the last one in force here.
 * Without a cache, the instance first compares its revision with those of its
 * peers, because the settings file may be older than the configuration it last
 * served with.
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

/**
 * Time to wait for the heartbeats of slow peers; after that, the revisions of
 * the reachable peers suffice.
 */
const waitForAllPeersMs = 2_000;

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
    view.sinceStartMs >= waitForAllPeersMs;
}
