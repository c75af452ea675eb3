/**
 * Reads an answer from wherever it is: the local instance, its owner, or a
 * replica that takes over. Follows the answer when its owner changes.
 */
import { err, ok, type Result, type ResultAsync } from "neverthrow";
import type { Clock } from "../core/clock.ts";
import { createError, ErrorKind, type SystemError } from "../core/errors.ts";
import type { AnswerId, AttemptId, InstanceId } from "../core/types.ts";
import type { MembershipView } from "../membership/membership_view.ts";
import {
  PeerCallKind,
  type ReadReply,
  type ReadRequest,
  ReadStatus,
} from "../peer/messages.ts";
import type { PeerClient } from "../peer/peer_client.ts";
import { parseAnswerId, rankInstances } from "./answer_id.ts";
import type { AnswerService } from "./answer_service.ts";

export interface ReadOptions {
  readonly answerId: AnswerId;
  readonly customerId: string;
  readonly fromPosition: number;
  readonly lastAttempt: AttemptId | undefined;
  readonly waitMs: number;
}

export interface AnswerReader {
  /** The next released tokens; empty when nothing came within the wait. */
  read(options: ReadOptions): Promise<Result<ReadReply, SystemError>>;
}

export interface AnswerReaderOptions {
  readonly clock: Clock;
  readonly membership: MembershipView;
  readonly peers: PeerClient;
  readonly answers: AnswerService;
}

/** Reading goes on through a failover for this long. */
const locateTimeoutMs = 8_000;
const locateRetryMs = 100;
const probeTimeoutMs = 400;
/** Added to the wait of a remote read before the call counts as failed. */
const remoteReadGraceMs = 1_000;
/** Instances asked beyond those that the id names. */
const maxRankedCandidates = 8;
/** Long waits on a remote owner would hide that it is frozen. */
const maxRemoteWaitMs = 1_000;

