/**
 * State, events and effects of the consensus state machine of the control log.
 */
import type { Random } from "../../core/random.ts";
import type { InstanceId } from "../../core/types.ts";
import type {
  LogConfiguration,
  LogEntry,
  LogEnvelope,
  LogMessage,
} from "../../peer/control_log_messages.ts";

/**
 * `<instance id>/<random part>`; constant for the lifetime of a data folder.
 */
export type ReplicaId = string;

export interface ConsensusOptions {
  /**
   * Instances that bootstrap the group together; empty where no group may be
   * bootstrapped.
   */
  readonly founderIds: readonly InstanceId[];
  /** The control instances known at present; each may join the group. */
  listControlIds(): readonly InstanceId[];
  /** Target number of voters. */
  readonly voterCount: number;
  /**
   * A voter grants no vote for this long after it heard from a leader.
   * Elections start after a random time between one and two times this period.
   */
  readonly electionTimeoutMs: number;
  /** Shorter than the election timeout by the assumed clock drift. */
  readonly leaseMs: number;
  readonly heartbeatMs: number;
  /**
   * A voter that is silent for this long is replaced once a learner has caught
   * up.
   */
  readonly replaceVoterAfterMs: number;
  /** Entries kept before the snapshot index for followers that lag slightly. */
  readonly trailingEntries: number;
  /** Limits the size of these entries; a follower behind them gets a snapshot. */
  readonly trailingBytes: number;
  readonly maxMessageBytes: number;
  /** Maximum number of unacknowledged entries per follower. */
  readonly maxInFlightEntries: number;
  /** Limits their bytes as well; one entry may exceed it. */
  readonly maxInFlightBytes: number;
}

export interface LogSnapshot {
  readonly index: number;
  readonly term: number;
  readonly configuration: LogConfiguration;
  readonly data: Uint8Array;
}

export interface DurableState {
  /** Empty until the replica joins a group; never changes afterwards. */
  readonly groupId: string;
  readonly term: number;
  readonly votedFor: ReplicaId;
}

/** Contents of the data folder at startup. */
export interface StoredLog {
  readonly durable: DurableState;
  readonly snapshot: LogSnapshot;
  readonly entries: readonly LogEntry[];
}

export enum Role {
  Follower = "follower",
  PreCandidate = "preCandidate",
  Candidate = "candidate",
  Leader = "leader",
}

/** Replication state that the leader keeps for one other replica. */
export interface Progress {
  nextIndex: number;
  matchIndex: number;
  /**
   * Until the replica's log position is known, one message is sent at a time.
   */
  isProbing: boolean;
  /** Send time of the latest message that the replica acknowledged. */
  ackedSentAtMs: number;
  sentAtMs: number;
  snapshot: LogSnapshot | undefined;
  snapshotOffsetBytes: number;
}

export interface LeaderRole {
  readonly kind: Role.Leader;
  readonly electedAtMs: number;
  readonly progress: Map<ReplicaId, Progress>;
  /**
   * Commit index at the previous heartbeat; a learner that has it has caught
   * up.
   */
  caughtUpIndex: number;
  nextHeartbeatAtMs: number;
  /** Voters of the next membership change, and the time it was planned. */
  plannedChange: { readonly key: string; readonly plannedAtMs: number };
}

export type RoleState =
  | { readonly kind: Role.Follower }
  | {
    readonly kind: Role.PreCandidate | Role.Candidate;
    readonly granted: Set<ReplicaId>;
    /** Until then another replica's round goes first. */
    waitsUntilMs: number;
    nextRequestAtMs: number;
  }
  | LeaderRole;

export interface IncomingSnapshot {
  readonly fromId: ReplicaId;
  readonly index: number;
  readonly data: Uint8Array;
  receivedBytes: number;
}

export interface ConsensusState {
  readonly options: ConsensusOptions;
  readonly selfId: ReplicaId;
  durable: DurableState;
  snapshot: LogSnapshot;
  /** Contiguous; may overlap the snapshot by trailing entries. */
  entries: LogEntry[];
  /** Index and term of the entry before the first one. */
  baseIndex: number;
  baseTerm: number;
  /** The latest group configuration in the log, committed or not. */
  configuration: LogConfiguration;
  configurationIndex: number;
  commitIndex: number;
  role: RoleState;
  leaderId: ReplicaId;
  /** Start of the period in which no vote is granted. */
  leaderContactAtMs: number;
  readonly startedAtMs: number;
  /**
   * When each member was last known to be up, by what this replica or one of its
   * leaders heard. Unlike a leader's progress, it outlives leaders.
   */
  readonly lastContactsAtMs: Map<ReplicaId, number>;
  electionDueAtMs: number;
  /** Rounds of votes since a leader was last known. */
  failedRounds: number;
  nextHelloAtMs: number;
  incomingSnapshot: IncomingSnapshot | undefined;
  /**
   * Replicas that reported that they belong to no group, by instance. Used to
   * bootstrap the group.
   */
  readonly freshReplicas: Map<InstanceId, ReplicaId>;
}

