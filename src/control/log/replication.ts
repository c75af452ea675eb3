/**
 * Leader side of replication: appending and committing entries, snapshots for
 * lagging followers, the check-quorum rule and the leader lease.
 */
import {
  EntryKind,
  type LogEntry,
  LogMessageKind,
} from "../../peer/control_log_messages.ts";
import type { LogMessageOf } from "../../peer/control_log_messages.ts";
import { becomeFollower, setRole } from "./elections.ts";
import {
  appendEntries,
  commitUpTo,
  getBytesBetween,
  getLastIndex,
  getTermAt,
  sliceEntries,
} from "./log_entries.ts";
import {
  type ConsensusEffect,
  ConsensusEffectKind,
  type ConsensusState,
  getQuorumSize,
  isVoter,
  type LeaderRole,
  type Progress,
  type ReplicaId,
  Role,
  sendMessage,
  type StepContext,
} from "./log_types.ts";
import { listSilences, recordContact } from "./member_contacts.ts";

const maxProbeBytes = 16 * 1024;

export function createProgress(lastIndex: number): Progress {
  return {
    nextIndex: lastIndex + 1,
    matchIndex: 0,
    isProbing: true,
    ackedSentAtMs: -Infinity,
    sentAtMs: -Infinity,
    snapshot: undefined,
    snapshotOffsetBytes: 0,
  };
}

export function becomeLeader(step: StepContext): void {
  const { state, nowMs } = step;
  const { voters, learners } = state.configuration;
  const lastIndex = getLastIndex(state);
  setRole(step, {
    kind: Role.Leader,
    electedAtMs: nowMs,
    progress: new Map(
      [...voters, ...learners].filter((id) => id !== state.selfId)
        .map((id) => [id, createProgress(lastIndex)]),
    ),
    caughtUpIndex: lastIndex + 1,
    nextHeartbeatAtMs: nowMs,
    plannedChange: { key: "", plannedAtMs: nowMs },
  });
  state.leaderId = state.selfId;
  state.failedRounds = 0;
  appendEntries(step, [{
    index: lastIndex + 1,
    term: state.durable.term,
    kind: EntryKind.Noop,
    data: new Uint8Array(),
    configuration: null,
  }]);
  advanceCommit(step);
}

export function propose(
  step: StepContext,
  { proposalId, data }: { proposalId: number; data: Uint8Array },
): void {
  const { state, effects } = step;
  if (state.role.kind !== Role.Leader) {
    effects.push({ kind: ConsensusEffectKind.ProposalRejected, proposalId });
    return;
  }
  const index = getLastIndex(state) + 1;
  const { term } = state.durable;
  appendEntries(step, [{
    index,
    term,
    kind: EntryKind.Command,
    data,
    configuration: null,
  }]);
  effects.push({
    kind: ConsensusEffectKind.ProposalAppended,
    proposalId,
    index,
    term,
  });
}

export function sendHeartbeats(step: StepContext): void {
  const { state, nowMs } = step;
  const { role } = state;
  if (role.kind !== Role.Leader || nowMs < role.nextHeartbeatAtMs) return;
  role.nextHeartbeatAtMs = nowMs + state.options.heartbeatMs;
  role.caughtUpIndex = Math.max(role.caughtUpIndex, state.commitIndex);
  for (const [id, progress] of role.progress) {
    sendNextEntries(step, id, progress, { isHeartbeat: true });
  }
}

/** Sends the entries that the events of this batch appended. */
export function flushLeader(step: StepContext): void {
  const { state } = step;
  if (state.role.kind !== Role.Leader) return;
  advanceCommit(step);
  for (const [id, progress] of state.role.progress) {
    if (!progress.isProbing && !progress.snapshot) {
      sendNextEntries(step, id, progress, { isHeartbeat: false });
    }
  }
}

