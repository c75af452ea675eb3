/**
 * Membership of instances that initially know only the addresses of a few
 * control instances, the seeds.
 *
 * An instance's id is its host address. Every instance sends heartbeats to all
 * control instances that it knows; their replies name further ones. Control
 * instances learn of entry instances from their heartbeats. Entry instances
 * send nothing to each other, so the number of messages of one instance depends
 * only on the number of control instances.
 */
import type { Clock } from "../core/clock.ts";
import { createPauseDetector } from "../core/pause_detector.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import type { Task } from "../core/supervisor.ts";
import {
  type InstanceId,
  type InstanceInfo,
  InstanceState,
} from "../core/types.ts";
import { type Heartbeat, PeerCallKind } from "../peer/messages.ts";
import type { PeerAddress, PeerClient } from "../peer/peer_client.ts";
import type { AnswerReport } from "../control/moves/answer_reports.ts";
import type { EngineLoadSummary } from "../upstreams/engine_load_summary.ts";
import type { MembershipView } from "./membership_view.ts";

export interface SeedMembership extends MembershipView {
  readonly tasks: readonly Task[];
  getAddress(instanceId: InstanceId): PeerAddress;
  handleHeartbeat(heartbeat: Heartbeat): Heartbeat;
  /** Known control instances, this one included if it is one. */
  listControlIds(): InstanceId[];
  /** Reachable control instances, those of this failure domain first. */
  listReachableControlIds(): InstanceId[];
  /** Entry instances of the deployment, as last reported by control. */
  getEntryCount(): number;
  setSeeds(seedIds: readonly InstanceId[]): void;
  /** Probes the instance with an immediate heartbeat. */
  probeInstance(instanceId: InstanceId): void;
  setLeaving(): void;
  /**
   * Sends a heartbeat to the first reachable control instance ahead of the next
   * regular one.
   */
  scheduleHeartbeat(): void;
  /**
   * Exchanges a heartbeat with the first reachable control instance now, or joins
   * the one in flight. Changes that this one does not contain are sent in another
   * one as soon as it ends. Resolves with whether the reply of the first one
   * arrived in time.
   */
  exchangeHeartbeat(
    timeoutMs: number,
    options: { readonly hasChanges: boolean },
  ): Promise<boolean>;
}

export interface SeedMembershipOptions {
  readonly self: InstanceInfo;
  readonly seedIds: readonly InstanceId[];
  readonly clock: Clock;
  readonly logger: Logger;
  readonly heartbeatIntervalMs: number;
  /** Heartbeat interval until the instance has what it needs to serve. */
  readonly startupHeartbeatIntervalMs: number;
  isStartupFinished(): boolean;
  readonly lostAfterMs: number;
  /** A silent instance that is not a seed is removed after this time. */
  readonly removeAfterMs: number;
  getPeers(): Pick<PeerClient, "call" | "dropConnection">;
  getRevision(): number;
  getUpstreams(): { readonly revision: number; readonly ageMs: number };
  onHeartbeat(heartbeat: Heartbeat): void;
  /** Engine load summary that this instance sends to another one. */
  getEngineLoadSummary(to: InstanceId): EngineLoadSummary | undefined;
  onEngineLoadSummary(from: InstanceInfo, loadSummary: EngineLoadSummary): void;
  /** Answers by version since the start of this instance. */
  getAnswerReport(): AnswerReport | undefined;
  /** `received` is the heartbeat that is replied to, if any. */
  getQuarantineFields(received: Heartbeat | undefined): QuarantineFields;
}

type QuarantineFields = Pick<
  Heartbeat,
  "crashReport" | "quarantineRevision" | "quarantine"
>;

interface Member {
  info: InstanceInfo;
  lastSeenAtMs: number;
  isReachable: boolean;
  /** Settles when the heartbeat in flight was replied to or has failed. */
  pendingHeartbeat: Promise<boolean> | undefined;
  /** Something has changed since the heartbeat in flight was sent. */
  mustSendAgain: boolean;
}

/**
 * Most ids that a heartbeat contains; the planned limit is 16 control
 * instances.
 */
const maxControlIds = 32;
/**
 * Several connections notice a crash at nearly the same time; the delay lets
 * one heartbeat report the loss for all of them.
 */
const scheduledHeartbeatDelayMs = 30;

