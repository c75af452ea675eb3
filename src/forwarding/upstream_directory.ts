/**
 * The upstreams that an entry instance knows: their entries in the list, the
 * load that this instance puts on them, and their recent responses and losses.
 */
import type { Clock } from "../core/clock.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import type { DomainId, UpstreamId } from "../core/types.ts";
import type { AnswerReport } from "../control/moves/answer_reports.ts";
import type { Random } from "../core/random.ts";
import type { EngineLoadSummary } from "../upstreams/engine_load_summary.ts";
import type { ListedUpstream } from "../upstreams/upstream_view.ts";
import { createDomainHealth, type DomainHealth } from "./domain_health.ts";
import type { ReportedLoad } from "./forwarding_protocol.ts";
import {
  createLifetimeNotifier,
  type LifetimeListener,
} from "./lifetime_notifier.ts";
import {
  createPrefillRateTracker,
  type PrefillRateTracker,
} from "./stream_admission.ts";
import { createServiceSpeeds } from "./service_speeds.ts";
import {
  createCopyLoad,
  createRequestLoad,
  createUpstreamEntry,
  type UpstreamEntry as Entry,
  zeroLoad,
} from "./upstream_entry.ts";
import type {
  CopyLoad,
  RequestLoad,
  Successor,
  Upstream,
} from "./upstream_types.ts";
import {
  type AnswerWait,
  createVersionAnswerCounter,
  listMultiVersionServices,
} from "./version_answers.ts";

export interface UpstreamDirectory {
  update(listed: readonly ListedUpstream[]): void;
  /**
   * Lists the upstreams of the service that may get new requests. Each call
   * chooses at random between those of a candidate version and the others.
   */
  listUsable(service: string): Upstream[];
  get(upstreamId: UpstreamId): Upstream | undefined;
  /** Counts a request at the upstream until its load is released. */
  trackRequest(upstreamId: UpstreamId): RequestLoad;
  /** Counts the tokens of a copy at the upstream until its load is released. */
  trackCopy(upstreamId: UpstreamId, tokens: number): CopyLoad;
  recordLoad(upstreamId: UpstreamId, load: ReportedLoad): void;
  /** Records that any bytes were received from the upstream. */
  recordActivity(upstreamId: UpstreamId): void;
  /** `durationMs` is undefined if it says nothing about the upstream. */
  recordSuccess(upstreamId: UpstreamId, durationMs: number | undefined): void;
  /** Records an error response of the upstream. */
  recordFailure(upstreamId: UpstreamId): void;
  /** Records the time of a call that succeeded, with the load of its response. */
  recordCallDuration(upstreamId: UpstreamId, durationMs: number): void;
  /** Records the time per event at the beginning of a stream. */
  recordPace(upstreamId: UpstreamId, paceMs: number): void;
  /** Counts a stream that waits for its first event, until the wait ends. */
  trackWait(upstreamId: UpstreamId): AnswerWait;
  /** Answers by version, if a service has several versions. */
  getAnswerReport(): AnswerReport | undefined;
  /** Records that the response to a non-streaming call was incomplete. */
  recordIncompleteResponse(upstreamId: UpstreamId): void;
  /** Records that the upstream reset or refused a connection, or is silent. */
  recordLoss(upstreamId: UpstreamId, reason: string): void;
  /** Records that the upstream refused a request without running it. */
  recordRefusal(upstreamId: UpstreamId): void;
  /** Records that the upstream wants no requests from this instance so long. */
  recordWait(upstreamId: UpstreamId, waitMs: number): void;
  /** Records that another upstream has taken over the address. */
  recordAddressReuse(upstreamId: UpstreamId): void;
  /**
   * Uses the successor until the list names it or no longer names its
   * predecessor, which gets no more requests.
   */
  addSuccessor(successor: Successor): void;
  /** Calls back when another id has the address of an upstream. */
  onAddressTaken(listener: LifetimeListener): void;
  /** Number of versions of the service among its listed upstreams. */
  countVersions(service: string): number;
  /** Prefill rates that this instance observed at engines of the service. */
  getPrefillRateTracker(service: string): PrefillRateTracker;
  /**
   * Whether an upstream of the service has stated the slowness of its machine
   * within the last 10 s.
   */
  hasStatedSlowness(service: string): boolean;
  /** Whether most upstreams of the service in the domain are probably lost. */
  isDomainSuspected(service: string, domainId: DomainId): boolean;
  /** Returns this instance's loads and recent losses, for other instances. */
  getLocalLoadSummary(): EngineLoadSummary;
  /** Replaces the loads, and records the losses, of other entry instances. */
  setRemoteLoadSummary(summary: EngineLoadSummary): void;
  /** Time since the loads of the other instances arrived; may be infinite. */
  getRemoteLoadAgeMs(): number;
  /** Highest learned factor of an upstream's time; 1 if nothing is known. */
  getSlowestFactor(): number;
  count(): number;
  /** Number of failure domains with upstreams, at least 1. */
  countDomains(): number;
}

