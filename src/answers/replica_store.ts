/**
 * Stores the journals that this instance holds for answers of other owners,
 * within a memory limit. Updates of a superseded owner are rejected.
 */
import type { Clock } from "../core/clock.ts";
import {
  type AnswerEnd,
  type AnswerId,
  type AttemptId,
  compareAttempts,
  type InstanceId,
  type LineageSpan,
} from "../core/types.ts";
import {
  type AnswerMeta,
  type CopyResult,
  CopyStatus,
  type CopyUpdate,
} from "../peer/messages.ts";

export interface HeldAnswer {
  readonly answerId: AnswerId;
  owner: AttemptId;
  generation: number;
  meta: AnswerMeta;
  tokens: string[];
  lineage: LineageSpan[];
  end: AnswerEnd | undefined;
  updatedAtMs: number;
  sizeBytes: number;
}

export interface ReplicaStore {
  applyUpdate(update: CopyUpdate): CopyResult;
  get(answerId: AnswerId): HeldAnswer | undefined;
  /** Unfinished answers of the owner. */
  listOpenOf(ownerId: InstanceId): HeldAnswer[];
  listOpen(): HeldAnswer[];
  listFinished(): HeldAnswer[];
  remove(answerId: AnswerId): void;
  /** Drops copies that were not updated within the retention time. */
  sweep(): void;
  getSizeBytes(): number;
  getCount(): number;
}

export interface ReplicaStoreOptions {
  readonly clock: Clock;
  readonly maxBytes: number;
  readonly retentionMs: number;
}

/** Estimated memory per token in addition to its text. */
const tokenOverheadBytes = 24;
const answerOverheadBytes = 1_024;

export function createReplicaStore(options: ReplicaStoreOptions): ReplicaStore {
  const { clock, maxBytes, retentionMs } = options;
  const held = new Map<AnswerId, HeldAnswer>();
  let sizeBytes = 0;
  return {
    applyUpdate,
    get: (answerId) => held.get(answerId),
    listOpenOf: (ownerId) =>
      listOpen().filter((answer) => answer.owner.instanceId === ownerId),
    listOpen,
    listFinished: () => [...held.values()].filter((answer) => answer.end),
    remove,
    sweep,
    getSizeBytes: () => sizeBytes,
    getCount: () => held.size,
  };

  function applyUpdate(update: CopyUpdate): CopyResult {
    const existing = held.get(update.answerId);
    if (existing && compareAttempts(update.owner, existing.owner) < 0) {
      return reply(update, CopyStatus.Superseded, existing);
    }
    const isSameJournal = existing !== undefined &&
      compareAttempts(update.owner, existing.owner) === 0 &&
      update.generation === existing.generation;
    if (isSameJournal && !update.meta) return append(existing, update);
    if (isSameJournal && update.tokens.length < existing.tokens.length) {
      return reply(update, CopyStatus.Held, existing);
    }
    return replace(update);
  }

  function replace(update: CopyUpdate): CopyResult {
    if (!update.meta || !update.lineage || update.fromPosition !== 0) {
      return reply(update, CopyStatus.Incomplete, undefined);
    }
    const answer: HeldAnswer = {
      answerId: update.answerId,
      owner: update.owner,
      generation: update.generation,
      meta: update.meta,
      tokens: update.tokens,
      lineage: update.lineage,
      end: update.end,
      updatedAtMs: clock.nowMs(),
      sizeBytes: answerOverheadBytes + update.meta.request.prompt.length +
        estimateTokenBytes(update.tokens),
    };
    const freedBytes = held.get(update.answerId)?.sizeBytes ?? 0;
    if (!makeRoom(answer.sizeBytes - freedBytes)) {
      return reply(update, CopyStatus.Full, undefined);
    }
    sizeBytes += answer.sizeBytes - freedBytes;
    held.set(update.answerId, answer);
    return reply(update, CopyStatus.Held, answer);
  }

  function append(answer: HeldAnswer, update: CopyUpdate): CopyResult {
    const overlap = answer.tokens.length - update.fromPosition;
    if (overlap < 0) return reply(update, CopyStatus.Incomplete, answer);
    const tokens = update.tokens.slice(overlap);
    const addedBytes = estimateTokenBytes(tokens);
    if (!makeRoom(addedBytes)) return reply(update, CopyStatus.Full, answer);
    for (const token of tokens) answer.tokens.push(token);
    if (update.lineage) answer.lineage = update.lineage;
    if (update.end) answer.end = update.end;
    answer.sizeBytes += addedBytes;
    answer.updatedAtMs = clock.nowMs();
    sizeBytes += addedBytes;
    return reply(update, CopyStatus.Held, answer);
  }

  function makeRoom(addedBytes: number): boolean {
    if (sizeBytes + addedBytes <= maxBytes) return true;
    // Finished answers are kept only for late readers, so they are evicted.
    for (const answer of held.values()) {
      if (answer.end) remove(answer.answerId);
      if (sizeBytes + addedBytes <= maxBytes) return true;
    }
    return false;
  }

  function listOpen(): HeldAnswer[] {
    return [...held.values()].filter((answer) => !answer.end);
  }

  function remove(answerId: AnswerId): void {
    const answer = held.get(answerId);
    if (!answer) return;
    sizeBytes -= answer.sizeBytes;
    held.delete(answerId);
  }

  function sweep(): void {
    const oldestMs = clock.nowMs() - retentionMs;
    for (const answer of held.values()) {
      if (answer.updatedAtMs < oldestMs) remove(answer.answerId);
    }
  }
}

function estimateTokenBytes(tokens: readonly string[]): number {
  let bytes = 0;
  for (const token of tokens) bytes += token.length + tokenOverheadBytes;
  return bytes;
}

function reply(
  update: CopyUpdate,
  status: CopyStatus,
  answer: HeldAnswer | undefined,
): CopyResult {
  return {
    answerId: update.answerId,
    generation: answer?.generation ?? update.generation,
    status,
    nextPosition: answer?.tokens.length ?? 0,
    isEnded: answer?.end !== undefined,
  };
}
