/**
 * Decides what the owner of an answer does next: which tokens enter the
 * journal, when an attempt is started, hedged or cancelled, what is copied to
 * the replica, and what callers may see.
 *
 * `applyAnswerEvent` changes the given state and returns effects. It does no
 * I/O and reads no clock, so property tests and trace replay run this code.
 */
import { assertNever } from "../core/assert_never.ts";
import { ErrorKind } from "../core/errors.ts";
import {
  type AnswerId,
  type AttemptId,
  FinishReason,
  type InstanceId,
} from "../core/types.ts";
import { type AnswerMeta, CopyStatus } from "../peer/messages.ts";
import {
  type AnswerEffect,
  AnswerEffectKind,
  type AnswerEvent,
  AnswerEventKind,
  type AnswerState,
  type Attempt,
  type Replica,
} from "./answer_state.ts";

/** Attempt numbers of one ownership epoch; the epoch is the quotient. */
export const attemptsPerEpoch = 1_000_000;
const maxFailuresWithoutProgress = 12;
const initialRetryDelayMs = 10;
const maxRetryDelayMs = 2_000;
/** A replica that failed is avoided for this long. */
const avoidReplicaMs = 5_000;
/** While unreplicated, a replica is looked for again this often. */
const replicaRetryMs = 1_000;
/**
 * After a hedge failed, the next one waits this long, doubled each time. In a
 * partition several engines in turn refuse the connection.
 */
const initialHedgeRetryMs = 25;
const maxHedgeRetryMs = 1_000;

export interface NewAnswer {
  readonly answerId: AnswerId;
  readonly meta: AnswerMeta;
  readonly owner: AttemptId;
}

export function createAnswerState(answer: NewAnswer): AnswerState {
  return {
    ...answer,
    generation: 0,
    tokens: [],
    lineage: [],
    end: undefined,
    attempts: new Map(),
    nextAttemptNumber: answer.owner.attemptNumber + 1,
    failuresWithoutProgress: 0,
    replica: undefined,
    avoidedReplicas: new Map(),
    formerReplicaIds: new Set(),
    unreplicatedRanges: [],
    isUnreplicated: false,
    nextReplicaChoiceAtMs: 0,
    releasedCount: 0,
    isEndReleased: false,
    isClosed: false,
    hedgeAllowedAtMs: 0,
    failedHedges: 0,
    waste: { droppedTokens: 0, discardedTokens: 0, refilledTokens: 0 },
  };
}

export function applyAnswerEvent(
  state: AnswerState,
  event: AnswerEvent,
  nowMs: number,
): AnswerEffect[] {
  const effects: AnswerEffect[] = [];
  if (state.isClosed) return effects;
  switch (event.kind) {
    case AnswerEventKind.Opened:
      chooseReplica(state, effects, nowMs);
      if (!state.end) startAttempt(state, effects, { nowMs, isHedge: false });
      break;
    case AnswerEventKind.TokensReceived:
      receiveTokens(state, event, { effects, nowMs });
      break;
    case AnswerEventKind.AttemptEnded:
      endAttempt(state, event, { effects, nowMs });
      break;
    case AnswerEventKind.AttemptFailed:
      failAttempt(state, event, { effects, nowMs });
      break;
    case AnswerEventKind.ReplicaChosen:
      setReplica(state, event.instanceId, nowMs);
      break;
    case AnswerEventKind.CopyAnswered:
      receiveCopyAnswer(state, event, { effects, nowMs });
      break;
    case AnswerEventKind.ReplicaLost:
      if (state.replica?.instanceId === event.instanceId) {
        replaceReplica(state, effects, nowMs);
      }
      break;
    case AnswerEventKind.Ticked:
      hedgeSilentAttempt(state, event, { effects, nowMs });
      if (!state.replica && nowMs >= state.nextReplicaChoiceAtMs) {
        chooseReplica(state, effects, nowMs);
      }
      break;
    case AnswerEventKind.VersionWithdrawn:
      startOver(state, event.stableVersion, { effects, nowMs });
      break;
    case AnswerEventKind.Cancelled:
      finishFailed(state, event.message, effects);
      break;
    default:
      assertNever(event);
  }
  if (!state.isClosed) {
    sendCopy(state, effects);
    release(state, effects);
  }
  return effects;
}

interface Turn {
  readonly effects: AnswerEffect[];
  readonly nowMs: number;
}

