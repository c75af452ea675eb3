/**
 * Configuration replica of one instance: combines the store with the
 * propagation decisions. Maps messages to replies and effects, and performs no
 * I/O.
 */
import * as z from "zod";
import type { InstanceId } from "../core/types.ts";
import type { Configuration, ConfigurationChanges } from "./configuration.ts";
import {
  type ConfigurationStore,
  configurationUpdateSchema,
  createConfigurationStore,
} from "./configuration_store.ts";
import {
  createPropagation,
  type Propagation,
  type PropagationEffect,
  type PropagationEvent,
  type PropagationOptions,
} from "./propagation.ts";

const instanceIdSchema = z.string().min(1).max(200);

export const configurationPushSchema = z.object({
  from: instanceIdSchema,
  update: configurationUpdateSchema,
  /** Whether the receiver must forward the update in its failure domain. */
  mustForward: z.boolean(),
});

export const configurationPushReplySchema = z.object({
  /**
   * Revision in force at the receiver. A relay that already had the pushed
   * revision adds the revisions of the instances in its failure domain.
   */
  members: z.array(z.object({
    instanceId: instanceIdSchema,
    revision: z.int().min(0),
  })).max(10_000),
});

export const configurationPullSchema = z.object({
  revision: z.int().min(0),
});

export const configurationPullReplySchema = z.object({
  update: configurationUpdateSchema,
});

export type ConfigurationPush = z.output<typeof configurationPushSchema>;
export type PushReply = z.output<typeof configurationPushReplySchema>;
export type ConfigurationPull = z.output<typeof configurationPullSchema>;
export type PullReply = z.output<typeof configurationPullReplySchema>;

export interface ConfigurationReplica {
  readonly store: ConfigurationStore;
  readonly propagation: Propagation;
  handle(event: PropagationEvent, nowMs: number): PropagationEffect[];
  /** Records a configuration that this instance's control log committed. */
  record(
    committed: Configuration,
    changes: ConfigurationChanges | undefined,
    nowMs: number,
  ): PropagationEffect[];
  getPush(
    effect: Extract<PropagationEffect, { kind: "push" }>,
  ): ConfigurationPush;
  getPull(): ConfigurationPull;
  receivePush(
    push: ConfigurationPush,
    nowMs: number,
  ): { readonly isApplied: boolean; readonly effects: PropagationEffect[] };
  /**
   * Called once the pushed revision is in force, so that the reply reports it.
   */
  getPushReply(push: ConfigurationPush, isApplied: boolean): PushReply;
  receivePull(pull: ConfigurationPull): PullReply;
  endPull(
    from: InstanceId,
    reply: PullReply | undefined,
    nowMs: number,
  ): PropagationEffect[];
}

export interface ConfigurationReplicaOptions
  extends Omit<PropagationOptions, "getRevision"> {
  readonly initial: Configuration;
}

export function createConfigurationReplica(
  options: ConfigurationReplicaOptions,
): ConfigurationReplica {
  const store = createConfigurationStore(options.initial);
  const propagation = createPropagation({
    ...options,
    getRevision: store.getRevision,
  });
  return {
    store,
    propagation,
    handle: propagation.handle,
    record: (committed, changes, nowMs) =>
      store.tryRecord(committed, changes)
        ? propagation.handle({ kind: "tick" }, nowMs)
        : [],
    getPush: ({ fromRevision, mustForward }) => ({
      from: options.selfId,
      update: store.getUpdate(fromRevision),
      mustForward,
    }),
    getPull: () => ({ revision: store.getRevision() }),
    receivePush,
    getPushReply,
    receivePull: ({ revision }) => ({ update: store.getUpdate(revision) }),
    endPull,
  };

  function receivePush(push: ConfigurationPush, nowMs: number) {
    const { from, update, mustForward } = push;
    const isApplied = store.tryApply(update);
    const effects = propagation.handle({
      kind: "pushReceived",
      from,
      revision: getRevisionOf(update),
      mustForward,
    }, nowMs);
    return { isApplied, effects };
  }

  /**
   * The list of the failure domain is long, so only the reply to a repeated
   * push contains it.
   */
  function getPushReply(
    { mustForward }: ConfigurationPush,
    isApplied: boolean,
  ): PushReply {
    if (mustForward && !isApplied) {
      return { members: propagation.listDomainRevisions() };
    }
    const revision = options.getRevisionInForce();
    return { members: [{ instanceId: options.selfId, revision }] };
  }

  function endPull(
    from: InstanceId,
    reply: PullReply | undefined,
    nowMs: number,
  ): PropagationEffect[] {
    if (reply) store.tryApply(reply.update);
    const revision = reply && getRevisionOf(reply.update);
    return propagation.handle({ kind: "pullEnded", from, revision }, nowMs);
  }
}

function getRevisionOf(update: ConfigurationPush["update"]): number {
  return update.kind === "full"
    ? update.configuration.revision
    : update.revision;
}