function sendNextEntries(
  step: StepContext,
  id: ReplicaId,
  progress: Progress,
  { isHeartbeat }: { isHeartbeat: boolean },
): void {
  const { state, nowMs } = step;
  if (progress.snapshot || progress.nextIndex <= state.baseIndex) {
    progress.snapshot ??= state.snapshot;
    sendSnapshotChunk(step, id, progress);
    return;
  }
  const entries = progress.isProbing
    ? listProbeEntries(state, progress)
    : listFurtherEntries(state, progress);
  if (entries.length === 0 && !isHeartbeat) return;
  const prevIndex = progress.nextIndex - 1;
  progress.sentAtMs = nowMs;
  sendMessage(step, id, {
    kind: LogMessageKind.Append,
    term: state.durable.term,
    prevIndex,
    prevTerm: getTermAt(state, prevIndex)!,
    entries,
    commitIndex: state.commitIndex,
    sentAtMs: nowMs,
    memberSilences: isHeartbeat ? listSilences(step) : [],
  });
  if (!progress.isProbing) progress.nextIndex += entries.length;
}

/**
 * A probe is repeated with each heartbeat. It has one small entry at most, so
 * that a new leader commits its first entry without a further round trip.
 */
function listProbeEntries(
  state: ConsensusState,
  { nextIndex }: Progress,
): LogEntry[] {
  const limits = { maxBytes: maxProbeBytes, maxEntries: 1 };
  return sliceEntries(state, nextIndex, limits)
    .filter(({ data }) => data.length <= maxProbeBytes);
}

function listFurtherEntries(
  state: ConsensusState,
  { nextIndex, matchIndex }: Progress,
): LogEntry[] {
  const { maxMessageBytes, maxInFlightEntries, maxInFlightBytes } =
    state.options;
  const inFlightCount = nextIndex - 1 - matchIndex;
  const roomBytes = maxInFlightBytes -
    getBytesBetween(state, matchIndex + 1, nextIndex - 1);
  if (inFlightCount > 0 && roomBytes <= 0) return [];
  return sliceEntries(state, nextIndex, {
    maxBytes: Math.min(maxMessageBytes, roomBytes),
    maxEntries: Math.max(0, maxInFlightEntries - inFlightCount),
  });
}

function sendSnapshotChunk(
  step: StepContext,
  id: ReplicaId,
  progress: Progress,
): void {
  const { state, nowMs } = step;
  const { index, term, configuration, data } = progress.snapshot!;
  const offsetBytes = progress.snapshotOffsetBytes;
  progress.sentAtMs = nowMs;
  sendMessage(step, id, {
    kind: LogMessageKind.Snapshot,
    term: state.durable.term,
    index,
    indexTerm: term,
    configuration,
    offsetBytes,
    totalBytes: data.length,
    data: data.slice(offsetBytes, offsetBytes + state.options.maxMessageBytes),
    sentAtMs: nowMs,
  });
}

export function receiveAppendReply(
  step: StepContext,
  fromId: ReplicaId,
  reply: LogMessageOf<LogMessageKind.AppendReply>,
): void {
  const progress = recordAcknowledgement(step, fromId, reply);
  if (!progress) return;
  if (reply.isMatch) {
    progress.isProbing = false;
    progress.matchIndex = Math.max(progress.matchIndex, reply.index);
    progress.nextIndex = Math.max(progress.nextIndex, reply.index + 1);
    return; // the flush at the end of the batch sends further entries
  }
  // A reordered rejection must not move `nextIndex` below the known match.
  const nextIndex = Math.max(progress.matchIndex, reply.index) + 1;
  if (nextIndex >= progress.nextIndex) return;
  progress.nextIndex = nextIndex;
  progress.isProbing = true;
  sendNextEntries(step, fromId, progress, { isHeartbeat: true });
}

export function receiveSnapshotReply(
  step: StepContext,
  fromId: ReplicaId,
  reply: LogMessageOf<LogMessageKind.SnapshotReply>,
): void {
  const progress = recordAcknowledgement(step, fromId, reply);
  const snapshot = progress?.snapshot;
  if (!progress || !snapshot || snapshot.index !== reply.index) return;
  if (reply.nextOffsetBytes < snapshot.data.length) {
    if (progress.snapshotOffsetBytes === reply.nextOffsetBytes) return;
    progress.snapshotOffsetBytes = reply.nextOffsetBytes;
    sendSnapshotChunk(step, fromId, progress);
    return;
  }
  progress.snapshot = undefined;
  progress.snapshotOffsetBytes = 0;
  progress.matchIndex = Math.max(progress.matchIndex, snapshot.index);
  progress.nextIndex = progress.matchIndex + 1;
  progress.isProbing = true;
  sendNextEntries(step, fromId, progress, { isHeartbeat: true });
}

