/**
 * Checks open streams for silence at short intervals and probes silent engines.
 * The timer runs only while streams are open.
 */
import { Buffer } from "node:buffer";
import { assertNever } from "../core/assert_never.ts";
import type { Clock } from "../core/clock.ts";
import { createPauseDetector } from "../core/pause_detector.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import { setTimeoutAfterReads } from "../core/timeout_after_reads.ts";
import type { ForwardingProtocol } from "./forwarding_protocol.ts";
import { decideOnSilence, SilenceDecision } from "./stream_decisions.ts";
import type { UpstreamConnections } from "./upstream_connections.ts";
import type { UpstreamDirectory } from "./upstream_directory.ts";
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
  /** The engine is silent and may be lost; called until the stream leaves it. */
  onSuspected(reason: string): void;
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
}

const checkIntervalMs = 40;
/** A check that is delayed by more than this shows a pause of this process. */
const pauseLimitMs = 150;
/** A report takes one round trip and no slot at the engine. */
const probeTimeoutMs = 120;
/** Streams may stay at a silent engine, which is then probed less often. */
const repeatedProbeDelayMs = 500;

export function createStreamMonitor(
  options: StreamMonitorOptions,
): StreamMonitor {
  const { clock, logger, directory } = options;
  const streams = new Set<MonitoredStream>();
  const probing = new Set<string>();
  /** By engine, after its last probe failed. */
  const nextProbeAtMs = new Map<string, number>();
  let timer: NodeJS.Timeout | undefined;
  let scheduledCheck: NodeJS.Immediate | undefined;
  const pauseDetector = createPauseDetector({
    clock,
    intervalMs: checkIntervalMs,
    limitMs: pauseLimitMs,
  });
  return {
    add: (stream) => {
      streams.add(stream);
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
    for (const stream of [...streams]) {
      checkStream(stream, { nowMs, processPauseMs });
      if (streams.has(stream)) stream.onCheck();
    }
  }

  function checkStream(
    stream: MonitoredStream,
    { nowMs, processPauseMs }: { nowMs: number; processPauseMs: number },
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
        stream.onSuspected(`no event for ${Math.round(streamSilentMs)} ms`);
        return;
      default:
        assertNever(decision);
    }
  }

  function probe(upstream: Upstream): void {
    const { info } = upstream;
    const { upstreamId } = info;
    probing.add(upstreamId);
    const startedAtMs = clock.nowMs();
    let isEnded = false;
    const exchange = options.connections.send({
      host: info.host,
      port: info.port,
      method: "GET",
      path: options.protocol.reportPath,
      headers: ["Host", `${info.host}:${info.port}`],
      body: emptyBody,
      mayReuseConnection: true,
    }, {
      onHead: () => directory.recordActivity(upstreamId),
      onData: () => {},
      onEnd: () => end(undefined),
      // A leaving engine may refuse new connections while it still serves.
      onFailure: ({ isConnectionRefused, reason }) =>
        end(isConnectionRefused && isLeaving(upstream) ? undefined : reason),
    });
    const cancelTimeout = setTimeoutAfterReads(() => {
      exchange.cancel();
      end(`no report in ${probeTimeoutMs} ms`);
    }, probeTimeoutMs);

    function end(failure: string | undefined): void {
      if (isEnded) return;
      isEnded = true;
      cancelTimeout();
      probing.delete(upstreamId);
      const isLate = clock.nowMs() - startedAtMs >
        probeTimeoutMs + pauseLimitMs;
      // The report alone may be delayed, such as by a lost packet.
      const hasSentSince = upstream.lastActivityAtMs >= startedAtMs;
      if (failure === undefined || isLate || hasSentSince) return;
      delayNextProbe(upstreamId);
      handleSilentEngine(upstreamId, failure);
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
    const affected = [...streams].filter(({ upstream }) =>
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
