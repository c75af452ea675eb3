/**
 * Manages the answers of one instance: those it owns, the copies it holds for
 * other owners, and the takeover of answers whose owner is lost.
 */
import { errAsync, ok, okAsync, type Result, ResultAsync } from "neverthrow";
import { createError, ErrorKind, type SystemError } from "../core/errors.ts";
import { logEvents } from "../core/log_events.ts";
import type {
  AnswerId,
  AttemptId,
  CustomerId,
  InstanceId,
} from "../core/types.ts";
import {
  type AnswerMeta,
  type CopyResult,
  CopyStatus,
  type CopyUpdate,
  type ReadReply,
  type ReadRequest,
  ReadStatus,
  type TakeOverReply,
} from "../peer/messages.ts";
import { createAnswerId } from "./answer_id.ts";
import { attemptsPerEpoch, createAnswerState } from "./answer_state_machine.ts";
import {
  getEmptyReply,
  getHeldReply,
  getOwnedReply,
} from "./answer_replies.ts";
import { AnswerEventKind, type AnswerState } from "./answer_state.ts";
import type {
  AnswerService,
  AnswerServiceOptions,
  AnswerStats,
} from "./answer_service_types.ts";
import { describeHeld, describeOwned } from "./answer_explainer.ts";
import type { AnswerRecord } from "./answer_history.ts";
import { createCopySender } from "./copy_sender.ts";
import { createFinishedAnswerReplicator } from "./finished_answer_replicator.ts";
import { createOwnedAnswer, type OwnedAnswer } from "./owned_answer.ts";
import { createReaderPresence } from "./reader_presence.ts";
import { chooseFirstReplica, chooseReplica } from "./replica_placement.ts";
import { createReplicaStore, type HeldAnswer } from "./replica_store.ts";
import { isNewerOwner, notifyStaleOwners } from "./stale_owners.ts";
import { createTakeover } from "./takeover.ts";

/** A longer time between two ticks means that this process was paused. */
const pauseLimitMs = 250;
/** Time after a pause to read what engines sent during the pause. */
const pauseGraceMs = 200;

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
  const takeover = createTakeover({
    clock,
    membership,
    peers,
    replicas,
    isOwned: (answerId) => owned.has(answerId),
    becomeOwner,
  });
  const finishedReplicator = createFinishedAnswerReplicator({
    clock,
    membership,
    peers,
    replicas,
    owned,
    closedAtMs,
  });
  let lastTickAtMs = clock.nowMs();
  let hedgeFromMs = 0;
  const copySender = createCopySender({
    peers,
    timeoutMs: options.copyTimeoutMs,
    onReply: (replicaId, result) =>
      owned.get(result.answerId)?.send({
        kind: AnswerEventKind.CopyAnswered,
        instanceId: replicaId,
        status: result.status,
        generation: result.generation,
        nextPosition: result.nextPosition,
        isEnded: result.isEnded,
      }),
    onFailed: (replicaId, answerId) => {
      logger.log(logEvents.answerReplicaLost, { peer: replicaId });
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
    onInstanceReachable,
    onInstanceLeaving,
    replicateFinishedAnswers: finishedReplicator.replicateAll,
    onVersionRolledBack,
    tick,
    getOpenCount,
    describe,
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
      longGapMs: options.longGapMs ?? Infinity,
      onClosed,
    });
    owned.set(state.answerId, answer);
    presence.add(state.answerId);
    logger.log(logEvents.answerOpened, { answer: state.answerId });
    answer.send({ kind: AnswerEventKind.Opened });
    // The version may have been rolled back before this instance took over.
    const stableVersion = options.getReplacementVersion?.(
      state.meta.request.model,
      state.meta.version,
    );
    if (stableVersion === undefined) return;
    answer.send({ kind: AnswerEventKind.VersionRolledBack, stableVersion });
  }

  function onVersionRolledBack({ service, version, stableVersion }: {
    service: string;
    version: string;
    stableVersion: string;
  }): void {
    for (const answer of owned.values()) {
      const { meta } = answer.state;
      if (meta.request.model !== service || meta.version !== version) continue;
      answer.send({ kind: AnswerEventKind.VersionRolledBack, stableVersion });
    }
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
    options.onFinished?.(answer.state, answer.getLatency());
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
        ? presence.trackRead(request.answerId, () => readLocal(request))
        : readLocal(request),
    );
  }

  async function readLocal(request: ReadRequest): Promise<ReadReply> {
    const answer = owned.get(request.answerId);
    if (!answer) return getHeldReply(replicas.get(request.answerId), request);
    const { state } = answer;
    if (state.meta.customerId !== request.customerId) {
      return getEmptyReply(ReadStatus.Forbidden);
    }
    const generation = state.generation;
    const hasUpdate = () =>
      state.releasedCount > request.fromPosition || state.isEndReleased ||
      state.generation !== generation;
    const waitUntilMs = clock.nowMs() + request.waitMs;
    while (!hasUpdate() && !answer.isSuperseded()) {
      const waitMs = waitUntilMs - clock.nowMs();
      if (waitMs <= 0) break;
      await answer.waitForChange(waitMs);
    }
    if (answer.isSuperseded()) {
      return getHeldReply(replicas.get(request.answerId), request);
    }
    return getOwnedReply(state, request);
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
    return ResultAsync.fromSafePromise(takeover.takeOverIfLost(copy))
      .map((ownerId) => ({ isHeld: true, ownerId }));
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
    options.onTakenOver(copy.meta.customerId);
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
    finishedReplicator.onInstanceLost(instanceId);
    for (const copy of replicas.listOpenOf(instanceId)) {
      void takeover.takeOverIfLost(copy);
    }
  }

  function onInstanceReachable(instanceId: InstanceId): void {
    finishedReplicator.onInstanceReachable();
    const count = notifyStaleOwners(instanceId, {
      owned: owned.values(),
      copySender,
    });
    if (count === 0) return;
    logger.log(logEvents.staleOwnersNotified, {
      peer: instanceId,
      answers: count,
    });
  }

  function onInstanceLeaving(instanceId: InstanceId): void {
    for (const answer of owned.values()) {
      if (answer.state.replica?.instanceId !== instanceId) continue;
      answer.send({ kind: AnswerEventKind.ReplicaLost, instanceId });
    }
  }

  function tick(): void {
    const wallMs = clock.wallMs();
    const nowMs = clock.nowMs();
    // After a pause of this process, tokens of engines that seem silent are
    // still unread in the sockets.
    if (nowMs - lastTickAtMs > pauseLimitMs) hedgeFromMs = nowMs + pauseGraceMs;
    lastTickAtMs = nowMs;
    for (const answer of owned.values()) {
      if (answer.state.isClosed) continue;
      answer.tick({ mayHedge: nowMs >= hedgeFromMs });
      if (isAbandoned(answer)) cancelAbandoned(answer);
      if (wallMs > answer.state.meta.deadlineAtWallMs) {
        answer.send({
          kind: AnswerEventKind.Cancelled,
          message: "the deadline of the answer has passed",
        });
      }
    }
    takeover.retry();
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
      presence.getTimeWithoutReaderMs(state.answerId) >
        options.abandonedAfterMs;
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

  function describe(answerId: AnswerId): AnswerRecord[] {
    const answer = owned.get(answerId);
    const copy = replicas.get(answerId);
    const selfId = membership.getSelf().instanceId;
    return [
      ...(answer ? [describeOwned(answer)] : []),
      ...(copy ? [describeHeld(copy, selfId)] : []),
    ];
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
