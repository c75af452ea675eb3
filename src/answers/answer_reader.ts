/**
 * Reads an answer from wherever it is: the local instance, its owner, or a
 * replica that takes over. Follows the answer when its owner changes.
 */
import { err, ok, type Result, type ResultAsync } from "neverthrow";
import { assertNever } from "../core/assert_never.ts";
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
import type { AnswerService } from "./answer_service_types.ts";

export interface ReadOptions {
  readonly answerId: AnswerId;
  readonly customerId: string;
  readonly fromPosition: number;
  readonly lastAttempt: AttemptId | undefined;
  readonly waitMs: number;
  /** How long to look for an answer that is not found at once. */
  readonly locateTimeoutMs?: number;
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
const defaultLocateTimeoutMs = 4_000;
const locateRetryMs = 50;
const unreachableRetryMs = 1_000;
const probeTimeoutMs = 400;
/** Added to the wait of a remote read before the call counts as failed. */
const remoteReadGraceMs = 400;
/** Instances asked beyond those that the id names. */
const maxRankedCandidates = 8;
/** Long waits on a remote owner would hide that it is frozen. */
const maxRemoteWaitMs = 500;
/** The oldest entry makes room; it is only a shortcut to the owner. */
const maxKnownOwners = 10_000;

export function createAnswerReader(options: AnswerReaderOptions): AnswerReader {
  const { clock, membership, peers, answers } = options;
  const knownOwners = new Map<AnswerId, InstanceId>();
  return { read };

  async function read(
    readOptions: ReadOptions,
  ): Promise<Result<ReadReply, SystemError>> {
    const giveUpAtMs = clock.nowMs() +
      (readOptions.locateTimeoutMs ?? defaultLocateTimeoutMs);
    while (true) {
      const reply = await tryRead(readOptions);
      if (reply.isErr()) return err(reply.error);
      if (reply.value) return ok(reply.value);
      if (clock.nowMs() > giveUpAtMs) {
        return err(createError(
          ErrorKind.PeerUnreachable,
          "the instances that may hold the answer cannot be reached from here",
          { retryAfterMs: unreachableRetryMs },
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
    if (local.status === ReadStatus.Tokens) return ok(local);
    if (local.status === ReadStatus.Forbidden) return err(notFound());
    const ownerId = knownOwners.get(answerId);
    if (ownerId !== undefined) {
      const reply = await readRemote(ownerId, readOptions);
      if (reply.isOk() && reply.value.status === ReadStatus.Tokens) {
        if (reply.value.end) knownOwners.delete(answerId);
        return ok(reply.value);
      }
      knownOwners.delete(answerId);
    }
    return await locate(readOptions, local);
  }

  async function locate(
    readOptions: ReadOptions,
    local: ReadReply,
  ): Promise<Result<ReadReply | undefined, SystemError>> {
    const selfId = membership.getSelf().instanceId;
    const candidateIds = getCandidates(readOptions.answerId);
    const reachableIds = candidateIds.filter(membership.isReachable);
    const otherIds = candidateIds.filter((id) => !reachableIds.includes(id));
    const found: Located[] = [{ instanceId: selfId, reply: local }];
    const failedIds: InstanceId[] = [];
    // Instances without heartbeats are asked too, but not waited for when a
    // reachable one has the answer.
    const others = probeAll(otherIds, readOptions);
    for (const replies of [probeAll(reachableIds, readOptions), others]) {
      for (const { instanceId, reply } of await replies) {
        if (reply.isOk()) found.push({ instanceId, reply: reply.value });
        else failedIds.push(instanceId);
      }
      const best = getBest(found);
      if (best && isHeldForLostOwner(best.reply)) break;
      if (best?.reply.status !== ReadStatus.Tokens) continue;
      if (!best.reply.end) remember(readOptions.answerId, best.instanceId);
      return ok(best.reply);
    }
    const best = getBest(found);
    if (best?.reply.status === ReadStatus.HeldCopy) {
      await requestTakeOver(best.instanceId, readOptions);
      return ok(undefined);
    }
    if (best) return err(diverged());
    const isForbidden = found.some(({ reply }) =>
      reply.status === ReadStatus.Forbidden
    );
    if (failedIds.length === 0 || isForbidden) return err(notFound());
    // The platform list says which instances still exist. One that is not
    // listed does not come back with its memory.
    const isAnyListed = failedIds.some((id) =>
      membership.getInstance(id) !== undefined
    );
    if (isAnyListed) return ok(undefined);
    return err(createError(
      ErrorKind.AnswerLost,
      "the instances that held the answer are gone",
    ));
  }

  function isHeldForLostOwner({ status, ownerId }: ReadReply): boolean {
    return status === ReadStatus.HeldCopy && !membership.isReachable(ownerId);
  }

  async function probeAll(
    instanceIds: readonly InstanceId[],
    readOptions: ReadOptions,
  ) {
    return await Promise.all(instanceIds.map(async (instanceId) => ({
      instanceId,
      reply: await probe(instanceId, readOptions),
    })));
  }

  function remember(answerId: AnswerId, ownerId: InstanceId): void {
    knownOwners.delete(answerId);
    knownOwners.set(answerId, ownerId);
    if (knownOwners.size <= maxKnownOwners) return;
    knownOwners.delete(knownOwners.keys().next().value!);
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

interface Located {
  readonly instanceId: InstanceId;
  readonly reply: ReadReply;
}

/**
 * The reply to go by: tokens before others, because a stale owner can report a
 * divergence that the current one does not have; then the newest owner.
 */
function getBest(found: readonly Located[]): Located | undefined {
  return found
    .filter(({ reply }) => getRank(reply) > 0)
    .reduce<Located | undefined>(
      (best, candidate) =>
        best && !isAhead(candidate.reply, best.reply) ? best : candidate,
      undefined,
    );
}

function isAhead(left: ReadReply, right: ReadReply): boolean {
  if (left.status !== right.status) {
    const isTokens = left.status === ReadStatus.Tokens;
    if (isTokens || right.status === ReadStatus.Tokens) return isTokens;
  }
  if (left.ownerNumber !== right.ownerNumber) {
    return left.ownerNumber > right.ownerNumber;
  }
  if (left.heldCount !== right.heldCount) {
    return left.heldCount > right.heldCount;
  }
  return getRank(left) > getRank(right);
}

function getRank({ status }: ReadReply): number {
  switch (status) {
    case ReadStatus.Tokens:
      return 3;
    case ReadStatus.Diverged:
      return 2;
    case ReadStatus.HeldCopy:
      return 1;
    case ReadStatus.NotHeld:
    case ReadStatus.Forbidden:
      return 0;
    default:
      return assertNever(status);
  }
}

function diverged(): SystemError {
  return createError(
    ErrorKind.AnswerDiverged,
    "the answer went on from an earlier position in another generation",
  );
}

/** Also for another customer's answer, so that ids cannot be probed. */
function notFound(): SystemError {
  return createError(ErrorKind.NotFound, "no such answer");
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
