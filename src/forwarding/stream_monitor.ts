/**
 * Checks open streams for silence at short intervals and probes silent engines.
 * Keeps what reports and the directory show about each run, and asks for the
 * runs of lost engines to be left. The timer runs only while streams are open.
 */
import { Buffer } from "node:buffer";
import { assertNever } from "../core/assert_never.ts";
import {
  type ByteCollector,
  createByteCollector,
} from "../core/byte_collector.ts";
import type { Clock } from "../core/clock.ts";
import { createPauseDetector } from "../core/pause_detector.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import { setTimeoutAfterReads } from "../core/timeout_after_reads.ts";
import type {
  EngineReport,
  ForwardingProtocol,
} from "./forwarding_protocol.ts";
import {
  decideOnRun,
  LostCause,
  newRun,
  type RunEvent,
  type RunKnowledge,
  updateRun,
} from "./run_health.ts";
import { decideOnSilence, SilenceDecision } from "./stream_decisions.ts";
import type { UpstreamConnections } from "./upstream_connections.ts";
import type { SuccessorDiscovery } from "./successor_discovery.ts";
import { getAddress, type UpstreamDirectory } from "./upstream_directory.ts";
import type { Upstream } from "./upstream_types.ts";

export interface MonitoredStream {
  readonly upstream: Upstream;
  readonly startedAtMs: number;
  /** Time of the last event; undefined before the first event. */
  readonly lastEventAtMs: number | undefined;
  /** How long the first event may take; undefined if nothing is known. */
  readonly firstEventLimitMs: number | undefined;
  /** No events are read because the caller has not read earlier ones. */
  readonly isPaused: boolean;
  /** When events were read again; -Infinity if they always were. */
  readonly resumedAtMs: number;
  /** Whether the stream's service is scheduled under load. */
  isLoadAware(): boolean;
  /** The engine is silent and may be lost; called until the stream leaves it. */
  onSuspected(reason: string): void;
  /** The engine has a new lifetime; called until the stream leaves it. */
  onLost(cause: LostCause, reason: string): void;
  /** Called at every check while the stream is open. */
  onCheck(): void;
}

export interface StreamMonitor {
  add(stream: MonitoredStream): void;
  remove(stream: MonitoredStream): void;
  count(): number;
}

export interface StreamMonitorOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly protocol: ForwardingProtocol;
  readonly connections: UpstreamConnections;
  readonly directory: UpstreamDirectory;
  /** Told of ids that answer in place of an engine. */
  readonly successors?: SuccessorDiscovery;
}

interface MonitoredRun {
  knowledge: RunKnowledge;
  /** Whether a report is still to be requested for the engine's start. */
  needsStart: boolean;
}

interface ReportResponse {
  /** The id that answered in place of the engine, if it was another one. */
  readonly otherId: string | undefined;
  /** Undefined if the response is no valid report. */
  readonly report: EngineReport | undefined;
}

const checkIntervalMs = 40;
/** A check that is delayed by more than this shows a pause of this process. */
const pauseLimitMs = 150;
/** A report takes one round trip and no slot at the engine. */
const probeTimeoutMs = 120;
/** Streams may stay at a silent engine, which is then probed less often. */
const repeatedProbeDelayMs = 500;
/** Reports have some hundred bytes; more is no report. */
const maxReportBytes = 64 * 1024;

