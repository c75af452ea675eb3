/**
 * Builds one instance from its settings and runs it until it is told to stop.
 */
import type { Server } from "node:http";
import { serve } from "@hono/node-server";
import { Hono } from "hono";
import { ok, ResultAsync } from "neverthrow";
import { createAnswerReader } from "../answers/answer_reader.ts";
import {
  type AnswerService,
  createAnswerService,
} from "../answers/answer_service.ts";
import { createCallService } from "../calls/call_service.ts";
import { commandSchema } from "../control/commands.ts";
import { createControlClient } from "../control/control_client.ts";
import {
  createSingleLog,
  type ReplicatedLog,
} from "../control/replicated_log.ts";
import { createStateMachine } from "../control/state_machine.ts";
import { createSystemClock } from "../core/clock.ts";
import { createError, ErrorKind, type SystemError } from "../core/errors.ts";
import { logEvents } from "../core/log_events.ts";
import { createLogger } from "../core/logger.ts";
import { createMetrics } from "../core/metrics.ts";
import { createRandom } from "../core/random.ts";
import { createPeriodicTask, createSupervisor } from "../core/supervisor.ts";
import { type InstanceInfo, InstanceState } from "../core/types.ts";
import { createAuthenticator } from "../entry/authenticator.ts";
import { createCallerApp } from "../entry/caller_app.ts";
import { createOperatorApp } from "../entry/operator_app.ts";
import { createMembershipService } from "../membership/membership_service.ts";
import { PeerCallKind } from "../peer/messages.ts";
import { createPeerClient, type PeerClient } from "../peer/peer_client.ts";
import {
  type PeerHandlers,
  type PeerServer,
  startPeerServer,
} from "../peer/peer_server.ts";
import type { Settings } from "../settings/schema.ts";
import { createApplicationClient } from "../upstreams/application_client.ts";
import { createEngineAttempts } from "../upstreams/engine_attempts.ts";
import { createEngineClient } from "../upstreams/engine_client.ts";
import { createUpstreamRegistry } from "../upstreams/upstream_registry.ts";
import { createDrain } from "./drain.ts";
import { createTraffic } from "./traffic.ts";

export interface Daemon {
  readonly callerPort: number;
  readonly peerPort: number;
  /** Graceful shutdown; resolves when the instance has stopped. */
  stop(): Promise<void>;
  /** Rejects when the supervisor tree gave up. */
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
  const metrics = createMetrics(
    settings.metrics && {
      ...settings.metrics,
      instanceId: settings.instanceId,
    },
  );
  const random = createRandom(Date.now() ^ (Math.random() * 2 ** 31));
  const registry = createUpstreamRegistry({ clock, logger });
  const engines = createEngineClient();
  const applications = createApplicationClient();
  const stateMachine = createStateMachine();
  const log: ReplicatedLog | undefined = settings.control
    ? createSingleLog(settings.instanceId, stateMachine)
    : undefined;
  const late: { answers?: AnswerService; peers?: PeerClient } = {};
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
    getRevision: () => 0,
    onListRead: (list) => registry.update(list.upstreams),
    onInstanceLost: (id) => late.answers!.onInstanceLost(id),
    onInstanceLeaving: (id) => late.answers!.onInstanceLeaving(id),
  });
  const peers = createPeerClient({
    keys: settings.peers.keys,
    logger,
    getAddress: membership.getAddress,
    onConnectionLost: membership.checkNow,
  });
  const traffic = createTraffic({
    settings,
    clock,
    logger,
    random,
    registry,
    engines,
    getInstanceCount: () => membership.listInstances().length,
  });
  const { admission } = traffic;
  const answers = createAnswerService({
    ...settings.answers,
    clock,
    logger,
    random,
    membership,
    peers,
    attempts: createEngineAttempts({
      instanceId: settings.instanceId,
      clock,
      logger,
      engines,
      registry,
      router: traffic.router,
      stalls: traffic.stalls,
      budget: traffic.answerBudget,
      onTokens: admission.recordTokens,
    }),
    onOpened: admission.recordOpened,
    onClosed: admission.recordClosed,
  });
  late.peers = peers;
  late.answers = answers;
  const control = createControlClient({
    clock,
    peers,
    selfId: settings.instanceId,
    controlInstanceIds: settings.controlInstanceIds,
    log,
  });
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
  app.route(
    "/admin",
    createOperatorApp({
      authenticator,
      membership,
      registry,
      answers,
      getLimits: traffic.getLimits,
      getCircuit: traffic.getCircuit,
    }),
  );
  app.route(
    "/",
    createCallerApp({
      settings,
      clock,
      logger,
      authenticator,
      answers,
      reader: createAnswerReader({ clock, membership, peers, answers }),
      calls,
      admission,
      isReady: drain.isReady,
      isAccepting: drain.isAccepting,
      trackRequest: drain.trackRequest,
    }),
  );

  return startPeerServer({
    ...settings.peers,
    handlers: createHandlers(),
    logger,
  }).andThen((peerServer) => startHttp().map((http) => run(peerServer, http)));

  function createHandlers(): PeerHandlers {
    return {
      [PeerCallKind.Heartbeat]: (heartbeat) =>
        ok(membership.handleHeartbeat(heartbeat)),
      [PeerCallKind.CopyBatch]: ({ updates }) => answers.applyCopies(updates),
      [PeerCallKind.ReadAnswer]: (request) => answers.read(request),
      [PeerCallKind.TakeOver]: ({ answerId, customerId }) =>
        answers.takeOver(answerId, customerId),
      [PeerCallKind.Propose]: ({ command }) => propose(command),
    };
  }

  function propose(value: unknown) {
    const parsed = commandSchema.safeParse(value);
    if (!parsed.success) {
      return ResultAsync.fromPromise(
        Promise.reject(parsed.error),
        (cause) => createError(ErrorKind.ProtocolError, String(cause)),
      );
    }
    if (!log?.isLeader()) {
      const leaderId = log?.getLeaderId() ?? "";
      return ResultAsync.fromSafePromise(
        Promise.resolve({ isLeader: false, leaderId, result: undefined }),
      );
    }
    return log.propose(parsed.data).map((result) => ({
      isLeader: true,
      leaderId: settings.instanceId,
      result,
    }));
  }

  function startHttp(): ResultAsync<Server, SystemError> {
    return ResultAsync.fromPromise(
      new Promise<Server>((resolve, reject) => {
        const server = serve({
          fetch: app.fetch,
          hostname: settings.callers.host,
          port: settings.callers.port,
        }, () => resolve(server as Server)) as Server;
        server.on("error", reject);
      }),
      (cause) => createError(ErrorKind.InvalidSettings, String(cause)),
    );
  }

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
          name: "answers",
          clock,
          logger,
          tasks: [createPeriodicTask({
            name: "answer-tick",
            clock,
            intervalMs: answerTickMs,
            action: () => {
              traffic.stalls.recordCheck(answerTickMs);
              answers.tick();
            },
          })],
        }),
        createSupervisor({
          name: "upstreams",
          clock,
          logger,
          tasks: traffic.tasks,
        }),
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
      stopping.abort();
      http.close();
      http.closeAllConnections();
      peers.close();
      await Promise.all([
        peerServer.close(),
        engines.close(),
        applications.close(),
        traffic.close(),
      ]);
      metrics.close();
      logger.log(logEvents.daemonStopped);
    }
  }
}