export function createSeedMembership(
  options: SeedMembershipOptions,
): SeedMembership {
  const { clock, logger, heartbeatIntervalMs, lostAfterMs } = options;
  let self = options.self;
  let seedIds = new Set(options.seedIds);
  const members = new Map<InstanceId, Member>();
  const pauseDetector = createPauseDetector({
    clock,
    intervalMs: heartbeatIntervalMs,
    limitMs: lostAfterMs / 2,
  });
  let reportedEntryCount = 0;
  let isHeartbeatScheduled = false;
  for (const seedId of seedIds) addControl(seedId);
  return {
    tasks: [{ name: "heartbeats", run: runHeartbeats }],
    getSelf: () => self,
    getInstance: (instanceId) => members.get(instanceId)?.info,
    listInstances: () => [self, ...listMembers().map(({ info }) => info)],
    isReachable: (instanceId) =>
      instanceId === self.instanceId ||
      members.get(instanceId)?.isReachable === true,
    getAddress,
    handleHeartbeat,
    listControlIds,
    listReachableControlIds,
    getEntryCount: () =>
      Math.max(1, self.isControl ? countEntries() : reportedEntryCount),
    setSeeds: (next) => {
      seedIds = new Set(next);
      for (const seedId of seedIds) addControl(seedId);
    },
    probeInstance,
    setLeaving: () => {
      self = { ...self, state: InstanceState.Leaving };
      sendHeartbeats();
    },
    scheduleHeartbeat,
    exchangeHeartbeat,
  };

  function listMembers(): Member[] {
    return [...members.values()];
  }

  function getAddress(instanceId: InstanceId): PeerAddress {
    return { host: instanceId, port: self.peerPort };
  }

  function listControlIds(): InstanceId[] {
    const others = listMembers().filter(({ info }) => info.isControl)
      .map(({ info }) => info.instanceId);
    return self.isControl ? [self.instanceId, ...others] : others;
  }

  function listReachableControlIds(): InstanceId[] {
    const reachable = listMembers().filter(({ info, isReachable }) =>
      info.isControl && isReachable
    ).map(({ info }) => info).sort((left, right) =>
      // The entry instances of a domain report their loads to the same one, and
      // learn of each other's placements there without a delay.
      left.instanceId.localeCompare(right.instanceId)
    );
    const isInOwnDomain = ({ domainId }: InstanceInfo) =>
      domainId === self.domainId;
    return [
      ...reachable.filter(isInOwnDomain),
      ...reachable.filter((info) => !isInOwnDomain(info)),
    ].map(({ instanceId }) => instanceId);
  }

  function getFirstControl(): Member | undefined {
    const controlId = listReachableControlIds()[0];
    return controlId === undefined ? undefined : members.get(controlId);
  }

  function countEntries(): number {
    return listMembers().filter(({ info, isReachable }) =>
      !info.isControl && isReachable
    ).length;
  }

  /** The failure domain and the incarnation are known after a heartbeat. */
  function addControl(instanceId: InstanceId): void {
    if (instanceId === self.instanceId) return;
    const known = members.get(instanceId);
    if (known) {
      if (!known.info.isControl) {
        known.info = { ...known.info, isControl: true };
      }
      return;
    }
    members.set(
      instanceId,
      createMember({
        instanceId,
        domainId: "",
        host: instanceId,
        peerPort: self.peerPort,
        state: InstanceState.Live,
        incarnation: 0,
        isControl: true,
      }),
    );
  }

  function createMember(info: InstanceInfo): Member {
    return {
      info,
      lastSeenAtMs: clock.nowMs(),
      isReachable: false,
      pendingHeartbeat: undefined,
      mustSendAgain: false,
    };
  }

  async function runHeartbeats(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      sendHeartbeats();
      const intervalMs = options.isStartupFinished()
        ? heartbeatIntervalMs
        : options.startupHeartbeatIntervalMs;
      await clock.sleep(intervalMs, signal);
    }
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
      const silentMs = nowMs - member.lastSeenAtMs;
      if (silentMs > lostAfterMs) setReachable(member, false);
      if (silentMs > options.removeAfterMs && !seedIds.has(instanceId)) {
        members.delete(instanceId);
        options.getPeers().dropConnection(instanceId);
        continue;
      }
      const mustSend = member.info.isControl && !member.pendingHeartbeat;
      if (mustSend) void sendHeartbeat(member, lostAfterMs);
    }
  }

  function scheduleHeartbeat(): void {
    if (isHeartbeatScheduled) return;
    isHeartbeatScheduled = true;
    setTimeout(() => {
      isHeartbeatScheduled = false;
      const member = getFirstControl();
      if (member && !member.pendingHeartbeat) {
        void sendHeartbeat(member, lostAfterMs);
      }
    }, scheduledHeartbeatDelayMs).unref();
  }

  function exchangeHeartbeat(
    timeoutMs: number,
    { hasChanges }: { readonly hasChanges: boolean },
  ): Promise<boolean> {
    const member = getFirstControl();
    if (!member) return Promise.resolve(false);
    const reply = hasChanges ? sendLatest(member) : joinOrSend(member);
    return new Promise((resolve) => {
      const timer = setTimeout(() => resolve(false), timeoutMs);
      void reply.then((isReplied) => {
        clearTimeout(timer);
        resolve(isReplied);
      });
    });
  }

  /** The heartbeat in flight does not contain what has changed since. */
  function sendLatest(member: Member): Promise<boolean> {
    member.mustSendAgain = member.pendingHeartbeat !== undefined;
    return joinOrSend(member);
  }

  function joinOrSend(member: Member): Promise<boolean> {
    return member.pendingHeartbeat ?? sendHeartbeat(member, lostAfterMs);
  }

  function sendHeartbeat(member: Member, timeoutMs: number): Promise<boolean> {
    const pending = callWithHeartbeat(member, timeoutMs);
    member.pendingHeartbeat = pending;
    return pending;
  }

  async function callWithHeartbeat(
    member: Member,
    timeoutMs: number,
  ): Promise<boolean> {
    const { instanceId } = member.info;
    const reply = await options.getPeers().call(
      instanceId,
      PeerCallKind.Heartbeat,
      { body: getHeartbeat(instanceId), timeoutMs },
    );
    member.pendingHeartbeat = undefined;
    if (reply.isOk()) recordHeartbeat(reply.value);
    // A connection may stay silent permanently while a new one works.
    else options.getPeers().dropConnection(instanceId);
    if (member.mustSendAgain) {
      member.mustSendAgain = false;
      // Another control instance may be the first reachable one by now.
      const next = getFirstControl();
      if (next) void sendLatest(next);
    }
    return reply.isOk();
  }

  function probeInstance(instanceId: InstanceId): void {
    const member = members.get(instanceId);
    if (!member?.info.isControl || member.pendingHeartbeat) return;
    void sendHeartbeat(member, heartbeatIntervalMs);
  }

  function handleHeartbeat(heartbeat: Heartbeat): Heartbeat {
    recordHeartbeat(heartbeat);
    return getHeartbeat(heartbeat.instanceId, heartbeat);
  }

  function recordHeartbeat(heartbeat: Heartbeat): void {
    const { instanceId } = heartbeat;
    if (instanceId === self.instanceId) return;
    let member = members.get(instanceId);
    if (!member) {
      member = createMember(toInfo(heartbeat));
      members.set(instanceId, member);
    }
    member.info = toInfo(heartbeat);
    member.lastSeenAtMs = clock.nowMs();
    options.onHeartbeat(heartbeat);
    setReachable(member, true);
    const { engineNews } = heartbeat;
    if (engineNews) options.onEngineLoadSummary(member.info, engineNews);
    if (!heartbeat.isControl) return;
    for (const controlId of heartbeat.controlIds ?? []) addControl(controlId);
    reportedEntryCount = heartbeat.entryCount ?? reportedEntryCount;
  }

  function setReachable(member: Member, isReachable: boolean): void {
    if (member.isReachable === isReachable) return;
    member.isReachable = isReachable;
    const peer = member.info.instanceId;
    if (!isReachable) options.getPeers().dropConnection(peer);
    logger.log(
      isReachable ? logEvents.instanceReachable : logEvents.instanceLost,
      { peer, domain: member.info.domainId },
    );
  }

  function getHeartbeat(to: InstanceId, received?: Heartbeat): Heartbeat {
    const { revision, ageMs } = options.getUpstreams();
    const engineNews = options.getEngineLoadSummary(to);
    const answerReport = options.getAnswerReport();
    return {
      ...self,
      isControl: self.isControl === true,
      revision: options.getRevision(),
      upstreamsRevision: revision,
      upstreamsAgeMs: ageMs,
      ...(engineNews ? { engineNews } : {}),
      ...(answerReport ? { answerReport } : {}),
      ...options.getQuarantineFields(received),
      ...(self.isControl
        ? {
          controlIds: [self.instanceId, ...listReachableControlIds()]
            .slice(0, maxControlIds),
          entryCount: countEntries(),
        }
        : {}),
    };
  }
}

function toInfo(heartbeat: Heartbeat): InstanceInfo {
  const { instanceId, domainId, host, peerPort, state, incarnation } =
    heartbeat;
  return {
    instanceId,
    domainId,
    host,
    peerPort,
    state,
    incarnation,
    isControl: heartbeat.isControl === true,
  };
}
