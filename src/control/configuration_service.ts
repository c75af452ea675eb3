/**
 * Maintains the configuration in force at this instance: executes the effects
 * of the propagation, and writes a revision to the cache before it comes into
 * force.
 */
import { ok, type Result, ResultAsync } from "neverthrow";
import type { Clock } from "../core/clock.ts";
import type { SystemError } from "../core/errors.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import { createPeriodicTask, type Task } from "../core/supervisor.ts";
import type { InstanceId } from "../core/types.ts";
import type { MembershipView } from "../membership/membership_view.ts";
import { type Heartbeat, PeerCallKind } from "../peer/messages.ts";
import type { PeerClient } from "../peer/peer_client.ts";
import type {
  Configuration,
  ConfigurationChanges,
  ConfigurationView,
} from "./configuration.ts";
import type { ConfigurationCache } from "./configuration_cache.ts";
import {
  type ConfigurationPull,
  type ConfigurationPush,
  createConfigurationReplica,
  type PullReply,
  type PushReply,
} from "./configuration_replica.ts";
import type { PropagationEffect } from "./propagation.ts";
import { isStartupComplete } from "./startup_check.ts";

export interface ConfigurationService extends ConfigurationView {
  readonly tasks: readonly Task[];
  getRevision(): number;
  /** Whether the configuration is known to be no older than before a restart. */
  isKnown(): boolean;
  /** Records a configuration that this instance's control log committed. */
  record(
    committed: Configuration,
    changes: ConfigurationChanges | undefined,
  ): void;
  handleHeartbeat(heartbeat: Heartbeat): void;
  /** Called whenever the list of instances has been read. */
  handleListRead(): void;
  handlePush(push: ConfigurationPush): ResultAsync<PushReply, SystemError>;
  handlePull(pull: ConfigurationPull): Result<PullReply, SystemError>;
  /** Listed instances that are not known to have applied the revision. */
  listBehind(revision: number): InstanceId[];
  getKnownRevision(instanceId: InstanceId): number;
}

export interface ConfigurationServiceOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: Random;
  readonly initial: Configuration;
  readonly cache: ConfigurationCache | undefined;
  readonly selfId: InstanceId;
  readonly domainId: string;
  getMembership(): MembershipView;
  getPeers(): PeerClient;
  isLeader(): boolean;
  onApplied(): void;
}

const tickMs = 100;
const pushTimeoutMs = 500;
/**
 * Covers the transfer of a whole configuration at the planned scale over a slow
 * connection.
 */
const pullTimeoutMs = 2_000;

export function createConfigurationService(
  options: ConfigurationServiceOptions,
): ConfigurationService {
  const { clock, logger, cache, selfId } = options;
  const startedAtMs = clock.nowMs();
  const cached = loadCache();
  let inForce = cached ?? options.initial;
  let isPublishing = false;
  let publishing = Promise.resolve();
  let isListRead = false;
  let isStartupDone = false;
  const node = createConfigurationReplica({
    selfId,
    domainId: options.domainId,
    random: options.random,
    initial: inForce,
    isLeader: options.isLeader,
    getRevisionInForce: () => inForce.revision,
    listMembers,
  });
  return {
    tasks: [createPeriodicTask({
      name: "configuration",
      clock,
      intervalMs: tickMs,
      action: () => {
        execute(node.handle({ kind: "tick" }, clock.nowMs()));
      },
    })],
    getConfiguration: () => inForce,
    getRevision: () => inForce.revision,
    isKnown,
    record: (committed, changes) =>
      execute(node.record(committed, changes, clock.nowMs())),
    handleHeartbeat: ({ instanceId, revision }) =>
      execute(
        node.handle(
          { kind: "revisionSeen", instanceId, revision },
          clock.nowMs(),
        ),
      ),
    handleListRead: () => {
      isListRead = true;
    },
    handlePush: (push) => {
      const { isApplied, effects } = node.receivePush(
        push,
        clock.nowMs(),
      );
      execute(effects);
      return ResultAsync.fromSafePromise(
        publishing.then(() => node.getPushReply(push, isApplied)),
      );
    },
    handlePull: (pull) => ok(node.receivePull(pull)),
    listBehind: (revision) => [
      ...(inForce.revision < revision ? [selfId] : []),
      ...node.propagation.listBehind(revision).map((member) =>
        member.instanceId
      ),
    ],
    getKnownRevision: (instanceId) =>
      instanceId === selfId
        ? inForce.revision
        : node.propagation.getKnownRevision(instanceId),
  };

  function loadCache(): Configuration | undefined {
    const loaded = cache?.load();
    if (loaded?.isErr()) {
      // Handled like a missing file: the instance compares its revision with
      // those of its peers.
      logger.log(logEvents.configurationCacheFailed, {
        reason: loaded.error.message,
      });
    }
    return loaded?.unwrapOr(undefined);
  }

  function listMembers() {
    const membership = options.getMembership();
    return membership.listInstances()
      .filter(({ instanceId }) => instanceId !== selfId)
      .map(({ instanceId, domainId, isControl }) => ({
        instanceId,
        domainId,
        isRelay: isControl ?? true,
        isReachable: membership.isReachable(instanceId),
      }));
  }

  function isKnown(): boolean {
    isStartupDone ||= isStartupComplete({
      hasCache: cached !== undefined,
      isListRead,
      ownRevision: inForce.revision,
      members: listMembers().map(({ instanceId, isReachable }) => ({
        isReachable,
        revision: node.propagation.getKnownRevision(instanceId),
      })),
      sinceStartMs: clock.nowMs() - startedAtMs,
    });
    return isStartupDone;
  }

  function execute(effects: readonly PropagationEffect[]): void {
    if (!isPublishing) publishing = publish();
    for (const effect of effects) {
      if (effect.kind === "push") void push(effect);
      else void pull(effect.from);
    }
  }

  async function push(
    effect: Extract<PropagationEffect, { kind: "push" }>,
  ): Promise<void> {
    const { to } = effect;
    const reply = await options.getPeers().call(
      to,
      PeerCallKind.PushConfiguration,
      { body: node.getPush(effect), timeoutMs: pushTimeoutMs },
    );
    const members = reply.map((value) => value.members).unwrapOr(undefined);
    if (!members) logger.log(logEvents.configurationPushFailed, { peer: to });
    execute(
      node.handle({ kind: "pushEnded", to, reply: members }, clock.nowMs()),
    );
  }

  async function pull(from: InstanceId): Promise<void> {
    const reply = await options.getPeers().call(
      from,
      PeerCallKind.PullConfiguration,
      { body: node.getPull(), timeoutMs: pullTimeoutMs },
    );
    logger.log(logEvents.configurationPullEnded, { peer: from });
    execute(
      node.endPull(from, reply.unwrapOr(undefined), clock.nowMs()),
    );
  }

  /**
   * Writes one revision at a time. Revisions that arrive during a write are
   * merged into the next one.
   */
  async function publish(): Promise<void> {
    isPublishing = true;
    while (node.store.getRevision() > inForce.revision) {
      const next = node.store.getConfiguration();
      const saved = await cache?.save(next);
      if (saved?.isErr()) {
        logger.log(logEvents.storageFailed, { reason: saved.error.message });
      }
      inForce = next;
      logger.log(logEvents.configurationApplied, { revision: next.revision });
      options.onApplied();
    }
    isPublishing = false;
  }
}
