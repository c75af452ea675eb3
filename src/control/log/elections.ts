/**
 * Leader election: a pre-vote round, which does not change the term, followed
 * by the vote.
 */
import { LogMessageKind } from "../../peer/control_log_messages.ts";
import type { LogMessageOf } from "../../peer/control_log_messages.ts";
import { canStartElection } from "./bootstrap.ts";
import { getLastIndex, getLastTerm } from "./log_entries.ts";
import {
  ConsensusEffectKind,
  type ConsensusState,
  getQuorumSize,
  type ReplicaId,
  Role,
  type RoleState,
  sendMessage,
  type StepContext,
  updateDurable,
} from "./log_types.ts";
import { becomeLeader } from "./replication.ts";
import {
  listSilences,
  recordContact,
  recordSilences,
} from "./member_contacts.ts";

export function setRole(step: StepContext, role: RoleState): void {
  const { state, effects } = step;
  const from = state.role.kind;
  state.role = role;
  if (from === role.kind) return;
  effects.push({
    kind: ConsensusEffectKind.RoleChanged,
    from,
    to: role.kind,
    term: state.durable.term,
  });
}

export function becomeFollower(
  step: StepContext,
  { term, leaderId }: { term: number; leaderId: ReplicaId },
): void {
  const { state } = step;
  if (term > state.durable.term) updateDurable(step, { term, votedFor: "" });
  if (state.role.kind !== Role.Follower) {
    setRole(step, { kind: Role.Follower });
    resetElectionTimer(step);
  }
  state.leaderId = leaderId;
}

/**
 * The first round after the loss of a leader starts after one to two election
 * timeouts, and the second one after half of that: a round that has split the
 * votes or lost its messages is decided much sooner. Further ones return to the
 * full time, which leaves enough for rounds on slow links and disks.
 */
export function resetElectionTimer(
  { state, nowMs, random }: StepContext,
): void {
  const { electionTimeoutMs } = state.options;
  const share = state.failedRounds === 1 ? 0.5 : 1;
  state.electionDueAtMs = nowMs +
    share * electionTimeoutMs * (1 + random.next());
}

export function startElectionWhenDue(step: StepContext): void {
  const { state, nowMs } = step;
  countVotes(step);
  requestMissingVotes(step);
  if (state.role.kind === Role.Leader || nowMs < state.electionDueAtMs) return;
  const canStart = canStartElection(state);
  if (canStart) state.failedRounds += 1;
  resetElectionTimer(step);
  if (!canStart) return;
  startVoteRound(step, Role.PreCandidate);
}

function startVoteRound(
  step: StepContext,
  kind: Role.PreCandidate | Role.Candidate,
): void {
  const { state } = step;
  const isPreVote = kind === Role.PreCandidate;
  const term = state.durable.term + 1;
  if (!isPreVote) updateDurable(step, { term, votedFor: state.selfId });
  state.leaderId = "";
  setRole(step, {
    kind,
    granted: new Set([state.selfId]),
    waitsUntilMs: -Infinity,
    nextRequestAtMs: -Infinity,
  });
  requestMissingVotes(step);
  countVotes(step);
}

/** Repeats the requests of a round, since connections may break in it. */
function requestMissingVotes(step: StepContext): void {
  const { state, nowMs } = step;
  const { role } = state;
  if (role.kind !== Role.PreCandidate && role.kind !== Role.Candidate) return;
  if (nowMs < role.nextRequestAtMs) return;
  role.nextRequestAtMs = nowMs + 2 * state.options.heartbeatMs;
  const isPreVote = role.kind === Role.PreCandidate;
  for (const id of state.configuration.voters) {
    if (id === state.selfId || role.granted.has(id)) continue;
    sendMessage(step, id, {
      kind: LogMessageKind.VoteRequest,
      isPreVote,
      term: state.durable.term + (isPreVote ? 1 : 0),
      lastIndex: getLastIndex(state),
      lastTerm: getLastTerm(state),
    });
  }
}

