/**
 * The answers of one instance: those it owns, the copies it holds for others,
 * and the takeover of answers whose owner is lost.
 */
import { errAsync, ok, okAsync, type Result, ResultAsync } from "neverthrow";
import type { Clock } from "../core/clock.ts";
import { createError, ErrorKind, type SystemError } from "../core/errors.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import type {
  AnswerId,
  AttemptId,
  CustomerId,
  InstanceId,
} from "../core/types.ts";
import type { MembershipView } from "../membership/membership_view.ts";
import {
  type AnswerMeta,
  type CopyResult,
  CopyStatus,
  type CopyUpdate,
  PeerCallKind,
  type ReadReply,
  type ReadRequest,
  ReadStatus,
  type TakeOverReply,
} from "../peer/messages.ts";
import type { PeerClient } from "../peer/peer_client.ts";
import { createAnswerId } from "./answer_id.ts";
import { attemptsPerEpoch, createAnswerState } from "./answer_machine.ts";
import { AnswerEventKind, type AnswerState } from "./answer_state.ts";
import type { AttemptRunner } from "./attempt_runner.ts";
import { createCopySender } from "./copy_sender.ts";
import { canContinue } from "./lineage.ts";
import { createOwnedAnswer, type OwnedAnswer } from "./owned_answer.ts";
import { createReaderPresence } from "./reader_presence.ts";
import { chooseFirstReplica, chooseReplica } from "./replica_placement.ts";
import { createReplicaStore, type HeldAnswer } from "./replica_store.ts";

export interface AnswerService {
  open(meta: AnswerMeta): AnswerId;
  /** False when this instance does not own such an answer of the customer. */
  cancel(
    answerId: AnswerId,
    options: { readonly customerId: CustomerId; readonly message: string },
  ): boolean;
  read(request: ReadRequest): ResultAsync<ReadReply, SystemError>;
  takeOver(
    answerId: AnswerId,
    customerId: string,
  ): ResultAsync<TakeOverReply, SystemError>;
  applyCopies(updates: readonly CopyUpdate[]): Result<
    { results: CopyResult[] },
    SystemError
  >;
  onInstanceLost(instanceId: InstanceId): void;
  /** Moves all copies away from an instance that is leaving. */
  onInstanceLeaving(instanceId: InstanceId): void;
  /** Copies finished answers elsewhere before this instance stops. */
  handOverFinished(): Promise<void>;
  tick(): void;
  getOpenCount(): number;
  getStats(): AnswerStats;
}

export interface AnswerStats {
  readonly openAnswers: number;
  readonly heldCopies: number;
  readonly heldBytes: number;
  readonly finishedAnswers: number;
  readonly usefulTokens: number;
  readonly droppedTokens: number;
  readonly refilledTokens: number;
}

export interface AnswerServiceOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: Random;
  readonly membership: MembershipView;
  readonly peers: PeerClient;
  readonly attempts: AttemptRunner;
  readonly retentionMs: number;
  readonly maxCopyBytes: number;
  readonly copyTimeoutMs: number;
  /** A streamed answer without a reader for this long is cancelled. */
  readonly abandonedAfterMs: number;
  /** An answer was taken over and counts as open here. */
  onOpened(customerId: CustomerId): void;
  onClosed(customerId: CustomerId): void;
}

/** How long a replica asks others about an answer before it takes over. */
const probeTimeoutMs = 300;
const handOverTimeoutMs = 2_000;

