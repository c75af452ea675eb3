/**
 * Simulates a group of control log replicas: the consensus state machines run
 * against simulated disks, network and clocks. The safety properties are
 * asserted after every step.
 */
import assert from "node:assert/strict";
import { createRandom } from "../src/core/random.ts";
import {
  EntryKind,
  type LogConfiguration,
  type LogEnvelope,
  LogMessageKind,
} from "../src/peer/control_log_messages.ts";
import {
  createConsensusState,
  emptySnapshot,
  stepConsensus,
} from "../src/control/log/consensus.ts";
import { getTermAt } from "../src/control/log/log_entries.ts";
import {
  type ConsensusEffect,
  ConsensusEffectKind,
  type ConsensusEvent,
  ConsensusEventKind,
  type ConsensusState,
  getQuorumSize,
  type ReplicaId,
  Role,
  type StoredLog,
} from "../src/control/log/log_types.ts";
import {
  hasLease,
  listMessagesBeforeSync,
} from "../src/control/log/replication.ts";

/** A control instance of the group, with its disk and its replica. */
export interface SimulatedNode {
  readonly instanceId: string;
  readonly clockRate: number;
  replicaId: ReplicaId;
  disk: StoredLog;
  state: ConsensusState | undefined;
  isPaused: boolean;
  /** Effects of the last batch, to be executed after its disk sync. */
  unsynced: ConsensusEffect[];
  applied: string[];
  inbox: ConsensusEvent[];
}

export interface SimulatedGroupOptions {
  readonly size: number;
  readonly voterCount: number;
  readonly seed?: number;
  readonly replaceVoterAfterMs?: number;
  readonly electionTimeoutMs?: number;
}

interface Delivery {
  readonly envelope: LogEnvelope;
  readonly dueAtMs: number;
}

const emptyDisk: StoredLog = {
  durable: { groupId: "", term: 0, votedFor: "" },
  snapshot: emptySnapshot,
  entries: [],
};