function countVotes(step: StepContext): void {
  const { state, nowMs } = step;
  const { role, configuration } = state;
  if (role.kind !== Role.PreCandidate && role.kind !== Role.Candidate) return;
  if (nowMs < role.waitsUntilMs) return;
  const granted = configuration.voters.filter((id) => role.granted.has(id));
  if (granted.length < getQuorumSize(configuration)) return;
  if (role.kind === Role.PreCandidate) startVoteRound(step, Role.Candidate);
  else becomeLeader(step);
}

export function receiveVoteRequest(
  step: StepContext,
  fromId: ReplicaId,
  request: LogMessageOf<LogMessageKind.VoteRequest>,
): void {
  const { state, nowMs } = step;
  const { isPreVote, term } = request;
  // Raising the term for a request that is rejected anyway would let one
  // replica that hears no leader depose a leader that the other replicas hear.
  const isHeld = hasRecentLeaderContact(step);
  // While there is a leader, only its acknowledgements show who takes part.
  if (!isHeld) recordContact(state, fromId, nowMs);
  if (!isPreVote && !isHeld && term > state.durable.term) {
    becomeFollower(step, { term, leaderId: "" });
  }
  const isTermEligible = isPreVote
    ? term > state.durable.term
    : term === state.durable.term &&
      (state.durable.votedFor === "" || state.durable.votedFor === fromId);
  const isGranted = !isHeld && isTermEligible && isUpToDate(state, request);
  if (isGranted && isPreVote) giveWay(step, fromId, request);
  if (isGranted && !isPreVote) {
    if (state.durable.votedFor !== fromId) {
      updateDurable(step, { votedFor: fromId });
    }
    resetElectionTimer(step);
  }
  sendMessage(step, fromId, {
    kind: LogMessageKind.VoteReply,
    isPreVote,
    term: isPreVote && isGranted ? term : state.durable.term,
    isGranted,
    memberSilences: listSilences(step),
  });
}

export function receiveVoteReply(
  step: StepContext,
  fromId: ReplicaId,
  reply: LogMessageOf<LogMessageKind.VoteReply>,
): void {
  const { state, nowMs } = step;
  const { role, durable } = state;
  recordContact(state, fromId, nowMs);
  recordSilences(step, reply.memberSilences);
  if (!reply.isGranted) {
    if (reply.term > durable.term) {
      becomeFollower(step, { term: reply.term, leaderId: "" });
    }
    return;
  }
  const isPreCandidate = role.kind === Role.PreCandidate;
  if (!isPreCandidate && role.kind !== Role.Candidate) return;
  const expectedTerm = isPreCandidate ? durable.term + 1 : durable.term;
  if (reply.isPreVote !== isPreCandidate || reply.term !== expectedTerm) return;
  role.granted.add(fromId);
  countVotes(step);
}

/**
 * Whether this replica leads or may have acknowledged a leader within the
 * election timeout. The leader's lease depends on this: a voter that
 * acknowledged the leader grants no vote until its election timeout has passed.
 * A restarted replica does not know what it acknowledged, so the period also
 * starts when the process starts.
 */
function hasRecentLeaderContact({ state, nowMs }: StepContext): boolean {
  if (state.role.kind === Role.Leader) return true;
  return nowMs < state.leaderContactAtMs + state.options.electionTimeoutMs;
}

/**
 * Lets the round of another replica go first, if that has a newer log or a
 * smaller id. If both became candidates, they would split the votes. The own
 * round keeps its grants and waits only once, since the other one's messages
 * may be lost.
 */
function giveWay(
  { state, nowMs }: StepContext,
  otherId: ReplicaId,
  { lastIndex, lastTerm }: { lastIndex: number; lastTerm: number },
): void {
  const { role, selfId, options } = state;
  if (role.kind !== Role.PreCandidate) return;
  const isSameLog = lastTerm === getLastTerm(state) &&
    lastIndex === getLastIndex(state);
  if (isSameLog && selfId < otherId) return;
  if (role.waitsUntilMs > -Infinity) return;
  role.waitsUntilMs = nowMs + options.electionTimeoutMs / 2;
}

function isUpToDate(
  state: ConsensusState,
  { lastIndex, lastTerm }: { lastIndex: number; lastTerm: number },
): boolean {
  const ownTerm = getLastTerm(state);
  return lastTerm > ownTerm ||
    (lastTerm === ownTerm && lastIndex >= getLastIndex(state));
}
