/**
 * Creates one instance from its settings and runs it until it is stopped.
 */
import type { Server } from "node:http";
import { Hono } from "hono";
import { ResultAsync } from "neverthrow";
import { createAnswerExplainer } from "../answers/answer_explainer.ts";
import { createAnswerReader } from "../answers/answer_reader.ts";
import { createAnswerService } from "../answers/answer_service.ts";
import type { AnswerService } from "../answers/answer_service_types.ts";
import { createCallService } from "../calls/call_service.ts";
import { getInitialConfiguration } from "../control/configuration.ts";
import { createConfigurationCache } from "../control/configuration_cache.ts";
import { createConfigurationService } from "../control/configuration_service.ts";
import { createControlClient } from "../control/control_client.ts";
import {
  createConsensusOptions,
  createReplicatedLog,
} from "../control/replicated_log.ts";
import { createStateMachine } from "../control/state_machine.ts";
import { maxTicketBytes } from "../control/ticket.ts";
import { createTicketService } from "../control/ticket_service.ts";
import {
  CallerLimit,
  createCallerGuard,
  getMaxBodyBytes,
  getMaxConnections,
} from "../core/caller_limits.ts";
import { createSystemClock } from "../core/clock.ts";
import { type SystemError } from "../core/errors.ts";
import { logEvents } from "../core/log_events.ts";
import { createLogger } from "../core/logger.ts";
import {
  createStatsdMetrics,
  createStatsdRegistry,
} from "../core/statsd_metrics.ts";
import { createRandom } from "../core/random.ts";
import { createPeriodicTask, createSupervisor } from "../core/supervisor.ts";
import { type InstanceInfo, InstanceState } from "../core/types.ts";
import { createAuthenticator } from "../entry/authenticator.ts";
import { createBodyBudget, limitBodies } from "../entry/body_room.ts";
import { createCallerApp } from "../entry/caller_app.ts";
import { createOperatorApp } from "../entry/operator_app.ts";
import { createReportRoutes } from "../entry/report_routes.ts";
import { createTicketRoutes } from "../entry/ticket_routes.ts";
import {
  createMembershipService,
  type MembershipService,
} from "../membership/membership_service.ts";
import { createPeerClient, type PeerClient } from "../peer/peer_client.ts";
import { type PeerServer, startPeerServer } from "../peer/peer_server.ts";
import {
  createUsageReporter,
  tokenGapLimitMs,
  type UsageReporter,
} from "../reports/usage_reporter.ts";
import type { Settings } from "../settings/schema.ts";
import { createApplicationClient } from "../upstreams/application_client.ts";
import { createEngineAttemptRunner } from "../upstreams/engine_attempt_runner.ts";
import { createEngineClient } from "../upstreams/engine_client.ts";
import { createUpstreamRegistry } from "../upstreams/upstream_registry.ts";
import { createDrain } from "./drain.ts";
import { startHttpServer } from "./http_server.ts";
import { createPeerHandlers } from "./peer_handlers.ts";
import { createRollouts } from "./rollouts.ts";
import { createTraffic } from "./traffic.ts";

export interface Daemon {
  readonly callerPort: number;
  readonly peerPort: number;
  /** Graceful shutdown; resolves when the instance has stopped. */
  stop(): Promise<void>;
  /** Rejects when the root supervisor has exceeded its restart limit. */
  readonly finished: Promise<void>;
}

const answerTickMs = 25;

