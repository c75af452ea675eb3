/**
 * Reads an answer from the instance that can serve it: this one, its owner, or
 * a replica that takes over. Follows the answer when its owner changes.
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
  /** How long to retry a read when the answer is not located at once. */
  readonly locateTimeoutMs?: number;
}

export interface AnswerReader {
  /** Returns the next released tokens, or none if none came in `waitMs`. */
  read(options: ReadOptions): Promise<Result<ReadReply, SystemError>>;
}

export interface AnswerReaderOptions {
  readonly clock: Clock;
  readonly membership: MembershipView;
  readonly peers: PeerClient;
  readonly answers: AnswerService;
}

/** A read is retried for this long during a failover. */
const defaultLocateTimeoutMs = 4_000;
const locateRetryMs = 50;
const unreachableRetryMs = 1_000;
const probeTimeoutMs = 400;
/** Added to the wait of a remote read to get the timeout of the call. */
const remoteReadGraceMs = 400;
/** Number of instances asked in addition to those that the id names. */
const maxRankedCandidates = 8;
/** A longer wait on a remote owner would hide that it is paused. */
const maxRemoteWaitMs = 500;
/** The oldest entry is evicted; an entry only saves locating the owner. */
const maxCachedOwners = 10_000;

export function createAnswerReader(options: AnswerReaderOptions): AnswerReader {
  const { clock, membership, peers, answers } = options;
  const cachedOwners = new Map<AnswerId, InstanceId>();
  return { read };

  async function read(
    readOptions: ReadOptions,
  ): Promise<Result<ReadReply, SystemError>> {
    const locateDeadlineMs = clock.nowMs() +
      (readOptions.locateTimeoutMs ?? defaultLocateTimeoutMs);
    while (true) {
      const reply = await readOnce(readOptions);
      if (reply.isErr()) return err(reply.error);
      if (reply.value) return ok(reply.value);
      if (clock.nowMs() > locateDeadlineMs) {
        return err(createError(
          ErrorKind.PeerUnreachable,
          "the instances that may hold the answer cannot be reached from here",
          { retryAfterMs: unreachableRetryMs },
        ));
      }
      await clock.sleep(locateRetryMs);
    }
  }

  /** Tries once the local instance, the cached owner, then all candidates. */
  async function readOnce(
    readOptions: ReadOptions,
  ): Promise<Result<ReadReply | undefined, SystemError>> {
    const { answerId } = readOptions;
    const local = (await answers.read(createReadRequest(readOptions)))
      ._unsafeUnwrap();
    if (local.status === ReadStatus.Tokens) return ok(local);
    if (local.status === ReadStatus.Forbidden) return err(notFound());
    const ownerId = cachedOwners.get(answerId);
    if (ownerId !== undefined) {
      const reply = await readRemote(ownerId, readOptions);
      if (reply.isOk() && reply.value.status === ReadStatus.Tokens) {
        if (reply.value.end) cachedOwners.delete(answerId);
        return ok(reply.value);
      }
      cachedOwners.delete(answerId);
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
    const unreachableIds = candidateIds.filter((id) =>
      !reachableIds.includes(id)
    );
    const found: LocatedReply[] = [{ instanceId: selfId, reply: local }];
    const failedIds: InstanceId[] = [];
    // Instances without heartbeats are asked too, but not waited for when a
    // reachable one has the answer.
    const others = probeAll(unreachableIds, readOptions);
    for (const replies of [probeAll(reachableIds, readOptions), others]) {
      for (const { instanceId, reply } of await replies) {
        if (reply.isOk()) found.push({ instanceId, reply: reply.value });
        else failedIds.push(instanceId);
      }
      const best = selectBestReply(found);
      if (best && isHeldForLostOwner(best.reply)) break;
      if (best?.reply.status !== ReadStatus.Tokens) continue;
      if (!best.reply.end) cacheOwner(readOptions.answerId, best.instanceId);
      return ok(best.reply);
    }
    const best = selectBestReply(found);
    if (best?.reply.status === ReadStatus.HeldCopy) {
      await requestTakeOver(best.instanceId, readOptions);
      return ok(undefined);
    }
    if (best) return err(diverged());
    const isForbidden = found.some(({ reply }) =>
      reply.status === ReadStatus.Forbidden
    );
    if (failedIds.length === 0 || isForbidden) return err(notFound());
    // The platform list says which instances still exist. An instance that is
    // not listed will not be reachable again with its memory.
    const isAnyListed = failedIds.some((id) =>
      membership.getInstance(id) !== undefined
    );
    if (isAnyListed) return ok(undefined);
    return err(createError(
      ErrorKind.AnswerLost,
      "the instances that held the answer no longer exist",
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

  function cacheOwner(answerId: AnswerId, ownerId: InstanceId): void {
    cachedOwners.delete(answerId);
    cachedOwners.set(answerId, ownerId);
    if (cachedOwners.size <= maxCachedOwners) return;
    cachedOwners.delete(cachedOwners.keys().next().value!);
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
      body: { ...createReadRequest(readOptions), waitMs: 0 },
      timeoutMs: probeTimeoutMs,
    });
  }

  function readRemote(
    instanceId: InstanceId,
    readOptions: ReadOptions,
  ): ResultAsync<ReadReply, SystemError> {
    const waitMs = Math.min(readOptions.waitMs, maxRemoteWaitMs);
    return peers.call(instanceId, PeerCallKind.ReadAnswer, {
      body: { ...createReadRequest(readOptions), waitMs },
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

interface LocatedReply {
  readonly instanceId: InstanceId;
  readonly reply: ReadReply;
}

/**
 * Selects the reply to use: tokens first, because a stale owner can report a
 * divergence that the current owner does not have; then the newest owner.
 */
function selectBestReply(
  found: readonly LocatedReply[],
): LocatedReply | undefined {
  return found
    .filter(({ reply }) => getStatusRank(reply) > 0)
    .reduce<LocatedReply | undefined>(
      (best, candidate) =>
        best && !isBetterReply(candidate.reply, best.reply) ? best : candidate,
      undefined,
    );
}

function isBetterReply(left: ReadReply, right: ReadReply): boolean {
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
  return getStatusRank(left) > getStatusRank(right);
}

function getStatusRank({ status }: ReadReply): number {
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
    "the answer resumed from an earlier position in another generation",
  );
}

/** Also returned for another customer's answer, to prevent id probing. */
function notFound(): SystemError {
  return createError(ErrorKind.NotFound, "no such answer");
}

function createReadRequest(readOptions: ReadOptions): ReadRequest {
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
