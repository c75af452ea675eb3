/**
 * Records what one entry instance observes: upstreams that ended while requests
 * may have just started to run on them, and the parts and suspected requests
 * whose runs got past their start. Both records are bounded.
 */
import type { Clock } from "../core/clock.ts";
import type { Crash, SoundRuns } from "./crash_decisions.ts";
import {
  type CrashReport,
  type CrashSuspect,
  formatPartKey,
  maxReportedAgeMs,
  type PartKey,
} from "./quarantine_types.ts";

export interface SentSuspect
  extends Pick<CrashSuspect, "requestKey" | "partIds"> {
  /** `clock.nowMs()` when the request was sent to the upstream, if known. */
  readonly sentAtMs?: number;
}

export interface CrashRecorder {
  recordCrash(
    upstream: {
      readonly service: string;
      readonly upstreamId: string;
      readonly domainId: string;
    },
    suspect: SentSuspect,
  ): void;
  /**
   * Records that an upstream responds or accepts connections. One that does so
   * soon after a connection ended has not crashed: it only reset that one.
   */
  recordResponse(service: string, upstreamId: string): void;
  /** Records that a run with these parts got past its start. */
  recordSoundRun(service: string, partIds: readonly string[]): void;
  /** Whether the request was present in a recorded crash. */
  isSuspected(key: PartKey): boolean;
  listCrashes(): readonly Crash[];
  getSoundRuns(key: PartKey): SoundRuns | undefined;
  /** Forgets all crashes so far that the part was present in. */
  forget(key: PartKey): void;
  /**
   * Undefined if there is nothing to report. A crash is reported until all that
   * was suspected of it has run past its start.
   */
  getReport(watched: readonly PartKey[]): CrashReport | undefined;
}

/** Longer than the pause between two requests with a rare part. */
export const maxCrashAgeMs = 60_000;
const maxCrashes = 64;
/** More requests of one instance are rarely in progress at an upstream. */
const maxSuspectsPerCrash = 64;
/** In all crashes, which keeps a report small. */
const maxSuspects = 1_024;
const maxParts = 4_096;
const maxReportedParts = 512;
/** Losses of one upstream within this time are from the same crash. */
const sameCrashMs = 1_000;
/** Later, a response that was sent before the crash has been read. */
const minResponseDelayMs = 20;
/** Later, an upstream that crashed may be back under the same id. */
const maxResponseDelayMs = 500;
const rateWindowMs = 30_000;
/** An empty report is repeated for this long, since it replaces the last one. */
const emptyReportMs = 5_000;

interface PartRuns {
  lastAtMs: number;
  /** Decays with `rateWindowMs`. */
  weight: number;
}

interface RecordedCrash extends Crash {
  readonly suspects: CrashSuspect[];
}

