/**
 * State machine of one answer at its owner. It decides which tokens are
 * appended to the journal, when an attempt is started, hedged or cancelled,
 * what is copied to the replica, and which tokens callers may read.
 *
 * `applyAnswerEvent` mutates the given state and returns effects. It does no
 * I/O and reads no clock, so that property tests and trace replay run this
 * code.
 */
import { assertNever } from "../core/assert_never.ts";
import { ErrorKind } from "../core/errors.ts";
import { type AnswerId, type AttemptId, FinishReason } from "../core/types.ts";
import { type AnswerMeta, CopyStatus } from "../peer/messages.ts";
import {
  type AnswerEffect,
  AnswerEffectKind,
  type AnswerEvent,
  AnswerEventKind,
  type AnswerState,
  type Attempt,
} from "./answer_state.ts";
import {
  createReplica,
  releaseTokens,
  replaceReplica,
  requestReplica,
  sendCopy,
  setReplica,
} from "./answer_replication.ts";

/** Size of an ownership epoch: attempt number / size = epoch number. */
export const attemptsPerEpoch = 1_000_000;
const maxFailuresWithoutProgress = 12;
const initialRetryDelayMs = 10;
const maxRetryDelayMs = 2_000;
/**
 * Backoff before the next hedge after a failed one, doubled with each failure.
 * In a partition several engines in turn refuse the connection.
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
      requestReplica(state, effects, nowMs);
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
      receiveCopyReply(state, event, { effects, nowMs });
      break;
    case AnswerEventKind.ReplicaLost:
      if (state.replica?.instanceId === event.instanceId) {
        replaceReplica(state, effects, nowMs);
      }
      break;
    case AnswerEventKind.Ticked:
      hedgeSilentAttempt(state, event, { effects, nowMs });
      if (!state.replica && nowMs >= state.nextReplicaChoiceAtMs) {
        requestReplica(state, effects, nowMs);
      }
      break;
    case AnswerEventKind.VersionRolledBack:
      resetAnswer(state, event.stableVersion, { effects, nowMs });
      break;
    case AnswerEventKind.Cancelled:
      failAnswer(state, event.message, effects);
      break;
    default:
      assertNever(event);
  }
  if (!state.isClosed) {
    sendCopy(state, effects);
    releaseTokens(state, effects);
  }
  return effects;
}

interface EventContext {
  readonly effects: AnswerEffect[];
  readonly nowMs: number;
}

function receiveTokens(
  state: AnswerState,
  event: Extract<AnswerEvent, { kind: AnswerEventKind.TokensReceived }>,
  { effects, nowMs }: EventContext,
): void {
  const attempt = state.attempts.get(event.attemptNumber);
  if (attempt) countRefilledTokens(state, attempt);
  if (!attempt || state.end) {
    state.waste.droppedTokens += event.tokens.length;
    return;
  }
  // Tokens that do not follow the end of the journal come from an attempt that
  // is behind, or from an engine that repeats or skips positions.
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
  { effects, nowMs }: EventContext,
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
  { effects, nowMs }: EventContext,
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
    failAnswer(state, event.message, effects);
    return;
  }
  // The deadline bounds the wait for a free engine, not the failure count.
  if (event.errorKind !== ErrorKind.Overloaded) {
    state.failuresWithoutProgress += 1;
  }
  if (state.failuresWithoutProgress > maxFailuresWithoutProgress) {
    failAnswer(state, event.message, effects);
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
  if (attempt) countRefilledTokens(state, attempt);
  state.attempts.delete(attemptNumber);
  effects.push({ kind: AnswerEffectKind.CancelAttempt, attemptNumber });
}

/**
 * Counts the journal as refilled, once per attempt. An engine has prefilled it
 * when the first token arrives, and may have done so when the attempt is
 * cancelled. An engine that refused the attempt has not.
 */
function countRefilledTokens(state: AnswerState, attempt: Attempt): void {
  if (attempt.isRefillCounted) return;
  attempt.isRefillCounted = true;
  state.waste.refilledTokens += attempt.fromPosition;
}

function hedgeSilentAttempt(
  state: AnswerState,
  event: Extract<AnswerEvent, { kind: AnswerEventKind.Ticked }>,
  { effects, nowMs }: EventContext,
): void {
  if (state.end || nowMs < state.hedgeAllowedAtMs) return;
  const silent = [...state.attempts.values()].filter((attempt) => {
    const limitMs = event.silenceLimitMs.get(attempt.attemptNumber);
    return limitMs !== undefined &&
      nowMs - attempt.lastProgressAtMs > limitMs;
  });
  if (silent.length === 0 || silent.length < state.attempts.size) return;
  // The hedge is silent too: cancel the older attempt and try a third engine.
  if (state.attempts.size > 1) {
    const oldest = Math.min(...state.attempts.keys());
    cancelAttempt(state, oldest, effects);
    for (const attempt of state.attempts.values()) attempt.isHedge = false;
  }
  startAttempt(state, effects, { nowMs, isHedge: true });
}

function receiveCopyReply(
  state: AnswerState,
  event: Extract<AnswerEvent, { kind: AnswerEventKind.CopyAnswered }>,
  { effects, nowMs }: EventContext,
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

function resetAnswer(
  state: AnswerState,
  stableVersion: string,
  { effects, nowMs }: EventContext,
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

function failAnswer(
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
