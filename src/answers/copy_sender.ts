/**
 * Sends journal updates to replicas. Updates of many answers that are queued in
 * the same turn of the event loop are batched into one message.
 */
import type { AnswerId, InstanceId } from "../core/types.ts";
import {
  type CopyResult,
  CopyStatus,
  type CopyUpdate,
  PeerCallKind,
} from "../peer/messages.ts";
import type { PeerClient } from "../peer/peer_client.ts";

export interface CopySender {
  send(replicaId: InstanceId, update: CopyUpdate): void;
  /**
   * Like `send`, but reports only that the sender is superseded, since a failed
   * probe does not mean that a replica was lost.
   */
  probe(instanceId: InstanceId, update: CopyUpdate): void;
}

export interface CopySenderOptions {
  readonly peers: PeerClient;
  readonly timeoutMs: number;
  onReply(replicaId: InstanceId, result: CopyResult): void;
  onFailed(replicaId: InstanceId, answerId: AnswerId): void;
}

interface QueuedUpdate {
  readonly update: CopyUpdate;
  readonly isProbe: boolean;
}

/** Keeps a message well below the maximum frame size. */
const maxBatchChars = 1_000_000;

export function createCopySender(options: CopySenderOptions): CopySender {
  const queues = new Map<InstanceId, QueuedUpdate[]>();
  return {
    send: (replicaId, update) => enqueue(replicaId, { update, isProbe: false }),
    probe: (instanceId, update) =>
      enqueue(instanceId, { update, isProbe: true }),
  };

  function enqueue(replicaId: InstanceId, queued: QueuedUpdate): void {
    const queue = queues.get(replicaId);
    if (queue) {
      queue.push(queued);
      return;
    }
    queues.set(replicaId, [queued]);
    setImmediate(() => flush(replicaId));
  }

  function flush(replicaId: InstanceId): void {
    const queue = queues.get(replicaId) ?? [];
    queues.delete(replicaId);
    for (const isProbe of [false, true]) {
      const updates = queue.filter((queued) => queued.isProbe === isProbe)
        .map((queued) => queued.update);
      for (const batch of splitBatches(updates)) {
        void sendBatch(replicaId, batch, isProbe);
      }
    }
  }

  async function sendBatch(
    replicaId: InstanceId,
    updates: CopyUpdate[],
    isProbe: boolean,
  ): Promise<void> {
    const reply = await options.peers.call(replicaId, PeerCallKind.CopyBatch, {
      body: { updates },
      timeoutMs: options.timeoutMs,
    });
    const results = reply.isOk() ? reply.value.results : [];
    const repliedIds = new Set(results.map((result) => result.answerId));
    for (const result of results) {
      const isReported = !isProbe || result.status === CopyStatus.Superseded;
      if (isReported) options.onReply(replicaId, result);
    }
    if (isProbe) return;
    for (const { answerId } of updates) {
      if (!repliedIds.has(answerId)) options.onFailed(replicaId, answerId);
    }
  }
}

function splitBatches(updates: readonly CopyUpdate[]): CopyUpdate[][] {
  const batches: CopyUpdate[][] = [];
  let batchChars = Infinity;
  for (const update of updates) {
    const chars = countChars(update);
    if (batchChars + chars > maxBatchChars) {
      batches.push([]);
      batchChars = 0;
    }
    batches.at(-1)!.push(update);
    batchChars += chars;
  }
  return batches;
}

function countChars(update: CopyUpdate): number {
  let chars = update.meta?.request.prompt.length ?? 0;
  for (const token of update.tokens) chars += token.length;
  return chars;
}
