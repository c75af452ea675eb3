/**
 * Keeps finished answers on two instances: copies them to another instance when
 * one of the two holders is lost, and before this instance stops.
 */
import type { Clock } from "../core/clock.ts";
import type { AnswerId, InstanceId } from "../core/types.ts";
import type { MembershipView } from "../membership/membership_view.ts";
import { type CopyUpdate, PeerCallKind } from "../peer/messages.ts";
import type { PeerClient } from "../peer/peer_client.ts";
import type { OwnedAnswer } from "./owned_answer.ts";
import { chooseReplica } from "./replica_placement.ts";
import type { HeldAnswer, ReplicaStore } from "./replica_store.ts";

export interface FinishedAnswerReplicator {
  /** Replaces the lost holder of answers that callers may still read. */
  onInstanceLost(instanceId: InstanceId): void;
  /** Copies answers that finished while no other instance was reachable. */
  onInstanceReachable(): void;
  /** Copies all finished answers to others before this instance stops. */
  replicateAll(): Promise<void>;
}

export interface FinishedAnswerReplicatorOptions {
  readonly clock: Clock;
  readonly membership: MembershipView;
  readonly peers: PeerClient;
  readonly replicas: ReplicaStore;
  readonly owned: ReadonlyMap<AnswerId, OwnedAnswer>;
  readonly closedAtMs: ReadonlyMap<AnswerId, number>;
}

const copyTimeoutMs = 2_000;
/** After a loss only newer answers are copied; older ones are likely read. */
const recentWindowMs = 60_000;

export function createFinishedAnswerReplicator(
  options: FinishedAnswerReplicatorOptions,
): FinishedAnswerReplicator {
  const { clock, membership, peers, replicas, owned } = options;
  /** Second holder of each answer that was copied again after its end. */
  const secondHolders = new Map<AnswerId, InstanceId>();
  return { onInstanceLost, onInstanceReachable, replicateAll };

  function onInstanceLost(instanceId: InstanceId): void {
    for (const { state } of listRecentlyClosed()) {
      const holderId = secondHolders.get(state.answerId) ??
        state.replica?.instanceId;
      if (holderId === instanceId) void replaceHolder(state);
    }
    for (const copy of replicas.listFinished()) {
      const isRecent = clock.nowMs() - copy.updatedAtMs < recentWindowMs;
      if (isRecent && copy.owner.instanceId === instanceId) {
        void copyToAnotherInstance(copy);
      }
    }
  }

  function onInstanceReachable(): void {
    for (const { state } of listRecentlyClosed()) {
      const hasSingleHolder = state.isUnreplicated &&
        !secondHolders.has(state.answerId);
      if (hasSingleHolder) void replaceHolder(state);
    }
  }

  function listRecentlyClosed(): OwnedAnswer[] {
    const oldestMs = clock.nowMs() - recentWindowMs;
    return [...options.closedAtMs].flatMap(([answerId, atMs]) => {
      const answer = atMs > oldestMs ? owned.get(answerId) : undefined;
      if (!answer) secondHolders.delete(answerId);
      return answer ? [answer] : [];
    });
  }

  async function replaceHolder(answer: JournalCopy): Promise<void> {
    const holderId = await copyToAnotherInstance(answer);
    if (holderId !== undefined) secondHolders.set(answer.answerId, holderId);
  }

  async function replicateAll(): Promise<void> {
    await Promise.all([
      ...[...owned.values()].map(({ state }) => copyToAnotherInstance(state)),
      ...replicas.listFinished().map(copyToAnotherInstance),
    ]);
  }

  async function copyToAnotherInstance(
    answer: JournalCopy,
  ): Promise<InstanceId | undefined> {
    const updates = createFullUpdates(answer);
    const holderId = chooseReplica(membership, answer.answerId, []);
    if (updates.length === 0 || holderId === undefined) return undefined;
    const reply = await peers.call(holderId, PeerCallKind.CopyBatch, {
      body: { updates },
      timeoutMs: copyTimeoutMs,
    });
    return reply.isOk() ? holderId : undefined;
  }
}

type JournalCopy = Omit<HeldAnswer, "updatedAtMs" | "sizeBytes">;

/** An update with the whole journal, or none if the answer is unfinished. */
function createFullUpdates(answer: JournalCopy): CopyUpdate[] {
  const { answerId, owner, generation, tokens, lineage, meta, end } = answer;
  if (!end) return [];
  const journal = { answerId, owner, generation, tokens, lineage, meta, end };
  return [{ ...journal, fromPosition: 0 }];
}
