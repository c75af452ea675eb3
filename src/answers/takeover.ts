/**
 * Takes over answers whose owner is lost. Before a takeover, the instance asks
 * all others whether one of them owns the answer or holds a newer or longer
 * copy.
 */
import type { Clock } from "../core/clock.ts";
import type { AnswerId, InstanceId } from "../core/types.ts";
import type { MembershipView } from "../membership/membership_view.ts";
import { PeerCallKind, type ReadReply, ReadStatus } from "../peer/messages.ts";
import type { PeerClient } from "../peer/peer_client.ts";
import type { HeldAnswer, ReplicaStore } from "./replica_store.ts";

export interface Takeover {
  /**
   * Resolves to the instance to ask for the answer: this one, or one that owns
   * the answer or holds a better copy.
   */
  takeOverIfLost(copy: HeldAnswer): Promise<InstanceId>;
  /** Retries the takeover of answers that still have no reachable owner. */
  retry(): void;
}

export interface TakeoverOptions {
  readonly clock: Clock;
  readonly membership: MembershipView;
  readonly peers: PeerClient;
  readonly replicas: ReplicaStore;
  isOwned(answerId: AnswerId): boolean;
  becomeOwner(copy: HeldAnswer): void;
}

/** Timeout of the questions to other instances before a takeover. */
const probeTimeoutMs = 300;
/** An instance with a better copy may be lost before it has taken over. */
const retryIntervalMs = 1_000;

interface BetterCopy {
  readonly instanceId: InstanceId;
  readonly reply: ReadReply;
}

export function createTakeover(options: TakeoverOptions): Takeover {
  const { clock, membership, peers, replicas } = options;
  const running = new Map<AnswerId, Promise<InstanceId>>();
  let lastRetryAtMs = clock.nowMs();
  return { takeOverIfLost, retry };

  function takeOverIfLost(copy: HeldAnswer): Promise<InstanceId> {
    const { answerId } = copy;
    const existing = running.get(answerId);
    if (existing) return existing;
    const started = run(copy).finally(() => running.delete(answerId));
    running.set(answerId, started);
    return started;
  }

  function retry(): void {
    const nowMs = clock.nowMs();
    if (nowMs - lastRetryAtMs < retryIntervalMs) return;
    lastRetryAtMs = nowMs;
    for (const copy of replicas.listOpen()) {
      const isLost = !membership.isReachable(copy.owner.instanceId);
      if (isLost) void takeOverIfLost(copy);
    }
  }

  async function run(copy: HeldAnswer): Promise<InstanceId> {
    const { answerId } = copy;
    const selfId = membership.getSelf().instanceId;
    const better = await findBetterCopy(copy);
    const current = replicas.get(answerId);
    if (better) {
      if (current === copy && isOwnedElsewhere(copy, better)) {
        replicas.remove(answerId);
      }
      return better.instanceId;
    }
    if (options.isOwned(answerId) || !current || current.end) return selfId;
    options.becomeOwner(current);
    return selfId;
  }

  /** Whether the copy comes from an ownership that has since been replaced. */
  function isOwnedElsewhere(copy: HeldAnswer, { reply }: BetterCopy): boolean {
    return reply.status === ReadStatus.Tokens &&
      (reply.ownerId !== copy.owner.instanceId ||
        reply.ownerNumber > copy.owner.attemptNumber);
  }

  async function findBetterCopy(
    copy: HeldAnswer,
  ): Promise<BetterCopy | undefined> {
    const selfId = membership.getSelf().instanceId;
    const others = membership.listInstances()
      .map((instance) => instance.instanceId)
      .filter((instanceId) => instanceId !== selfId);
    const found = await Promise.all(others.map(async (instanceId) => {
      const reply = await peers.call(instanceId, PeerCallKind.ReadAnswer, {
        body: {
          answerId: copy.answerId,
          customerId: copy.meta.customerId,
          fromPosition: 0,
          waitMs: 0,
        },
        timeoutMs: probeTimeoutMs,
      });
      return reply.isOk() && isBetter(reply.value, instanceId)
        ? [{ instanceId, reply: reply.value }]
        : [];
    }));
    const all = found.flat();
    return all.find(({ reply }) => reply.status === ReadStatus.Tokens) ??
      all[0];

    function isBetter(reply: ReadReply, instanceId: InstanceId): boolean {
      if (reply.status === ReadStatus.Tokens) return true;
      if (reply.status !== ReadStatus.HeldCopy) return false;
      if (reply.ownerNumber !== copy.owner.attemptNumber) {
        return reply.ownerNumber > copy.owner.attemptNumber;
      }
      if (reply.heldCount !== copy.tokens.length) {
        return reply.heldCount > copy.tokens.length;
      }
      return instanceId < selfId;
    }
  }
}