export interface UpstreamDirectoryOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: Random;
  /** Called on a loss that other instances may not have detected yet. */
  onUpstreamLost(): void;
  /** Whether control's version shares are recent enough to be applied. */
  canRouteToCandidates(): boolean;
  /**
   * Whether requests to the service are scheduled under load. By default, only
   * if its upstreams state the slowness of their machines.
   */
  isLoadAware?(service: string): boolean;
}

/** Crashed engines restart within one to two seconds. */
const firstSuspensionMs = 600;
const maxSuspensionMs = 5_000;
const refusalSuspensionMs = 100;
/** An upstream that states a longer wait is asked again after this time. */
const maxWaitMs = 600_000;
/** Requests that waited for the upstream don't return at one moment. */
const waitJitterRatio = 0.1;
const maxWaitJitterMs = 500;
/** Weight of one response in the failure ratio: about the last 20 count. */
const failureSmoothingFactor = 0.05;
/** The list still shows a removed upstream for some seconds. */
const addressReuseSuspensionMs = 30_000;
/** A loss is reported to the other instances with two heartbeats. */
const lossReportMs = 1_000;
/** Control sends a load summary twice a second. */
const maxRemoteSummaryAgeMs = 2_000;

export function createUpstreamDirectory(
  {
    clock,
    logger,
    random,
    onUpstreamLost,
    canRouteToCandidates,
    isLoadAware,
  }: UpstreamDirectoryOptions,
): UpstreamDirectory {
  const answers = createVersionAnswerCounter({
    clock,
    hasSeveralVersions: (service) => multiVersionServices.has(service),
  });
  const entries = new Map<UpstreamId, Entry>();
  /**
   * By service, because the upstreams of one service may fail in a domain while
   * those of others work.
   */
  const domains = new Map<string, DomainHealth>();
  const prefillRateTrackers = new Map<string, PrefillRateTracker>();
  /** Services with several versions, computed once per list. */
  let multiVersionServices = new Set<string>();
  let remoteSummaryAtMs = -Infinity;
  const speeds = createServiceSpeeds({ clock, logger, isLoadAware });
  const lifetimes = createLifetimeNotifier();
  return {
    update,
    listUsable,
    getAnswerReport: answers.getReport,
    get: (upstreamId) => entries.get(upstreamId),
    trackRequest,
    trackCopy: (upstreamId, tokens) =>
      createCopyLoad(getListedEntry(upstreamId), tokens),
    recordLoad,
    hasStatedSlowness: speeds.hasStatedSlowness,
    recordActivity: (upstreamId) => {
      const entry = entries.get(upstreamId);
      if (entry) entry.lastActivityAtMs = clock.nowMs();
    },
    recordSuccess: (upstreamId, durationMs) =>
      recordResponse(upstreamId, 0, durationMs),
    recordCallDuration: (upstreamId, durationMs) => {
      const entry = entries.get(upstreamId);
      if (entry) speeds.recordCall(entry, durationMs);
    },
    recordFailure: (upstreamId) => recordResponse(upstreamId, 1, undefined),
    recordPace: (upstreamId, paceMs) => {
      const entry = entries.get(upstreamId);
      if (entry && !entry.info.isCold) answers.recordPace(entry.info, paceMs);
    },
    trackWait: (upstreamId) =>
      answers.trackWait(getListedEntry(upstreamId).info),
    isDomainSuspected: (service, domainId) =>
      getDomainHealth(service).isSuspected(domainId, clock.nowMs()),
    getPrefillRateTracker,
    recordIncompleteResponse: (upstreamId) => {
      const entry = entries.get(upstreamId);
      if (entry) updateFailureRatio(entry, 1);
    },
    recordLoss,
    recordRefusal: (upstreamId) => {
      const entry = entries.get(upstreamId);
      if (entry) suspend(entry, refusalSuspensionMs);
    },
    recordWait,
    recordAddressReuse,
    addSuccessor,
    onAddressTaken: lifetimes.subscribe,
    countVersions: (service) =>
      new Set(
        [...entries.values()].filter(({ info }) => info.service === service)
          .map(({ info }) => info.version),
      ).size,
    getLocalLoadSummary,
    setRemoteLoadSummary,
    getRemoteLoadAgeMs: () => clock.nowMs() - remoteSummaryAtMs,
    getSlowestFactor: () =>
      Math.max(
        1,
        ...[...entries.values()].map(({ speed }) =>
          Math.max(speed.callFactor, speed.prefillFactor)
        ),
      ),
    count: () => entries.size,
    countDomains: () =>
      Math.max(
        1,
        new Set([...entries.values()].map(({ info }) => info.domainId)).size,
      ),
  };

  function listUsable(service: string): Upstream[] {
    expireRemoteLoads();
    const active = [...entries.values()].filter(({ info }) =>
      info.service === service && !info.isLeaving
    );
    speeds.update(service, active);
    const fullShare = active.filter(({ info }) => info.versionShare === 1);
    if (fullShare.length === active.length) return active;
    const candidates = active.filter(({ info }) =>
      info.versionShare > 0 && info.versionShare < 1
    );
    const share = candidates[0]?.info.versionShare ?? 0;
    const isCandidateTurn = canRouteToCandidates() && random.next() < share;
    return isCandidateTurn || fullShare.length === 0 ? candidates : fullShare;
  }

  function recordLoad(upstreamId: UpstreamId, load: ReportedLoad): void {
    const entry = entries.get(upstreamId);
    if (!entry) return;
    const nowMs = clock.nowMs();
    entry.reported = { load, atMs: nowMs };
    speeds.recordLoad(entry, load);
  }

  /**
   * A wait is kept apart from suspensions, which end with the next response:
   * requests that were already at the upstream may still be answered.
   */
  function recordWait(upstreamId: UpstreamId, waitMs: number): void {
    const entry = entries.get(upstreamId);
    if (!entry || waitMs === 0) return;
    const nowMs = clock.nowMs();
    const heldMs = Math.min(waitMs, maxWaitMs);
    const jitterMs = Math.min(maxWaitJitterMs, heldMs * waitJitterRatio);
    const untilMs = nowMs + heldMs + jitterMs * random.next();
    if (untilMs <= entry.waitsUntilMs) return;
    if (entry.waitsUntilMs <= nowMs) {
      logger.log(logEvents.upstreamWaits, { upstream: upstreamId, waitMs });
    }
    entry.waitsUntilMs = untilMs;
  }

  function recordAddressReuse(upstreamId: UpstreamId): void {
    // Also of an upstream that has left the list: its runs may still be open.
    lifetimes.notify(upstreamId, "another upstream has its address");
    const entry = entries.get(upstreamId);
    if (!entry) return;
    const nowMs = clock.nowMs();
    entry.lostAtMs = nowMs;
    entry.localLossAtMs = nowMs;
    suspend(entry, addressReuseSuspensionMs);
    // The list is outdated, and other upstreams of the failure domain were
    // replaced at the same time, so this counts as a loss in the domain.
    const { service, domainId } = entry.info;
    getDomainHealth(service).recordLoss(domainId, upstreamId, nowMs);
  }

  function addSuccessor(
    { predecessorId, successorId, isFoundHere }: Successor,
  ): void {
    const predecessor = entries.get(predecessorId);
    if (entries.has(successorId)) return;
    lifetimes.notify(predecessorId, `${successorId} has its address`);
    if (!predecessor) return;
    suspend(predecessor, addressReuseSuspensionMs);
    const { info } = predecessor;
    if (info.isLeaving) return;
    entries.set(successorId, {
      ...createUpstreamEntry({ ...info, upstreamId: successorId }),
      succeeds: { predecessorId, isFoundHere },
    });
    // The engines of a failure domain crash together and restart together.
    getDomainHealth(info.service).recordRecovery(info.domainId);
    logger.log(logEvents.upstreamSuccessorFound, {
      upstream: successorId,
      predecessor: predecessorId,
      isFoundHere,
    });
  }

  function getLocalLoadSummary(): EngineLoadSummary {
    const all = [...entries.values()];
    const oldestReportedLossAtMs = clock.nowMs() - lossReportMs;
    const successors = all.flatMap(({ info, succeeds }) =>
      succeeds?.isFoundHere
        ? [[succeeds.predecessorId, info.upstreamId] as const]
        : []
    );
    const recentSpeeds = speeds.listRecent(entries.values());
    return {
      loads: all.filter(hasSharedLoad)
        .map((entry) => [
          entry.info.upstreamId,
          entry.inFlightCount,
          Math.round(entry.unreadTokens),
          Math.round(entry.memoryTokens),
        ]),
      lostIds: all.filter((entry) =>
        entry.localLossAtMs >= oldestReportedLossAtMs
      )
        .map(({ info }) => info.upstreamId),
      ...(successors.length > 0 ? { successors } : {}),
      ...(recentSpeeds.length > 0 ? { speeds: recentSpeeds } : {}),
    };
  }

  /**
   * Calls hold no tokens. They are shared only where they are placed by
   * expected time.
   */
  function hasSharedLoad({ info, memoryTokens, inFlightCount }: Entry) {
    return memoryTokens > 0 ||
      (inFlightCount > 0 && speeds.isLoadAware(info.service));
  }

  function setRemoteLoadSummary(
    { loads, lostIds, successors, speeds: remoteSpeeds }: EngineLoadSummary,
  ): void {
    const nowMs = clock.nowMs();
    speeds.addRecentOfOthers(
      remoteSpeeds ?? [],
      (upstreamId) => entries.get(upstreamId),
      nowMs - remoteSummaryAtMs,
    );
    remoteSummaryAtMs = nowMs;
    for (const entry of entries.values()) entry.others = zeroLoad;
    for (const [id, runningCount, unreadTokens, memoryTokens] of loads) {
      const entry = entries.get(id);
      if (entry) entry.others = { runningCount, unreadTokens, memoryTokens };
    }
    for (const upstreamId of lostIds) {
      const entry = entries.get(upstreamId);
      // The same loss is reported several times.
      if (!entry || nowMs - entry.lostAtMs < 2 * lossReportMs) continue;
      entry.lostAtMs = nowMs;
      suspend(entry, firstSuspensionMs);
      const { service, domainId } = entry.info;
      getDomainHealth(service).recordLoss(domainId, upstreamId, nowMs);
    }
    for (const [predecessorId, successorId] of successors ?? []) {
      addSuccessor({ predecessorId, successorId, isFoundHere: false });
    }
  }

  /**
   * Clears the loads of other instances if the last summary is too old, because
   * their current loads are then unknown.
   */
  function expireRemoteLoads(): void {
    if (clock.nowMs() - remoteSummaryAtMs < maxRemoteSummaryAgeMs) return;
    for (const entry of entries.values()) entry.others = zeroLoad;
  }

  function getPrefillRateTracker(service: string): PrefillRateTracker {
    let tracker = prefillRateTrackers.get(service);
    if (!tracker) {
      tracker = createPrefillRateTracker();
      prefillRateTrackers.set(service, tracker);
    }
    return tracker;
  }

  function getDomainHealth(service: string): DomainHealth {
    let health = domains.get(service);
    if (!health) {
      health = createDomainHealth();
      domains.set(service, health);
    }
    return health;
  }

  function update(listed: readonly ListedUpstream[]): void {
    const listedIds = new Set(listed.map(({ upstreamId }) => upstreamId));
    lifetimes.notifyOfList(entries.values(), listed);
    for (const [upstreamId, { succeeds }] of entries) {
      if (listedIds.has(upstreamId)) continue;
      if (succeeds && listedIds.has(succeeds.predecessorId)) continue;
      entries.delete(upstreamId);
      logger.log(logEvents.upstreamRemoved, { upstream: upstreamId });
    }
    for (const info of listed) updateEntry(info);
    multiVersionServices = listMultiVersionServices(listed);
  }

  function updateEntry(info: ListedUpstream): void {
    const entry = entries.get(info.upstreamId);
    if (!entry) {
      entries.set(info.upstreamId, createUpstreamEntry(info));
      logger.log(logEvents.upstreamAdded, {
        upstream: info.upstreamId,
        service: info.service,
        domain: info.domainId,
      });
      return;
    }
    if (info.isLeaving && !entry.info.isLeaving) {
      logger.log(logEvents.upstreamLeaving, { upstream: info.upstreamId });
    }
    entry.info = info;
    entry.succeeds = undefined;
  }

  function trackRequest(upstreamId: UpstreamId): RequestLoad {
    const entry = getListedEntry(upstreamId);
    return createRequestLoad(entry, {
      getNowMs: clock.nowMs,
      onPrefilled: (workTokens, durationMs) =>
        speeds.recordPrefill(entry, workTokens, durationMs),
    });
  }

  function getListedEntry(upstreamId: UpstreamId): Entry {
    const entry = entries.get(upstreamId);
    if (!entry) throw new Error(`upstream ${upstreamId} is not listed`);
    return entry;
  }

  function recordResponse(
    upstreamId: UpstreamId,
    failure: 0 | 1,
    durationMs: number | undefined,
  ): void {
    const entry = entries.get(upstreamId);
    if (!entry) return;
    answers.record(entry.info, {
      isFailure: failure === 1,
      // A cold upstream is slow whatever its version.
      durationMs: entry.info.isCold ? undefined : durationMs,
    });
    entry.lastActivityAtMs = clock.nowMs();
    entry.consecutiveLosses = 0;
    updateFailureRatio(entry, failure);
    if (failure === 0) entry.suspendedUntilMs = -Infinity;
  }

  function recordLoss(upstreamId: UpstreamId, reason: string): void {
    const entry = entries.get(upstreamId);
    if (!entry) return;
    const nowMs = clock.nowMs();
    const { service, domainId } = entry.info;
    getDomainHealth(service).recordLoss(domainId, upstreamId, nowMs);
    updateFailureRatio(entry, 1);
    entry.lostAtMs = nowMs;
    entry.localLossAtMs = nowMs;
    onUpstreamLost();
    // One crash ends many requests; only the first failure counts.
    if (entry.suspendedUntilMs > nowMs) return;
    const suspensionMs = Math.min(
      maxSuspensionMs,
      firstSuspensionMs * 2 ** entry.consecutiveLosses,
    );
    entry.consecutiveLosses += 1;
    suspend(entry, suspensionMs);
    logger.log(logEvents.upstreamSuspended, {
      upstream: upstreamId,
      reason,
      suspensionMs,
    });
  }

  function updateFailureRatio(entry: Entry, failure: 0 | 1): void {
    entry.failureRatio += (failure - entry.failureRatio) *
      failureSmoothingFactor;
  }

  function suspend(entry: Entry, durationMs: number): void {
    entry.suspendedUntilMs = Math.max(
      entry.suspendedUntilMs,
      clock.nowMs() + durationMs,
    );
  }
}

export function getAddress({ info }: Upstream): string {
  return `${info.host}:${info.port}`;
}