export function createSimulatedGroup(
  {
    size,
    voterCount,
    seed = 1,
    replaceVoterAfterMs = 400,
    electionTimeoutMs = 100,
  }: SimulatedGroupOptions,
) {
  const random = createRandom(seed);
  const controlInstanceIds = Array.from({ length: size }, (_, i) => `c${i}`);
  const options = {
    founderIds: controlInstanceIds,
    listControlIds: () => controlInstanceIds,
    voterCount,
    electionTimeoutMs,
    leaseMs: 0.9 * electionTimeoutMs,
    heartbeatMs: electionTimeoutMs / 5,
    replaceVoterAfterMs,
    trailingEntries: 3,
    trailingBytes: 250,
    maxMessageBytes: 400,
    maxInFlightEntries: 8,
    maxInFlightBytes: 1_000,
  };
  const leaders = new Map<string, ReplicaId>();
  const votes = new Map<string, ReplicaId>();
  const committed = new Map<number, string>();
  const lostIds = new Set<ReplicaId>();
  let committedConfiguration: LogConfiguration = { voters: [], learners: [] };
  let committedGroupId = "";
  let incarnation = 0;
  let proposalCount = 0;
  let nowMs = 1_000;
  const network: Delivery[] = [];
  /** Directed links that drop all messages, as `from>to`. */
  const cutLinks = new Set<string>();
  /** Delay of the messages sent by an instance, by instance id. */
  const sendDelaysMs = new Map<string, number>();
  const nodes: SimulatedNode[] = controlInstanceIds.map((instanceId) => ({
    instanceId,
    clockRate: 0.98 + 0.04 * random.next(),
    replicaId: `${instanceId}/${incarnation++}`,
    disk: emptyDisk,
    state: undefined,
    isPaused: false,
    unsynced: [],
    applied: [],
    inbox: [],
  }));
  for (const node of nodes) start(node);
  return {
    options,
    nodes,
    committed,
    run,
    step,
    kill,
    start,
    loseDisk,
    canLoseDisk,
    getLeader,
    propose,
    snapshot,
    sync,
    deliver,
    heal: () => {
      cutLinks.clear();
      sendDelaysMs.clear();
    },
    cutLink: (from: string, to: string) => void cutLinks.add(`${from}>${to}`),
    delay: (from: string, delayMs: number) =>
      void sendDelaysMs.set(from, delayMs),
    isolate,
    drop: (index: number) => network.splice(index % (network.length || 1), 1),
    duplicate: (index: number) => {
      const delivery = network[index % (network.length || 1)];
      if (delivery) network.push(delivery);
    },
    getProposalCount: () => proposalCount,
  };

  function getNowMs(node: SimulatedNode): number {
    return nowMs * node.clockRate;
  }

  function start(node: SimulatedNode): void {
    if (node.state) return;
    node.applied = decode(node.disk.snapshot.data);
    node.state = createConsensusState({
      options,
      selfId: node.replicaId,
      stored: structuredClone(node.disk),
      nowMs: getNowMs(node),
      random,
    });
  }

  function kill(node: SimulatedNode): void {
    node.state = undefined;
    node.isPaused = false;
    node.unsynced = [];
    node.inbox = [];
  }

  function loseDisk(node: SimulatedNode): void {
    kill(node);
    lostIds.add(node.replicaId);
    node.replicaId = `${node.instanceId}/${incarnation++}`;
    node.disk = emptyDisk;
  }

  /**
   * Whether the instance's disk can be lost without losing committed entries:
   * a quorum of intact disks must remain in every configuration in use.
   */
  function canLoseDisk(node: SimulatedNode): boolean {
    const configurations = [
      committedConfiguration,
      ...nodes.flatMap((entry) => entry.state?.configuration ?? []),
      ...nodes.flatMap((entry) =>
        entry.disk.entries.flatMap((e) => e.configuration ?? [])
      ),
    ];
    return configurations.every((configuration) => {
      const { voters } = configuration;
      const intact = voters.filter((id) =>
        !lostIds.has(id) && id !== node.replicaId
      );
      return voters.length === 0 || !voters.includes(node.replicaId) ||
        intact.length >= getQuorumSize(configuration);
    });
  }

  /**
   * Handles the events as one batch. While the instance is paused or a disk
   * sync is pending, the events stay in its inbox.
   */
  function step(node: SimulatedNode, events: readonly ConsensusEvent[]): void {
    if (!node.state) return;
    node.inbox.push(...events);
    if (node.isPaused || node.unsynced.length > 0) return;
    const batch = [...node.inbox, { kind: ConsensusEventKind.Flush } as const];
    node.inbox = [];
    for (const event of batch) {
      const context = { nowMs: getNowMs(node), random };
      node.unsynced.push(...stepConsensus(node.state, event, context));
      checkLeadership(node);
    }
    const sentBeforeSync = listMessagesBeforeSync(node.state, node.unsynced);
    for (const effect of sentBeforeSync) executeEffect(node, effect);
    node.unsynced = node.unsynced.filter((effect) =>
      !sentBeforeSync.includes(effect)
    );
  }

  function sync(node: SimulatedNode): void {
    const { unsynced, state } = node;
    if (!state || node.isPaused) return;
    node.unsynced = [];
    for (const effect of unsynced) writeToDisk(node, effect);
    for (const effect of unsynced) executeEffect(node, effect);
  }

  function writeToDisk(node: SimulatedNode, effect: ConsensusEffect): void {
    const { disk } = node;
    if (effect.kind === ConsensusEffectKind.SaveState) {
      node.disk = { ...disk, durable: effect.durable };
    } else if (effect.kind === ConsensusEffectKind.SaveEntries) {
      const kept = disk.entries.filter((entry) =>
        entry.index < effect.entries[0]!.index
      );
      node.disk = { ...disk, entries: [...kept, ...effect.entries] };
    } else if (effect.kind === ConsensusEffectKind.SaveSnapshot) {
      const { snapshot, baseIndex, isReset } = effect;
      const entries = disk.entries.filter((entry) =>
        !isReset && entry.index > baseIndex
      );
      node.disk = { ...disk, snapshot, entries };
    }
  }

  function executeEffect(node: SimulatedNode, effect: ConsensusEffect): void {
    if (effect.kind === ConsensusEffectKind.Send) {
      recordVoteReply(effect.envelope);
      const delayMs = sendDelaysMs.get(node.instanceId) ?? 0;
      network.push({ envelope: effect.envelope, dueAtMs: nowMs + delayMs });
    } else if (effect.kind === ConsensusEffectKind.Restore) {
      node.applied = decode(effect.snapshot.data);
      checkApplied(node);
    } else if (effect.kind === ConsensusEffectKind.Commit) {
      for (const entry of effect.entries) {
        const text = `${entry.index}:${entry.term}:${entry.kind}:${entry.data}`;
        const existing = committed.get(entry.index);
        if (existing === undefined) committed.set(entry.index, text);
        else assert.equal(text, existing, "a committed entry was changed");
        if (entry.configuration && existing === undefined) {
          checkMembershipChange(committedConfiguration, entry.configuration);
          committedConfiguration = entry.configuration;
        }
        node.applied.push(text);
      }
      committedGroupId ||= node.state!.durable.groupId;
      assert.equal(
        node.state!.durable.groupId,
        committedGroupId,
        "entries of two groups were committed",
      );
      checkApplied(node);
    } else if (
      effect.kind === ConsensusEffectKind.RoleChanged &&
      effect.to === Role.Candidate
    ) {
      recordVote(node.replicaId, effect.term, node.replicaId);
    }
  }

  function checkApplied(node: SimulatedNode): void {
    node.applied.forEach((text, index) =>
      assert.equal(
        text,
        committed.get(index + 1),
        "applied entries are not a prefix of the committed log",
      )
    );
  }

  function recordVoteReply({ fromId, toId, message }: LogEnvelope): void {
    if (message.kind !== LogMessageKind.VoteReply) return;
    if (!message.isPreVote && message.isGranted) {
      recordVote(fromId, message.term, toId);
    }
  }

  function recordVote(voterId: string, term: number, candidateId: string) {
    const key = `${voterId} ${term}`;
    assert.equal(
      votes.get(key) ?? candidateId,
      candidateId,
      "a replica voted twice in one term",
    );
    votes.set(key, candidateId);
  }

  function checkLeadership(node: SimulatedNode): void {
    const { role, durable } = node.state!;
    if (role.kind === Role.Leader) {
      const key = `${durable.groupId} ${durable.term}`;
      const leaderId = leaders.get(key) ?? node.replicaId;
      assert.equal(node.replicaId, leaderId, "two leaders in one term");
      if (!leaders.has(key)) {
        leaders.set(key, node.replicaId);
        if (durable.groupId === committedGroupId) checkLeaderCompleteness(node);
      }
    }
    const leaseHolders = nodes.filter((entry) =>
      entry.state && hasLease(entry.state, getNowMs(entry))
    );
    assert.ok(leaseHolders.length <= 1, "two leaders hold a lease at once");
  }

  function checkLeaderCompleteness(node: SimulatedNode): void {
    for (const [index, text] of committed) {
      if (index <= node.state!.baseIndex) continue;
      const term = getTermAt(node.state!, index);
      assert.equal(
        text.split(":")[1],
        `${term}`,
        "the leader lacks a committed entry",
      );
    }
  }

  function deliver(index: number): void {
    const [delivery] = network.splice(index % (network.length || 1), 1);
    if (!delivery) return;
    const { envelope } = delivery;
    const [fromId, toId] = [envelope.fromId, envelope.toId].map((id) =>
      id.split("/")[0]!
    );
    // A hello message has no recipient; it is delivered to every instance.
    for (const node of nodes) {
      if (toId !== "" && toId !== node.instanceId) continue;
      if (node.instanceId === fromId) continue;
      if (cutLinks.has(`${fromId}>${node.instanceId}`)) continue;
      step(node, [{ kind: ConsensusEventKind.Receive, envelope }]);
    }
  }

  /**
   * Advances the time in ticks of 5 ms. Messages are delivered in random order,
   * and disk syncs finish within the tick.
   */
  function run(durationMs: number, lossRatio = 0): void {
    for (const endMs = nowMs + durationMs; nowMs < endMs; nowMs += 5) {
      for (const node of nodes) step(node, [{ kind: ConsensusEventKind.Tick }]);
      nodes.forEach(sync);
      for (let count = network.length; count > 0; count--) {
        const index = random.nextInt(network.length || 1);
        const dueAtMs = network[index]?.dueAtMs ?? nowMs;
        if (dueAtMs > nowMs) continue;
        if (random.next() < lossRatio) network.splice(index, 1);
        else deliver(index);
        nodes.forEach(sync);
      }
    }
  }

  /** Cuts the links between the given instances and all others. */
  function isolate(...isolated: readonly SimulatedNode[]): void {
    for (const node of isolated) {
      for (const other of nodes) {
        if (isolated.includes(other)) continue;
        cutLinks.add(`${node.instanceId}>${other.instanceId}`);
        cutLinks.add(`${other.instanceId}>${node.instanceId}`);
      }
    }
  }

  function getLeader(): SimulatedNode | undefined {
    return nodes.find((node) =>
      node.state && hasLease(node.state, getNowMs(node))
    );
  }

  function propose(node: SimulatedNode): void {
    proposalCount += 1;
    const data = new Uint8Array([proposalCount >> 8, proposalCount & 255]);
    step(node, [{
      kind: ConsensusEventKind.Propose,
      proposalId: proposalCount,
      data,
    }]);
  }

  function snapshot(node: SimulatedNode): void {
    const index = node.applied.length;
    const data = new TextEncoder().encode(JSON.stringify(node.applied));
    step(node, [{ kind: ConsensusEventKind.SnapshotCreated, index, data }]);
  }
}

