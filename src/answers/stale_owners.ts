/**
 * Ends one of two ownerships of an answer that a partition or a pause left
 * behind: the newer owner stays.
 */
import {
  type AttemptId,
  compareAttempts,
  type InstanceId,
} from "../core/types.ts";
import { parseAnswerId } from "./answer_id.ts";
import type { AnswerState } from "./answer_state.ts";
import type { CopySender } from "./copy_sender.ts";
import type { OwnedAnswer } from "./owned_answer.ts";

/**
 * Sends an empty update for each answer that the instance may also own: an
 * older owner there stops, and a newer one replies that this one is stale.
 * Returns the number of answers.
 */
export function tellStaleOwners(
  instanceId: InstanceId,
  { owned, copySender }: {
    readonly owned: Iterable<OwnedAnswer>;
    readonly copySender: CopySender;
  },
): number {
  let count = 0;
  for (const { state } of owned) {
    if (!isConcerned(state, instanceId)) continue;
    const { answerId, owner, generation } = state;
    count += 1;
    copySender.probe(instanceId, {
      answerId,
      owner,
      generation,
      fromPosition: 0,
      tokens: [],
    });
  }
  return count;
}

export function isNewerOwner(left: AttemptId, right: AttemptId): boolean {
  return compareAttempts(left, right) > 0;
}

function isConcerned(state: AnswerState, instanceId: InstanceId): boolean {
  return state.formerReplicaIds.has(instanceId) ||
    state.lineage.some((span) => span.instanceId === instanceId) ||
    parseAnswerId(state.answerId).mapOr(
      false,
      ({ openerId, firstReplicaId }) =>
        openerId === instanceId || firstReplicaId.unwrapOr("") === instanceId,
    );
}
