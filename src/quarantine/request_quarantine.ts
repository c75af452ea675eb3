/**
 * The quarantine at an entry instance: reports crashes to control, and tells
 * which requests are or contain a quarantined part and which ones are suspected.
 * Without control, the instance decides from what it observed itself.
 */
import type { Clock } from "../core/clock.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import type { InstanceId } from "../core/types.ts";
import {
  type CrashEvidence,
  findCrashingParts,
  listSuspectedRequests,
  PartStatus,
  type SoundRuns,
} from "./crash_decisions.ts";
import { type CrashRecorder, createCrashRecorder } from "./crash_recorder.ts";
import {
  type CrashReport,
  formatPartKey,
  type PartKey,
  type QuarantineNotice,
  type SuspectedRequest,
} from "./quarantine_types.ts";

export interface RequestQuarantine
  extends
    Pick<CrashRecorder, "recordCrash" | "recordResponse" | "recordSoundRun"> {
  /** The first quarantined one of the parts, if any. */
  findQuarantined(
    service: string,
    partIds: readonly string[],
  ): string | undefined;
  /** Records that a request without shared parts ran, if it is suspected. */
  recordSoundRequest(service: string, requestKey: string): void;
  /**
   * The crashes that a request without shared parts was present in, here or at
   * other instances, and after which it has not run. Undefined without any.
   */
  getSuspicion(service: string, requestKey: string): Suspicion | undefined;
  /** Whether runs with each of the parts got past their start here lately. */
  areSound(service: string, partIds: readonly string[]): boolean;
  /** Calls back after parts were added; returns a function that ends this. */
  subscribe(callback: () => void): () => void;
  applyNotice(from: InstanceId, notice: QuarantineNotice | undefined): void;
  getReport(): CrashReport | undefined;
  /** Revision of the committed parts that this instance knows. */
  getRevision(): number;
  countQuarantined(): number;
}

export interface Suspicion {
  /** Crashes that are further ones for the request; see `countSentAgain`. */
  readonly crashCount: number;
  readonly sinceLastCrashMs: number;
}

export interface RequestQuarantineOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Whether any control instance can be reached. */
  isControlReachable(): boolean;
  /** Called on a crash that control does not know yet. */
  onCrash(): void;
}

interface ControlFindings {
  readonly atMs: number;
  readonly parts: readonly PartKey[];
  readonly watched: readonly PartKey[];
  readonly suspected: ReadonlyMap<string, SuspectedRequest>;
}

/** Parts are remembered for this long after control was last heard of them. */
const provisionalMs = 60_000;
/** A part that ran within this time is presumed sound. */
const soundMs = 60_000;
/** Without control, decisions are made at most this often. */
const decisionIntervalMs = 100;
const maxOwnSuspects = 256;

