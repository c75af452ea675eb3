/**
 * Control log of a control instance: runs the consensus state machine on the
 * data folder, the peer connections and the replicated state.
 *
 * Events that arrive during a disk sync are handled as one batch and share the
 * next sync. After a failed write it is unknown which data reached the disk.
 * The replica then leaves the group, and rejoins it once it has reopened its
 * data folder.
 */
import { Encoder } from "cbor-x";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { Clock } from "../core/clock.ts";
import {
  createError,
  ErrorKind,
  getErrorMessage,
  type SystemError,
} from "../core/errors.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import { createPeriodicTask, type Task } from "../core/supervisor.ts";
import type { InstanceId } from "../core/types.ts";
import {
  EntryKind,
  type LogEntry,
  type LogEnvelope,
} from "../peer/control_log_messages.ts";
import { PeerCallKind } from "../peer/messages.ts";
import type { PeerClient } from "../peer/peer_client.ts";
import type { Command } from "./commands.ts";
import { createConsensusState, stepConsensus } from "./log/consensus.ts";
import { getLastIndex } from "./log/log_entries.ts";
import type { LogFiles } from "./log/log_files.ts";
import {
  closedLogStatus,
  getLogStatus,
  type LogStatus,
} from "./log/log_status.ts";
import { type LogStorage, openLogStorage } from "./log/log_storage.ts";
import {
  type ConsensusEffect,
  ConsensusEffectKind,
  type ConsensusEvent,
  ConsensusEventKind,
  type ConsensusOptions,
  type ConsensusState,
  type DurableState,
  getInstanceId,
  type LogSnapshot,
  Role,
} from "./log/log_types.ts";
import { hasLease, listMessagesBeforeSync } from "./log/replication.ts";
import type { StateMachine, StateSnapshot } from "./state_machine.ts";

export interface ReplicatedLog {
  /** Whether this instance is leader and no other can be leader yet. */
  isLeader(): boolean;
  getLeaderId(): InstanceId | undefined;
  /** Increases with every leader; the fencing token of engine orders. */
  getTerm(): number;
  getStatus(): LogStatus;
  /** Commands that were proposed here and have no result yet. */
  getWaitingCount(): number;
  /**
   * Resolves with the result once a majority has synced the command. A command
   * whose proposal failed may still be committed later.
   */
  propose(command: Command): ResultAsync<unknown, SystemError>;
}

export interface ReplicatedLogService extends ReplicatedLog {
  readonly tasks: readonly Task[];
  receive(envelope: LogEnvelope): void;
}

export interface ReplicatedLogOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: Random;
  readonly peers: PeerClient;
  readonly instanceId: InstanceId;
  readonly dataFolder: string;
  readonly consensus: ConsensusOptions;
  readonly stateMachine: StateMachine;
  /** Minimum size of the commands between two snapshots. */
  readonly minSnapshotIntervalBytes?: number;
  readonly files?: LogFiles;
}

type Resolve = (result: Result<unknown, SystemError>) => void;

interface Proposal {
  readonly term: number;
  readonly resolve: Resolve;
}

const tickMs = 20;
/** A full disk may have space again; a damaged folder needs an operator. */
const reopenDelayMs = 500;
/**
 * A snapshot is taken when the commands since the last one exceed both its size
 * and this minimum, so that writing snapshots costs no more than writing the
 * log.
 */
const defaultMinSnapshotIntervalBytes = 4 * 1024 * 1024;
/** Heartbeats repeat the messages, so a lost reply has no effect. */
const messageTimeoutMs = 1_000;
/** Limits the memory while the disk hangs. */
const maxQueuedProposals = 4_096;
/** A command has up to 4 MiB. */
const maxQueuedBytes = 16 * 1024 * 1024;

const encoder = new Encoder({ useRecords: false, tagUint8Array: false });

/**
 * Sets the time of a command to that of the leader. With the proposers' times,
 * one instance whose clock is a day ahead would expire the claims of all
 * others.
 */
