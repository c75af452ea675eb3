/**
 * Sends journal updates to replica instances. Updates of many answers that are
 * due in the same turn of the event loop share one message.
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
  /** Like `send`, but a failure says nothing about a replica. */
  probe(instanceId: InstanceId, update: CopyUpdate): void;
}

export interface CopySenderOptions {
  readonly peers: PeerClient;
  readonly timeoutMs: number;
  onAnswered(replicaId: InstanceId, result: CopyResult): void;
  onFailed(replicaId: InstanceId, answerId: AnswerId): void;
}

interface QueuedUpdate {
  readonly update: CopyUpdate;
  readonly isProbe: boolean;
}

/** Keeps a message well below the largest frame. */
const maxBatchChars = 1_000_000;

export function createCopySender(options: CopySenderOptions): CopySender {
  const queues = new Map<InstanceId, QueuedUpdate[]>();
  return {
    send: (replicaId, update) => add(replicaId, { update, isProbe: false }),
    probe: (instanceId, update) => add(instanceId, { update, isProbe: true }),
  };

  function add(replicaId: InstanceId, queued: QueuedUpdate): void {
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
    const answeredIds = new Set(results.map((result) => result.answerId));
    for (const result of results) {
      const isUseful = !isProbe || result.status === CopyStatus.Superseded;
      if (isUseful) options.onAnswered(replicaId, result);
    }
    if (isProbe) return;
    for (const { answerId } of updates) {
      if (!answeredIds.has(answerId)) options.onFailed(replicaId, answerId);
    }
  }
}

function splitBatches(updates: readonly CopyUpdate[]): CopyUpdate[][] {
  const batches: CopyUpdate[][] = [];
  let batchChars = Infinity;
  for (const update of updates) {
    const chars = getChars(update);
    if (batchChars + chars > maxBatchChars) {
      batches.push([]);
      batchChars = 0;
    }
    batches.at(-1)!.push(update);
    batchChars += chars;
  }
  return batches;
}

function getChars(update: CopyUpdate): number {
  let chars = update.meta?.request.prompt.length ?? 0;
  for (const token of update.tokens) chars += token.length;
  return chars;
}
