/**
 * Wires version rollouts into an instance. Rollouts are part of the replicated
 * control state; the leader starts those that tickets have requested.
 */
import { errAsync, type ResultAsync } from "neverthrow";
import type { AnswerService } from "../answers/answer_service_types.ts";
import type { ReplicatedLog } from "../control/replicated_log.ts";
import type { EngineContent } from "../control/orders/engine_orders.ts";
import { createOrderClient } from "../control/orders/order_client.ts";
import { createOrderTask } from "../control/orders/order_task.ts";
import {
  type EngineInput,
  getDesiredEngines,
  getRolloutEngines,
} from "../control/orders/rollout_engines.ts";
import {
  type RolloutCommand,
  RolloutCommandKind,
} from "../control/rollouts/rollout_commands.ts";
import {
  createEvidenceCollector,
  type EvidenceCollector,
} from "../control/rollouts/evidence_collector.ts";
import type {
  SyncRollouts,
  SyncRolloutsReply,
} from "../control/rollouts/rollout_messages.ts";
import {
  createRolloutService,
  type RolloutService,
} from "../control/rollouts/rollout_service.ts";
import {
  createRolloutSync,
  type RolloutSync,
} from "../control/rollouts/rollout_sync.ts";
import { reconcileRollouts } from "../control/rollouts/rollout_reconciler.ts";
import { UpstreamKind } from "../core/types.ts";
import type { RolloutTable } from "../control/rollouts/rollout_table.ts";
import { CommandKind } from "../control/commands.ts";
import type { Configuration } from "../control/configuration.ts";
import {
  createTrafficLeases,
  type TrafficLeases,
} from "../control/rollouts/traffic_leases.ts";
import type { Clock } from "../core/clock.ts";
import { createError, ErrorKind, type SystemError } from "../core/errors.ts";
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import { createPeriodicTask, type Task } from "../core/supervisor.ts";
import type { PeerClient } from "../peer/peer_client.ts";
import type { Settings } from "../settings/schema.ts";
import type { UpstreamRegistry } from "../upstreams/upstream_registry.ts";

export interface Rollouts {
  readonly leases: TrafficLeases;
  readonly collector: EvidenceCollector;
  handleSync(
    request: SyncRollouts,
  ): ResultAsync<SyncRolloutsReply, SystemError>;
  createTasks(): Task[];
  close(): Promise<void>;
}

export interface RolloutsOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: Random;
  readonly registry: UpstreamRegistry;
  getAnswers(): AnswerService;
  getPeers(): PeerClient;
  getLog(): ReplicatedLog | undefined;
  getConfiguration(): Configuration;
  /** Rollouts of the replicated state; empty without a control log. */
  readonly table: RolloutTable;
  getInstanceCount(): number;
}

const engineReportIntervalMs = 1_000;
const reconcileIntervalMs = 500;

export function createRollouts(options: RolloutsOptions): Rollouts {
  const { settings, clock, logger, random, registry } = options;
  const { table } = options;
  const startedAtWallMs = clock.wallMs();
  /** Set by `createTasks`, which needs the peer client. */
  const late: { sync?: RolloutSync } = {};
  const leases = createTrafficLeases({
    clock,
    logger,
    random,
    onRolledBack: (grant) =>
      options.getAnswers().onVersionRolledBack({
        service: grant.service,
        version: grant.candidateVersion,
        stableVersion: grant.stableVersion,
      }),
  });
  const collector = createEvidenceCollector({
    clock,
    instanceId: settings.instanceId,
    incarnation: startedAtWallMs,
    getWatchedGrant: leases.getWatchedGrant,
    getLastLoadReportAtMs: (upstreamId) =>
      registry.get(upstreamId)?.load?.receivedAtMs,
    onFault: (rolloutId, finding) => late.sync?.onFault(rolloutId, finding),
  });
  const service: RolloutService | undefined = settings.control &&
    createRolloutService({
      clock,
      logger,
      table,
      isLeader: () => options.getLog()?.isLeader() === true,
      getLeaderId: () => options.getLog()?.getLeaderId(),
      propose,
      getInstanceCount: options.getInstanceCount,
    });
  const reported = new Map<string, EngineContent>();
  const orderClient = createOrderClient();
  return {
    leases,
    collector,
    handleSync,
    createTasks,
    close: () => orderClient.close(),
  };

  function propose(
    rollout: RolloutCommand,
  ): ResultAsync<unknown, SystemError> {
    const log = options.getLog();
    if (log) return log.propose({ kind: CommandKind.Rollout, rollout });
    return errAsync(createError(
      ErrorKind.NotLeader,
      "this instance is not a control instance",
    ));
  }

  function handleSync(
    request: SyncRollouts,
  ): ResultAsync<SyncRolloutsReply, SystemError> {
    if (service) return service.sync(request);
    return errAsync(createError(
      ErrorKind.NotLeader,
      "this instance is not a control instance",
    ));
  }

  function createTasks(): Task[] {
    const sync = createRolloutSync({
      clock,
      selfId: settings.instanceId,
      controlInstanceIds: settings.controlInstanceIds,
      peers: options.getPeers(),
      leases,
      collector,
      service,
    });
    late.sync = sync;
    return service
      ? [
        service.task,
        sync.task,
        createEngineOrderTask(),
        createEngineReportTask(),
        createReconcilerTask(),
      ]
      : [sync.task];
  }

  function getEngineInput(): EngineInput {
    return {
      rollouts: table.listAll(),
      engines: registry.list().map((status) => status.info),
      reported,
      isFenced: (name) =>
        settings.services.some((entry) =>
          entry.kind === "model" && entry.service === name &&
          entry.checksFencing
        ),
    };
  }

  function createEngineOrderTask(): Task {
    const isLeader = () => options.getLog()?.isLeader() === true;
    return createOrderTask({
      clock,
      logger,
      client: orderClient,
      getFencingToken: () =>
        isLeader() ? options.getLog()?.getTerm() : undefined,
      hasLease: isLeader,
      listDesiredEngines: () => getDesiredEngines(getEngineInput()),
      onReported: (upstreamId, content) => reported.set(upstreamId, content),
    });
  }

  /** Starts and cancels rollouts to match the configuration. */
  function createReconcilerTask(): Task {
    return createPeriodicTask({
      name: "rollout-requests",
      clock,
      intervalMs: reconcileIntervalMs,
      action: async () => {
        if (options.getLog()?.isLeader() !== true) return;
        const requests = reconcileRollouts({
          configuration: options.getConfiguration(),
          table,
          weightStore: settings.weightStore,
          nowWallMs: clock.wallMs(),
          getEngineCount: (name) =>
            registry.listUsable(UpstreamKind.Engine, name).length,
        });
        for (const request of requests) await propose(request);
      },
    });
  }

  function createEngineReportTask(): Task {
    return createPeriodicTask({
      name: "rollout-engines",
      clock,
      intervalMs: engineReportIntervalMs,
      action: () => {
        if (options.getLog()?.isLeader() !== true) return;
        for (const engines of getRolloutEngines(getEngineInput())) {
          void propose({
            kind: RolloutCommandKind.ReportEngines,
            rolloutId: engines.rolloutId,
            stableEngineIds: [...engines.stableEngineIds],
            candidateEngineIds: [...engines.candidateEngineIds],
            atWallMs: clock.wallMs(),
          });
        }
      },
    });
  }
}