export function createCrashRecorder(
  { clock }: { readonly clock: Clock },
): CrashRecorder {
  let crashes: RecordedCrash[] = [];
  /** Least recently run first. */
  const partRuns = new Map<string, PartRuns>();
  let lastReportAtMs = -Infinity;
  return {
    recordCrash: ({ service, upstreamId, domainId }, suspect) => {
      removeOutdated();
      const nowMs = clock.nowMs();
      let crash = crashes.find((known) =>
        known.service === service && known.upstreamId === upstreamId &&
        nowMs - known.atMs < sameCrashMs
      );
      if (!crash) {
        crash = { service, upstreamId, domainId, atMs: nowMs, suspects: [] };
        crashes.push(crash);
        if (crashes.length > maxCrashes) crashes.shift();
      }
      const { requestKey, partIds, sentAtMs } = suspect;
      addSuspect(crash, {
        requestKey,
        partIds,
        ...(sentAtMs === undefined
          ? {}
          : { sentBeforeMs: getSentBeforeMs(crash, sentAtMs) }),
      });
    },
    recordResponse: (service, upstreamId) => {
      if (crashes.length === 0) return;
      const nowMs = clock.nowMs();
      crashes = crashes.filter((crash) => {
        const delayMs = nowMs - crash.atMs;
        return crash.service !== service || crash.upstreamId !== upstreamId ||
          delayMs < minResponseDelayMs || delayMs > maxResponseDelayMs;
      });
    },
    isSuspected: ([service, requestKey]) =>
      crashes.some((crash) =>
        crash.service === service && hasRequest(crash, requestKey)
      ),
    recordSoundRun: (service, partIds) => {
      const nowMs = clock.nowMs();
      for (const partId of partIds) {
        const id = formatPartKey(service, partId);
        const known = partRuns.get(id);
        const weight = known ? getWeight(known, nowMs) : 0;
        partRuns.delete(id);
        partRuns.set(id, { lastAtMs: nowMs, weight: weight + 1 });
        if (partRuns.size > maxParts) {
          partRuns.delete(partRuns.keys().next().value!);
        }
      }
    },
    listCrashes: () => {
      removeOutdated();
      return crashes;
    },
    getSoundRuns,
    forget: ([service, forgottenId]) => {
      crashes = crashes.filter((crash) =>
        crash.service !== service ||
        !crash.suspects.some(({ requestKey, partIds }) =>
          requestKey === forgottenId || partIds.includes(forgottenId)
        )
      );
    },
    getReport,
  };

  function addSuspect(crash: RecordedCrash, suspect: CrashSuspect): void {
    const { suspects } = crash;
    const { requestKey, partIds } = suspect;
    if (partIds.length === 0 && hasRequest(crash, requestKey)) {
      mergeRequest(suspects, suspect);
      return;
    }
    if (suspects.length < maxSuspectsPerCrash) {
      suspects.push(suspect);
      while (countSuspects() > maxSuspects) crashes.shift();
      return;
    }
    // The request to blame is in earlier crashes too.
    if (!isRepeated(requestKey)) return;
    const replaced = suspects.findIndex((other) =>
      !isRepeated(other.requestKey)
    );
    if (replaced >= 0) suspects[replaced] = suspect;

    function isRepeated(key: string): boolean {
      return crashes.some((other) => other !== crash && hasRequest(other, key));
    }
  }

  function countSuspects(): number {
    return crashes.reduce((sum, { suspects }) => sum + suspects.length, 0);
  }

  function removeOutdated(): void {
    const oldestMs = clock.nowMs() - maxCrashAgeMs;
    crashes = crashes.filter(({ atMs }) => atMs >= oldestMs);
  }

  function getWeight({ lastAtMs, weight }: PartRuns, nowMs: number): number {
    return weight * Math.exp((lastAtMs - nowMs) / rateWindowMs);
  }

  function getSoundRuns([service, partId]: PartKey): SoundRuns | undefined {
    const known = partRuns.get(formatPartKey(service, partId));
    if (!known) return undefined;
    return {
      lastAtMs: known.lastAtMs,
      ratePerS: getWeight(known, clock.nowMs()) / (rateWindowMs / 1_000),
    };
  }

  function getReport(watched: readonly PartKey[]): CrashReport | undefined {
    removeOutdated();
    const nowMs = clock.nowMs();
    const keys = new Map<string, PartKey>();
    for (const key of watched) keys.set(formatPartKey(...key), key);
    const open = crashes.filter((crash) => !isCleared(crash));
    for (const { service, suspects } of open) {
      const ids = suspects.flatMap(({ requestKey, partIds }) =>
        partIds.length > 0 ? partIds : [requestKey]
      );
      for (const partId of ids) {
        keys.set(formatPartKey(service, partId), [service, partId]);
      }
    }
    const soundParts = [...keys.values()].flatMap((key) => {
      const runs = getSoundRuns(key);
      return runs && nowMs - runs.lastAtMs <= maxReportedAgeMs
        ? [{ key, ageMs: nowMs - runs.lastAtMs, ratePerS: runs.ratePerS }]
        : [];
    });
    if (open.length > 0 || soundParts.length > 0) lastReportAtMs = nowMs;
    if (nowMs - lastReportAtMs > emptyReportMs) return undefined;
    return {
      crashes: open.map(({ atMs, ...crash }) => ({
        ...crash,
        ageMs: nowMs - atMs,
      })),
      soundParts: soundParts.slice(0, maxReportedParts),
    };
  }

  function isCleared({ service, atMs, suspects }: Crash): boolean {
    return suspects.every(({ requestKey, partIds }) =>
      [requestKey, ...partIds].every((partId) => {
        const runs = partRuns.get(formatPartKey(service, partId));
        return runs !== undefined && runs.lastAtMs > atMs;
      })
    );
  }
}

function getSentBeforeMs({ atMs }: Crash, sentAtMs: number): number {
  return Math.min(maxReportedAgeMs, Math.max(0, atMs - sentAtMs));
}

/** Keeps the time of the equal request that was sent last. */
function mergeRequest(suspects: CrashSuspect[], added: CrashSuspect): void {
  const index = suspects.findIndex(({ requestKey }) =>
    requestKey === added.requestKey
  );
  const known = suspects[index]!;
  const sentBeforeMs = Math.min(
    known.sentBeforeMs ?? Infinity,
    added.sentBeforeMs ?? Infinity,
  );
  if (sentBeforeMs < Infinity) suspects[index] = { ...known, sentBeforeMs };
}

function hasRequest({ suspects }: Crash, requestKey: string): boolean {
  return suspects.some((suspect) => suspect.requestKey === requestKey);
}