function setCommandTime(command: Command, atWallMs: number): Command {
  return "atWallMs" in command ? { ...command, atWallMs } : command;
}

export function createConsensusOptions(
  options: Pick<
    ConsensusOptions,
    | "founderIds"
    | "listControlIds"
    | "voterCount"
    | "electionTimeoutMs"
    | "replaceVoterAfterMs"
  >,
): ConsensusOptions {
  return {
    ...options,
    // The monotonic clocks of two instances drift apart by far less than a
    // tenth.
    leaseMs: options.electionTimeoutMs * 0.9,
    heartbeatMs: options.electionTimeoutMs / 6,
    trailingEntries: 2_000,
    // Together with a segment and the entries between two snapshots, a small
    // part of a control instance's disk and memory (128 MB and 346 MB).
    trailingBytes: 8 * 1024 * 1024,
    // A frame is at most 4 MiB, and a command at most about 300 KiB.
    maxMessageBytes: 1024 * 1024,
    maxInFlightEntries: 4_096,
    maxInFlightBytes: 8 * 1024 * 1024,
  };
}

export function createReplicatedLog(
  options: ReplicatedLogOptions,
): ReplicatedLogService {
  const { clock, logger, random, peers, stateMachine } = options;
  const minSnapshotIntervalBytes = options.minSnapshotIntervalBytes ??
    defaultMinSnapshotIntervalBytes;
  let queue: ConsensusEvent[] = [];
  /**
   * Proposals that the consensus state machine has not processed yet, by
   * proposal id.
   */
  const queuedProposals = new Map<number, Resolve>();
  /** Proposals in the log, by index. */
  const proposals = new Map<number, Proposal>();
  let nextProposalId = 1;
  /** Bytes of all proposals that have no result yet. */
  let waitingBytes = 0;
  let wake: () => void = () => {};
  let state: ConsensusState | undefined;
  let appliedIndex = 0;
  let appliedTerm = 0;
  let appliedBytes = 0;
  const emptyState = stateMachine.getSnapshot();
  return {
    tasks: [
      { name: "control-log", run },
      createPeriodicTask({
        name: "control-log-tick",
        clock,
        intervalMs: tickMs,
        action: () => enqueue({ kind: ConsensusEventKind.Tick }),
      }),
    ],
    isLeader: () =>
      state !== undefined && hasLease(state, clock.nowMs()) &&
      appliedTerm === state.durable.term,
    getLeaderId: () =>
      state && state.leaderId !== ""
        ? getInstanceId(state.leaderId)
        : undefined,
    getTerm: () => state?.durable.term ?? 0,
    getStatus: () =>
      state ? getLogStatus(state, clock.nowMs()) : closedLogStatus,
    getWaitingCount: () => queuedProposals.size + proposals.size,
    propose: (command) => new ResultAsync(propose(command)),
    receive: (envelope) =>
      enqueue({ kind: ConsensusEventKind.Receive, envelope }),
  };

  function enqueue(event: ConsensusEvent): void {
    if (!state) return;
    queue.push(event);
    wake();
  }

  function propose(command: Command): Promise<Result<unknown, SystemError>> {
    if (!state) return Promise.resolve(notLeader());
    if (queuedProposals.size + proposals.size >= maxQueuedProposals) {
      return Promise.resolve(tooManyWaiting());
    }
    const data = encoder.encode(setCommandTime(command, clock.wallMs()));
    if (waitingBytes > 0 && waitingBytes + data.length > maxQueuedBytes) {
      return Promise.resolve(tooManyWaiting());
    }
    waitingBytes += data.length;
    return new Promise((settle) => {
      const proposalId = nextProposalId++;
      const resolve: Resolve = (result) => {
        waitingBytes -= data.length;
        settle(result);
      };
      queuedProposals.set(proposalId, resolve);
      enqueue({ kind: ConsensusEventKind.Propose, proposalId, data });
    });
  }

  async function run(signal: AbortSignal): Promise<void> {
    signal.addEventListener("abort", () => wake());
    while (!signal.aborted) {
      const reason = await runUntilFailure(signal);
      state = undefined;
      queue = [];
      failProposals(
        createError(ErrorKind.NotLeader, "the control log stopped"),
      );
      if (reason === undefined) return;
      logger.log(logEvents.controlLogStopped, { reason });
      await clock.sleep(reopenDelayMs, signal);
    }
  }

  /** Returns the reason for a failure, or undefined after an abort. */
  async function runUntilFailure(
    signal: AbortSignal,
  ): Promise<string | undefined> {
    let storage: LogStorage | undefined;
    let failure: string | undefined;
    try {
      storage = await open();
      while (!signal.aborted) {
        if (queue.length === 0) {
          await new Promise<void>((resolve) => wake = resolve);
        }
        const events = queue;
        queue = [];
        if (events.length > 0) await handleBatch(storage, events);
      }
    } catch (cause) {
      failure = getErrorMessage(cause);
    }
    const closed = await storage?.close();
    if (closed?.isErr()) failure ??= closed.error.message;
    return failure;
  }

  async function open(): Promise<LogStorage> {
    const { dataFolder, instanceId, consensus, files } = options;
    const storage = unwrap(
      await openLogStorage({
        dataFolder,
        instanceId,
        random,
        ...(files ? { files } : {}),
      }),
    );
    const { stored, replicaId } = storage;
    state = createConsensusState({
      options: consensus,
      selfId: replicaId,
      stored,
      nowMs: clock.nowMs(),
      random,
    });
    if (stored.snapshot.index > 0) restore(stored.snapshot);
    else if (appliedIndex > 0) resetAppliedState();
    logger.log(logEvents.controlLogOpened, {
      replica: replicaId,
      group: stored.durable.groupId,
      term: stored.durable.term,
      snapshotIndex: stored.snapshot.index,
      lastIndex: getLastIndex(state),
    });
    return storage;
  }

  async function handleBatch(
    storage: LogStorage,
    events: readonly ConsensusEvent[],
  ): Promise<void> {
    const effects: ConsensusEffect[] = [];
    const flush: ConsensusEvent = { kind: ConsensusEventKind.Flush };
    for (const event of [...events, flush]) {
      const nowMs = clock.nowMs();
      for (const effect of stepConsensus(state!, event, { nowMs, random })) {
        effects.push(effect);
      }
    }
    const earlyEffects = listMessagesBeforeSync(state!, effects);
    for (const effect of earlyEffects) executeEffect(effect);
    await save(storage, effects);
    for (const effect of effects) {
      if (!earlyEffects.includes(effect)) executeEffect(effect);
    }
    takeSnapshotIfDue();
  }

  async function save(
    storage: LogStorage,
    effects: readonly ConsensusEffect[],
  ): Promise<void> {
    let durable: DurableState | undefined;
    let entries: LogEntry[] = [];
    for (const effect of effects) {
      if (effect.kind === ConsensusEffectKind.SaveState) {
        durable = effect.durable;
      }
      if (effect.kind === ConsensusEffectKind.SaveEntries) {
        const firstIndex = effect.entries[0]!.index;
        while (entries.length > 0 && entries.at(-1)!.index >= firstIndex) {
          entries.pop();
        }
        for (const entry of effect.entries) entries.push(entry);
      }
      if (effect.kind === ConsensusEffectKind.SaveSnapshot) {
        await write();
        unwrap(await storage.saveSnapshot(effect.snapshot, effect));
      }
    }
    await write();

    async function write(): Promise<void> {
      if (!durable && entries.length === 0) return;
      unwrap(await storage.write({ ...(durable ? { durable } : {}), entries }));
      durable = undefined;
      entries = [];
    }
  }

  function executeEffect(effect: ConsensusEffect): void {
    switch (effect.kind) {
      case ConsensusEffectKind.Send:
        void peers.call(effect.instanceId, PeerCallKind.LogMessage, {
          body: effect.envelope,
          timeoutMs: messageTimeoutMs,
        });
        return;
      case ConsensusEffectKind.Commit:
        for (const entry of effect.entries) apply(entry);
        return;
      case ConsensusEffectKind.Restore:
        restore(effect.snapshot);
        return;
      case ConsensusEffectKind.ProposalAppended: {
        const { proposalId, index, term } = effect;
        proposals.set(index, { term, resolve: takeQueuedProposal(proposalId) });
        return;
      }
      case ConsensusEffectKind.ProposalRejected:
        takeQueuedProposal(effect.proposalId)(notLeader());
        return;
      case ConsensusEffectKind.RoleChanged:
        handleRoleChange(effect.from, effect.to, effect.term);
        return;
      case ConsensusEffectKind.VotersChanged:
        logger.log(logEvents.votersChanging, effect.configuration);
        return;
      case ConsensusEffectKind.GroupBootstrapped:
        logger.log(logEvents.controlGroupBootstrapped, {
          group: effect.groupId,
        });
        return;
      case ConsensusEffectKind.WrongGroup:
        logger.log(logEvents.controlGroupMismatch, { from: effect.fromId });
        return;
      default:
        return; // already saved
    }
  }

  function apply(entry: LogEntry): void {
    let result: unknown;
    if (entry.kind === EntryKind.Command) {
      result = stateMachine.apply(encoder.decode(entry.data) as Command);
    }
    appliedIndex = entry.index;
    appliedTerm = entry.term;
    appliedBytes += entry.data.length;
    const proposal = proposals.get(entry.index);
    if (!proposal) return;
    proposals.delete(entry.index);
    proposal.resolve(proposal.term === entry.term ? ok(result) : notLeader());
  }

  function restore(snapshot: LogSnapshot): void {
    stateMachine.restore(encoder.decode(snapshot.data) as StateSnapshot);
    appliedIndex = snapshot.index;
    appliedTerm = snapshot.term;
    appliedBytes = 0;
  }

  /**
   * Resets the replicated state; the committed entries are then applied again
   * from the first one.
   */
  function resetAppliedState(): void {
    stateMachine.restore(emptyState);
    appliedIndex = 0;
    appliedTerm = 0;
    appliedBytes = 0;
  }

  function takeSnapshotIfDue(): void {
    const isDue = appliedBytes >=
      Math.max(minSnapshotIntervalBytes, state!.snapshot.data.length);
    const isQueued = queue.some(({ kind }) =>
      kind === ConsensusEventKind.SnapshotCreated
    );
    if (!isDue || isQueued) return;
    appliedBytes = 0;
    enqueue({
      kind: ConsensusEventKind.SnapshotCreated,
      index: appliedIndex,
      data: encoder.encode(stateMachine.getSnapshot()),
    });
  }

  function handleRoleChange(from: Role, to: Role, term: number): void {
    if (to === Role.Leader) logger.log(logEvents.leaderElected, { term });
    if (from !== Role.Leader) return;
    logger.log(logEvents.leaderSteppedDown, { term });
    // The next leader may still commit these entries. The proposers retry
    // there, and applying a command twice is harmless.
    for (const { resolve } of proposals.values()) resolve(notLeader());
    proposals.clear();
  }

  function takeQueuedProposal(proposalId: number): Resolve {
    const resolve = queuedProposals.get(proposalId)!;
    queuedProposals.delete(proposalId);
    return resolve;
  }

  function failProposals(error: SystemError): void {
    const resolves = [
      ...queuedProposals.values(),
      ...[...proposals.values()].map(({ resolve }) => resolve),
    ];
    queuedProposals.clear();
    proposals.clear();
    for (const resolve of resolves) resolve(err(error));
  }
}

function tooManyWaiting(): Result<never, SystemError> {
  return err(createError(
    ErrorKind.Overloaded,
    "too many commands are waiting for the control log",
    { retryAfterMs: 1_000 },
  ));
}

function notLeader(): Result<never, SystemError> {
  return err(createError(ErrorKind.NotLeader, "not the control leader"));
}

function unwrap<T>(result: Result<T, SystemError>): T {
  if (result.isErr()) throw new Error(result.error.message);
  return result.value;
}
