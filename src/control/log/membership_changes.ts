/**
 * Membership changes: learners join the group, and caught-up learners replace
 * lost voters.
 *
 * Each change adds or removes at most one voter, so the majorities before and
 * after it overlap. A learner becomes a voter before the lost voter is removed.
 * In the reverse order the group lost its quorum permanently when a second
 * voter lost its disk before the removal was committed, because the first voter
 * no longer counted when it was reachable again.
 */
import {
  EntryKind,
  type LogConfiguration,
} from "../../peer/control_log_messages.ts";
import { appendEntries, getLastIndex, getTermAt } from "./log_entries.ts";
import {
  ConsensusEffectKind,
  type ConsensusState,
  getInstanceId,
  getQuorumSize,
  isVoter,
  type LeaderRole,
  type ReplicaId,
  Role,
  type StepContext,
} from "./log_types.ts";
import { createProgress } from "./replication.ts";
import { getLastContactAtMs, recordContact } from "./member_contacts.ts";

/** In units of `replaceVoterAfterMs`. */
const forgetLearnerAfterPeriods = 10;
/** Fewer than a message may list, with room for the voters. */
const maxLearners = 24;

/**
 * Adds a replica that sent a hello to the leader as a learner. It replaces a
 * learner with an older identity of the same instance.
 */
export function addLearner(step: StepContext, replicaId: ReplicaId): void {
  const { state } = step;
  const { voters, learners } = state.configuration;
  if (voters.includes(replicaId) || learners.includes(replicaId)) return;
  if (state.role.kind !== Role.Leader || !canChangeMembership(state)) return;
  const instanceId = getInstanceId(replicaId);
  const others = learners.filter((id) => getInstanceId(id) !== instanceId);
  if (others.length >= maxLearners) return;
  appendConfiguration(step, state.role, {
    voters,
    learners: [...others, replicaId],
  });
  // Until it acknowledges a message, its hello is the last that was heard.
  recordContact(state, replicaId, step.nowMs);
}

/**
 * Starts the next membership change towards the target number of voters, if one
 * is needed.
 *
 * A majority of the new voters, and the added one, must acknowledge a message
 * that was sent after the change was planned. Adding a learner that has just
 * been lost raises the quorum size, and the group loses its quorum permanently
 * if another voter loses its disk at the same time.
 */
export function adjustVoters(step: StepContext): void {
  const { state, nowMs, effects } = step;
  const { role } = state;
  if (role.kind !== Role.Leader || !canChangeMembership(state)) return;
  const next = getNextConfiguration(step, role);
  const key = next ? JSON.stringify(next) : "";
  if (!next || role.plannedChange.key !== key) {
    role.plannedChange = { key, plannedAtMs: nowMs };
    return;
  }
  if (!isChangeConfirmed(state, role, next)) return;
  appendConfiguration(step, role, next);
  effects.push({
    kind: ConsensusEffectKind.VotersChanged,
    configuration: next,
  });
}

function getNextConfiguration(
  step: StepContext,
  role: LeaderRole,
): LogConfiguration | undefined {
  const { state } = step;
  const { voters, learners } = state.configuration;
  const { voterCount } = state.options;
  const caughtUpId = learners.find((id) => isCaughtUp(step, role, id));
  const lostId = voters.find((id) => isVoterLost(step, role, id));
  const isVoterNeeded = voters.length < voterCount ||
    (voters.length === voterCount && lostId !== undefined);
  if (isVoterNeeded && caughtUpId) {
    return {
      voters: [...voters, caughtUpId],
      learners: learners.filter((id) => id !== caughtUpId),
    };
  }
  if (voters.length > voterCount) {
    const removedId = lostId ?? findSurplusVoter(step, role);
    if (removedId === undefined) return undefined;
    return {
      voters: voters.filter((id) => id !== removedId),
      learners: lostId ? learners : [...learners, removedId],
    };
  }
  const forgottenId = learners.find((id) => isForgotten(step, role, id));
  return forgottenId === undefined
    ? undefined
    : { voters, learners: learners.filter((id) => id !== forgottenId) };
}

/**
 * Whether a learner has been silent for so long that its machine is taken for
 * replaced. One that comes back sends a hello and is added again.
 */