function receiveTokens(
  state: AnswerState,
  event: Extract<AnswerEvent, { kind: AnswerEventKind.TokensReceived }>,
  { effects, nowMs }: Turn,
): void {
  const attempt = state.attempts.get(event.attemptNumber);
  if (attempt) countRefill(state, attempt);
  if (!attempt || state.end) {
    state.waste.droppedTokens += event.tokens.length;
    return;
  }
  // Tokens elsewhere than at the end of the journal belong to an attempt that
  // is behind, or to an engine that repeats or skips positions.
  if (event.fromPosition !== state.tokens.length) {
    state.waste.droppedTokens += event.tokens.length;
    cancelAttempt(state, event.attemptNumber, effects);
    ensureAttempt(state, effects, nowMs);
    return;
  }
  appendTokens(state, attempt, { tokens: event.tokens, nowMs });
  for (const other of [...state.attempts.keys()]) {
    if (other !== event.attemptNumber) cancelAttempt(state, other, effects);
  }
}

function appendTokens(
  state: AnswerState,
  attempt: Attempt,
  { tokens, nowMs }: { tokens: readonly string[]; nowMs: number },
): void {
  const last = state.lineage.at(-1);
  if (last?.attemptNumber !== attempt.attemptNumber) {
    state.lineage.push({
      attemptNumber: attempt.attemptNumber,
      instanceId: state.owner.instanceId,
      fromPosition: state.tokens.length,
    });
  }
  for (const token of tokens) state.tokens.push(token);
  attempt.isHedge = false;
  state.failedHedges = 0;
  attempt.lastProgressAtMs = nowMs;
  attempt.tokenCount += tokens.length;
  state.failuresWithoutProgress = 0;
}

function endAttempt(
  state: AnswerState,
  event: Extract<AnswerEvent, { kind: AnswerEventKind.AttemptEnded }>,
  { effects, nowMs }: Turn,
): void {
  if (!state.attempts.has(event.attemptNumber) || state.end) return;
  if (event.tokenCount !== state.tokens.length) {
    cancelAttempt(state, event.attemptNumber, effects);
    ensureAttempt(state, effects, nowMs);
    return;
  }
  state.attempts.delete(event.attemptNumber);
  state.end = {
    reason: event.reason,
    tokenCount: state.tokens.length,
    errorMessage: "",
  };
  for (const other of [...state.attempts.keys()]) {
    cancelAttempt(state, other, effects);
  }
}

function failAttempt(
  state: AnswerState,
  event: Extract<AnswerEvent, { kind: AnswerEventKind.AttemptFailed }>,
  { effects, nowMs }: Turn,
): void {
  const attempt = state.attempts.get(event.attemptNumber);
  if (!attempt || state.end) return;
  state.attempts.delete(event.attemptNumber);
  if (attempt.isHedge) {
    const delayMs = initialHedgeRetryMs * 2 ** state.failedHedges;
    state.hedgeAllowedAtMs = nowMs + Math.min(maxHedgeRetryMs, delayMs);
    state.failedHedges += 1;
  }
  if (state.attempts.size > 0) return;
  if (event.errorKind === ErrorKind.InvalidRequest) {
    finishFailed(state, event.message, effects);
    return;
  }
  // Waiting for a free engine is bounded by the deadline, not by a count.
  if (event.errorKind !== ErrorKind.Overloaded) {
    state.failuresWithoutProgress += 1;
  }
  if (state.failuresWithoutProgress > maxFailuresWithoutProgress) {
    finishFailed(state, event.message, effects);
    return;
  }
  startAttempt(state, effects, { nowMs, isHedge: false });
}

function ensureAttempt(
  state: AnswerState,
  effects: AnswerEffect[],
  nowMs: number,
): void {
  if (state.end || state.attempts.size > 0) return;
  startAttempt(state, effects, { nowMs, isHedge: false });
}

function startAttempt(
  state: AnswerState,
  effects: AnswerEffect[],
  { nowMs, isHedge }: { nowMs: number; isHedge: boolean },
): void {
  const attemptNumber = state.nextAttemptNumber++;
  const fromPosition = state.tokens.length;
  const failures = state.failuresWithoutProgress;
  const delayMs = failures <= 1
    ? 0
    : Math.min(maxRetryDelayMs, initialRetryDelayMs * 2 ** (failures - 1));
  state.attempts.set(attemptNumber, {
    attemptNumber,
    fromPosition,
    startedAtMs: nowMs,
    isHedge,
    lastProgressAtMs: nowMs + delayMs,
    tokenCount: 0,
    isRefillCounted: false,
  });
  effects.push({
    kind: AnswerEffectKind.StartAttempt,
    attemptNumber,
    fromPosition,
    isHedge,
    delayMs,
  });
}

