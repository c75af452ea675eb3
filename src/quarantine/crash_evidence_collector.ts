/**
 * Combines the crash reports of entry instances on a control instance.
 *
 * Every entry instance repeats its whole report to every control instance with
 * each heartbeat, so that a new leader has the evidence without replication and
 * a lost heartbeat loses nothing.
 */
import type { Clock } from "../core/clock.ts";
import type { InstanceId } from "../core/types.ts";
import {
  type Crash,
  type CrashEvidence,
  findCrashingParts,
  listSuspectedParts,
  listSuspectedRequests,
  type PartStatus,
  type ReportedSuspect,
  type SoundRuns,
} from "./crash_decisions.ts";
import { maxCrashAgeMs } from "./crash_recorder.ts";
import {
  type CrashReport,
  formatPartKey,
  type PartKey,
  type SuspectedRequest,
} from "./quarantine_types.ts";

export interface CrashEvidenceCollector {
  record(from: InstanceId, report: CrashReport): void;
  /** Ignores all crashes so far that the part was present in. */
  forget(key: PartKey): void;
  /**
   * Evaluates all reports. The cost grows with the number of reported crashes,
   * so it is called at intervals and not for each report.
   */
  evaluate(): CrashFindings;
}

export interface CrashEvidenceCollectorOptions {
  readonly clock: Clock;
  getStatus(key: PartKey): PartStatus;
}

export interface CrashFindings {
  /** Parts to quarantine that are not quarantined yet. */
  readonly crashing: readonly PartKey[];
  /** Parts of which entry instances shall report the sound runs. */
  readonly watched: readonly PartKey[];
  /** Requests without shared parts that entry instances shall send with care. */
  readonly suspected: readonly SuspectedRequest[];
}

interface StoredReport {
  readonly atMs: number;
  readonly crashes: readonly Crash[];
  readonly soundRuns: ReadonlyMap<string, SoundRuns>;
}

interface CombinedCrash extends Crash {
  readonly suspects: ReportedSuspect[];
}

const maxReports = 4_000;
const maxWatchedParts = 64;
const maxSuspectedRequests = 128;
const maxForgottenParts = 1_000;
/** Reports of one crash differ by the times at which instances notice it. */
const sameCrashMs = 1_500;

export function createCrashEvidenceCollector(
  { clock, getStatus }: CrashEvidenceCollectorOptions,
): CrashEvidenceCollector {
  const reports = new Map<InstanceId, StoredReport>();
  const forgottenAtMs = new Map<string, number>();
  return {
    record,
    forget: ([service, partId]) => {
      const id = formatPartKey(service, partId);
      forgottenAtMs.delete(id);
      forgottenAtMs.set(id, clock.nowMs());
      if (forgottenAtMs.size > maxForgottenParts) {
        forgottenAtMs.delete(forgottenAtMs.keys().next().value!);
      }
    },
    evaluate: () => {
      const evidence = combine();
      if (!evidence) return { crashing: [], watched: [], suspected: [] };
      const nowMs = clock.nowMs();
      return {
        crashing: findCrashingParts(evidence, nowMs),
        watched: listSuspectedParts(evidence, maxWatchedParts),
        suspected: listSuspectedRequests(evidence, nowMs, maxSuspectedRequests),
      };
    },
  };

  function record(from: InstanceId, report: CrashReport): void {
    const atMs = clock.nowMs();
    reports.delete(from);
    reports.set(from, {
      atMs,
      crashes: report.crashes.map(({ ageMs, suspects, ...crash }) => ({
        ...crash,
        atMs: atMs - ageMs,
        suspects: suspects.map((suspect) => ({ ...suspect, reporterId: from })),
      })),
      soundRuns: new Map(
        report.soundParts.map(({ key, ageMs, ratePerS }) => [
          formatPartKey(...key),
          { lastAtMs: atMs - ageMs, ratePerS },
        ]),
      ),
    });
    if (reports.size > maxReports) reports.delete(reports.keys().next().value!);
  }

  /** Returns undefined without any recent crash. */
  function combine(): CrashEvidence | undefined {
    const oldestMs = clock.nowMs() - maxCrashAgeMs;
    const crashes = new Map<string, CombinedCrash[]>();
    const soundRuns = new Map<string, SoundRuns>();
    for (const [from, report] of reports) {
      if (report.atMs < oldestMs) {
        reports.delete(from);
        continue;
      }
      for (const crash of report.crashes) {
        if (crash.atMs >= oldestMs && !isForgotten(crash)) {
          addCrash(crash, crashes);
        }
      }
      for (const [id, { lastAtMs, ratePerS }] of report.soundRuns) {
        const sum = soundRuns.get(id);
        soundRuns.set(id, {
          lastAtMs: Math.max(lastAtMs, sum?.lastAtMs ?? -Infinity),
          ratePerS: ratePerS + (sum?.ratePerS ?? 0),
        });
      }
    }
    if (crashes.size === 0) return undefined;
    return {
      crashes: [...crashes.values()].flat(),
      getStatus,
      getSoundRuns: (key) => soundRuns.get(formatPartKey(...key)),
    };
  }

  function addCrash(
    crash: Crash,
    crashes: Map<string, CombinedCrash[]>,
  ): void {
    const engineKey = `${crash.service}\n${crash.upstreamId}`;
    const ofEngine = crashes.get(engineKey) ?? [];
    const known = ofEngine.find(({ atMs }) =>
      Math.abs(atMs - crash.atMs) < sameCrashMs
    );
    if (known) known.suspects.push(...crash.suspects);
    else ofEngine.push({ ...crash, suspects: [...crash.suspects] });
    crashes.set(engineKey, ofEngine);
  }

  /** The other parts of such a crash are not to blame for it either. */
  function isForgotten({ service, atMs, suspects }: Crash): boolean {
    return suspects.some(({ requestKey, partIds }) =>
      [requestKey, ...partIds].some((partId) =>
        atMs <= (forgottenAtMs.get(formatPartKey(service, partId)) ?? -Infinity)
      )
    );
  }
}