export function createRequestQuarantine(
  { clock, logger, isControlReachable, onCrash }: RequestQuarantineOptions,
): RequestQuarantine {
  const recorder = createCrashRecorder({ clock });
  let revision = 0;
  let committed = new Map<string, PartKey>();
  const findings = new Map<InstanceId, ControlFindings>();
  /** Parts that this instance found without control, and when. */
  const ownFindings = new Map<string, number>();
  const subscribers = new Set<() => void>();
  let decidedAtMs = -Infinity;
  const evidence: CrashEvidence = {
    get crashes() {
      return recorder.listCrashes();
    },
    getSoundRuns,
    getStatus: (key) =>
      isQuarantined(...key) ? PartStatus.Quarantined : PartStatus.Unknown,
  };
  return {
    recordCrash: (engine, suspect) => {
      recorder.recordCrash(engine, suspect);
      onCrash();
    },
    recordResponse: recorder.recordResponse,
    recordSoundRun: recorder.recordSoundRun,
    recordSoundRequest: (service, requestKey) => {
      if (!isSuspected(service, requestKey)) return;
      recorder.recordSoundRun(service, [requestKey]);
    },
    getSuspicion,
    findQuarantined: (service, partIds) => {
      decideWithoutControl();
      return partIds.find((partId) => isQuarantined(service, partId));
    },
    areSound: (service, partIds) => {
      const oldestMs = clock.nowMs() - soundMs;
      return partIds.every((partId) => {
        const runs = recorder.getSoundRuns([service, partId]);
        return runs !== undefined && runs.lastAtMs >= oldestMs;
      });
    },
    subscribe: (callback) => {
      subscribers.add(callback);
      return () => subscribers.delete(callback);
    },
    applyNotice,
    getReport: () =>
      recorder.getReport(
        [...findings.values()].flatMap(({ watched, suspected }) => [
          ...watched,
          ...[...suspected.values()].map(({ key }) => key),
        ]),
      ),
    getRevision: () => revision,
    countQuarantined: () => committed.size,
  };

  function isQuarantined(service: string, partId: string): boolean {
    const id = formatPartKey(service, partId);
    if (committed.has(id)) return true;
    const oldestMs = clock.nowMs() - provisionalMs;
    if ((ownFindings.get(id) ?? -Infinity) >= oldestMs) return true;
    return [...findings.values()].some(({ atMs, parts }) =>
      atMs >= oldestMs &&
      parts.some((key) => key[0] === service && key[1] === partId)
    );
  }

  function isSuspected(service: string, requestKey: string): boolean {
    const id = formatPartKey(service, requestKey);
    return recorder.isSuspected([service, requestKey]) ||
      [...findings.values()].some(({ suspected }) => suspected.has(id));
  }

  function getSuspicion(
    service: string,
    requestKey: string,
  ): Suspicion | undefined {
    if (!isSuspected(service, requestKey)) return undefined;
    const nowMs = clock.nowMs();
    const key: PartKey = [service, requestKey];
    const id = formatPartKey(...key);
    const own = listSuspectedRequests(evidence, nowMs, maxOwnSuspects)
      .find((suspect) => formatPartKey(...suspect.key) === id);
    const lastRunAtMs = getSoundRuns(key)?.lastAtMs ?? -Infinity;
    const all = [...(own ? [own] : []), ...listReported(id)];
    const uncleared = all.filter(({ crashCount, lastCrashAgeMs }) =>
      crashCount > 0 && nowMs - lastCrashAgeMs > lastRunAtMs
    );
    if (uncleared.length === 0) return undefined;
    return {
      crashCount: Math.max(...uncleared.map(({ crashCount }) => crashCount)),
      sinceLastCrashMs: Math.min(
        ...uncleared.map(({ lastCrashAgeMs }) => lastCrashAgeMs),
      ),
    };
  }

  /** What control instances found about a request, with its present ages. */
  function listReported(id: string): SuspectedRequest[] {
    const nowMs = clock.nowMs();
    return [...findings.values()].flatMap(({ atMs, suspected }) => {
      const suspect = suspected.get(id);
      const sinceNoticeMs = nowMs - atMs;
      if (!suspect || sinceNoticeMs > provisionalMs) return [];
      const { lastRunAgeMs } = suspect;
      return [{
        ...suspect,
        lastCrashAgeMs: suspect.lastCrashAgeMs + sinceNoticeMs,
        ...(lastRunAgeMs === undefined
          ? {}
          : { lastRunAgeMs: lastRunAgeMs + sinceNoticeMs }),
      }];
    });
  }

  /** Runs here, and those of suspected requests at other instances. */
  function getSoundRuns(key: PartKey): SoundRuns | undefined {
    const own = recorder.getSoundRuns(key);
    const reported = listReported(formatPartKey(...key))
      .flatMap(({ lastRunAgeMs }) => lastRunAgeMs ?? []);
    if (reported.length === 0) return own;
    const lastReportedAtMs = clock.nowMs() - Math.min(...reported);
    return {
      lastAtMs: Math.max(own?.lastAtMs ?? -Infinity, lastReportedAtMs),
      ratePerS: own?.ratePerS ?? 0,
    };
  }

  function decideWithoutControl(): void {
    const nowMs = clock.nowMs();
    if (nowMs - decidedAtMs < decisionIntervalMs) return;
    decidedAtMs = nowMs;
    if (recorder.listCrashes().length === 0 || isControlReachable()) return;
    for (const [id, atMs] of ownFindings) {
      if (nowMs - atMs > provisionalMs) ownFindings.delete(id);
    }
    const found = findCrashingParts(evidence, nowMs);
    for (const [service, partId] of found) {
      ownFindings.set(formatPartKey(service, partId), nowMs);
      logger.log(logEvents.requestsQuarantined, { service, partId });
    }
    if (found.length > 0) notify();
  }

  function applyNotice(
    from: InstanceId,
    notice: QuarantineNotice | undefined,
  ): void {
    if (!notice) {
      findings.delete(from);
      return;
    }
    findings.set(from, {
      atMs: clock.nowMs(),
      parts: notice.provisional,
      watched: notice.watched,
      suspected: new Map(
        (notice.suspected ?? []).map((suspect) => [
          formatPartKey(...suspect.key),
          suspect,
        ]),
      ),
    });
    if (notice.parts && notice.revision > revision) {
      setCommitted(notice.revision, notice.parts);
    }
    notify();
  }

  function setCommitted(next: number, parts: readonly PartKey[]): void {
    revision = next;
    const former = committed;
    committed = new Map(parts.map((key) => [formatPartKey(...key), key]));
    for (const [id, key] of former) {
      if (committed.has(id)) continue;
      recorder.forget(key);
      ownFindings.delete(id);
    }
  }

  function notify(): void {
    for (const callback of [...subscribers]) callback();
  }
}
