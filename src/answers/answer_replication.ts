/**
 * Decides which instance holds the second copy of an answer, what is sent to
 * it, and what callers may see.
 */
import type { InstanceId } from "../core/types.ts";
import {
  type AnswerEffect,
  AnswerEffectKind,
  type AnswerState,
  type Replica,
} from "./answer_state.ts";

/** A replica that failed is avoided for this long. */
const avoidReplicaMs = 5_000;
/** While unreplicated, a replica is looked for again this often. */
const replicaRetryMs = 1_000;

export function chooseReplica(
  state: AnswerState,
  effects: AnswerEffect[],
  nowMs: number,
): void {
  for (const [instanceId, untilMs] of state.avoidedReplicas) {
    if (untilMs <= nowMs) state.avoidedReplicas.delete(instanceId);
  }
  effects.push({
    kind: AnswerEffectKind.ChooseReplica,
    avoided: [...state.avoidedReplicas.keys()],
  });
}

export function setReplica(
  state: AnswerState,
  instanceId: InstanceId | undefined,
  nowMs: number,
): void {
  state.isUnreplicated = instanceId === undefined;
  if (instanceId === undefined) {
    state.nextReplicaChoiceAtMs = nowMs + replicaRetryMs;
    return;
  }
  state.replica = createReplica(instanceId);
}

export function createReplica(instanceId: InstanceId): Replica {
  return {
    instanceId,
    ackedCount: -1,
    isEndAcked: false,
    sentLineageLength: 0,
    isSendInFlight: false,
  };
}

export function replaceReplica(
  state: AnswerState,
  effects: AnswerEffect[],
  nowMs: number,
): void {
  const lost = state.replica!.instanceId;
  state.avoidedReplicas.set(lost, nowMs + avoidReplicaMs);
  state.formerReplicaIds.add(lost);
  state.replica = undefined;
  chooseReplica(state, effects, nowMs);
}

/** Sends what the replica lacks; one update is in flight at a time. */
export function sendCopy(state: AnswerState, effects: AnswerEffect[]): void {
  const replica = state.replica;
  if (!replica || replica.isSendInFlight) return;
  const isFirst = replica.ackedCount < 0;
  const fromPosition = Math.max(0, replica.ackedCount);
  const hasNews = isFirst || fromPosition < state.tokens.length ||
    (state.end !== undefined && !replica.isEndAcked);
  if (!hasNews) return;
  const hasNewLineage = isFirst ||
    replica.sentLineageLength < state.lineage.length;
  replica.isSendInFlight = true;
  replica.sentLineageLength = state.lineage.length;
  effects.push({
    kind: AnswerEffectKind.SendCopy,
    instanceId: replica.instanceId,
    update: {
      answerId: state.answerId,
      owner: state.owner,
      generation: state.generation,
      fromPosition,
      tokens: state.tokens.slice(fromPosition),
      ...(hasNewLineage ? { lineage: [...state.lineage] } : {}),
      ...(isFirst ? { meta: state.meta } : {}),
      ...(state.end ? { end: state.end } : {}),
    },
  });
}

/** Releases what a second instance holds, or all of it while unreplicated. */
export function release(state: AnswerState, effects: AnswerEffect[]): void {
  const { replica, tokens } = state;
  const heldCount = state.isUnreplicated
    ? tokens.length
    : replica?.ackedCount ?? 0;
  let isChanged = false;
  if (heldCount > state.releasedCount) {
    if (state.isUnreplicated) markUnreplicated(state, heldCount);
    state.releasedCount = heldCount;
    isChanged = true;
  }
  const isEndHeld = state.isUnreplicated || replica?.isEndAcked === true;
  if (state.end && isEndHeld && !state.isEndReleased) {
    state.isEndReleased = true;
    state.isClosed = true;
    effects.push({ kind: AnswerEffectKind.Closed });
    return;
  }
  if (isChanged) effects.push({ kind: AnswerEffectKind.Released });
}

function markUnreplicated(state: AnswerState, toPosition: number): void {
  const last = state.unreplicatedRanges.at(-1);
  if (last && last.toPosition === state.releasedCount) {
    last.toPosition = toPosition;
    return;
  }
  state.unreplicatedRanges.push({
    fromPosition: state.releasedCount,
    toPosition,
  });
}