export function createAnswerReader(options: AnswerReaderOptions): AnswerReader {
  const { clock, membership, peers, answers } = options;
  const knownOwners = new Map<AnswerId, InstanceId>();
  return { read };

  async function read(
    readOptions: ReadOptions,
  ): Promise<Result<ReadReply, SystemError>> {
    const giveUpAtMs = clock.nowMs() + locateTimeoutMs;
    while (true) {
      const reply = await tryRead(readOptions);
      if (reply.isErr()) return err(reply.error);
      if (reply.value) return ok(reply.value);
      if (clock.nowMs() > giveUpAtMs) {
        return err(createError(
          ErrorKind.AnswerLost,
          "no reachable instance holds the answer",
        ));
      }
      await clock.sleep(locateRetryMs);
    }
  }

  /** One round: the local instance, the known owner, then all candidates. */
  async function tryRead(
    readOptions: ReadOptions,
  ): Promise<Result<ReadReply | undefined, SystemError>> {
    const { answerId } = readOptions;
    const local = (await answers.read(getRequest(readOptions)))._unsafeUnwrap();
    const localResult = interpret(local);
    if (localResult.isErr() || localResult.value) return localResult;
    const ownerId = knownOwners.get(answerId);
    if (ownerId !== undefined) {
      const reply = await readRemote(ownerId, readOptions);
      const result = reply.andThen(interpret);
      if (reply.isOk() && (result.isErr() || result.value)) {
        if (result.isErr() || result.value?.end) knownOwners.delete(answerId);
        return result;
      }
      knownOwners.delete(answerId);
    }
    return await locate(readOptions, local);
  }

  async function locate(
    readOptions: ReadOptions,
    local: ReadReply,
  ): Promise<Result<ReadReply | undefined, SystemError>> {
    const { answerId } = readOptions;
    const selfId = membership.getSelf().instanceId;
    const candidateIds = getCandidates(answerId);
    const replies = await Promise.all(candidateIds.map(async (instanceId) => ({
      instanceId,
      reply: await probe(instanceId, readOptions),
    })));
    let copies = local.status === ReadStatus.HeldCopy
      ? [{ instanceId: selfId, reply: local }]
      : [];
    let isAnyUnreachable = false;
    for (const { instanceId, reply } of replies) {
      if (reply.isErr()) {
        isAnyUnreachable = true;
        continue;
      }
      const result = interpret(reply.value);
      if (result.isErr()) return err(result.error);
      if (result.value) {
        if (!result.value.end) knownOwners.set(answerId, instanceId);
        return ok(result.value);
      }
      if (reply.value.status === ReadStatus.HeldCopy) {
        copies = [...copies, { instanceId, reply: reply.value }];
      }
    }
    if (copies.length === 0) {
      if (isAnyUnreachable) return ok(undefined);
      return err(createError(ErrorKind.NotFound, "no such answer"));
    }
    const best = copies.reduce((left, right) =>
      isAhead(right.reply, left.reply) ? right : left
    );
    await requestTakeOver(best.instanceId, readOptions);
    return ok(undefined);
  }

  function getCandidates(answerId: AnswerId): InstanceId[] {
    const selfId = membership.getSelf().instanceId;
    const instanceIds = membership.listInstances()
      .map((instance) => instance.instanceId);
    const named = parseAnswerId(answerId).mapOr([] as InstanceId[], (parts) => [
      parts.openerId,
      parts.firstReplicaId.unwrapOr(parts.openerId),
    ]);
    const ranked = rankInstances(answerId, instanceIds)
      .slice(0, maxRankedCandidates);
    return [...new Set([...named, ...ranked])]
      .filter((instanceId) => instanceId !== selfId);
  }

  function probe(
    instanceId: InstanceId,
    readOptions: ReadOptions,
  ): ResultAsync<ReadReply, SystemError> {
    return peers.call(instanceId, PeerCallKind.ReadAnswer, {
      body: { ...getRequest(readOptions), waitMs: 0 },
      timeoutMs: probeTimeoutMs,
    });
  }

  function readRemote(
    instanceId: InstanceId,
    readOptions: ReadOptions,
  ): ResultAsync<ReadReply, SystemError> {
    const waitMs = Math.min(readOptions.waitMs, maxRemoteWaitMs);
    return peers.call(instanceId, PeerCallKind.ReadAnswer, {
      body: { ...getRequest(readOptions), waitMs },
      timeoutMs: waitMs + remoteReadGraceMs,
    });
  }

  async function requestTakeOver(
    instanceId: InstanceId,
    { answerId, customerId }: ReadOptions,
  ): Promise<void> {
    const isSelf = instanceId === membership.getSelf().instanceId;
    await (isSelf
      ? answers.takeOver(answerId, customerId)
      : peers.call(instanceId, PeerCallKind.TakeOver, {
        body: { answerId, customerId },
        timeoutMs: 2 * probeTimeoutMs,
      }));
  }
}

function isAhead(left: ReadReply, right: ReadReply): boolean {
  return left.ownerNumber !== right.ownerNumber
    ? left.ownerNumber > right.ownerNumber
    : left.heldCount > right.heldCount;
}

/** A usable reply, nothing when another instance has to be asked, or an error. */
function interpret(
  reply: ReadReply,
): Result<ReadReply | undefined, SystemError> {
  switch (reply.status) {
    case ReadStatus.Tokens:
      return ok(reply);
    case ReadStatus.HeldCopy:
    case ReadStatus.NotHeld:
      return ok(undefined);
    case ReadStatus.Diverged:
      return err(createError(
        ErrorKind.AnswerDiverged,
        "the answer went on from an earlier position in another generation",
      ));
    case ReadStatus.Forbidden:
      // The same reply as for an unknown id, so that ids cannot be probed.
      return err(createError(ErrorKind.NotFound, "no such answer"));
  }
}

function getRequest(readOptions: ReadOptions): ReadRequest {
  const { answerId, customerId, fromPosition, lastAttempt, waitMs } =
    readOptions;
  return {
    answerId,
    customerId,
    fromPosition,
    ...(lastAttempt ? { lastAttempt } : {}),
    waitMs,
  };
}
