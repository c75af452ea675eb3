/**
 * An entry instance of a forwarding deployment: forwards callers' requests
 * according to the configuration and the upstream view that control instances
 * distribute.
 */
import { errAsync, type ResultAsync } from "neverthrow";
import type { Configuration } from "../control/configuration.ts";
import { createRepeatGrantClient } from "../control/repeat_grant_client.ts";
import { createByteBudget } from "../core/byte_budget.ts";
import { createError, ErrorKind, type SystemError } from "../core/errors.ts";
import { createInstanceMeter } from "../core/instance_figures.ts";
import { createPauseWatch } from "../core/pause_watch.ts";
import { createSupervisor } from "../core/supervisor.ts";
import { createEntryServer } from "../forwarding/entry_server.ts";
import { meterDomainTraffic } from "../forwarding/domain_metering.ts";
import { createDomainTraffic } from "../forwarding/domain_traffic.ts";
import { createForwardingMetrics } from "../forwarding/forwarding_metrics.ts";
import { createInstanceAdmission } from "../forwarding/instance_admission.ts";
import { createCallQueue } from "../forwarding/call_queue.ts";
import type { ForwardingContext } from "../forwarding/forwarding_context.ts";
import { forwardingTableName } from "../forwarding/forwarding_table.ts";
import {
  createRouteTable,
  type RouteTable,
} from "../forwarding/route_table.ts";
import { createPlacementEstimator } from "../forwarding/placement_estimator.ts";
import { createStreamQueue } from "../forwarding/stream_queue.ts";
import { createUrgentEngines } from "../forwarding/urgent_engines.ts";
import { createSuccessorDiscovery } from "../forwarding/successor_discovery.ts";
import {
  getPrefillMsPerToken,
  getServiceMs,
} from "../forwarding/expected_time.ts";
import { createUpstreamConnections } from "../forwarding/upstream_connections.ts";
import { createUpstreamDirectory } from "../forwarding/upstream_directory.ts";
import { createDemandShare } from "../limits/demand_share.ts";
import { createLimitQueue } from "../limits/limit_queue.ts";
import { createUpstreamLimits } from "../limits/upstream_limits.ts";
import { createRankDemand } from "../limits/rank_demand.ts";
import { createRepeatGrants } from "../limits/repeat_grants.ts";
import { createRepeatWindow } from "../limits/repeat_window.ts";
import { createRetryBudget } from "../limits/retry_budget.ts";
import { createSharedRetryBudget } from "../limits/shared_retry_budget.ts";
import { PeerCallKind } from "../peer/messages.ts";
import { startPeerServer } from "../peer/peer_server.ts";
import { createRequestQuarantine } from "../quarantine/request_quarantine.ts";
import { createInstanceCore } from "./instance_core.ts";
import type { InstanceOptions, RunningInstance } from "./instance_types.ts";

/** Part of the permitted retries that is budgeted; the rest is a margin. */
const budgetSafetyRatio = 0.6;
/**
 * Part of the permitted repeats that only streams draw on which lost their
 * engine. With the part above it leaves a tenth to requests that are counted
 * elsewhere at another time.
 */
const reserveRatio = 0.3;
/** Window in which the permitted repeats are counted. */
const retryWindowS = 10;
/**
 * An instance whose upstream view control has not confirmed for this long
 * routes no requests to candidate versions. Shorter than the time within which
 * a rollback must take effect.
 */
const maxCandidateViewAgeMs = 2_500;
/** A small part of the 178 MB of the smallest entry machines. */
const maxHeldResponseBytes = 16 * 1024 * 1024;
/** Part of them that large responses to slow callers leave to small ones. */
const smallResponsesRatio = 0.25;
/**
 * Initial balance and least limit of the retry budget of one instance; without
 * it, no instance could ever retry.
 */
const minBudgetUnits = 2;

/**
 * A reply takes a round trip within the failure domain. Later, a stream is
 * placed by what is known; its caller waits for seconds, not for this.
 */
const maxRefreshMs = 25;

/** A shorter standstill is in the figures of one interval, which don't suffice. */
const overloadPauseMs = 250;

