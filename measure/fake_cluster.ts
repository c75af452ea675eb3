/**
 * A cluster of fake instances with the production propagation code, in one
 * process. Disks and transport are fakes, the transport delays and loses
 * messages, and an event queue provides the clock. The other parts of an
 * instance are left out.
 */
import {
  applyChanges,
  type Configuration,
  type ConfigurationChanges,
} from "../src/control/configuration.ts";
import {
  type ConfigurationReplica,
  createConfigurationReplica,
} from "../src/control/configuration_replica.ts";
import type { PropagationEffect } from "../src/control/propagation.ts";
import type { Random } from "../src/core/random.ts";
import { encodeFrame } from "../src/peer/frame_codec.ts";
import { createEventQueue } from "./event_queue.ts";

/** A fake instance of the cluster: its propagation code, disk and traffic. */
export interface FakeNode {
  readonly index: number;
  readonly id: string;
  readonly domainId: string;
  readonly hasDisk: boolean;
  isUp: boolean;
  /** Increases with each start. Messages to an earlier run are dropped. */
  run: number;
  core: ConfigurationReplica;
  disk: Configuration | undefined;
  inForce: number;
  /** Highest revision ever in force, across restarts. */
  highestRevision: number;
  appliedAtMs: Map<number, number>;
  sentBytes: number;
  receivedBytes: number;
  sentMessages: number;
}

export interface FakeClusterOptions {
  readonly domainSizes: readonly number[];
  readonly random: Random;
  readonly lossRatio: number;
  readonly heartbeatIntervalMs: number;
  /** Number of random peers in each round of heartbeats. */
  readonly heartbeatPeers: number;
  readonly hasDisk: (index: number) => boolean;
  readonly getDelayMs: (from: FakeNode, to: FakeNode) => number;
  readonly initial: Configuration;
  readonly onInForce?: (node: FakeNode, previous: number) => void;
}

const callTimeoutMs = 500;
const tickMs = 100;
const diskWriteMs = 5;
const lostAfterMs = 1_200;
/** TLS record and TCP/IP headers of a small message. */
const messageOverheadBytes = 69;

export type FakeCluster = ReturnType<typeof createFakeCluster>;