/**
 * Records the acknowledgement. Returns undefined if the reply belongs to
 * another term, this replica does not lead, or the sender is not a member.
 */
function recordAcknowledgement(
  step: StepContext,
  fromId: ReplicaId,
  { term, sentAtMs }: { term: number; sentAtMs: number },
): Progress | undefined {
  const { state } = step;
  if (term > state.durable.term) {
    becomeFollower(step, { term, leaderId: "" });
    return undefined;
  }
  if (state.role.kind !== Role.Leader || term !== state.durable.term) {
    return undefined;
  }
  const progress = state.role.progress.get(fromId);
  if (!progress) return undefined;
  progress.ackedSentAtMs = Math.max(progress.ackedSentAtMs, sentAtMs);
  recordContact(state, fromId, sentAtMs);
  return progress;
}

/**
 * Lists the messages of a batch that may be sent before the batch is synced. A
 * leader counts its own entries only together with replies, and replies are
 * handled after the sync. The list is empty for a sole voter, which gets no
 * replies, and for a batch with a new term or vote, which must be synced first.
 */
export function listMessagesBeforeSync(
  state: ConsensusState,
  effects: readonly ConsensusEffect[],
): ConsensusEffect[] {
  const isTermSaved = effects.some(({ kind }) =>
    kind === ConsensusEffectKind.SaveState ||
    kind === ConsensusEffectKind.SaveSnapshot
  );
  if (state.role.kind !== Role.Leader || isTermSaved) return [];
  if (state.configuration.voters.length < 2) return [];
  return effects.filter((effect) =>
    effect.kind === ConsensusEffectKind.Send &&
    effect.envelope.message.kind === LogMessageKind.Append
  );
}

/** Only an entry of the leader's own term is committed by counting replicas. */
function advanceCommit(step: StepContext): void {
  const { state } = step;
  const { role, configuration } = state;
  if (role.kind !== Role.Leader) return;
  const matches = configuration.voters.map((id) =>
    id === state.selfId
      ? getLastIndex(state)
      : role.progress.get(id)?.matchIndex ?? 0
  ).sort((left, right) => right - left);
  const index = matches[getQuorumSize(configuration) - 1]!;
  if (getTermAt(state, index) === state.durable.term) commitUpTo(step, index);
}

/** The time up to which a majority of voters is known to follow the leader. */
function getQuorumContactAtMs(
  state: ConsensusState,
  role: LeaderRole,
  nowMs: number,
): number {
  const contacts = state.configuration.voters.map((id) =>
    id === state.selfId
      ? nowMs
      : role.progress.get(id)?.ackedSentAtMs ?? -Infinity
  ).sort((left, right) => right - left);
  return contacts[getQuorumSize(state.configuration) - 1]!;
}

/**
 * Steps down if no majority has acknowledged this leader within the election
 * timeout.
 */
export function checkQuorum(step: StepContext): void {
  const { state, nowMs } = step;
  const { role, options } = state;
  if (role.kind !== Role.Leader) return;
  const contactAtMs = Math.max(
    role.electedAtMs,
    getQuorumContactAtMs(state, role, nowMs),
  );
  if (nowMs < contactAtMs + options.electionTimeoutMs) return;
  becomeFollower(step, { term: state.durable.term, leaderId: "" });
}

/**
 * Whether this replica leads and no other replica can lead yet. The lease
 * starts at the send time of the messages that a majority acknowledged. It is
 * valid only after an entry of the leader's own term is committed.
 */
export function hasLease(state: ConsensusState, nowMs: number): boolean {
  const { role } = state;
  if (role.kind !== Role.Leader || !isVoter(state, state.selfId)) return false;
  if (getTermAt(state, state.commitIndex) !== state.durable.term) return false;
  return nowMs <
    getQuorumContactAtMs(state, role, nowMs) + state.options.leaseMs;
}
