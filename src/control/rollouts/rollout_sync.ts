/**
 * Instance's side of rollouts: sends evidence to the control leader and renews
 * the traffic leases. A fault that the instance detects itself stops its
 * traffic to the candidate before control is informed.
 */
import type { Clock } from "../../core/clock.ts";
import type { Task } from "../../core/supervisor.ts";
import type { InstanceId } from "../../core/types.ts";
import { PeerCallKind } from "../../peer/messages.ts";
import type { PeerClient } from "../../peer/peer_client.ts";
import type { Finding } from "./comparison_state.ts";
import type { EvidenceCollector } from "./evidence_collector.ts";
import type { SyncRollouts, SyncRolloutsReply } from "./rollout_messages.ts";
import type { RolloutService } from "./rollout_service.ts";
import { createAlignedTask } from "./aligned_task.ts";
import type { TrafficLeases } from "./traffic_leases.ts";

export interface RolloutSyncOptions {
  readonly clock: Clock;
  readonly selfId: InstanceId;
  readonly controlInstanceIds: readonly InstanceId[];
  readonly peers: PeerClient;
  readonly leases: TrafficLeases;
  readonly collector: EvidenceCollector;
  /** Defined on control instances. */
  readonly service: RolloutService | undefined;
}

export interface RolloutSync {
  readonly task: Task;
  onFault(rolloutId: string, finding: Finding): void;
}

const syncTimeoutMs = 1_000;

export function createRolloutSync(options: RolloutSyncOptions): RolloutSync {
  const { clock, selfId, controlInstanceIds, peers, leases, collector } =
    options;
  let leaderId = controlInstanceIds[0]!;
  let faults: SyncRollouts["faults"] = [];
  return {
    task: createAlignedTask({
      name: "rollout-sync",
      clock,
      offsetMs: 0,
      action: sync,
    }),
    onFault,
  };

  function onFault(rolloutId: string, finding: Finding): void {
    if (faults.some((fault) => fault.rolloutId === rolloutId)) return;
    leases.stopLocally(rolloutId, finding);
    faults.push({ rolloutId, instanceId: selfId, finding });
  }

  async function sync(): Promise<void> {
    const batches = collector.flush();
    const sentFaults = faults;
    const requestedAtMs = clock.nowMs();
    const reply = await send({ batches, faults: sentFaults });
    if (!reply?.isLeader) {
      chooseNextLeader(reply?.leaderId);
      return;
    }
    collector.confirm(batches);
    faults = faults.filter((fault) => !sentFaults.includes(fault));
    leases.update(reply.grants, requestedAtMs);
  }

  async function send(
    body: SyncRollouts,
  ): Promise<SyncRolloutsReply | undefined> {
    const reply = leaderId === selfId && options.service
      ? await options.service.sync(body)
      : await peers.call(leaderId, PeerCallKind.SyncRollouts, {
        body,
        timeoutMs: syncTimeoutMs,
      });
    return reply.isOk() ? reply.value : undefined;
  }

  function chooseNextLeader(hintedLeaderId: string | undefined): void {
    if (
      hintedLeaderId && hintedLeaderId !== leaderId &&
      controlInstanceIds.includes(hintedLeaderId)
    ) {
      leaderId = hintedLeaderId;
      return;
    }
    const index = controlInstanceIds.indexOf(leaderId);
    leaderId = controlInstanceIds[(index + 1) % controlInstanceIds.length]!;
  }
}