export enum ConsensusEventKind {
  Tick = "tick",
  Receive = "receive",
  Propose = "propose",
  /** A snapshot of the applied state up to the index was encoded. */
  SnapshotCreated = "snapshotted",
  /** Ends a batch of events; the entries that the batch appended are sent. */
  Flush = "flush",
}

export type ConsensusEvent =
  | { readonly kind: ConsensusEventKind.Tick | ConsensusEventKind.Flush }
  | {
    readonly kind: ConsensusEventKind.Receive;
    readonly envelope: LogEnvelope;
  }
  | {
    readonly kind: ConsensusEventKind.Propose;
    readonly proposalId: number;
    readonly data: Uint8Array;
  }
  | {
    readonly kind: ConsensusEventKind.SnapshotCreated;
    readonly index: number;
    readonly data: Uint8Array;
  };

export enum ConsensusEffectKind {
  SaveState = "saveState",
  SaveEntries = "saveEntries",
  SaveSnapshot = "saveSnapshot",
  Send = "send",
  Commit = "commit",
  Restore = "restore",
  ProposalAppended = "accepted",
  ProposalRejected = "refused",
  RoleChanged = "roleChanged",
  VotersChanged = "voterReplaced",
  GroupBootstrapped = "groupFounded",
  WrongGroup = "wrongGroup",
}

/**
 * The save effects of a batch of events are synced, in order, before any other
 * effect of the batch is executed. Only the messages of
 * `listMessagesBeforeSync` may be sent earlier.
 */
export type ConsensusEffect =
  | {
    readonly kind: ConsensusEffectKind.SaveState;
    readonly durable: DurableState;
  }
  /** Replaces all stored entries from the index of the first entry on. */
  | {
    readonly kind: ConsensusEffectKind.SaveEntries;
    readonly entries: readonly LogEntry[];
  }
  | {
    readonly kind: ConsensusEffectKind.SaveSnapshot;
    readonly snapshot: LogSnapshot;
    /** Entries up to this index may be deleted. */
    readonly baseIndex: number;
    /** All stored entries are superseded by the snapshot. */
    readonly isReset: boolean;
  }
  | {
    readonly kind: ConsensusEffectKind.Send;
    readonly instanceId: InstanceId;
    readonly envelope: LogEnvelope;
  }
  | {
    readonly kind: ConsensusEffectKind.Commit;
    readonly entries: readonly LogEntry[];
  }
  | {
    readonly kind: ConsensusEffectKind.Restore;
    readonly snapshot: LogSnapshot;
  }
  | {
    readonly kind: ConsensusEffectKind.ProposalAppended;
    readonly proposalId: number;
    readonly index: number;
    readonly term: number;
  }
  | {
    readonly kind: ConsensusEffectKind.ProposalRejected;
    readonly proposalId: number;
  }
  | {
    readonly kind: ConsensusEffectKind.RoleChanged;
    readonly from: Role;
    readonly to: Role;
    readonly term: number;
  }
  | {
    readonly kind: ConsensusEffectKind.VotersChanged;
    readonly configuration: LogConfiguration;
  }
  | {
    readonly kind: ConsensusEffectKind.GroupBootstrapped;
    readonly groupId: string;
  }
  | {
    readonly kind: ConsensusEffectKind.WrongGroup;
    readonly fromId: ReplicaId;
  };

/** Context of one call of the state machine: its state, inputs and effects. */
export interface StepContext {
  readonly state: ConsensusState;
  readonly nowMs: number;
  readonly random: Random;
  readonly effects: ConsensusEffect[];
}

export function getInstanceId(replicaId: ReplicaId): InstanceId {
  return replicaId.slice(0, replicaId.lastIndexOf("/"));
}

export function getQuorumSize(configuration: LogConfiguration): number {
  return Math.floor(configuration.voters.length / 2) + 1;
}

export function isVoter(state: ConsensusState, id: ReplicaId): boolean {
  return state.configuration.voters.includes(id);
}

export function updateDurable(
  step: StepContext,
  change: Partial<DurableState>,
): void {
  const { state, effects } = step;
  state.durable = { ...state.durable, ...change };
  effects.push({ kind: ConsensusEffectKind.SaveState, durable: state.durable });
}

export function sendMessage(
  step: StepContext,
  toId: ReplicaId,
  message: LogMessage,
): void {
  const { state, effects } = step;
  effects.push({
    kind: ConsensusEffectKind.Send,
    instanceId: getInstanceId(toId),
    envelope: {
      groupId: state.durable.groupId,
      fromId: state.selfId,
      toId,
      message,
    },
  });
}
