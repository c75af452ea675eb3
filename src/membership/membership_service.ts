/**
 * Maintains the membership view: the platform list determines which instances
 * exist, and heartbeats determine which of them are reachable.
 */
import type { Clock } from "../core/clock.ts";
import { createPauseDetector } from "../core/pause_detector.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import { createPeriodicTask, type Task } from "../core/supervisor.ts";
import {
  type InstanceId,
  type InstanceInfo,
  InstanceState,
} from "../core/types.ts";
import { type Heartbeat, PeerCallKind } from "../peer/messages.ts";
import type { PeerAddress, PeerClient } from "../peer/peer_client.ts";
import type { MembershipView } from "./membership_view.ts";
import { type PlatformList, readPlatformList } from "./platform_list.ts";

export interface MembershipService extends MembershipView {
  readonly tasks: readonly Task[];
  getAddress(instanceId: InstanceId): PeerAddress | undefined;
  handleHeartbeat(heartbeat: Heartbeat): Heartbeat;
  /** Probes the instance with an immediate heartbeat. */
  probeInstance(instanceId: InstanceId): void;
  setLeaving(): void;
}

export interface MembershipServiceOptions {
  readonly self: InstanceInfo;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly listUrl: string;
  readonly pollIntervalMs: number;
  readonly heartbeatIntervalMs: number;
  readonly lostAfterMs: number;
  getPeers(): PeerClient;
  getRevision(): number;
  onHeartbeat(heartbeat: Heartbeat): void;
  onListRead(list: PlatformList): void;
  onInstanceLost(instanceId: InstanceId): void;
  onInstanceReachable(instanceId: InstanceId): void;
  onInstanceLeaving(instanceId: InstanceId): void;
}

interface Member {
  info: InstanceInfo;
  lastSeenAtMs: number;
  isReachable: boolean;
  isHeartbeatPending: boolean;
}