export function createFakeCluster(options: FakeClusterOptions) {
  const { random } = options;
  const queue = createEventQueue();
  const partitionedSinceMs = new Map<string, number>();
  const downSinceMs = new Map<string, number>();
  const leaderIds = new Set<string>();
  const nodes: FakeNode[] = [];
  for (const [domain, size] of options.domainSizes.entries()) {
    for (let ordinal = 0; ordinal < size; ordinal++) addNode(domain, ordinal);
  }
  for (const node of nodes) start(node);
  return {
    nodes,
    leaderIds,
    commit,
    crash,
    restart,
    unpause,
    setPartition,
    nowMs: queue.nowMs,
    runUntil: queue.runUntil,
    send,
    executeEffects,
    isReachable,
  };

  function addNode(domain: number, ordinal: number): void {
    const index = nodes.length;
    nodes.push({
      index,
      id: `d${domain}-${ordinal}`,
      domainId: `d${domain}`,
      hasDisk: options.hasDisk(index),
      isUp: true,
      run: 0,
      core: undefined as unknown as ConfigurationReplica,
      disk: undefined,
      inForce: 0,
      highestRevision: 0,
      appliedAtMs: new Map(),
      sentBytes: 0,
      receivedBytes: 0,
      sentMessages: 0,
    });
  }

  function start(node: FakeNode): void {
    node.run += 1;
    node.isUp = true;
    downSinceMs.delete(node.id);
    const initial = node.disk ?? options.initial;
    node.inForce = initial.revision;
    const run = node.run;
    const others = nodes.filter((other) => other !== node);
    node.core = createConfigurationReplica({
      selfId: node.id,
      domainId: node.domainId,
      random,
      initial,
      isLeader: () => leaderIds.has(node.id),
      getRevisionInForce: () => node.inForce,
      listMembers: () =>
        others.map((other) => ({
          instanceId: other.id,
          domainId: other.domainId,
          isReachable: isReachable(node, other),
          isRelay: true,
        })),
    });
    if (node.hasDisk) options.onInForce?.(node, node.highestRevision);
    scheduleRepeatedly(node, run, tickMs, () => {
      executeEffects(
        node,
        node.core.handle({ kind: "tick" }, queue.nowMs()),
      );
    });
    scheduleRepeatedly(node, run, options.heartbeatIntervalMs, () => {
      for (let count = 0; count < options.heartbeatPeers; count++) {
        heartbeat(node, others[random.nextInt(others.length)]!);
      }
    });
  }

  function scheduleRepeatedly(
    node: FakeNode,
    run: number,
    intervalMs: number,
    action: () => void,
  ): void {
    const runAndReschedule = () => {
      if (node.run !== run) return;
      if (node.isUp) action();
      queue.schedule(intervalMs, runAndReschedule);
    };
    queue.schedule(random.next() * intervalMs, runAndReschedule);
  }

  function heartbeat(from: FakeNode, to: FakeNode): void {
    send(from, to, 0, () => {
      const body = { instanceId: from.id, revision: from.inForce };
      executeEffects(
        to,
        to.core.handle({ kind: "revisionSeen", ...body }, queue.nowMs()),
      );
      const reply = { instanceId: to.id, revision: to.inForce };
      send(to, from, 0, () => {
        const event = { kind: "revisionSeen" as const, ...reply };
        executeEffects(from, from.core.handle(event, queue.nowMs()));
      });
    });
  }

  function executeEffects(
    node: FakeNode,
    effects: readonly PropagationEffect[],
  ): void {
    applyNewestConfiguration(node);
    for (const effect of effects) {
      if (effect.kind === "push") executePush(node, effect);
      else executePull(node, effect.from);
    }
  }

  function executePush(
    node: FakeNode,
    effect: Extract<PropagationEffect, { kind: "push" }>,
  ): void {
    const body = structuredClone(node.core.getPush(effect));
    const target = nodes.find((other) => other.id === effect.to)!;
    const finish = createReplyHandler(node, (reply: unknown) => {
      const members = (reply as { members: [] } | undefined)?.members;
      executeEffects(
        node,
        node.core.handle(
          { kind: "pushEnded", to: effect.to, reply: members },
          queue.nowMs(),
        ),
      );
    });
    send(node, target, getFrameBytes(body), () => {
      const { isApplied, effects } = target.core.receivePush(
        body,
        queue.nowMs(),
      );
      executeEffects(target, effects);
      const { run } = target;
      queue.schedule(target.hasDisk ? diskWriteMs : 0, () => {
        if (!target.isUp || target.run !== run) return;
        const reply = target.core.getPushReply(body, isApplied);
        send(target, node, getFrameBytes(reply), () => finish(reply));
      });
    });
  }

  function executePull(node: FakeNode, from: string): void {
    const body = node.core.getPull();
    const target = nodes.find((other) => other.id === from)!;
    const finish = createReplyHandler(node, (reply: unknown) => {
      const typed = reply as { update: never } | undefined;
      executeEffects(node, node.core.endPull(from, typed, queue.nowMs()));
    });
    send(node, target, getFrameBytes(body), () => {
      const reply = structuredClone(target.core.receivePull(body));
      send(target, node, getFrameBytes(reply), () => finish(reply));
    });
  }

  /**
   * Calls the action once: with the reply, or with `undefined` after the
   * timeout. If the instance is paused at the timeout, the action runs after
   * the pause.
   */
  function createReplyHandler(
    node: FakeNode,
    action: (reply: unknown) => void,
  ): (reply: unknown) => void {
    const { run } = node;
    let isDone = false;
    const finish = (reply: unknown) => {
      if (isDone || node.run !== run || !node.isUp) return;
      isDone = true;
      action(reply);
    };
    const handleTimeout = () => {
      if (node.run !== run) return;
      if (node.isUp) finish(undefined);
      else queue.schedule(tickMs, handleTimeout);
    };
    queue.schedule(callTimeoutMs, handleTimeout);
    return finish;
  }

  /**
   * Sends a message. A `sizeBytes` of 0 marks a heartbeat, which does not count
   * as propagation traffic.
   */
  function send(
    from: FakeNode,
    to: FakeNode,
    sizeBytes: number,
    deliver: () => void,
  ): void {
    if (sizeBytes > 0) {
      from.sentBytes += sizeBytes + messageOverheadBytes;
      from.sentMessages += 1;
    }
    if (random.next() < options.lossRatio || isCut(from, to)) return;
    const { run } = to;
    queue.schedule(options.getDelayMs(from, to), () => {
      if (!to.isUp || to.run !== run || isCut(from, to)) return;
      if (sizeBytes > 0) to.receivedBytes += sizeBytes + messageOverheadBytes;
      deliver();
    });
  }

  /** Puts the newest configuration in force once it is written to disk. */
  function applyNewestConfiguration(node: FakeNode): void {
    const configuration = node.core.store.getConfiguration();
    if (configuration.revision === node.inForce) return;
    if (!node.hasDisk) return setInForce(node, configuration);
    const { run } = node;
    queue.schedule(diskWriteMs, () => {
      if (!node.isUp || node.run !== run) return;
      if (configuration.revision <= node.inForce) return;
      node.disk = configuration;
      setInForce(node, configuration);
    });
  }

  function setInForce(node: FakeNode, { revision }: Configuration): void {
    options.onInForce?.(node, node.inForce);
    node.inForce = revision;
    node.highestRevision = Math.max(node.highestRevision, revision);
    node.appliedAtMs.set(revision, queue.nowMs());
  }

  /** Commits a change at the node, as the control log of a leader does. */
  function commit(node: FakeNode, changes: ConfigurationChanges): number {
    const current = node.core.store.getConfiguration();
    const revision = current.revision + 1;
    const next = applyChanges(current, changes, revision);
    executeEffects(node, node.core.record(next, changes, queue.nowMs()));
    return revision;
  }

  function crash(node: FakeNode): void {
    node.isUp = false;
    downSinceMs.set(node.id, queue.nowMs());
  }

  /**
   * Lets a stopped instance run again with its state, like a process after a
   * pause.
   */
  function unpause(node: FakeNode): void {
    node.isUp = true;
    downSinceMs.delete(node.id);
  }

  function restart(node: FakeNode): void {
    if (!node.isUp) start(node);
  }

  /** Cuts the failure domain off from all others, or reconnects it. */
  function setPartition(domainId: string, isCutOff: boolean): void {
    if (!isCutOff) partitionedSinceMs.delete(domainId);
    else if (!partitionedSinceMs.has(domainId)) {
      partitionedSinceMs.set(domainId, queue.nowMs());
    }
  }

  function getPartitionStartMs(from: FakeNode, to: FakeNode): number {
    if (from.domainId === to.domainId) return Infinity;
    return Math.min(
      partitionedSinceMs.get(from.domainId) ?? Infinity,
      partitionedSinceMs.get(to.domainId) ?? Infinity,
    );
  }

  function isCut(from: FakeNode, to: FakeNode): boolean {
    return getPartitionStartMs(from, to) !== Infinity;
  }

  /**
   * The membership reports a loss only after `lostAfterMs`, but at once that an
   * instance is reachable again.
   */
  function isReachable(from: FakeNode, to: FakeNode): boolean {
    const sinceMs = Math.min(
      getPartitionStartMs(from, to),
      downSinceMs.get(to.id) ?? Infinity,
    );
    return queue.nowMs() - sinceMs < lostAfterMs;
  }
}

export function getFrameBytes(body: unknown): number {
  return encodeFrame({ callId: 1_000_000, kind: "configuration", body })
    .unwrapOr(undefined as never).length;
}
