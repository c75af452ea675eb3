/**
 * A control instance of a forwarding deployment: replicates the control log,
 * serves the operator API, and reads the upstream list while it is the leader.
 */
import { createServer } from "node:http";
import { join } from "node:path";
import { errAsync, ok, type ResultAsync } from "neverthrow";
import { createControlClient } from "../control/control_client.ts";
import { createAnswerCountAggregator } from "../control/moves/answer_count_aggregator.ts";
import { createMoveTask } from "../control/moves/move_task.ts";
import { assignShares } from "../control/moves/version_shares.ts";
import { createObservedControlClient } from "../control/observed_control_client.ts";
import { createOperatorService } from "../control/operator_service.ts";
import { orderPauseLimitMs } from "../control/order_origin.ts";
import {
  createConsensusOptions,
  createReplicatedLog,
  type ReplicatedLogService,
} from "../control/replicated_log.ts";
import { createStateMachine } from "../control/state_machine.ts";
import { createTicketService } from "../control/ticket_service.ts";
import { closeOnlyIdleConnections } from "../core/idle_connections.ts";
import { createError, ErrorKind, type SystemError } from "../core/errors.ts";
import { listenOn } from "../core/listen_on.ts";
import { createPauseWatch } from "../core/pause_watch.ts";
import { createSupervisor } from "../core/supervisor.ts";
import { PeerCallKind } from "../peer/messages.ts";
import { startPeerServer } from "../peer/peer_server.ts";
import { createQuarantineCache } from "../quarantine/quarantine_cache.ts";
import { createQuarantineControl } from "../quarantine/quarantine_task.ts";
import { createRepeatLedger } from "../limits/repeat_ledger.ts";
import { createEngineLoadAggregator } from "../upstreams/engine_load_aggregator.ts";
import { createInstanceCore } from "./instance_core.ts";
import type { InstanceOptions, RunningInstance } from "./instance_types.ts";
import { createProposeHandler } from "./peer_handlers.ts";

/**
 * A fraction of the time within which an operator's call must be acknowledged,
 * so that an election and a retry fit into that time.
 */
const electionTimeoutMs = 600;
/** Time for operators' calls in flight to finish at a graceful shutdown. */
const operatorDrainMs = 2_000;
/** Short enough to replace a lost voter within the time that a loss may last. */
const replaceVoterAfterMs = 2_500;

