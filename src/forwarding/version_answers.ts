/**
 * Counts the answers of each version of a service and their latencies, as
 * evidence for version moves. Control judges what is slow, since one instance
 * may have too few answers to know what is typical.
 */
import type {
  AnswerReport,
  VersionAnswers,
} from "../control/moves/answer_reports.ts";
import {
  createLatencyCounter,
  type LatencyCounter,
} from "../control/moves/latency_histogram.ts";
import type { Clock } from "../core/clock.ts";
import type { ListedUpstream } from "../upstreams/upstream_view.ts";

export interface VersionAnswerCounter {
  /** Records an answer; `durationMs` is undefined if it tells nothing. */
  record(
    upstream: ListedUpstream,
    answer: {
      readonly isFailure: boolean;
      readonly durationMs: number | undefined;
    },
  ): void;
  /** Records the time per event at the beginning of a stream. */
  recordPace(upstream: ListedUpstream, paceMs: number): void;
  /** Counts a stream that waits for its first event, until the wait ends. */
  trackWait(upstream: ListedUpstream): AnswerWait;
  /** Undefined while no service has several versions. */
  getReport(): AnswerReport | undefined;
}

export enum WaitEnd {
  Answered = "answered",
  /** The answer was too late for the caller or for this instance. */
  Abandoned = "abandoned",
  /** The wait says nothing about the version, such as after a crash. */
  Cancelled = "cancelled",
}

export interface AnswerWait {
  /** Calls after the first one have no effect. */
  end(reason: WaitEnd): void;
}

export interface VersionAnswerCounterOptions {
  readonly clock: Pick<Clock, "nowMs">;
  /** Whether the service currently has several versions. */
  hasSeveralVersions(service: string): boolean;
}

interface VersionCounts {
  readonly service: string;
  readonly version: string;
  answeredCount: number;
  failureCount: number;
  readonly durations: LatencyCounter;
  readonly paces: LatencyCounter;
  readonly abandoned: LatencyCounter;
  /** Start times of open waits. */
  readonly waitingSinceMs: Set<{ readonly startedAtMs: number }>;
}

interface TypicalLatency {
  count: number;
  /** Moving average of the logarithm, which single outliers hardly change. */
  logMs: number;
}

interface ServiceTypical {
  readonly duration: TypicalLatency;
  readonly pace: TypicalLatency;
}

/** Weight of one answer in the typical latency: about the last 30 count. */
const smoothingFactor = 0.03;
const maxTypicalCount = 30;

export function createVersionAnswerCounter(
  { clock, hasSeveralVersions }: VersionAnswerCounterOptions,
): VersionAnswerCounter {
  const counts = new Map<string, VersionCounts>();
  const typicalByService = new Map<string, ServiceTypical>();
  /** Versions that were the candidate of a move since the start. */
  const candidates = new Set<string>();
  return {
    record: (upstream, { isFailure, durationMs }) => {
      if (durationMs !== undefined && !isFailure) {
        updateTypical(upstream, "duration", durationMs);
      }
      if (!hasSeveralVersions(upstream.service)) return;
      const entry = getCounts(upstream);
      entry.answeredCount += 1;
      if (isFailure) entry.failureCount += 1;
      else if (durationMs !== undefined) entry.durations.record(durationMs);
    },
    recordPace: (upstream, paceMs) => {
      updateTypical(upstream, "pace", paceMs);
      if (hasSeveralVersions(upstream.service)) {
        getCounts(upstream).paces.record(paceMs);
      }
    },
    trackWait,
    getReport,
  };

  function trackWait(upstream: ListedUpstream): AnswerWait {
    const { waitingSinceMs, abandoned } = getCounts(upstream);
    const wait = { startedAtMs: clock.nowMs() };
    waitingSinceMs.add(wait);
    return {
      end: (reason) => {
        const wasOpen = waitingSinceMs.delete(wait);
        if (!wasOpen || reason !== WaitEnd.Abandoned) return;
        if (!hasSeveralVersions(upstream.service)) return;
        abandoned.record(clock.nowMs() - wait.startedAtMs);
      },
    };
  }

  /** The candidate of a move must not change what counts as typical. */
  function updateTypical(
    { service, version, versionShare }: ListedUpstream,
    kind: keyof ServiceTypical,
    latencyMs: number,
  ): void {
    const key = getKey(service, version);
    if (versionShare < 1) candidates.add(key);
    else if (!hasSeveralVersions(service)) candidates.delete(key);
    if (candidates.has(key)) return;
    const logMs = Math.log(Math.max(1, latencyMs));
    const typical = typicalByService.get(service) ??
      { duration: { count: 0, logMs }, pace: { count: 0, logMs } };
    typicalByService.set(service, typical);
    const latency = typical[kind];
    if (latency.count === 0) latency.logMs = logMs;
    latency.count = Math.min(maxTypicalCount, latency.count + 1);
    latency.logMs += (logMs - latency.logMs) *
      Math.max(smoothingFactor, 1 / latency.count);
  }

  function getCounts({ service, version }: ListedUpstream): VersionCounts {
    const key = getKey(service, version);
    let entry = counts.get(key);
    if (!entry) {
      entry = {
        service,
        version,
        answeredCount: 0,
        failureCount: 0,
        durations: createLatencyCounter(),
        paces: createLatencyCounter(),
        abandoned: createLatencyCounter(),
        waitingSinceMs: new Set(),
      };
      counts.set(key, entry);
    }
    return entry;
  }

  function getReport(): AnswerReport | undefined {
    const reported = [...counts.values()].filter(({ service }) =>
      hasSeveralVersions(service)
    );
    if (reported.length === 0) return undefined;
    return {
      answers: reported.map((entry): VersionAnswers => [
        entry.service,
        entry.version,
        entry.answeredCount,
        entry.failureCount,
      ]),
      latencies: reported.map((entry) => ({
        service: entry.service,
        version: entry.version,
        durations: entry.durations.getHistogram(),
        paces: entry.paces.getHistogram(),
        abandoned: entry.abandoned.getHistogram(),
        waiting: getWaiting(entry),
      })),
      typical: [...typicalByService].filter(([service]) =>
        hasSeveralVersions(service)
      ).map(([service, { duration, pace }]) => ({
        service,
        durationCount: duration.count,
        durationMs: Math.exp(duration.logMs),
        paceCount: pace.count,
        paceMs: Math.exp(pace.logMs),
      })),
    };
  }

  function getWaiting({ waitingSinceMs }: VersionCounts) {
    const waits = createLatencyCounter();
    const nowMs = clock.nowMs();
    for (const { startedAtMs } of waitingSinceMs) {
      waits.record(nowMs - startedAtMs);
    }
    return waits.getHistogram();
  }
}

function getKey(service: string, version: string): string {
  return `${service}/${version}`;
}

export function listMultiVersionServices(
  listed: readonly ListedUpstream[],
): Set<string> {
  const versions = new Map<string, string>();
  const multiple = new Set<string>();
  for (const { service, version } of listed) {
    if ((versions.get(service) ?? version) !== version) multiple.add(service);
    versions.set(service, version);
  }
  return multiple;
}
