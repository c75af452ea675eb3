/**
 * Repeats of requests that all entry instances together may send to a service,
 * counted in the sliding window in which the deployment's limit holds.
 *
 * The load of repeats is uneven: when a failure domain loses its engines, its
 * instances have to resume all their streams within a second, while the others
 * repeat nothing. Equal shares of the limit would hold these streams back while
 * most of the limit is unused. Instances therefore exchange their counts, and
 * each may draw its share of what was left of the whole limit at the last
 * report, less what it has drawn since: if all of them draw their part before
 * the next report, the limit still holds.
 *
 * The share follows the requests of the window, since an instance with many
 * requests has many streams that can lose their engines at once. With equal
 * shares, streams of busy instances waited 2.3 s in the mean for repeats in the
 * crashes of a day, while instances with one caller left theirs unused.
 *
 * The other part of the limit is granted on request by the control leader (see
 * `repeat_ledger.ts`), for instances that need more than their share at once.
 *
 * An instance that receives no reports draws less, because the others can't see
 * what it draws: a part of what was left at the last report, and after that of
 * its own equal share.
 */
import type { Clock } from "../core/clock.ts";
import type { RepeatCounts } from "../upstreams/engine_load_summary.ts";
import { createWindowCounter, type WindowCounter } from "./window_counter.ts";

export enum RepeatUrgency {
  /** The caller has received nothing. */
  Normal = "normal",
  /** The caller has received a part of the response. */
  Begun = "begun",
}

export interface RepeatWindow {
  recordRequest(service: string): void;
  /** Counts a repeat that was allowed by another limit. */
  recordRepeat(service: string): void;
  /** Counts a repeat that the leader granted. */
  recordGranted(service: string): void;
  /** Number of repeats that may be sent now without a grant. */
  getAvailable(service: string, urgency: RepeatUrgency): number;
  tryDraw(service: string, urgency: RepeatUrgency): boolean;
  /** This instance's counts in the window, for the other instances. */
  getCounts(): RepeatCounts[];
  /** Replaces the sums of the counts of all other instances. */
  setRemoteCounts(counts: readonly RepeatCounts[]): void;
}

export interface RepeatWindowOptions {
  readonly clock: Pick<Clock, "nowMs">;
  /** Permitted repeats as a ratio of the requests in the window. */
  readonly ratio: number;
  /** Repeats in the window that are permitted in addition. */
  readonly slack: number;
  getInstanceCount(): number;
  /** Whether the leader grants repeats of requests to the service. */
  usesGrants(service: string): boolean;
}

export const repeatWindowMs = 10_000;
/**
 * Age of what a report says of the other instances: half a heartbeat interval
 * each until control has their counts, has exchanged them with the other control
 * instances and replies, and as much for late messages.
 */
const reportAgeMs = 1_500;
/** Age of the other instances' counts when a report arrives. */
const countAgeMs = 1_000;
/** Later, reports are missing, and the others miss those of this instance. */
const maxReportAgeMs = 2_000;
/**
 * Part of the limit that the leader grants. In a crash of one of four failure
 * domains its instances need some 100 repeats of 480 within a second, and two
 * domains may crash within the window.
 */
export const grantedPart = 0.6;
/**
 * Parts of the limit that instances draw by themselves, with grants beside them
 * and without. The rest is for requests that are counted elsewhere at another
 * time.
 */
const sharedPart = 0.25;
const ungrantedPart = 0.85;
/**
 * Without reports the leader probably can't be reached, so instances draw more.
 * If control is lost right after the leader has granted its whole part, this and
 * the grants together are 0.95 of the limit.
 */
const outdatedPart = 0.35;
const unreportedPart = 0.35;
/**
 * Part of what is left that is divided equally, for instances whose first
 * requests the shares don't show yet.
 */
const equalPart = 0.1;
/** Parts of what is available that less urgent repeats leave to others. */
export const reservedParts: Readonly<Record<RepeatUrgency, number>> = {
  [RepeatUrgency.Normal]: 0.3,
  [RepeatUrgency.Begun]: 0,
};

interface ServiceCounts {
  readonly requests: WindowCounter;
  readonly repeats: WindowCounter;
  /** Repeats that the leader granted. */
  readonly granted: WindowCounter;
}

interface OwnRequests {
  readonly atMs: number;
  readonly countByService: ReadonlyMap<string, number>;
}

interface RemoteCounts {
  readonly requestCount: number;
  readonly repeatCount: number;
}

