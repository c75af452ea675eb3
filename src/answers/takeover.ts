/**
 * Takes over answers whose owner is lost. Before it does, an instance asks all
 * others whether one of them owns the answer or holds more of it.
 */
import type { Clock } from "../core/clock.ts";
import type { AnswerId, InstanceId } from "../core/types.ts";
import type { MembershipView } from "../membership/membership_view.ts";
import { PeerCallKind, type ReadReply, ReadStatus } from "../peer/messages.ts";
import type { PeerClient } from "../peer/peer_client.ts";
import type { HeldAnswer, ReplicaStore } from "./replica_store.ts";

export interface Takeover {
  /** Returns the owner afterwards: this instance, or one that is ahead. */
  takeOverIfLost(copy: HeldAnswer): Promise<InstanceId>;
  /** Takes over again what an earlier try left without an owner. */
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

/** How long a replica asks others about an answer before it takes over. */
const probeTimeoutMs = 300;
/** The instance that was ahead may be lost too before it has taken over. */
const retryIntervalMs = 1_000;

interface Found {
  readonly instanceId: InstanceId;
  readonly reply: ReadReply;
}

export function createTakeover(options: TakeoverOptions): Takeover {
  const { clock, membership, peers, replicas } = options;
  const running = new Map<AnswerId, Promise<InstanceId>>();
  let retriedAtMs = clock.nowMs();
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
    if (nowMs - retriedAtMs < retryIntervalMs) return;
    retriedAtMs = nowMs;
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

  /** The copy is left over from an owner that has since replaced it. */
  function isOwnedElsewhere(copy: HeldAnswer, { reply }: Found): boolean {
    return reply.status === ReadStatus.Tokens &&
      (reply.ownerId !== copy.owner.instanceId ||
        reply.ownerNumber > copy.owner.attemptNumber);
  }

  async function findBetterCopy(copy: HeldAnswer): Promise<Found | undefined> {
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