export function createAnswerService(
  options: AnswerServiceOptions,
): AnswerService {
  const { clock, logger, random, membership, peers, attempts } = options;
  const owned = new Map<AnswerId, OwnedAnswer>();
  const closedAtMs = new Map<AnswerId, number>();
  const presence = createReaderPresence(clock);
  const totals = { finished: 0, useful: 0, dropped: 0, refilled: 0 };
  const replicas = createReplicaStore({
    clock,
    maxBytes: options.maxCopyBytes,
    retentionMs: options.retentionMs,
  });
  const copySender = createCopySender({
    peers,
    timeoutMs: options.copyTimeoutMs,
    onAnswered: (replicaId, result) =>
      owned.get(result.answerId)?.send({
        kind: AnswerEventKind.CopyAnswered,
        instanceId: replicaId,
        status: result.status,
        generation: result.generation,
        nextPosition: result.nextPosition,
        isEnded: result.isEnded,
      }),
    onFailed: (replicaId, answerId) => {
      logger.log(logEvents.copyReplicaLost, { peer: replicaId });
      owned.get(answerId)?.send({
        kind: AnswerEventKind.ReplicaLost,
        instanceId: replicaId,
      });
    },
  });
  return {
    open,
    cancel,
    read,
    takeOver,
    applyCopies,
    onInstanceLost,
    onInstanceLeaving,
    handOverFinished,
    tick,
    getOpenCount,
    getStats,
  };

  function open(meta: AnswerMeta): AnswerId {
    const selfId = membership.getSelf().instanceId;
    const firstReplicaId = chooseFirstReplica(membership, random);
    const answerId = createAnswerId(selfId, firstReplicaId);
    const owner: AttemptId = { attemptNumber: 0, instanceId: selfId };
    run(createAnswerState({ answerId, meta, owner }));
    return answerId;
  }

  function run(state: AnswerState): void {
    const answer = createOwnedAnswer({
      state,
      clock,
      logger,
      attempts,
      chooseReplica: (avoided) =>
        chooseReplica(membership, state.answerId, avoided),
      sendCopy: copySender.send,
      onClosed,
    });
    owned.set(state.answerId, answer);
    presence.add(state.answerId);
    logger.log(logEvents.answerOpened, { answer: state.answerId });
    answer.send({ kind: AnswerEventKind.Opened });
  }

  function onClosed(answer: OwnedAnswer): void {
    const { answerId, tokens, waste } = answer.state;
    closedAtMs.set(answerId, clock.nowMs());
    presence.remove(answerId);
    options.onClosed(answer.state.meta.customerId);
    totals.dropped += waste.droppedTokens;
    totals.refilled += waste.refilledTokens;
    if (answer.isSuperseded()) {
      owned.delete(answerId);
      closedAtMs.delete(answerId);
      return;
    }
    totals.finished += 1;
    totals.useful += tokens.length;
  }

  function cancel(
    answerId: AnswerId,
    { customerId, message }: { customerId: CustomerId; message: string },
  ): boolean {
    const answer = owned.get(answerId);
    if (answer?.state.meta.customerId !== customerId) return false;
    answer.send({ kind: AnswerEventKind.Cancelled, message });
    return true;
  }

  function read(request: ReadRequest): ResultAsync<ReadReply, SystemError> {
    const isOwnCustomer =
      owned.get(request.answerId)?.state.meta.customerId === request.customerId;
    return ResultAsync.fromSafePromise(
      isOwnCustomer
        ? presence.whileReading(request.answerId, () => readLocal(request))
        : readLocal(request),
    );
  }

  async function readLocal(request: ReadRequest): Promise<ReadReply> {
    const answer = owned.get(request.answerId);
    if (!answer) return readHeld(request);
    const { state } = answer;
    if (state.meta.customerId !== request.customerId) {
      return emptyReply(ReadStatus.Forbidden);
    }
    const generation = state.generation;
    const hasNews = () =>
      state.releasedCount > request.fromPosition || state.isEndReleased ||
      state.generation !== generation;
    const waitUntilMs = clock.nowMs() + request.waitMs;
    while (!hasNews() && !answer.isSuperseded()) {
      const waitMs = waitUntilMs - clock.nowMs();
      if (waitMs <= 0) break;
      await answer.waitForChange(waitMs);
    }
    if (answer.isSuperseded()) return readHeld(request);
    return getOwnedReply(state, request);
  }

  function getOwnedReply(state: AnswerState, request: ReadRequest): ReadReply {
    const journal = {
      lineage: state.lineage,
      tokenCount: state.releasedCount,
    };
    const base = {
      ownerId: state.owner.instanceId,
      ownerNumber: state.owner.attemptNumber,
      heldCount: state.tokens.length,
      lineage: [...state.lineage],
    };
    if (!canContinue(journal, getReadPosition(request))) {
      // A new owner releases tokens only after its own replica has them, so a
      // caller may be ahead of it for a moment.
      const isAhead = canContinue(
        { lineage: state.lineage, tokenCount: state.tokens.length },
        getReadPosition(request),
      );
      const status = isAhead ? ReadStatus.Tokens : ReadStatus.Diverged;
      return { ...base, status, tokens: [] };
    }
    return {
      ...base,
      status: ReadStatus.Tokens,
      tokens: state.tokens.slice(request.fromPosition, state.releasedCount),
      ...(state.end && state.isEndReleased ? { end: state.end } : {}),
    };
  }

  function readHeld(request: ReadRequest): ReadReply {
    const copy = replicas.get(request.answerId);
    if (!copy) return emptyReply(ReadStatus.NotHeld);
    if (copy.meta.customerId !== request.customerId) {
      return emptyReply(ReadStatus.Forbidden);
    }
    const base = {
      ownerId: copy.owner.instanceId,
      ownerNumber: copy.owner.attemptNumber,
      heldCount: copy.tokens.length,
      lineage: [...copy.lineage],
    };
    if (!copy.end) {
      return { ...base, status: ReadStatus.HeldCopy, tokens: [] };
    }
    const journal = { lineage: copy.lineage, tokenCount: copy.tokens.length };
    if (!canContinue(journal, getReadPosition(request))) {
      return { ...base, status: ReadStatus.Diverged, tokens: [] };
    }
    return {
      ...base,
      status: ReadStatus.Tokens,
      tokens: copy.tokens.slice(request.fromPosition),
      end: copy.end,
    };
  }

  function takeOver(
    answerId: AnswerId,
    customerId: string,
  ): ResultAsync<TakeOverReply, SystemError> {
    const selfId = membership.getSelf().instanceId;
    if (owned.has(answerId)) {
      return okAsync({ isHeld: true, ownerId: selfId });
    }
    const copy = replicas.get(answerId);
    if (!copy) return okAsync({ isHeld: false, ownerId: "" });
    if (copy.meta.customerId !== customerId) {
      return errAsync(createError(
        ErrorKind.Forbidden,
        "the answer belongs to another customer",
      ));
    }
    if (copy.end) return okAsync({ isHeld: true, ownerId: selfId });
    return ResultAsync.fromSafePromise(takeOverIfLost(copy))
      .map((ownerId) => ({ isHeld: true, ownerId }));
  }

  /** Returns the owner afterwards: this instance, or one that is ahead. */
  async function takeOverIfLost(copy: HeldAnswer): Promise<InstanceId> {
    const betterId = await findBetterCopy(copy);
    const current = replicas.get(copy.answerId);
    if (betterId !== undefined) return betterId;
    if (owned.has(copy.answerId) || !current || current.end) {
      return membership.getSelf().instanceId;
    }
    becomeOwner(current);
    return membership.getSelf().instanceId;
  }

  /** Asks the other instances whether one owns the answer or has more of it. */
  async function findBetterCopy(
    copy: HeldAnswer,
  ): Promise<InstanceId | undefined> {
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
        ? [instanceId]
        : [];
    }));
    return found.flat()[0];

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

  function becomeOwner(copy: HeldAnswer): void {
    const selfId = membership.getSelf().instanceId;
    const epoch = Math.floor(copy.owner.attemptNumber / attemptsPerEpoch) + 1;
    logger.log(logEvents.answerTakenOver, {
      answer: copy.answerId,
      previousOwner: copy.owner.instanceId,
      position: copy.tokens.length,
    });
    const state = createAnswerState({
      answerId: copy.answerId,
      meta: copy.meta,
      owner: { attemptNumber: epoch * attemptsPerEpoch, instanceId: selfId },
    });
    state.generation = copy.generation;
    state.tokens = copy.tokens;
    state.lineage = copy.lineage;
    state.avoidedReplicas.set(copy.owner.instanceId, clock.nowMs() + 5_000);
    replicas.remove(copy.answerId);
    options.onOpened(copy.meta.customerId);
    run(state);
  }

  function applyCopies(
    updates: readonly CopyUpdate[],
  ): Result<{ results: CopyResult[] }, SystemError> {
    return ok({ results: updates.map(applyCopy) });
  }

  function applyCopy(update: CopyUpdate): CopyResult {
    const answer = owned.get(update.answerId);
    if (!answer) return replicas.applyUpdate(update);
    if (isNewerOwner(update.owner, answer.state.owner)) {
      answer.send({
        kind: AnswerEventKind.CopyAnswered,
        instanceId: update.owner.instanceId,
        status: CopyStatus.Superseded,
        generation: update.generation,
        nextPosition: 0,
        isEnded: false,
      });
      owned.delete(update.answerId);
      return replicas.applyUpdate(update);
    }
    return {
      answerId: update.answerId,
      generation: answer.state.generation,
      status: CopyStatus.Superseded,
      nextPosition: 0,
      isEnded: false,
    };
  }

  function onInstanceLost(instanceId: InstanceId): void {
    onInstanceLeaving(instanceId);
    for (const copy of replicas.listOpenOf(instanceId)) {
      void takeOverIfLost(copy);
    }
  }

  function onInstanceLeaving(instanceId: InstanceId): void {
    for (const answer of owned.values()) {
      if (answer.state.replica?.instanceId !== instanceId) continue;
      answer.send({ kind: AnswerEventKind.ReplicaLost, instanceId });
    }
  }

  async function handOverFinished(): Promise<void> {
    const finished = [
      ...[...owned.values()].map((answer) => getWholeUpdate(answer.state)),
      ...replicas.listFinished().map(getWholeUpdate),
    ].flat();
    await Promise.all(finished.map(async (update) => {
      const replicaId = chooseReplica(membership, update.answerId, []);
      if (replicaId === undefined) return;
      await peers.call(replicaId, PeerCallKind.CopyBatch, {
        body: { updates: [update] },
        timeoutMs: handOverTimeoutMs,
      });
    }));
  }

  function tick(): void {
    const wallMs = clock.wallMs();
    for (const answer of owned.values()) {
      if (answer.state.isClosed) continue;
      answer.tick();
      if (isAbandoned(answer)) cancelAbandoned(answer);
      if (wallMs > answer.state.meta.deadlineAtWallMs) {
        answer.send({
          kind: AnswerEventKind.Cancelled,
          message: "the deadline of the answer has passed",
        });
      }
    }
    replicas.sweep();
    const oldestMs = clock.nowMs() - options.retentionMs;
    for (const [answerId, atMs] of closedAtMs) {
      if (atMs > oldestMs) break;
      owned.delete(answerId);
      closedAtMs.delete(answerId);
    }
  }

  function isAbandoned({ state }: OwnedAnswer): boolean {
    return state.meta.isStreaming && !state.end &&
      presence.getAbsentMs(state.answerId) > options.abandonedAfterMs;
  }

  function cancelAbandoned(answer: OwnedAnswer): void {
    logger.log(logEvents.answerAbandoned, { answer: answer.state.answerId });
    answer.send({
      kind: AnswerEventKind.Cancelled,
      message: "the streaming caller has been gone for too long",
    });
  }

  function getOpenCount(): number {
    let count = 0;
    for (const answer of owned.values()) if (!answer.state.isClosed) count++;
    return count;
  }

  function getStats(): AnswerStats {
    return {
      openAnswers: getOpenCount(),
      heldCopies: replicas.getCount(),
      heldBytes: replicas.getSizeBytes(),
      finishedAnswers: totals.finished,
      usefulTokens: totals.useful,
      droppedTokens: totals.dropped,
      refilledTokens: totals.refilled,
    };
  }
}

/** The whole journal of a finished answer. */
function getWholeUpdate(
  answer: Omit<HeldAnswer, "updatedAtMs" | "sizeBytes">,
): CopyUpdate[] {
  const { answerId, owner, generation, tokens, lineage, meta, end } = answer;
  if (!end) return [];
  const journal = { answerId, owner, generation, tokens, lineage, meta, end };
  return [{ ...journal, fromPosition: 0 }];
}

function isNewerOwner(left: AttemptId, right: AttemptId): boolean {
  return left.attemptNumber > right.attemptNumber ||
    (left.attemptNumber === right.attemptNumber &&
      left.instanceId > right.instanceId);
}

function getReadPosition(request: ReadRequest) {
  return {
    fromPosition: request.fromPosition,
    lastAttempt: request.lastAttempt,
  };
}

function emptyReply(status: ReadStatus): ReadReply {
  return {
    status,
    ownerId: "",
    ownerNumber: 0,
    heldCount: 0,
    tokens: [],
    lineage: [],
  };
}
