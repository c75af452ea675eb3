/**
 * Starts the attempts of a stream: sends the request to the chosen engine, counts
 * its load there and arranges for a copy of its KV cache.
 */
import { createByteCollector } from "../core/byte_collector.ts";
import { logEvents } from "../core/log_events.ts";
import { listCopyHolders } from "./copy_decisions.ts";
import { createCopyManager } from "./copy_manager.ts";
import { createEventSplitter } from "./event_splitter.ts";
import { estimateFirstEventMs } from "./expected_time.ts";
import type { KvCacheCopy } from "./forwarding_protocol.ts";
import { createPaceMeter } from "./pace_meter.ts";
import { chooseForCopy } from "./placement.ts";
import { describePlacement, type StreamAttempt } from "./stream_attempt.ts";
import { getFirstEventLimitMs } from "./stream_decisions.ts";
import type { StreamLosses } from "./stream_losses.ts";
import type { StreamMonitor } from "./stream_monitor.ts";
import type { StreamPlacement } from "./stream_placement.ts";
import type { StreamReceiver } from "./stream_receiver.ts";
import { getEnginePriority } from "./stream_scheduling.ts";
import { getStreamDemand, type StreamState } from "./stream_state.ts";
import { getAddress } from "./upstream_directory.ts";
import type { Upstream } from "./upstream_types.ts";

export interface StreamStarter {
  /** Without a copy as its source, the engine prefills the prompt. */
  start(engine: Upstream, source?: KvCacheCopy): void;
}

export interface StreamStarterOptions {
  readonly stream: StreamState;
  readonly monitor: StreamMonitor;
  readonly placement: StreamPlacement;
  readonly receiver: StreamReceiver;
  readonly losses: StreamLosses;
}

export function createStreamStarter(
  { stream, monitor, placement, receiver, losses }: StreamStarterOptions,
): StreamStarter {
  const { context, admitted, traits } = stream;
  const { clock, logger, protocol, directory, connections } = context;
  const { caller, route, service, deadlineAtMs, body } = admitted;
  const { description } = caller;
  const { requestId } = description;
  return { start };

  function start(
    engine: Upstream,
    source?: KvCacheCopy,
  ): void {
    const { info } = engine;
    const demand = getStreamDemand(stream);
    const firstEventLimitMs = context.isLoadAware(service.name) && !source
      ? getFirstEventLimitMs({
        expectedMs: estimateFirstEventMs(engine, demand, clock.nowMs()),
        remainingMs: deadlineAtMs - clock.nowMs(),
      })
      : undefined;
    const requestLoad = directory.trackRequest(info.upstreamId);
    requestLoad.addMemoryTokens(demand.totalTokens);
    if (!source) requestLoad.addUncachedTokens(demand.prefillTokens);
    const copyManager = createCopyManager({
      context,
      traits,
      requestId,
      running: engine,
      isResumable: route.isResumable,
      totalTokens: demand.totalTokens,
      chooseHolder: () =>
        chooseForCopy(
          // An engine of another version cannot use the KV cache.
          listHolders(engine).filter((other) =>
            other.info.version === engine.info.version
          ),
          engine,
          demand,
          placement.getPlacementContext(true),
        ),
    });
    const copyHolder = copyManager.getInitialHolder();
    const started: StreamAttempt = {
      upstream: engine,
      startedAtMs: clock.nowMs(),
      firstEventAtMs: undefined,
      isPastStart: false,
      lastEventAtMs: undefined,
      firstEventLimitMs,
      highestEventId: undefined,
      bytesWithoutProgress: 0,
      isPaused: false,
      resumedAtMs: -Infinity,
      hasAddedEvents: false,
      isSilenceLogged: false,
      prefillTokens: source ? 0 : demand.prefillTokens,
      isLoadAware: () => context.isLoadAware(service.name),
      onSuspected: (reason) => losses.handleSilence(started, reason),
      onLost: (cause, reason) =>
        losses.handleNewLifetime(started, cause, reason),
      onCheck: () => copyManager.check(started.lastEventAtMs !== undefined),
      requestLoad,
      copyManager,
      wait: directory.trackWait(info.upstreamId),
      pace: createPaceMeter((paceMs) =>
        directory.recordPace(info.upstreamId, paceMs)
      ),
      splitter: createEventSplitter(),
      exchange: undefined,
      head: undefined,
      errorBody: createByteCollector(),
    };
    stream.run = started;
    stream.usedVersions.add(info.version);
    stream.attemptCount += 1;
    context.recordPlacement();
    if (context.isLoadAware(service.name)) context.announceLoads();
    context.limits.recordSend(info.upstreamId);
    logger.log(logEvents.streamPlaced, {
      ...describePlacement(started, {
        nowMs: clock.nowMs(),
        promptParts: description.promptParts,
      }),
      request: requestId,
      rank: stream.rank,
      promptTokens: description.promptTokens,
      copyAt: copyHolder?.info.upstreamId,
      resumesFrom: source?.copyId,
      lastEventId: stream.lastEventId,
      revision: admitted.revision,
    });
    monitor.add(started);
    started.exchange = connections.send({
      host: info.host,
      port: info.port,
      method: caller.method,
      path: caller.path,
      headers: protocol.buildUpstreamHeaders(caller.rawHeaders, {
        upstreamId: info.upstreamId,
        remainingMs: Math.max(1, deadlineAtMs - clock.nowMs()),
        customerId: admitted.customerId,
        lastEventId: stream.lastEventId,
        copyHolderAddress: copyHolder && getAddress(copyHolder),
        resumeFrom: source,
        enginePriority: getEnginePriority(stream.rank),
        bodyBytes: body.length,
      }),
      body,
      mayReuseConnection: route.isResumable,
    }, {
      onHead: (status, headers, origin) =>
        receiver.onHead(started, { status, headers }, origin),
      onData: (chunk) => receiver.onData(started, chunk),
      onEnd: () => receiver.onEnd(started),
      onFailure: (failure) =>
        losses.handleLoss(started, {
          ...failure,
          hasEngineEnded: failure.wasSent,
        }),
    });
  }

  /** Under load, copies of lower ranks give way to more urgent streams. */
  function listHolders(running: Upstream): readonly Upstream[] {
    const { rank } = stream;
    const engines = directory.listUsable(service.name);
    if (!rank || !context.isLoadAware(service.name)) return engines;
    const rankCount = context.getStreamPriorities(service.name).length;
    const urgent = context.rankDemand.getMoreUrgent(service.name, rank);
    return listCopyHolders(engines, running, {
      isLowestRank: rank >= rankCount - 1,
      memoryTokens: traits.memoryTokens,
      totalTokens: getStreamDemand(stream).totalTokens,
      urgentTokensPerS: urgent.promptTokensPerS,
      timeoutMs: route.timeoutMs,
      urgentIds: context.urgentEngines.getIds(
        service.name,
        engines,
        urgent,
      ),
    });
  }
}