export function startEntryInstance(
  options: InstanceOptions,
): ResultAsync<RunningInstance, SystemError> {
  const { settings, adapter, clock, logger, random, registry, guard } = options;
  const { callers, readiness, bounds } = settings;
  if (callers === null || readiness === null) {
    const message =
      'an entry instance needs the settings "callers" and "readiness"';
    return errAsync(createError(ErrorKind.InvalidSettings, message));
  }
  let routes: RouteTable | undefined;
  const metrics = createForwardingMetrics(registry);
  registry.createInfo("instance_info", "The instance's failure domain.", {
    domain: settings.domainId,
  });
  const domainTraffic = createDomainTraffic({
    clock,
    random,
    isLoadAware,
    logger,
    domainId: settings.domainId,
    prices: settings.domainTraffic,
    attempts: metrics.domainAttempts,
    bytes: metrics.domainBytes,
    listUsable: (service) => directory.listUsable(service),
    isDomainSuspected: (service, domainId) =>
      directory.isDomainSuspected(service, domainId),
    getObjectives: (service) =>
      routes?.getObjectives(service) ??
        { firstEventMs: undefined, callMs: undefined },
    getTimes: (upstream) => {
      const nowMs = clock.nowMs();
      return {
        callMs: getServiceMs(upstream, nowMs),
        prefillMsPerToken: getPrefillMsPerToken(upstream, nowMs),
      };
    },
  });
  const { directory, connections } = meterDomainTraffic({
    directory: createUpstreamDirectory({
      clock,
      logger,
      random,
      onUpstreamLost: () => core.membership.scheduleHeartbeat(),
      canRouteToCandidates: () =>
        core.upstreams.getState().ageMs < maxCandidateViewAgeMs,
      isLoadAware,
    }),
    connections: createUpstreamConnections(),
  }, domainTraffic);
  const demand = createDemandShare({
    clock,
    getInstanceCount: () => core.membership.getEntryCount(),
  });
  const rankDemand = createRankDemand({
    clock,
    getInstanceCount: () => core.membership.getEntryCount(),
  });
  const repeatWindow = createRepeatWindow({
    clock,
    ratio: bounds.retryRatio,
    slack: bounds.retrySlack,
    getInstanceCount: () => core.membership.getEntryCount(),
    usesGrants,
  });
  const limits = createUpstreamLimits({
    clock,
    logger,
    random,
    getShare: demand.getShare,
  });
  const quarantine = createRequestQuarantine({
    clock,
    logger,
    isControlReachable: () =>
      core.membership.listReachableControlIds().length > 0,
    onCrash: () => core.membership.scheduleHeartbeat(),
  });
  const core = createInstanceCore({
    settings,
    adapter,
    clock,
    logger,
    random,
    registry,
    isLeader: () => false,
    getLeaderTerm: () => undefined,
    onConfiguration: applyConfiguration,
    onUpstreams: directory.update,
    getAnswerReport: directory.getAnswerReport,
    onHeartbeat: (heartbeat) => {
      if (!heartbeat.isControl) return;
      quarantine.applyNotice(heartbeat.instanceId, heartbeat.quarantine);
    },
    getQuarantineFields: () => {
      const crashReport = quarantine.getReport();
      return {
        quarantineRevision: quarantine.getRevision(),
        ...(crashReport ? { crashReport } : {}),
      };
    },
    assignShares: (upstreams) => [...upstreams],
    // One control instance is enough. The first one is in this instance's
    // failure domain if possible, where the traffic costs least.
    getEngineLoadSummary: (to) =>
      core.membership.listReachableControlIds()[0] === to
        ? {
          ...directory.getLocalLoadSummary(),
          demands: demand.getDemands(),
          repeats: repeatWindow.getCounts(),
          rankDemands: rankDemand.getOwnDemands(),
          domainDemands: domainTraffic.getDemands(),
        }
        : undefined,
    onEngineLoadSummary: ({ instanceId }, summary) => {
      const preferredId = core.membership.listReachableControlIds()[0];
      if (preferredId !== instanceId) return;
      directory.setRemoteLoadSummary(summary);
      demand.setRemoteDemands(summary.demands ?? []);
      repeatWindow.setRemoteCounts(summary.repeats ?? []);
      rankDemand.setRemoteDemands(summary.rankDemands ?? []);
      domainTraffic.setRemoteDemands(summary.domainDemands);
    },
  });
  const { membership, peers, configuration } = core;
  const getMaxRetryUnits = () =>
    Math.max(
      minBudgetUnits,
      bounds.retrySlack * budgetSafetyRatio / membership.getEntryCount(),
    );
  const limitQueue = createLimitQueue({
    clock,
    listUpstreamIds: (service) =>
      directory.listUsable(service).map(({ info }) => info.upstreamId),
    getRatePerS: limits.getRatePerS,
  });
  const streamQueue = createStreamQueue();
  const callQueue = createCallQueue({
    clock,
    random,
    logger,
    limitQueue,
    directory,
    demand,
    metrics,
  });
  const protocol = adapter.createForwardingProtocol();
  const context: ForwardingContext = {
    clock,
    logger,
    random,
    domainId: settings.domainId,
    protocol,
    connections,
    directory,
    quarantine,
    limits,
    limitQueue,
    callQueue,
    rankDemand,
    streamQueue,
    urgentEngines: createUrgentEngines(),
    getStreamPriorities: (service) =>
      routes?.getStreamPriorities(service) ?? [],
    getUrgentObjectiveMs: (service) => routes?.getUrgentObjectiveMs(service),
    isLoadAware,
    refreshLoads: async () => {
      await core.membership.exchangeHeartbeat(maxRefreshMs, {
        hasChanges: false,
      });
    },
    announceLoads: () => {
      void core.membership.exchangeHeartbeat(maxRefreshMs, {
        hasChanges: true,
      });
    },
    demand: {
      getShare: demand.getShare,
      recordRequest: (service) => {
        demand.recordRequest(service);
        domainTraffic.recordRequest(service);
      },
    },
    domainTraffic,
    successors: createSuccessorDiscovery({
      logger,
      protocol,
      connections,
      directory,
      getSoleEngineService: () => routes?.soleEngineService,
    }),
    ...createPlacementEstimator({
      clock,
      // A load summary from control is half a second to a second old.
      loadSummaryAgeMs: 1.5 * settings.heartbeatIntervalMs,
      getDomainPeerCount: () =>
        membership.getEntryCount() / directory.countDomains() - 1,
    }),
    metrics,
    heldResponses: createByteBudget(maxHeldResponseBytes, {
      smallReservedRatio: smallResponsesRatio,
    }),
    budget: createSharedRetryBudget({
      window: repeatWindow,
      grants: createRepeatGrants({
        clock,
        request: createRepeatGrantClient({
          peers,
          listReachableControlIds: membership.listReachableControlIds,
        }).request,
      }),
      separate: createRetryBudget({
        ratio: bounds.retryRatio * budgetSafetyRatio,
        initialUnits: minBudgetUnits,
        maxUnits: getMaxRetryUnits,
        getReserveUnits: ({ service }) =>
          reserveRatio *
          (bounds.retrySlack / membership.getEntryCount() +
            bounds.retryRatio * retryWindowS * demand.getOwnRatePerS(service)),
      }),
      isShared: isLoadAware,
      usesGrants,
      onRefusedDraw: (service, urgency) =>
        metrics.refusedRepeats.add({ service, urgency }),
    }),
  };
  registry.createGauge(
    "upstreams",
    "Upstreams that this instance knows.",
    directory.count,
  );
  registry.createGauge(
    "slowest_upstream_factor",
    "Highest learned time of an upstream, relative to its service.",
    directory.getSlowestFactor,
  );
  registry.createGauge(
    "quarantined_parts",
    "Prompt parts and requests that are refused.",
    quarantine.countQuarantined,
  );
  registry.createGauge(
    "limited_upstreams",
    "Upstreams that state a limit of their requests.",
    limits.count,
  );
  registry.createGauge(
    "waiting_for_limits",
    "Requests that wait until the limit of an upstream allows them.",
    () => limitQueue.count() - callQueue.count(),
  );
  registry.createGauge(
    "waiting_calls",
    "Calls that wait until an upstream is expected to start them soon.",
    callQueue.count,
  );
  registry.createGauge(
    "waiting_streams",
    "Streams that wait here for an engine or the retry budget.",
    streamQueue.count,
  );
  registry.createGauge(
    "open_requests",
    "Requests that have no final answer yet.",
    () => server.getOpenCount(),
  );
  const overload = settings.overload.isEnabled ? watchOverload() : undefined;
  const server = createEntryServer({
    context,
    admission: overload?.admission,
    callers,
    readiness,
    guard,
    callerLimits: settings.callerLimits,
    getRouteTable: () => configuration.isKnown() ? routes : undefined,
  });
  return startPeerServer({
    host: settings.host,
    port: settings.peerPort,
    keys: settings.peerKeys,
    logger,
    handlers: {
      [PeerCallKind.PushConfiguration]: configuration.handlePush,
      [PeerCallKind.PullConfiguration]: configuration.handlePull,
    },
  }).andThen((peerServer) =>
    server.listen().map((): RunningInstance => ({
      task: createSupervisor({
        name: "entry-instance",
        clock,
        logger,
        tasks: [...core.tasks, ...overload?.tasks ?? []],
      }),
      membership,
      drain: async () => {
        membership.setLeaving();
        await server.drain(bounds.graceS * 1_000);
      },
      close: async () => {
        overload?.meter.close();
        context.connections.close();
        peers.close();
        await peerServer.close();
      },
    }))
  );

  function watchOverload() {
    const meter = createInstanceMeter(guard.measure);
    const pauses = createPauseWatch({ clock, limitMs: overloadPauseMs });
    const admission = createInstanceAdmission({
      limits: settings.overload,
      clock,
      random,
      logger,
      metrics,
      meter,
      pauses,
    });
    registry.createGauge(
      "overload_refused_ratio",
      "Part of the requests that this instance refuses for lack of capacity.",
      admission.getRefusedRatio,
    );
    return { meter, admission, tasks: [pauses.task, admission.task] };
  }

  /**
   * A stream can wait for the leader's reply. Calls have objectives of 150 ms, and
   * many of them, so the shares of the instances are large.
   */
  function usesGrants(service: string): boolean {
    return (routes?.getService(service)?.engine ?? null) !== null;
  }

  function isLoadAware(service: string): boolean {
    return routes?.hasRankedStreams(service) === true ||
      directory.hasStatedSlowness(service);
  }

  function applyConfiguration({ forwarding, revision }: Configuration): void {
    const table = forwarding[forwardingTableName];
    if (!table) return;
    routes = createRouteTable(table, revision);
    server.setLimits(table.limits);
  }
}
