/**
 * Replication decisions of the answer state machine: when a replica is chosen
 * or replaced, what is sent to it, and which tokens callers may read.
 */
import type { InstanceId } from "../core/types.ts";
import {
  type AnswerEffect,
  AnswerEffectKind,
  type AnswerState,
  type Replica,
} from "./answer_state.ts";

/** Time for which a failed replica is not chosen again. */
const replicaAvoidanceMs = 5_000;
/** Interval between searches for a replica of an unreplicated answer. */
const replicaRetryIntervalMs = 1_000;

export function requestReplica(
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
    state.nextReplicaChoiceAtMs = nowMs + replicaRetryIntervalMs;
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
  state.avoidedReplicas.set(lost, nowMs + replicaAvoidanceMs);
  state.formerReplicaIds.add(lost);
  state.replica = undefined;
  requestReplica(state, effects, nowMs);
}

/** Sends the replica what it lacks, with at most one update in flight. */
export function sendCopy(state: AnswerState, effects: AnswerEffect[]): void {
  const replica = state.replica;
  if (!replica || replica.isSendInFlight) return;
  const isFirst = replica.ackedCount < 0;
  const fromPosition = Math.max(0, replica.ackedCount);
  const hasUnsentData = isFirst || fromPosition < state.tokens.length ||
    (state.end !== undefined && !replica.isEndAcked);
  if (!hasUnsentData) return;
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

/** Releases what the replica has acknowledged, or all if unreplicated. */
export function releaseTokens(
  state: AnswerState,
  effects: AnswerEffect[],
): void {
  const { replica, tokens } = state;
  const heldCount = state.isUnreplicated
    ? tokens.length
    : replica?.ackedCount ?? 0;
  let isChanged = false;
  if (heldCount > state.releasedCount) {
    if (state.isUnreplicated) recordUnreplicatedRange(state, heldCount);
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

function recordUnreplicatedRange(state: AnswerState, toPosition: number): void {
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
