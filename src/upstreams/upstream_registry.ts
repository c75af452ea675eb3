/**
 * Registry of the upstreams that the platform lists, with this instance's
 * requests in flight and the last load report of each.
 */
import type { Clock } from "../core/clock.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import {
  type UpstreamId,
  type UpstreamInfo,
  type UpstreamKind,
  UpstreamState,
} from "../core/types.ts";

export interface LoadReport {
  readonly runningCount: number;
  readonly waitingCount: number;
  readonly receivedAtMs: number;
  /** This instance's requests in flight at the upstream at `receivedAtMs`. */
  readonly ownCount: number;
}

export interface UpstreamStatus {
  info: UpstreamInfo;
  /** Requests that this instance has in flight at the upstream. */
  inFlightCount: number;
  load: LoadReport | undefined;
  /** The upstream reports that it is leaving. */
  isLeavingReported: boolean;
}

export interface UpstreamRegistry {
  update(upstreams: readonly UpstreamInfo[]): void;
  get(upstreamId: UpstreamId): UpstreamStatus | undefined;
  list(): UpstreamStatus[];
  /** Upstreams that may receive new requests. */
  listUsable(kind: UpstreamKind, service: string): UpstreamStatus[];
  reportLoad(
    upstreamId: UpstreamId,
    report: {
      readonly runningCount: number;
      readonly waitingCount: number;
      readonly isLeaving: boolean;
    },
  ): void;
  adjustInFlight(upstreamId: UpstreamId, change: 1 | -1): void;
  /** Replaces the set of upstreams that operators marked as leaving. */
  setMarkedLeaving(upstreamIds: ReadonlySet<UpstreamId>): void;
  isMarkedLeaving(upstreamId: UpstreamId): boolean;
}

export interface UpstreamRegistryOptions {
  readonly clock: Clock;
  readonly logger: Logger;
}

export function createUpstreamRegistry(
  { clock, logger }: UpstreamRegistryOptions,
): UpstreamRegistry {
  const statuses = new Map<UpstreamId, UpstreamStatus>();
  let markedLeaving: ReadonlySet<UpstreamId> = new Set();
  return {
    update,
    get: (upstreamId) => statuses.get(upstreamId),
    list: () => [...statuses.values()],
    listUsable,
    reportLoad,
    adjustInFlight,
    setMarkedLeaving,
    isMarkedLeaving: (upstreamId) => markedLeaving.has(upstreamId),
  };

  function update(upstreams: readonly UpstreamInfo[]): void {
    const listedIds = new Set(upstreams.map((info) => info.upstreamId));
    for (const upstreamId of statuses.keys()) {
      if (listedIds.has(upstreamId)) continue;
      statuses.delete(upstreamId);
      logger.log(logEvents.upstreamRemoved, { upstream: upstreamId });
    }
    for (const info of upstreams) updateStatus(info);
  }

  function updateStatus(info: UpstreamInfo): void {
    const status = statuses.get(info.upstreamId);
    if (!status) {
      statuses.set(info.upstreamId, {
        info,
        inFlightCount: 0,
        load: undefined,
        isLeavingReported: false,
      });
      logger.log(logEvents.upstreamAdded, { upstream: info.upstreamId });
      return;
    }
    if (
      info.state === UpstreamState.Leaving &&
      status.info.state !== UpstreamState.Leaving
    ) {
      logger.log(logEvents.upstreamLeaving, { upstream: info.upstreamId });
    }
    status.info = info;
  }

  function listUsable(kind: UpstreamKind, service: string): UpstreamStatus[] {
    return [...statuses.values()].filter(({ info, isLeavingReported }) =>
      info.kind === kind && info.service === service &&
      info.state === UpstreamState.Live && !isLeavingReported &&
      !markedLeaving.has(info.upstreamId)
    );
  }

  function reportLoad(
    upstreamId: UpstreamId,
    report: {
      runningCount: number;
      waitingCount: number;
      isLeaving: boolean;
    },
  ): void {
    const status = statuses.get(upstreamId);
    if (!status) return;
    status.load = {
      runningCount: report.runningCount,
      waitingCount: report.waitingCount,
      receivedAtMs: clock.nowMs(),
      ownCount: status.inFlightCount,
    };
    if (report.isLeaving && !status.isLeavingReported) {
      logger.log(logEvents.upstreamLeaving, { upstream: upstreamId });
    }
    status.isLeavingReported = report.isLeaving;
  }

  function adjustInFlight(upstreamId: UpstreamId, change: 1 | -1): void {
    const status = statuses.get(upstreamId);
    if (!status) return;
    // An upstream that was removed and listed again starts with a count of 0,
    // while requests from before its removal still end.
    status.inFlightCount = Math.max(0, status.inFlightCount + change);
  }

  function setMarkedLeaving(upstreamIds: ReadonlySet<UpstreamId>): void {
    for (const upstreamId of upstreamIds) {
      if (markedLeaving.has(upstreamId) || !statuses.has(upstreamId)) continue;
      logger.log(logEvents.upstreamLeaving, { upstream: upstreamId });
    }
    markedLeaving = new Set(upstreamIds);
  }
}