export function createRepeatWindow(
  { clock, ratio, slack, getInstanceCount, usesGrants }: RepeatWindowOptions,
): RepeatWindow {
  const services = new Map<string, ServiceCounts>();
  let remote: ReadonlyMap<string, RemoteCounts> = new Map();
  let reportedAtMs = -Infinity;
  /** Own requests in the window at the last reports, oldest first. */
  let history: OwnRequests[] = [];
  return {
    recordRequest: (service) => getCounts(service).requests.add(clock.nowMs()),
    recordRepeat,
    recordGranted: (service) => getCounts(service).granted.add(clock.nowMs()),
    getAvailable,
    tryDraw: (service, urgency) => {
      if (getAvailable(service, urgency) < 1) return false;
      recordRepeat(service);
      return true;
    },
    getCounts: () => {
      const nowMs = clock.nowMs();
      return [...services].map(([service, { requests, repeats, granted }]) => [
        service,
        requests.count(nowMs, repeatWindowMs),
        repeats.count(nowMs, repeatWindowMs),
        granted.count(nowMs, repeatWindowMs),
      ]);
    },
    setRemoteCounts: (counts) => {
      reportedAtMs = clock.nowMs();
      remote = new Map(
        counts.map(([service, requestCount, repeatCount]) => [
          service,
          { requestCount, repeatCount },
        ]),
      );
      recordOwnRequests();
    },
  };

  /**
   * Keeps the counts since the newest one that is as old as those of the other
   * instances: shares of figures of the same moment add up to 1.
   */
  function recordOwnRequests(): void {
    const countByService = new Map(
      [...services].map(([service, { requests }]) => [
        service,
        requests.count(reportedAtMs, repeatWindowMs),
      ]),
    );
    history.push({ atMs: reportedAtMs, countByService });
    const comparable = history.findLastIndex(({ atMs }) =>
      atMs <= reportedAtMs - countAgeMs
    );
    history = history.slice(Math.max(0, comparable));
  }

  function recordRepeat(service: string): void {
    getCounts(service).repeats.add(clock.nowMs());
  }

  function getAvailable(service: string, urgency: RepeatUrgency): number {
    const nowMs = clock.nowMs();
    const own = getCounts(service);
    const reportedMs = nowMs - reportedAtMs;
    // All own repeats that the report did not contain.
    const unseenMs = Math.max(reportAgeMs, reportedMs + countAgeMs);
    const state = {
      requestCount: own.requests.count(nowMs, repeatWindowMs),
      repeatCount: own.repeats.count(nowMs, repeatWindowMs),
      recentRepeatCount: own.repeats.count(
        nowMs,
        Math.min(repeatWindowMs, unseenMs),
      ),
      isReportCurrent: reportedMs <= maxReportAgeMs,
      usesGrants: usesGrants(service),
      remote: reportedMs <= repeatWindowMs
        ? remote.get(service) ?? { requestCount: 0, repeatCount: 0 }
        : undefined,
      equalShare: 1 / Math.max(1, getInstanceCount()),
      comparableCount: history[0]?.countByService.get(service) ?? 0,
    };
    return getAvailableRepeats(state, { ratio, slack, urgency });
  }

  function getCounts(service: string): ServiceCounts {
    let counts = services.get(service);
    if (!counts) {
      counts = {
        requests: createWindowCounter(repeatWindowMs),
        repeats: createWindowCounter(repeatWindowMs),
        granted: createWindowCounter(repeatWindowMs),
      };
      services.set(service, counts);
    }
    return counts;
  }
}

export interface RepeatState {
  /** Own requests and repeats in the window. */
  readonly requestCount: number;
  readonly repeatCount: number;
  /** Own repeats that the other instances may not know of yet. */
  readonly recentRepeatCount: number;
  /** Whether reports still arrive. */
  readonly isReportCurrent: boolean;
  /** The leader grants repeats beside those of this instance. */
  readonly usesGrants: boolean;
  /** Sums of the other instances; undefined without a report in the window. */
  readonly remote: RemoteCounts | undefined;
  /** Part of this instance if the limit were divided equally. */
  readonly equalShare: number;
  /** Own requests in the window when `remote` was counted. */
  readonly comparableCount: number;
}

/** Returns how many repeats this instance may send now. Pure. */
export function getAvailableRepeats(
  state: RepeatState,
  { ratio, slack, urgency }: {
    readonly ratio: number;
    readonly slack: number;
    readonly urgency: RepeatUrgency;
  },
): number {
  const { remote, equalShare, recentRepeatCount } = state;
  const usablePart = 1 - reservedParts[urgency];
  if (remote === undefined) {
    const ownLimit = ratio * state.requestCount + slack * equalShare;
    return unreportedPart * ownLimit * usablePart - state.repeatCount;
  }
  const limit = ratio * (state.requestCount + remote.requestCount) + slack;
  const knownRepeatCount = remote.repeatCount +
    state.repeatCount - recentRepeatCount;
  const currentPart = state.usesGrants ? sharedPart : ungrantedPart;
  const usedPart = state.isReportCurrent ? currentPart : outdatedPart;
  const part = (usedPart * limit - knownRepeatCount) * getShare(state, remote);
  return part * usablePart - recentRepeatCount;
}

function getShare(
  { comparableCount, equalShare }: RepeatState,
  { requestCount }: RemoteCounts,
): number {
  const sum = comparableCount + requestCount;
  const byRequests = sum > 0 ? comparableCount / sum : equalShare;
  return equalPart * equalShare + (1 - equalPart) * byRequests;
}
