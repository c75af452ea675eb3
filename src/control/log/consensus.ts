/**
 * The consensus state machine of the control log. It maps a state, an event and
 * the current time to effects, changes the state in place and performs no I/O.
 */
import { assertNever } from "../../core/assert_never.ts";
import type { Random } from "../../core/random.ts";
import {
  type LogEnvelope,
  LogMessageKind,
} from "../../peer/control_log_messages.ts";
import {
  acceptsEnvelope,
  receiveHello,
  receiveHelloReply,
  sendHellos,
} from "./bootstrap.ts";
import {
  receiveVoteReply,
  receiveVoteRequest,
  resetElectionTimer,
  startElectionWhenDue,
} from "./elections.ts";
import { receiveAppend, receiveSnapshot } from "./follower.ts";
import { compact, updateConfiguration } from "./log_entries.ts";
import {
  type ConsensusEffect,
  type ConsensusEvent,
  ConsensusEventKind,
  type ConsensusOptions,
  type ConsensusState,
  type LogSnapshot,
  type ReplicaId,
  Role,
  type StepContext,
  type StoredLog,
} from "./log_types.ts";
import {
  checkQuorum,
  flushLeader,
  propose,
  receiveAppendReply,
  receiveSnapshotReply,
  sendHeartbeats,
} from "./replication.ts";
import { adjustVoters } from "./membership_changes.ts";

export const emptySnapshot: LogSnapshot = {
  index: 0,
  term: 0,
  configuration: { voters: [], learners: [] },
  data: new Uint8Array(),
};

export interface ConsensusStateOptions {
  readonly options: ConsensusOptions;
  readonly selfId: ReplicaId;
  readonly stored: StoredLog;
  readonly nowMs: number;
  readonly random: Random;
}

export function createConsensusState(
  stateOptions: ConsensusStateOptions,
): ConsensusState {
  const { options, selfId, stored, nowMs, random } = stateOptions;
  const { snapshot, entries } = stored;
  const first = entries[0];
  // If the log overlaps the snapshot, the term before the first entry is
  // unknown, so the first entry itself becomes the base.
  const isOverlapping = first !== undefined && first.index <= snapshot.index;
  const state: ConsensusState = {
    options,
    selfId,
    durable: stored.durable,
    snapshot,
    entries: isOverlapping ? entries.slice(1) : [...entries],
    baseIndex: isOverlapping ? first.index : snapshot.index,
    baseTerm: isOverlapping ? first.term : snapshot.term,
    configuration: snapshot.configuration,
    configurationIndex: snapshot.index,
    commitIndex: snapshot.index,
    role: { kind: Role.Follower },
    leaderId: "",
    leaderContactAtMs: nowMs,
    startedAtMs: nowMs,
    lastContactsAtMs: new Map(),
    electionDueAtMs: 0,
    failedRounds: 0,
    nextHelloAtMs: nowMs,
    incomingSnapshot: undefined,
    freshReplicas: new Map(),
  };
  updateConfiguration(state);
  resetElectionTimer({ state, nowMs, random, effects: [] });
  return state;
}

export function stepConsensus(
  state: ConsensusState,
  event: ConsensusEvent,
  { nowMs, random }: { readonly nowMs: number; readonly random: Random },
): ConsensusEffect[] {
  const step: StepContext = { state, nowMs, random, effects: [] };
  // A process that was paused must not act as leader on the first event after
  // it resumes.
  checkQuorum(step);
  handle(step, event);
  return step.effects;
}

function handle(step: StepContext, event: ConsensusEvent): void {
  switch (event.kind) {
    case ConsensusEventKind.Tick:
      sendHellos(step);
      startElectionWhenDue(step);
      sendHeartbeats(step);
      return;
    case ConsensusEventKind.Receive:
      if (acceptsEnvelope(step, event.envelope)) {
        receive(step, event.envelope);
      }
      return;
    case ConsensusEventKind.Propose:
      propose(step, event);
      return;
    case ConsensusEventKind.SnapshotCreated:
      compact(step, event);
      return;
    case ConsensusEventKind.Flush:
      adjustVoters(step);
      flushLeader(step);
      return;
    default:
      assertNever(event);
  }
}

function receive(step: StepContext, envelope: LogEnvelope): void {
  const { fromId, message } = envelope;
  switch (message.kind) {
    case LogMessageKind.Hello:
      receiveHello(step, { ...envelope, message });
      return;
    case LogMessageKind.HelloReply:
      receiveHelloReply(step, { ...envelope, message });
      return;
    case LogMessageKind.VoteRequest:
      receiveVoteRequest(step, fromId, message);
      return;
    case LogMessageKind.VoteReply:
      receiveVoteReply(step, fromId, message);
      return;
    case LogMessageKind.Append:
      receiveAppend(step, fromId, message);
      return;
    case LogMessageKind.AppendReply:
      receiveAppendReply(step, fromId, message);
      return;
    case LogMessageKind.Snapshot:
      receiveSnapshot(step, fromId, message);
      return;
    case LogMessageKind.SnapshotReply:
      receiveSnapshotReply(step, fromId, message);
      return;
    default:
      assertNever(message);
  }
}