export function createMembershipService(
  options: MembershipServiceOptions,
): MembershipService {
  const { clock, logger, heartbeatIntervalMs, lostAfterMs } = options;
  let self = options.self;
  const members = new Map<InstanceId, Member>();
  const pauseDetector = createPauseDetector({
    clock,
    intervalMs: heartbeatIntervalMs,
    limitMs: lostAfterMs / 2,
  });
  return {
    tasks: [
      createPeriodicTask({
        name: "platform-list",
        clock,
        intervalMs: options.pollIntervalMs,
        action: pollList,
      }),
      createPeriodicTask({
        name: "heartbeats",
        clock,
        intervalMs: heartbeatIntervalMs,
        action: sendHeartbeats,
      }),
    ],
    getSelf: () => self,
    getInstance: (instanceId) => members.get(instanceId)?.info,
    listInstances: () => [
      self,
      ...[...members.values()].map((member) => member.info),
    ],
    isReachable: (instanceId) =>
      instanceId === self.instanceId ||
      members.get(instanceId)?.isReachable === true,
    getAddress,
    handleHeartbeat,
    probeInstance,
    setLeaving: () => {
      self = { ...self, state: InstanceState.Leaving };
      sendHeartbeats();
    },
  };

  function getAddress(instanceId: InstanceId): PeerAddress | undefined {
    const info = members.get(instanceId)?.info;
    return info && { host: info.host, port: info.peerPort };
  }

  async function pollList(): Promise<void> {
    const list = await readPlatformList(options.listUrl);
    if (list.isErr()) {
      // The last list stays in force; heartbeats show which instances are
      // reachable.
      logger.log(logEvents.platformListFailed, { reason: list.error.message });
      return;
    }
    applyList(list.value);
    options.onListRead(list.value);
  }

  function applyList(list: PlatformList): void {
    const listedIds = new Set(list.instances.map((info) => info.instanceId));
    for (const instanceId of [...members.keys()]) {
      if (listedIds.has(instanceId)) continue;
      setReachable(instanceId, false);
      members.delete(instanceId);
      options.getPeers().dropConnection(instanceId);
    }
    for (const info of list.instances) {
      if (info.instanceId === self.instanceId) continue;
      const member = members.get(info.instanceId);
      if (!member) addMember({ ...info, incarnation: 0 });
      else if (info.state === InstanceState.Leaving) setLeaving(member);
      else updateAddress(member, info);
    }
  }

  function addMember(info: InstanceInfo): void {
    members.set(info.instanceId, {
      info,
      lastSeenAtMs: clock.nowMs(),
      isReachable: false,
      isHeartbeatPending: false,
    });
    void sendHeartbeat(info.instanceId);
  }

  function updateAddress(
    member: Member,
    { host, peerPort }: { host: string; peerPort: number },
  ): void {
    if (member.info.host === host && member.info.peerPort === peerPort) return;
    member.info = { ...member.info, host, peerPort };
  }

  function sendHeartbeats(): void {
    const nowMs = clock.nowMs();
    const pausedMs = pauseDetector.measurePauseMs();
    if (pausedMs > 0) {
      // This process was paused, so missing heartbeats say nothing about
      // others.
      logger.log(logEvents.processPaused, { pausedMs: Math.round(pausedMs) });
      for (const member of members.values()) member.lastSeenAtMs = nowMs;
    }
    for (const [instanceId, member] of members) {
      if (member.isReachable && nowMs - member.lastSeenAtMs > lostAfterMs) {
        setReachable(instanceId, false);
      }
      if (!member.isHeartbeatPending) void sendHeartbeat(instanceId);
    }
  }

  async function sendHeartbeat(instanceId: InstanceId): Promise<void> {
    const member = members.get(instanceId)!;
    member.isHeartbeatPending = true;
    const reply = await options.getPeers().call(
      instanceId,
      PeerCallKind.Heartbeat,
      { body: getHeartbeat(), timeoutMs: lostAfterMs },
    );
    member.isHeartbeatPending = false;
    if (reply.isOk()) recordHeartbeat(reply.value);
  }

  function probeInstance(instanceId: InstanceId): void {
    const member = members.get(instanceId);
    if (!member) return;
    void options.getPeers().call(instanceId, PeerCallKind.Heartbeat, {
      body: getHeartbeat(),
      timeoutMs: heartbeatIntervalMs,
    }).match(recordHeartbeat, () => setReachable(instanceId, false));
  }

  function handleHeartbeat(heartbeat: Heartbeat): Heartbeat {
    const member = members.get(heartbeat.instanceId);
    // A heartbeat from a restarted instance means that its old state is lost.
    if (member && heartbeat.incarnation > member.info.incarnation) {
      recordHeartbeat(heartbeat);
    }
    if (member && heartbeat.incarnation >= member.info.incarnation) {
      options.onHeartbeat(heartbeat);
    }
    return getHeartbeat();
  }

  function recordHeartbeat(heartbeat: Heartbeat): void {
    const member = members.get(heartbeat.instanceId);
    if (!member || heartbeat.incarnation < member.info.incarnation) return;
    const isRestarted = member.info.incarnation !== 0 &&
      heartbeat.incarnation > member.info.incarnation;
    if (isRestarted) setReachable(heartbeat.instanceId, false);
    // Called before the instance counts as reachable, so that its revision is
    // known by then.
    options.onHeartbeat(heartbeat);
    member.lastSeenAtMs = clock.nowMs();
    member.info = {
      ...member.info,
      incarnation: heartbeat.incarnation,
      state: isRestarted ? heartbeat.state : member.info.state,
    };
    setReachable(heartbeat.instanceId, true);
    if (heartbeat.state === InstanceState.Leaving) setLeaving(member);
  }

  function setLeaving(member: Member): void {
    if (member.info.state === InstanceState.Leaving) return;
    member.info = { ...member.info, state: InstanceState.Leaving };
    options.onInstanceLeaving(member.info.instanceId);
  }

  function setReachable(instanceId: InstanceId, isReachable: boolean): void {
    const member = members.get(instanceId);
    if (!member || member.isReachable === isReachable) return;
    member.isReachable = isReachable;
    if (isReachable) {
      logger.log(logEvents.instanceReachable, { peer: instanceId });
      options.onInstanceReachable(instanceId);
      return;
    }
    logger.log(logEvents.instanceLost, { peer: instanceId });
    options.getPeers().dropConnection(instanceId);
    options.onInstanceLost(instanceId);
  }

  function getHeartbeat(): Heartbeat {
    return { ...self, revision: options.getRevision() };
  }
}
