/**
 * Creates and parses answer ids. An id holds 128 random bits, the instance that
 * opened the answer and its first replica, so that any instance can locate the
 * answer without a broadcast.
 */
import { Buffer } from "node:buffer";
import { createHash, randomBytes } from "node:crypto";
import { Maybe } from "true-myth/maybe";
import type { AnswerId, InstanceId } from "../core/types.ts";

export interface AnswerIdParts {
  readonly openerId: InstanceId;
  readonly firstReplicaId: Maybe<InstanceId>;
}

const idPattern =
  /^ans_[A-Za-z0-9_-]{22}\.([a-z0-9-]{1,63})\.([a-z0-9-]{0,63})$/;

export function createAnswerId(
  openerId: InstanceId,
  firstReplicaId: InstanceId | undefined,
): AnswerId {
  const random = randomBytes(16).toString("base64url");
  return `ans_${random}.${openerId}.${firstReplicaId ?? ""}`;
}

export function parseAnswerId(answerId: AnswerId): Maybe<AnswerIdParts> {
  const match = idPattern.exec(answerId);
  if (!match) return Maybe.nothing();
  const firstReplicaId = match[2] === "" ? undefined : match[2];
  return Maybe.just({
    openerId: match[1]!,
    firstReplicaId: Maybe.of(firstReplicaId),
  });
}

/** Orders instances by rendezvous hash, with the same result everywhere. */
export function rankInstances(
  key: string,
  instanceIds: readonly InstanceId[],
): InstanceId[] {
  return instanceIds
    .map((instanceId) => ({
      instanceId,
      score: getRendezvousScore(key, instanceId),
    }))
    .sort((left, right) => Buffer.compare(right.score, left.score))
    .map(({ instanceId }) => instanceId);
}

function getRendezvousScore(key: string, instanceId: InstanceId): Buffer {
  return createHash("sha256").update(key).update("\0").update(instanceId)
    .digest();
}