/** Quorums overlap only if a change adds or removes at most one voter. */
function checkMembershipChange(
  from: LogConfiguration,
  to: LogConfiguration,
): void {
  if (from.voters.length === 0) return; // bootstrap
  const changed = [...from.voters, ...to.voters].filter((id) =>
    !from.voters.includes(id) || !to.voters.includes(id)
  );
  assert.ok(
    changed.length <= 1,
    "a membership change affects more than one voter",
  );
}

function decode(data: Uint8Array): string[] {
  return data.length === 0 ? [] : JSON.parse(new TextDecoder().decode(data));
}

export type SimulatedGroup = ReturnType<typeof createSimulatedGroup>;

export function isCommitted(
  group: SimulatedGroup,
  proposalNumber: number,
): boolean {
  const data = `${proposalNumber >> 8},${proposalNumber & 255}`;
  return [...group.committed.values()].some((text) =>
    text.endsWith(`:${EntryKind.Command}:${data}`)
  );
}

/** Proposes commands to the leader until one of them is committed. */
export function expectProgress(group: SimulatedGroup, withinMs: number): void {
  for (let waitedMs = 0; waitedMs < withinMs; waitedMs += 50) {
    const leader = group.getLeader();
    if (leader) group.propose(leader);
    group.run(50);
    if (leader && isCommitted(group, group.getProposalCount())) return;
  }
  assert.fail("no command was committed in time");
}
