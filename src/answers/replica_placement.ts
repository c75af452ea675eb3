/**
 * Chooses the instance that holds the second copy of an answer, in another
 * failure domain if possible.
 */
import type { Random } from "../core/random.ts";
import {
  type AnswerId,
  type InstanceId,
  type InstanceInfo,
  InstanceState,
} from "../core/types.ts";
import type { MembershipView } from "../membership/membership_view.ts";
import { parseAnswerId, rankInstances } from "./answer_id.ts";

/** Runs before the answer has an id, because the id names the replica. */
export function chooseFirstReplica(
  membership: MembershipView,
  random: Random,
): InstanceId | undefined {
  const candidates = listCandidates(membership, []);
  return candidates[random.nextInt(Math.max(1, candidates.length))]
    ?.instanceId;
}

/**
 * Chooses the replica that the id names, else the first candidate in rendezvous
 * order. Candidates in other failure domains are preferred.
 */
export function chooseReplica(
  membership: MembershipView,
  answerId: AnswerId,
  avoided: readonly InstanceId[],
): InstanceId | undefined {
  const candidateIds = listCandidates(membership, avoided)
    .map((instance) => instance.instanceId);
  const firstReplicaId = parseAnswerId(answerId)
    .andThen((parts) => parts.firstReplicaId).unwrapOr("");
  if (candidateIds.includes(firstReplicaId)) return firstReplicaId;
  return rankInstances(answerId, candidateIds)[0];
}

/** Reachable instances of other failure domains, or of this one if none. */
function listCandidates(
  membership: MembershipView,
  avoided: readonly InstanceId[],
): InstanceInfo[] {
  const self = membership.getSelf();
  const reachable = membership.listInstances().filter((instance) =>
    instance.instanceId !== self.instanceId &&
    instance.state === InstanceState.Live &&
    membership.isReachable(instance.instanceId) &&
    !avoided.includes(instance.instanceId)
  );
  const inOtherDomains = reachable.filter((instance) =>
    instance.domainId !== self.domainId
  );
  return inOtherDomains.length > 0 ? inOtherDomains : reachable;
}
