/**
 * Resolves double ownership of an answer after a partition or a pause: the
 * newer owner stays and the older one stops.
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
 * Sends the instance an empty update for each answer that it may also own. An
 * older owner there stops; a newer one replies that this owner is superseded.
 * Returns the number of answers.
 */
export function notifyStaleOwners(
  instanceId: InstanceId,
  { owned, copySender }: {
    readonly owned: Iterable<OwnedAnswer>;
    readonly copySender: CopySender;
  },
): number {
  let count = 0;
  for (const { state } of owned) {
    if (!isPossibleOwner(state, instanceId)) continue;
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

function isPossibleOwner(state: AnswerState, instanceId: InstanceId): boolean {
  return state.formerReplicaIds.has(instanceId) ||
    state.lineage.some((span) => span.instanceId === instanceId) ||
    parseAnswerId(state.answerId).mapOr(
      false,
      ({ openerId, firstReplicaId }) =>
        openerId === instanceId || firstReplicaId.unwrapOr("") === instanceId,
    );
}
