/**
 * Follower side of replication: receives the entries and snapshots of the
 * leader.
 */
import { LogMessageKind } from "../../peer/control_log_messages.ts";
import type { LogMessageOf } from "../../peer/control_log_messages.ts";
import { becomeFollower, resetElectionTimer } from "./elections.ts";
import {
  appendEntries,
  commitUpTo,
  getLastIndex,
  getTermAt,
  installSnapshot,
} from "./log_entries.ts";
import { type ReplicaId, sendMessage, type StepContext } from "./log_types.ts";
import { recordContact, recordSilences } from "./member_contacts.ts";

export function receiveAppend(
  step: StepContext,
  fromId: ReplicaId,
  message: LogMessageOf<LogMessageKind.Append>,
): void {
  const { state } = step;
  const { sentAtMs } = message;
  if (message.term < state.durable.term) {
    reply(false, 0);
    return;
  }
  followLeader(step, fromId, message.term);
  recordSilences(step, message.memberSilences);
  const { prevIndex, prevTerm, entries } = message;
  // Committed entries are identical on all replicas, even if compacted here.
  const isKnown = prevIndex <= state.commitIndex ||
    getTermAt(state, prevIndex) === prevTerm;
  if (!isKnown) {
    const lastIndex = Math.min(getLastIndex(state), prevIndex - 1);
    reply(false, Math.max(state.commitIndex, lastIndex));
    return;
  }
  const firstNew = entries.findIndex((entry) =>
    entry.index > state.commitIndex &&
    getTermAt(state, entry.index) !== entry.term
  );
  if (firstNew >= 0) appendEntries(step, entries.slice(firstNew));
  const matchIndex = prevIndex + entries.length;
  commitUpTo(step, Math.min(message.commitIndex, matchIndex));
  reply(true, matchIndex);

  function reply(isMatch: boolean, index: number): void {
    sendMessage(step, fromId, {
      kind: LogMessageKind.AppendReply,
      term: state.durable.term,
      isMatch,
      index,
      sentAtMs,
    });
  }
}

export function receiveSnapshot(
  step: StepContext,
  fromId: ReplicaId,
  message: LogMessageOf<LogMessageKind.Snapshot>,
): void {
  const { state } = step;
  const { term, index, totalBytes, sentAtMs } = message;
  if (term >= state.durable.term) followLeader(step, fromId, term);
  const nextOffsetBytes = term < state.durable.term
    ? 0
    : storeSnapshotChunk(step, fromId, message);
  if (nextOffsetBytes === totalBytes && index > state.commitIndex) {
    installSnapshot(step, {
      index,
      term: message.indexTerm,
      configuration: message.configuration,
      data: state.incomingSnapshot!.data,
    });
  }
  if (nextOffsetBytes === totalBytes) state.incomingSnapshot = undefined;
  sendMessage(step, fromId, {
    kind: LogMessageKind.SnapshotReply,
    term: state.durable.term,
    index,
    nextOffsetBytes,
    sentAtMs,
  });
}

/**
 * Stores the chunk and returns the number of snapshot bytes received so far.
 */
function storeSnapshotChunk(
  { state }: StepContext,
  fromId: ReplicaId,
  message: LogMessageOf<LogMessageKind.Snapshot>,
): number {
  const { index, offsetBytes, totalBytes, data } = message;
  if (index <= state.commitIndex) return totalBytes;
  let incoming = state.incomingSnapshot;
  // Another leader may encode the same state as different bytes, so the
  // transfer restarts when the leader changes.
  if (
    !incoming || incoming.fromId !== fromId || incoming.index !== index ||
    incoming.data.length !== totalBytes
  ) {
    incoming = {
      fromId,
      index,
      data: new Uint8Array(totalBytes),
      receivedBytes: 0,
    };
    state.incomingSnapshot = incoming;
  }
  if (offsetBytes === incoming.receivedBytes) {
    incoming.data.set(data, offsetBytes);
    incoming.receivedBytes += data.length;
  }
  return incoming.receivedBytes;
}

function followLeader(
  step: StepContext,
  fromId: ReplicaId,
  term: number,
): void {
  const { state, nowMs } = step;
  becomeFollower(step, { term, leaderId: fromId });
  state.leaderContactAtMs = nowMs;
  state.failedRounds = 0;
  recordContact(state, fromId, nowMs);
  resetElectionTimer(step);
}