export function startControlInstance(
  options: InstanceOptions,
): ResultAsync<RunningInstance, SystemError> {
  const { settings, adapter, clock, logger, random, registry, guard } = options;
  const { dataFolder, operators: operatorsAddress } = settings;
  if (dataFolder === null || operatorsAddress === null) {
    const message =
      'a control instance needs the settings "dataFolder" and "operators"';
    return errAsync(createError(ErrorKind.InvalidSettings, message));
  }
  /** Set below, since the log and the core depend on each other. */
  const late: { log?: ReplicatedLogService } = {};
  const engineLoadAggregator = createEngineLoadAggregator({
    getNowMs: clock.nowMs,
  });
  const answerCounts = createAnswerCountAggregator({ getNowMs: clock.nowMs });
  const stateMachine = createStateMachine({
    onQuarantineChange: (change) => quarantine.handleChange(change),
    onConfiguration: (table, changes) =>
      core.configuration.record(table, changes),
  });
  const quarantine = createQuarantineControl({
    clock,
    logger,
    table: stateMachine.quarantine,
    cache: createQuarantineCache({
      clock,
      logger,
      dataFolder,
      table: stateMachine.quarantine,
    }),
    isLeader: () => late.log!.isLeader(),
    propose: (command) => late.log!.propose(command),
  });
  const core = createInstanceCore({
    settings,
    adapter,
    clock,
    logger,
    random,
    registry,
    isLeader: () => late.log!.isLeader(),
    getLeaderTerm: () => late.log!.isLeader() ? late.log!.getTerm() : undefined,
    onConfiguration: () => {},
    onUpstreams: () => {},
    getAnswerReport: () => undefined,
    onHeartbeat: (heartbeat) => {
      repeatLedger.observeLeadership();
      const { instanceId, answerReport, crashReport } = heartbeat;
      if (answerReport) answerCounts.record(heartbeat, answerReport);
      if (crashReport) quarantine.recordReport(instanceId, crashReport);
    },
    getQuarantineFields: (received) => {
      const revision = received?.quarantineRevision;
      const notice = revision === undefined
        ? undefined
        : quarantine.getNotice(revision);
      return notice ? { quarantine: notice } : {};
    },
    assignShares: (listed) => assignShares(listed, stateMachine.moves.get),
    getEngineLoadSummary: (to) => {
      if (core.membership.getInstance(to)?.isControl) {
        return engineLoadAggregator.aggregateEntryReports();
      }
      // An entry instance reports to one control instance and ignores the
      // summaries of all others, so they send none.
      return engineLoadAggregator.isReporting(to)
        ? engineLoadAggregator.aggregateOthers(to)
        : undefined;
    },
    onEngineLoadSummary: ({ instanceId, isControl }, summary) =>
      engineLoadAggregator.record(instanceId, summary, isControl === true),
  });
  const { membership, peers, configuration, upstreams } = core;
  const seedIds = settings.seeds.map(({ host }) => host).sort();
  const log = createReplicatedLog({
    clock,
    logger,
    random,
    peers,
    instanceId: settings.host,
    dataFolder: join(dataFolder, "log"),
    consensus: createConsensusOptions({
      founderIds: settings.isFirstStart ? seedIds : [],
      listControlIds: membership.listControlIds,
      voterCount: 2 * settings.toleratedLosses + 1,
      electionTimeoutMs,
      replaceVoterAfterMs,
    }),
    stateMachine,
  });
  late.log = log;
  registry.createGauge(
    "control_leader",
    "1 while this instance leads the control log.",
    () => log.isLeader() ? 1 : 0,
  );
  registry.createGauge(
    "control_term",
    "Term of the control log.",
    log.getTerm,
  );
  registry.createGauge(
    "control_voters",
    "Voters of the control log.",
    () => log.getStatus().voterCount,
  );
  registry.createGauge(
    "control_voters_reachable",
    "Voters that the leader hears, itself included; 0 at other instances.",
    () => log.getStatus().reachableVoterCount,
  );
  registry.createGauge(
    "control_voter_silence_ms",
    "Silence of the voter that the leader has not heard for longest.",
    () => log.getStatus().longestVoterSilenceMs,
  );
  registry.createGauge(
    "control_log_bytes",
    "Commands of the control log in memory, in bytes.",
    () => log.getStatus().entryBytes,
  );
  registry.createGauge(
    "control_commands_waiting",
    "Commands proposed here that have no result yet.",
    log.getWaitingCount,
  );
  registry.createGauge(
    "quarantined_parts",
    "Prompt parts and requests that are refused.",
    () => stateMachine.quarantine.listQuarantined().length,
  );
  registry.createGauge(
    "upstreams",
    "Upstreams in the view.",
    () => upstreams.list().length,
  );
  const control = createObservedControlClient({
    clock,
    logger,
    control: createControlClient({
      clock,
      peers,
      selfId: settings.host,
      listControlIds: membership.listControlIds,
      log,
    }),
    log,
  });
  const repeatLedger = createRepeatLedger({
    clock,
    ratio: settings.bounds.retryRatio,
    slack: settings.bounds.retrySlack,
    getLeaderTerm: () => log.isLeader() ? log.getTerm() : undefined,
    getReported: engineLoadAggregator.getRepeatCounts,
  });
  const grantedRepeats = registry.createCounter(
    "granted_repeats",
    "Repeats of requests that this instance granted as control leader.",
    ["service", "urgency"],
  );
  const pauses = createPauseWatch({ clock, limitMs: orderPauseLimitMs });
  const operators = createOperatorService({
    tickets: createTicketService({
      clock,
      logger,
      control,
      getConfiguration: configuration.getConfiguration,
      listBehind: configuration.listBehind,
    }),
    control,
    clock,
    logger,
    pauses,
    listUpstreams: upstreams.list,
    getConfiguration: configuration.getConfiguration,
  });
  return startPeerServer({
    host: settings.host,
    port: settings.peerPort,
    keys: settings.peerKeys,
    logger,
    handlers: {
      [PeerCallKind.Heartbeat]: (heartbeat) =>
        ok(membership.handleHeartbeat(heartbeat)),
      [PeerCallKind.PushConfiguration]: configuration.handlePush,
      [PeerCallKind.PullConfiguration]: configuration.handlePull,
      [PeerCallKind.PullUpstreams]: upstreams.handlePull,
      [PeerCallKind.GrantRepeats]: ({ service, units, urgency }) => {
        const granted = repeatLedger.grant(service, units, urgency);
        if (granted > 0) grantedRepeats.add({ service, urgency }, granted);
        return ok({
          isLeader: log.isLeader(),
          leaderId: log.getLeaderId() ?? "",
          granted,
        });
      },
      [PeerCallKind.Propose]: createProposeHandler({
        selfId: settings.host,
        log,
      }),
      [PeerCallKind.LogMessage]: (envelope) => {
        log.receive(envelope);
        return ok({});
      },
    },
  }).andThen((peerServer) => {
    const http = createServer(
      adapter.createOperatorApi(operators, guard.bodies),
    );
    closeOnlyIdleConnections(http);
    guard.protect(http, {
      maxConnections: settings.callerLimits.maxServiceConnections,
      mayPipeline: false,
    });
    return listenOn(http, operatorsAddress, logger).map(
      (): RunningInstance => ({
        task: createSupervisor({
          name: "control-instance",
          clock,
          logger,
          tasks: [
            ...core.tasks,
            pauses.task,
            createSupervisor({
              name: "control-log",
              clock,
              logger,
              tasks: [
                ...log.tasks,
                createMoveTask({
                  clock,
                  logger,
                  table: stateMachine.moves,
                  answerCounts,
                  isLeader: log.isLeader,
                  propose: log.propose,
                }),
                quarantine.task,
              ],
            }),
          ],
        }),
        membership,
        drain: async () => {
          const closed = new Promise<void>((resolve) =>
            http.close(() => resolve())
          );
          http.closeIdleConnections();
          await Promise.race([closed, clock.sleep(operatorDrainMs)]);
        },
        close: async () => {
          http.closeAllConnections();
          peers.close();
          await peerServer.close();
        },
      }),
    );
  });
}
