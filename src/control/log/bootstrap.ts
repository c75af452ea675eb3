/**
 * Bootstrap of the consensus group, and hello messages of replicas without a
 * leader.
 *
 * Only the first instance of `founderIds` bootstraps a group, and only after
 * every listed instance has reported, during the lifetime of this process, that
 * its data folder never belonged to a group. `docs/control_log.md` explains why
 * this cannot form two groups that commit.
 */
import { EntryKind, LogMessageKind } from "../../peer/control_log_messages.ts";
import type {
  LogEnvelope,
  LogMessageOf,
} from "../../peer/control_log_messages.ts";
import { appendEntries } from "./log_entries.ts";
import {
  ConsensusEffectKind,
  type ConsensusState,
  getInstanceId,
  isVoter,
  Role,
  type StepContext,
  updateDurable,
} from "./log_types.ts";
import { addLearner } from "./membership_changes.ts";

/**
 * Sends hello messages to the other control instances while no leader is heard
 * or this replica belongs to no group.
 */
export function sendHellos(step: StepContext): void {
  const { state, nowMs } = step;
  if (nowMs < state.nextHelloAtMs) return;
  const { electionTimeoutMs, heartbeatMs } = state.options;
  const isFresh = state.durable.groupId === "";
  const hasNoLeader = state.role.kind !== Role.Leader &&
    nowMs >= state.leaderContactAtMs + electionTimeoutMs;
  if (!isFresh && !hasNoLeader) return;
  state.nextHelloAtMs = nowMs + 2 * heartbeatMs;
  bootstrapGroup(step);
  for (const instanceId of state.options.listControlIds()) {
    if (instanceId === getInstanceId(state.selfId)) continue;
    step.effects.push({
      kind: ConsensusEffectKind.Send,
      instanceId,
      envelope: {
        groupId: state.durable.groupId,
        fromId: state.selfId,
        toId: "",
        message: {
          kind: LogMessageKind.Hello,
          founderIds: [...state.options.founderIds],
        },
      },
    });
  }
}

export function receiveHello(
  step: StepContext,
  { fromId, groupId, message }: LogEnvelope & {
    message: LogMessageOf<LogMessageKind.Hello>;
  },
): void {
  const { state, effects } = step;
  const hasSameFounders = JSON.stringify(message.founderIds) ===
    JSON.stringify(state.options.founderIds);
  effects.push({
    kind: ConsensusEffectKind.Send,
    instanceId: getInstanceId(fromId),
    envelope: {
      groupId: state.durable.groupId,
      fromId: state.selfId,
      toId: fromId,
      message: {
        kind: LogMessageKind.HelloReply,
        isFresh: state.durable.groupId === "" && hasSameFounders,
      },
    },
  });
  const isControlInstance = state.options.listControlIds().includes(
    getInstanceId(fromId),
  );
  const isOwnGroup = groupId === "" || groupId === state.durable.groupId;
  if (isControlInstance && isOwnGroup) addLearner(step, fromId);
}

export function receiveHelloReply(
  step: StepContext,
  { fromId, message }: LogEnvelope & {
    message: LogMessageOf<LogMessageKind.HelloReply>;
  },
): void {
  const { state } = step;
  if (state.durable.groupId !== "") return;
  const instanceId = getInstanceId(fromId);
  if (message.isFresh) state.freshReplicas.set(instanceId, fromId);
  else state.freshReplicas.delete(instanceId);
  bootstrapGroup(step);
}

function bootstrapGroup(step: StepContext): void {
  const { state, random, effects } = step;
  const { founderIds, voterCount } = state.options;
  const isFounder = founderIds[0] === getInstanceId(state.selfId);
  if (!isFounder || state.durable.groupId !== "") return;
  const replicaIds = founderIds.map((instanceId) =>
    instanceId === founderIds[0]
      ? state.selfId
      : state.freshReplicas.get(instanceId)
  ).filter((id) => id !== undefined);
  if (replicaIds.length < founderIds.length) return;
  const groupId = Array.from(
    { length: 4 },
    () => random.nextInt(2 ** 31).toString(16).padStart(8, "0"),
  ).join("");
  updateDurable(step, { groupId, term: 1 });
  // Every log of the group starts with this entry, so no replica can start an
  // election before it knows the initial voters.
  appendEntries(step, [{
    index: 1,
    term: 1,
    kind: EntryKind.Configuration,
    data: new Uint8Array(),
    configuration: {
      voters: replicaIds.slice(0, voterCount),
      learners: replicaIds.slice(voterCount),
    },
  }]);
  state.freshReplicas.clear();
  state.electionDueAtMs = step.nowMs;
  effects.push({ kind: ConsensusEffectKind.GroupBootstrapped, groupId });
}

/**
 * Whether the message is addressed to this identity and comes from its group. A
 * replica without a group joins the group of the first leader or candidate that
 * addresses it by its full identity.
 */
export function acceptsEnvelope(
  step: StepContext,
  envelope: LogEnvelope,
): boolean {
  const { state, effects } = step;
  const { kind } = envelope.message;
  if (kind === LogMessageKind.Hello) return envelope.toId === "";
  if (envelope.toId !== state.selfId) return false;
  if (kind === LogMessageKind.HelloReply) return true;
  if (envelope.groupId === state.durable.groupId) {
    return envelope.groupId !== "";
  }
  if (state.durable.groupId === "" && envelope.groupId !== "") {
    updateDurable(step, { groupId: envelope.groupId });
    return true;
  }
  effects.push({
    kind: ConsensusEffectKind.WrongGroup,
    fromId: envelope.fromId,
  });
  return false;
}

export function canStartElection(state: ConsensusState): boolean {
  return state.durable.groupId !== "" && isVoter(state, state.selfId);
}