function cancelAttempt(
  state: AnswerState,
  attemptNumber: number,
  effects: AnswerEffect[],
): void {
  const attempt = state.attempts.get(attemptNumber);
  if (attempt) countRefill(state, attempt);
  state.attempts.delete(attemptNumber);
  effects.push({ kind: AnswerEffectKind.CancelAttempt, attemptNumber });
}

/**
 * An engine has prefilled the journal when its first token arrives, and may
 * have when it is cancelled; one that refused the attempt has not.
 */
function countRefill(state: AnswerState, attempt: Attempt): void {
  if (attempt.isRefillCounted) return;
  attempt.isRefillCounted = true;
  state.waste.refilledTokens += attempt.fromPosition;
}

function hedgeSilentAttempt(
  state: AnswerState,
  event: Extract<AnswerEvent, { kind: AnswerEventKind.Ticked }>,
  { effects, nowMs }: Turn,
): void {
  if (state.end || nowMs < state.hedgeAllowedAtMs) return;
  const silent = [...state.attempts.values()].filter((attempt) => {
    const limitMs = event.silenceLimitMs.get(attempt.attemptNumber);
    return limitMs !== undefined &&
      nowMs - attempt.lastProgressAtMs > limitMs;
  });
  if (silent.length === 0 || silent.length < state.attempts.size) return;
  // The hedge is silent too: give up the older attempt and try a third engine.
  if (state.attempts.size > 1) {
    const oldest = Math.min(...state.attempts.keys());
    cancelAttempt(state, oldest, effects);
    for (const attempt of state.attempts.values()) attempt.isHedge = false;
  }
  startAttempt(state, effects, { nowMs, isHedge: true });
}

function chooseReplica(
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

function setReplica(
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

function createReplica(instanceId: InstanceId): Replica {
  return {
    instanceId,
    ackedCount: -1,
    isEndAcked: false,
    sentLineageLength: 0,
    isSendInFlight: false,
  };
}

function replaceReplica(
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

function receiveCopyAnswer(
  state: AnswerState,
  event: Extract<AnswerEvent, { kind: AnswerEventKind.CopyAnswered }>,
  { effects, nowMs }: Turn,
): void {
  const replica = state.replica;
  if (event.status === CopyStatus.Superseded) {
    supersede(state, effects);
    return;
  }
  if (!replica || replica.instanceId !== event.instanceId) return;
  replica.isSendInFlight = false;
  switch (event.status) {
    case CopyStatus.Held:
      if (event.generation !== state.generation) return;
      replica.ackedCount = event.nextPosition;
      replica.isEndAcked = event.isEnded;
      break;
    case CopyStatus.Incomplete:
      state.replica = createReplica(replica.instanceId);
      break;
    case CopyStatus.Full:
      replaceReplica(state, effects, nowMs);
      break;
    default:
      assertNever(event.status);
  }
}

function supersede(state: AnswerState, effects: AnswerEffect[]): void {
  for (const attemptNumber of [...state.attempts.keys()]) {
    cancelAttempt(state, attemptNumber, effects);
  }
  state.isClosed = true;
  effects.push({ kind: AnswerEffectKind.Superseded });
}

/** Sends what the replica lacks; one update is in flight at a time. */
function sendCopy(state: AnswerState, effects: AnswerEffect[]): void {
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
function release(state: AnswerState, effects: AnswerEffect[]): void {
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

function startOver(
  state: AnswerState,
  stableVersion: string,
  { effects, nowMs }: Turn,
): void {
  if (state.end) return;
  for (const attemptNumber of [...state.attempts.keys()]) {
    cancelAttempt(state, attemptNumber, effects);
  }
  state.waste.discardedTokens += state.tokens.length;
  state.meta = { ...state.meta, version: stableVersion };
  state.generation += 1;
  state.tokens = [];
  state.lineage = [];
  state.unreplicatedRanges = [];
  state.releasedCount = 0;
  state.failuresWithoutProgress = 0;
  if (state.replica) state.replica = createReplica(state.replica.instanceId);
  effects.push({ kind: AnswerEffectKind.Reset });
  startAttempt(state, effects, { nowMs, isHedge: false });
}

function finishFailed(
  state: AnswerState,
  message: string,
  effects: AnswerEffect[],
): void {
  if (state.end) return;
  for (const attemptNumber of [...state.attempts.keys()]) {
    cancelAttempt(state, attemptNumber, effects);
  }
  state.end = {
    reason: FinishReason.Failed,
    tokenCount: state.tokens.length,
    errorMessage: message,
  };
}