export function startDaemon(
  settings: Settings,
): ResultAsync<Daemon, SystemError> {
  const clock = createSystemClock();
  const logger = createLogger({
    level: settings.log.level,
    isJson: settings.log.format === "json",
  }).with({ instance: settings.instanceId });
  const metrics = createStatsdMetrics(
    settings.metrics && {
      ...settings.metrics,
      instanceId: settings.instanceId,
    },
  );
  const guard = createCallerGuard({
    limits: settings.callerLimits,
    logger,
    registry: createStatsdRegistry(metrics),
  });
  const random = createRandom(Date.now() ^ (Math.random() * 2 ** 31));
  const registry = createUpstreamRegistry({ clock, logger });
  const engines = createEngineClient();
  const applications = createApplicationClient();
  /** Set below, since these services depend on each other. */
  const late: {
    answers?: AnswerService;
    peers?: PeerClient;
    membership?: MembershipService;
    usage?: UsageReporter;
  } = {};
  const markLeavingUpstreams = () =>
    registry.setMarkedLeaving(
      new Set(Object.keys(configuration.getConfiguration().leavingUpstreams)),
    );
  const configuration = createConfigurationService({
    clock,
    logger,
    random,
    initial: getInitialConfiguration(settings),
    cache: settings.control &&
      createConfigurationCache(settings.control.dataFolder),
    selfId: settings.instanceId,
    domainId: settings.domainId,
    getMembership: () => late.membership!,
    getPeers: () => late.peers!,
    isLeader: () => log?.isLeader() ?? false,
    onApplied: markLeavingUpstreams,
  });
  const stateMachine = createStateMachine({
    onConfiguration: configuration.record,
  });
  const rollouts = createRollouts({
    settings,
    clock,
    logger,
    random,
    registry,
    getAnswers: () => late.answers!,
    getPeers: () => late.peers!,
    getLog: () => log,
    getConfiguration: configuration.getConfiguration,
    table: stateMachine.rollouts,
    getInstanceCount: () => membership.listInstances().length,
  });
  const self: InstanceInfo = {
    instanceId: settings.instanceId,
    domainId: settings.domainId,
    host: settings.peers.host,
    peerPort: settings.peers.port,
    state: InstanceState.Live,
    incarnation: clock.wallMs(),
  };
  const membership = createMembershipService({
    ...settings.membership,
    self,
    clock,
    logger,
    getPeers: () => late.peers!,
    getRevision: configuration.getRevision,
    onHeartbeat: configuration.handleHeartbeat,
    onListRead: (list) => {
      registry.update(list.upstreams);
      markLeavingUpstreams();
      configuration.handleListRead();
    },
    onInstanceLost: (id) => late.answers!.onInstanceLost(id),
    onInstanceReachable: (id) => late.answers!.onInstanceReachable(id),
    onInstanceLeaving: (id) => late.answers!.onInstanceLeaving(id),
  });
  const peers = createPeerClient({
    keys: settings.peers.keys,
    logger,
    getAddress: membership.getAddress,
    onConnectionLost: membership.probeInstance,
  });
  const traffic = createTraffic({
    settings,
    clock,
    logger,
    random,
    registry,
    engines,
    configuration,
    getInstanceCount: () => membership.listInstances().length,
    servesVersion: rollouts.leases.servesVersion,
  });
  const { admission } = traffic;
  const answers = createAnswerService({
    ...settings.answers,
    clock,
    logger,
    random,
    membership,
    peers,
    attempts: createEngineAttemptRunner({
      instanceId: settings.instanceId,
      clock,
      logger,
      engines,
      registry,
      router: traffic.router,
      stallDetector: traffic.stallDetector,
      budget: traffic.answerBudget,
      onTokens: admission.recordTokens,
      collector: rollouts.collector,
    }),
    getReplacementVersion: rollouts.leases.getReplacementVersion,
    onTakenOver: admission.recordOpened,
    onClosed: admission.recordClosed,
    longGapMs: tokenGapLimitMs,
    onFinished: (state, latency) => late.usage!.recordAnswer(state, latency),
  });
  late.membership = membership;
  late.peers = peers;
  late.answers = answers;
  const log = settings.control && createReplicatedLog({
    clock,
    logger,
    random,
    peers,
    instanceId: settings.instanceId,
    dataFolder: settings.control.dataFolder,
    consensus: createConsensusOptions({
      ...settings.control,
      founderIds: settings.controlInstanceIds,
      listControlIds: () => settings.controlInstanceIds,
      voterCount: settings.control.voterCount ??
        Math.min(3, settings.controlInstanceIds.length),
    }),
    stateMachine,
  });
  const control = createControlClient({
    clock,
    peers,
    selfId: settings.instanceId,
    listControlIds: () => settings.controlInstanceIds,
    log,
  });
  const usage = createUsageReporter({
    instanceId: settings.instanceId,
    incarnation: self.incarnation,
    clock,
    logger,
    control,
  });
  late.usage = usage;
  const calls = createCallService({
    clock,
    logger,
    random,
    control,
    registry,
    client: applications,
    budget: traffic.callBudget,
  });
  const drain = createDrain({
    clock,
    logger,
    answers,
    announceLeaving: membership.setLeaving,
  });
  const authenticator = createAuthenticator(settings);
  const app = new Hono();
  // Tickets may be larger than the bodies of callers.
  const maxBodyBytes = Math.max(settings.limits.maxBodyBytes, maxTicketBytes);
  app.use(limitBodies({
    budget: createBodyBudget(
      getMaxBodyBytes(settings.callerLimits),
      maxBodyBytes,
    ),
    maxBytes: maxBodyBytes,
    onRefused: () => guard.record(CallerLimit.BodyBytes),
  }));
  app.route(
    "/admin",
    createOperatorApp({
      authenticator,
      membership,
      registry,
      answers,
      getPeerTraffic: peers.getTraffic,
      getLeaderId: () => log?.getLeaderId() ?? "",
      configuration,
      explainer: createAnswerExplainer({
        membership,
        peers,
        describeLocal: answers.describe,
      }),
      reportRoutes: createReportRoutes({
        clock,
        control,
        prices: settings.prices,
      }),
      ticketRoutes: createTicketRoutes(createTicketService({
        clock,
        logger,
        control,
        ...configuration,
      })),
      getLimits: traffic.getLimits,
      getCircuit: traffic.getCircuit,
    }),
  );
  app.route(
    "/",
    createCallerApp({
      settings,
      configuration,
      random,
      clock,
      logger,
      authenticator,
      answers,
      reader: createAnswerReader({ clock, membership, peers, answers }),
      calls: usage.observeCalls(calls),
      admission,
      chooseVersion: rollouts.leases.chooseVersion,
      isReady: () => drain.isReady() && configuration.isKnown(),
      isConfigured: configuration.isKnown,
      isAccepting: drain.isAccepting,
      trackRequest: drain.trackRequest,
    }),
  );

  return startPeerServer({
    ...settings.peers,
    handlers: createPeerHandlers({
      selfId: settings.instanceId,
      membership,
      answers,
      configuration,
      rollouts,
      log,
    }),
    logger,
  }).andThen((peerServer) =>
    startHttpServer(app, settings.callers, {
      logger,
      guard,
      maxConnections: getMaxConnections(settings.callerLimits),
      maxBodyBytes,
    }).map((http) => run(peerServer, http))
  );

  function run(peerServer: PeerServer, http: Server): Daemon {
    const stopping = new AbortController();
    const root = createSupervisor({
      name: "root",
      clock,
      logger,
      tasks: [
        createSupervisor({
          name: "membership",
          clock,
          logger,
          tasks: membership.tasks,
        }),
        createSupervisor({
          name: "configuration",
          clock,
          logger,
          tasks: configuration.tasks,
        }),
        createSupervisor({
          name: "answers",
          clock,
          logger,
          tasks: [createPeriodicTask({
            name: "answer-tick",
            clock,
            intervalMs: answerTickMs,
            action: () => {
              traffic.stallDetector.recordCheck(answerTickMs);
              answers.tick();
            },
          })],
        }),
        createSupervisor({
          name: "rollouts",
          clock,
          logger,
          tasks: rollouts.createTasks(),
        }),
        createSupervisor({
          name: "upstreams",
          clock,
          logger,
          tasks: traffic.tasks,
        }),
        createSupervisor({
          name: "reports",
          clock,
          logger,
          tasks: [usage.task],
        }),
        ...(log
          ? [createSupervisor({
            name: "control",
            clock,
            logger,
            tasks: log.tasks,
          })]
          : []),
      ],
    });
    const finished = root.run(stopping.signal);
    const address = http.address();
    const callerPort = typeof address === "object" ? address?.port ?? 0 : 0;
    logger.log(logEvents.daemonStarted, {
      callerPort,
      peerPort: peerServer.port,
    });
    return { callerPort, peerPort: peerServer.port, stop, finished };

    async function stop(): Promise<void> {
      logger.log(logEvents.daemonStopping);
      await drain.run();
      await usage.flush();
      stopping.abort();
      http.close();
      http.closeAllConnections();
      peers.close();
      await Promise.all([
        peerServer.close(),
        engines.close(),
        applications.close(),
        traffic.close(),
        rollouts.close(),
      ]);
      metrics.close();
      logger.log(logEvents.daemonStopped);
    }
  }
}