function isForgotten(
  { state, nowMs }: StepContext,
  role: LeaderRole,
  id: ReplicaId,
): boolean {
  const limitMs = forgetLearnerAfterPeriods * state.options.replaceVoterAfterMs;
  return nowMs >= role.electedAtMs + state.options.electionTimeoutMs &&
    nowMs >= getLastContactAtMs(state, id) + limitMs;
}

/**
 * Returns the voter that was heard least recently. Directly after its election
 * a leader has heard none, and would remove the one that replaced a lost voter.
 */
function findSurplusVoter(
  { state, nowMs }: StepContext,
  role: LeaderRole,
): ReplicaId | undefined {
  if (nowMs < role.electedAtMs + state.options.electionTimeoutMs) {
    return undefined;
  }
  return state.configuration.voters.filter((id) => id !== state.selfId)
    .sort((left, right) =>
      getLastContactAtMs(state, left) - getLastContactAtMs(state, right)
    )[0];
}

/**
 * Whether a membership change may start. Only one change is made at a time, and
 * none before an entry of the leader's own term is committed. Without the
 * second condition two leaders can make changes to the same configuration whose
 * majorities do not overlap.
 */
function canChangeMembership(state: ConsensusState): boolean {
  return state.commitIndex >= state.configurationIndex &&
    getTermAt(state, state.commitIndex) === state.durable.term;
}

function appendConfiguration(
  step: StepContext,
  role: LeaderRole,
  configuration: LogConfiguration,
): void {
  const { state } = step;
  appendEntries(step, [{
    index: getLastIndex(state) + 1,
    term: state.durable.term,
    kind: EntryKind.Configuration,
    data: new Uint8Array(),
    configuration,
  }]);
  const members = [...configuration.voters, ...configuration.learners];
  for (const id of [...role.progress.keys()]) {
    if (!members.includes(id)) role.progress.delete(id);
  }
  for (const id of members) {
    if (id === state.selfId || role.progress.has(id)) continue;
    role.progress.set(id, createProgress(getLastIndex(state)));
  }
}

function isReachable(
  step: StepContext,
  role: LeaderRole,
  id: ReplicaId,
): boolean {
  const { state, nowMs } = step;
  if (id === state.selfId) return true;
  const ackedSentAtMs = role.progress.get(id)?.ackedSentAtMs ?? -Infinity;
  return nowMs < ackedSentAtMs + state.options.electionTimeoutMs;
}

function isCaughtUp(
  step: StepContext,
  role: LeaderRole,
  id: ReplicaId,
): boolean {
  const matchIndex = role.progress.get(id)?.matchIndex ?? 0;
  return isReachable(step, role, id) && matchIndex >= role.caughtUpIndex;
}

/**
 * Whether a voter has been silent for too long, or its instance has restarted
 * with an empty data folder and a new identity.
 */
function isVoterLost(
  step: StepContext,
  role: LeaderRole,
  id: ReplicaId,
): boolean {
  const { state, nowMs } = step;
  if (id === state.selfId) return false;
  const { voters, learners } = state.configuration;
  const isSuperseded = [...voters, ...learners].some((other) =>
    other !== id && getInstanceId(other) === getInstanceId(id) &&
    isReachable(step, role, other)
  );
  const { electionTimeoutMs, replaceVoterAfterMs } = state.options;
  // A voter that is up answers a new leader long before that.
  const hadTimeToAnswer = nowMs >= role.electedAtMs + electionTimeoutMs;
  return isSuperseded || hadTimeToAnswer &&
      nowMs >= getLastContactAtMs(state, id) + replaceVoterAfterMs;
}

function isChangeConfirmed(
  state: ConsensusState,
  role: LeaderRole,
  next: LogConfiguration,
): boolean {
  const confirmed = next.voters.filter((id) => {
    const ackedSentAtMs = role.progress.get(id)?.ackedSentAtMs ?? -Infinity;
    return id === state.selfId ||
      ackedSentAtMs > role.plannedChange.plannedAtMs;
  });
  const added = next.voters.filter((id) => !isVoter(state, id));
  return confirmed.length >= getQuorumSize(next) &&
    added.every((id) => confirmed.includes(id));
}
