/**
 * Wires version rollouts into an instance. The control state does not carry
 * rollouts yet: this adapter applies their commands to its own table on the
 * leader, and is the only place to change when they join the control log.
 */
import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import type { AnswerService } from "../answers/answer_service.ts";
import type { ReplicatedLog } from "../control/replicated_log.ts";
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
import {
  createRolloutTable,
  type RolloutTable,
} from "../control/rollouts/rollout_table.ts";
import {
  createTrafficLeases,
  type TrafficLeases,
} from "../control/rollouts/traffic_leases.ts";
import type { Clock } from "../core/clock.ts";
import { createError, ErrorKind, type SystemError } from "../core/errors.ts";
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import type { Task } from "../core/supervisor.ts";
import type { PeerClient } from "../peer/peer_client.ts";
import type { Settings } from "../settings/schema.ts";
import type { UpstreamRegistry } from "../upstreams/upstream_registry.ts";

export interface Rollouts {
  readonly leases: TrafficLeases;
  readonly collector: EvidenceCollector;
  readonly table: RolloutTable;
  handleSync(
    request: SyncRollouts,
  ): ResultAsync<SyncRolloutsReply, SystemError>;
  createTasks(): Task[];
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
  getInstanceCount(): number;
}

export function createRollouts(options: RolloutsOptions): Rollouts {
  const { settings, clock, logger, random, registry } = options;
  const table = createRolloutTable();
  const late: { sync?: RolloutSync } = {};
  const leases = createTrafficLeases({
    clock,
    logger,
    random,
    onWithdrawn: (grant) =>
      options.getAnswers().withdrawVersion({
        service: grant.service,
        version: grant.candidateVersion,
        stableVersion: grant.stableVersion,
      }),
  });
  const collector = createEvidenceCollector({
    clock,
    instanceId: settings.instanceId,
    incarnation: clock.wallMs(),
    getWatched: leases.getWatched,
    getLastReportMs: (upstreamId) =>
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
      propose: (command) => okAsync(table.apply(command)),
      getInstanceCount: options.getInstanceCount,
    });
  return { leases, collector, table, handleSync, createTasks };

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
    return service ? [service.task, sync.task] : [sync.task];
  }
}