export function createStreamMonitor(
  options: StreamMonitorOptions,
): StreamMonitor {
  const { clock, logger, directory, protocol } = options;
  const streams = new Map<MonitoredStream, MonitoredRun>();
  const probing = new Set<string>();
  /** Engines whose start is being requested. */
  const requestingStart = new Set<string>();
  /** By engine, after its last probe failed. */
  const nextProbeAtMs = new Map<string, number>();
  let timer: NodeJS.Timeout | undefined;
  let scheduledCheck: NodeJS.Immediate | undefined;
  const pauseDetector = createPauseDetector({
    clock,
    intervalMs: checkIntervalMs,
    limitMs: pauseLimitMs,
  });
  directory.onAddressTaken(handleAddressTaken);
  return {
    add: (stream) => {
      streams.set(stream, { knowledge: newRun, needsStart: true });
      if (timer) return;
      pauseDetector.reset();
      timer = setInterval(scheduleCheck, checkIntervalMs);
    },
    remove: (stream) => {
      streams.delete(stream);
      if (streams.size > 0) return;
      clearInterval(timer);
      clearImmediate(scheduledCheck);
      timer = undefined;
      nextProbeAtMs.clear();
    },
    count: () => streams.size,
  };

  /** Checks after the events that have already arrived were read. */
  function scheduleCheck(): void {
    scheduledCheck = setImmediate(check);
  }

  function check(): void {
    const nowMs = clock.nowMs();
    const processPauseMs = pauseDetector.measurePauseMs();
    for (const [stream, run] of [...streams]) {
      const isAsked = processPauseMs === 0 && askToLeave(stream, run);
      // Asking may end other streams as well.
      if (!streams.has(stream)) continue;
      checkStream(stream, { nowMs, processPauseMs, isAsked });
      if (!streams.has(stream)) continue;
      requestStart(stream, run);
      stream.onCheck();
    }
  }

  /** Asks for a lost or suspected run to be left; tells whether it did. */
  function askToLeave(stream: MonitoredStream, run: MonitoredRun): boolean {
    const { lastEventAtMs, isPaused, resumedAtMs, upstream } = stream;
    const decision = decideOnRun(run.knowledge.health, {
      lastEventAtMs,
      isPaused,
      resumedAtMs,
      engineActivityAtMs: upstream.lastActivityAtMs,
    }, clock.nowMs());
    switch (decision.kind) {
      case "stay":
        return false;
      case "clear":
        run.knowledge = { ...run.knowledge, health: newRun.health };
        return false;
      case "leaveSuspected":
        // Elsewhere, a run is asked about only at its limits.
        if (!stream.isLoadAware()) return false;
        stream.onSuspected(decision.reason);
        return true;
      case "leaveLost":
        stream.onLost(decision.cause, decision.reason);
        return true;
      default:
        assertNever(decision);
    }
  }

  /**
   * A restart shows only beside an earlier start of the run's engine, which a
   * crashed engine no longer states.
   */
  function requestStart(stream: MonitoredStream, run: MonitoredRun): void {
    if (!run.needsStart || run.knowledge.start) return;
    const { upstream } = stream;
    const { upstreamId } = upstream.info;
    if (requestingStart.has(upstreamId)) return;
    run.needsStart = false;
    if (!stream.isLoadAware()) return;
    requestingStart.add(upstreamId);
    requestReport(upstream, {
      onResponse: (response) => {
        requestingStart.delete(upstreamId);
        handleReport(upstream, response);
      },
      onFailure: () => requestingStart.delete(upstreamId),
    });
  }

  function checkStream(
    stream: MonitoredStream,
    { nowMs, processPauseMs, isAsked }: {
      readonly nowMs: number;
      readonly processPauseMs: number;
      /** Whether the stream was already asked to leave its run. */
      readonly isAsked: boolean;
    },
  ): void {
    const { upstream, startedAtMs, lastEventAtMs, resumedAtMs } = stream;
    if (stream.isPaused) return;
    const { upstreamId } = upstream.info;
    const streamSilentMs = nowMs -
      Math.max(lastEventAtMs ?? startedAtMs, resumedAtMs);
    const decision = decideOnSilence({
      streamSilentMs,
      engineSilentMs: nowMs - upstream.lastActivityAtMs,
      hasEvents: lastEventAtMs !== undefined,
      firstEventLimitMs: stream.firstEventLimitMs,
      isProbing: probing.has(upstreamId) ||
        nowMs < (nextProbeAtMs.get(upstreamId) ?? -Infinity),
      processPauseMs,
    });
    switch (decision) {
      case SilenceDecision.Wait:
        return;
      case SilenceDecision.Probe:
        probe(upstream);
        return;
      case SilenceDecision.Suspect:
        if (isAsked) return;
        stream.onSuspected(`no event for ${Math.round(streamSilentMs)} ms`);
        return;
      default:
        assertNever(decision);
    }
  }

  function probe(upstream: Upstream): void {
    const { upstreamId } = upstream.info;
    probing.add(upstreamId);
    const startedAtMs = clock.nowMs();
    requestReport(upstream, {
      onResponse: (response) => {
        probing.delete(upstreamId);
        handleReport(upstream, response);
      },
      onFailure: (reason, isConnectionRefused) => {
        probing.delete(upstreamId);
        // A leaving engine may refuse new connections while it still serves.
        if (isConnectionRefused && isLeaving(upstream)) return;
        const isLate = clock.nowMs() - startedAtMs >
          probeTimeoutMs + pauseLimitMs;
        // The report alone may be delayed, such as by a lost packet.
        const hasSentSince = upstream.lastActivityAtMs >= startedAtMs;
        if (isLate || hasSentSince) return;
        delayNextProbe(upstreamId);
        handleSilentEngine(upstreamId, reason);
      },
    });
  }

  /** Calls back exactly once. */
  function requestReport(
    { info }: Upstream,
    { onResponse, onFailure }: {
      onResponse(response: ReportResponse): void;
      onFailure(reason: string, isConnectionRefused: boolean): void;
    },
  ): void {
    const { upstreamId, host, port } = info;
    const received = createByteCollector();
    let status = 0;
    let otherId: string | undefined;
    let isEnded = false;
    const exchange = options.connections.send({
      host,
      port,
      method: "GET",
      path: protocol.reportPath,
      headers: ["Host", `${host}:${port}`],
      body: emptyBody,
      mayReuseConnection: true,
    }, {
      onHead: (value, headers) => {
        status = value;
        const { responderId } = protocol.describeResponse(status, headers);
        if (responderId !== upstreamId) otherId = responderId || undefined;
        if (!otherId) directory.recordActivity(upstreamId);
      },
      onData: (chunk) => {
        if (received.getSizeBytes() <= maxReportBytes) received.add(chunk);
      },
      onEnd: () =>
        end(() =>
          onResponse({ otherId, report: parseReport(status, received) })
        ),
      onFailure: ({ isConnectionRefused, reason }) =>
        end(() => onFailure(reason, isConnectionRefused)),
    });
    const cancelTimeout = setTimeoutAfterReads(() => {
      exchange.cancel();
      end(() => onFailure(`no report in ${probeTimeoutMs} ms`, false));
    }, probeTimeoutMs);

    function end(callBack: () => void): void {
      if (isEnded) return;
      isEnded = true;
      cancelTimeout();
      callBack();
    }
  }

  function parseReport(
    status: number,
    received: ByteCollector,
  ): EngineReport | undefined {
    if (status !== 200 || received.getSizeBytes() > maxReportBytes) return;
    return protocol.parseReport(received.takeAll()).unwrapOr(undefined);
  }

  function handleReport(
    upstream: Upstream,
    { otherId, report }: ReportResponse,
  ): void {
    const { info } = upstream;
    if (otherId !== undefined) {
      directory.recordAddressReuse(info.upstreamId);
      options.successors?.handleMisdirected(info, otherId);
      return;
    }
    updateRuns(info.upstreamId, {
      kind: "reportArrived",
      address: getAddress(upstream),
      startedAtWallMs: report?.startedAtWallMs,
    });
  }

  function handleAddressTaken(upstreamId: string, reason: string): void {
    updateRuns(upstreamId, { kind: "addressTaken", reason });
  }

  function updateRuns(upstreamId: string, event: RunEvent): void {
    const nowMs = clock.nowMs();
    const lost: MonitoredStream[] = [];
    for (const [stream, run] of streams) {
      if (stream.upstream.info.upstreamId !== upstreamId) continue;
      const before = run.knowledge.health.kind;
      run.knowledge = updateRun(run.knowledge, event, nowMs);
      const after = run.knowledge.health.kind;
      if (after === "lost" && before !== "lost") lost.push(stream);
    }
    if (lost.length === 0) return;
    // The attempt whose response showed the loss is ended by its own handler
    // before this, since it may not have run.
    setImmediate(() => leaveLost(upstreamId, lost));
  }

  function leaveLost(
    upstreamId: string,
    lost: readonly MonitoredStream[],
  ): void {
    const open = lost.filter((stream) => streams.has(stream));
    if (open.length === 0) return;
    const { health } = streams.get(open[0]!)!.knowledge;
    // Once, when it is seen: a run may be left seconds later, when the engine has
    // served requests and copies again.
    if (health.kind === "lost" && health.cause === LostCause.Restarted) {
      directory.recordLoss(upstreamId, health.reason);
    }
    logger.log(logEvents.streamRunsLost, {
      upstream: upstreamId,
      cause: health.kind === "lost" ? health.cause : undefined,
      reason: health.kind === "lost" ? health.reason : undefined,
      streams: open.length,
    });
    for (const stream of open) {
      const run = streams.get(stream);
      if (run) askToLeave(stream, run);
    }
  }

  function delayNextProbe(upstreamId: string): void {
    const nowMs = clock.nowMs();
    for (const [otherId, atMs] of nextProbeAtMs) {
      if (atMs <= nowMs) nextProbeAtMs.delete(otherId);
    }
    nextProbeAtMs.set(upstreamId, nowMs + repeatedProbeDelayMs);
  }

  function isLeaving({ info }: Upstream): boolean {
    return info.isLeaving || !directory.get(info.upstreamId);
  }

  /** Reports the suspicion to all streams of the engine at once. */
  function handleSilentEngine(upstreamId: string, reason: string): void {
    updateRuns(upstreamId, { kind: "reportMissing", reason });
    const affected = [...streams.keys()].filter(({ upstream }) =>
      upstream.info.upstreamId === upstreamId
    );
    logger.log(logEvents.engineLost, {
      upstream: upstreamId,
      reason,
      streams: affected.length,
    });
    directory.recordLoss(upstreamId, reason);
    for (const stream of affected) stream.onSuspected(reason);
  }
}

const emptyBody = Buffer.alloc(0);
