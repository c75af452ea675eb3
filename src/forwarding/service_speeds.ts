/**
 * Applies what responses and other instances show about the speed of upstreams
 * to their entries, for the services that are scheduled under load. Others cost
 * nothing and have no learned speeds.
 */
import type { Clock } from "../core/clock.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import type { UpstreamId } from "../core/types.ts";
import type { SpeedEntry } from "../upstreams/engine_load_summary.ts";
import { getSlots } from "./expected_time.ts";
import type { ReportedLoad } from "./forwarding_protocol.ts";
import type { UpstreamEntry } from "./upstream_entry.ts";
import {
  estimateSpeeds,
  getUnqueuedMs,
  type SpeedSums,
} from "./upstream_speed.ts";

export interface ServiceSpeeds {
  recordLoad(entry: UpstreamEntry, load: ReportedLoad): void;
  recordCall(entry: UpstreamEntry, durationMs: number): void;
  recordPrefill(
    entry: UpstreamEntry,
    workTokens: number,
    durationMs: number,
  ): void;
  /**
   * Sets the speeds of the upstreams of the service, unless that was done
   * recently.
   */
  update(service: string, entries: readonly UpstreamEntry[]): void;
  /** Recent samples of this instance, for other instances. */
  listRecent(entries: Iterable<UpstreamEntry>): SpeedEntry[];
  /** Adds recent samples of others; `elapsedMs` since the last time. */
  addRecentOfOthers(
    speeds: readonly SpeedEntry[],
    getEntry: (upstreamId: UpstreamId) => UpstreamEntry | undefined,
    elapsedMs: number,
  ): void;
  hasStatedSlowness(service: string): boolean;
  isLoadAware(service: string): boolean;
}

export interface ServiceSpeedsOptions {
  readonly clock: Pick<Clock, "nowMs">;
  readonly logger: Logger;
  /** Services whose upstreams state their slowness always are. */
  readonly isLoadAware: ((service: string) => boolean) | undefined;
}

/** Covers the pauses between the responses that one instance gets. */
const maxSlownessAgeMs = 10_000;
/** Speeds change slowly, so requests needn't each estimate them. */
const updateIntervalMs = 250;
/** After a longer pause, samples of others are no longer all known. */
const maxGapMs = 2_000;

/** Machines that are slow for a moment are 2.5 times slower. */
const maxSampleRatio = 4;
/** Smaller changes are mostly noise of few samples. */
const loggedRatio = 1.25;
const minLogIntervalMs = 30_000;

export function createServiceSpeeds(
  { clock, logger, isLoadAware: isConfigured }: ServiceSpeedsOptions,
): ServiceSpeeds {
  /** When an upstream of the service last stated its slowness. */
  const statedAtMs = new Map<string, number>();
  const updatedAtMs = new Map<string, number>();
  return {
    recordLoad: ({ info, speedMemory }, { slowness }) => {
      if (slowness === undefined) return;
      speedMemory.recordSlowness(slowness);
      statedAtMs.set(info.service, clock.nowMs());
    },
    recordCall: (entry, durationMs) => {
      if (!isLearning(entry)) return;
      const waitingCount = entry.reported?.load.waitingCount ?? 0;
      const slots = getSlots(entry);
      const unqueuedMs = getUnqueuedMs({ durationMs, waitingCount, slots });
      entry.speedMemory.recordCall(
        limitSample(unqueuedMs, entry.speed.callMs),
        clock.nowMs(),
      );
    },
    recordPrefill: (entry, workTokens, durationMs) => {
      if (!isLearning(entry)) return;
      const { prefillMsPerToken } = entry.speed;
      entry.speedMemory.recordPrefill(
        workTokens,
        limitSample(
          durationMs,
          prefillMsPerToken && prefillMsPerToken * workTokens,
        ),
        clock.nowMs(),
      );
    },
    update,
    listRecent: (entries) =>
      [...entries].flatMap((entry) => {
        const sums = isLoadAware(entry.info.service)
          ? entry.speedMemory.getRecentSums(clock.nowMs())
          : undefined;
        return sums ? [toSpeedEntry(entry.info.upstreamId, sums)] : [];
      }),
    addRecentOfOthers: (speeds, getEntry, elapsedMs) => {
      for (const speed of speeds) {
        const entry = getEntry(speed[0]);
        if (!entry || !isLoadAware(entry.info.service)) continue;
        entry.speedMemory.addRecentOfOthers(
          toSums(speed),
          Math.min(maxGapMs, elapsedMs),
          clock.nowMs(),
        );
      }
    },
    hasStatedSlowness,
    isLoadAware,
  };

  function isLoadAware(service: string): boolean {
    return hasStatedSlowness(service) || (isConfigured?.(service) ?? false);
  }

  function hasStatedSlowness(service: string): boolean {
    const atMs = statedAtMs.get(service) ?? -Infinity;
    return clock.nowMs() - atMs <= maxSlownessAgeMs;
  }

  /** The start of an upstream doesn't show how fast it is. */
  function isLearning({ info }: UpstreamEntry): boolean {
    return !info.isCold && isLoadAware(info.service);
  }

  function update(service: string, entries: readonly UpstreamEntry[]): void {
    if (!isLoadAware(service)) return;
    const nowMs = clock.nowMs();
    if (nowMs - (updatedAtMs.get(service) ?? -Infinity) < updateIntervalMs) {
      return;
    }
    updatedAtMs.set(service, nowMs);
    const speeds = estimateSpeeds(
      entries.map(({ speedMemory }) => speedMemory),
      nowMs,
    );
    for (const [index, entry] of entries.entries()) {
      entry.speed = speeds[index]!;
      logChange(entry, nowMs);
    }
  }

  function logChange(entry: UpstreamEntry, nowMs: number): void {
    const { info, speed, loggedSpeed } = entry;
    const ratios = [
      speed.callFactor / loggedSpeed.callFactor,
      speed.prefillFactor / loggedSpeed.prefillFactor,
    ];
    const isChanged = ratios.some((ratio) =>
      ratio > loggedRatio || ratio < 1 / loggedRatio
    );
    if (!isChanged || nowMs - loggedSpeed.atMs < minLogIntervalMs) return;
    const { callFactor, prefillFactor } = speed;
    entry.loggedSpeed = { callFactor, prefillFactor, atMs: nowMs };
    logger.log(logEvents.upstreamSpeedChanged, {
      upstream: info.upstreamId,
      service: info.service,
      callFactor: round(callFactor),
      prefillFactor: round(prefillFactor),
      callMs: speed.callMs && round(speed.callMs),
      prefillMsPerToken: speed.prefillMsPerToken &&
        round(speed.prefillMsPerToken),
      meanSlowness: speed.meanSlowness && round(speed.meanSlowness),
    });
  }
}

/** One request that was stuck must not outweigh many others. */
function limitSample(ms: number, expectedMs: number | undefined): number {
  return expectedMs === undefined
    ? ms
    : Math.min(ms, maxSampleRatio * expectedMs);
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

function toSpeedEntry(upstreamId: UpstreamId, sums: SpeedSums): SpeedEntry {
  return [
    upstreamId,
    sums.callCount,
    sums.callTenthMs,
    sums.promptCount,
    sums.promptTokens,
    sums.promptMs,
  ];
}

function toSums(entry: SpeedEntry): SpeedSums {
  const [, callCount, callTenthMs, promptCount, promptTokens, promptMs] = entry;
  return { callCount, callTenthMs, promptCount, promptTokens, promptMs };
}
