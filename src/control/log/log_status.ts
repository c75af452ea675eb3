/**
 * What a replica knows of its group, for metrics and for the log events of
 * operators' commands that failed.
 */
import { type ConsensusState, Role } from "./log_types.ts";
import { getLastContactAtMs } from "./member_contacts.ts";

export interface LogStatus {
  readonly role: Role | "closed";
  readonly term: number;
  /** Empty where none is known. */
  readonly leaderId: string;
  readonly voterCount: number;
  /**
   * Voters, the leader included, that acknowledged it within the election
   * timeout; 0 at other replicas.
   */
  readonly reachableVoterCount: number;
  /** Silence of the voter that the leader has not heard for longest, in ms. */
  readonly longestVoterSilenceMs: number;
  /** Commands in memory, in bytes. */
  readonly entryBytes: number;
}

export const closedLogStatus: LogStatus = {
  role: "closed",
  term: 0,
  leaderId: "",
  voterCount: 0,
  reachableVoterCount: 0,
  longestVoterSilenceMs: 0,
  entryBytes: 0,
};

export function getLogStatus(state: ConsensusState, nowMs: number): LogStatus {
  const { role, configuration, durable, leaderId, entries } = state;
  const silencesMs = role.kind === Role.Leader
    ? configuration.voters.filter((id) => id !== state.selfId).map((id) =>
      nowMs - getLastContactAtMs(state, id)
    )
    : [];
  const isReachable = (silenceMs: number) =>
    silenceMs < state.options.electionTimeoutMs;
  return {
    role: role.kind,
    term: durable.term,
    leaderId,
    voterCount: configuration.voters.length,
    reachableVoterCount: role.kind === Role.Leader
      ? silencesMs.filter(isReachable).length + 1
      : 0,
    longestVoterSilenceMs: Math.round(Math.max(0, ...silencesMs)),
    entryBytes: entries.reduce((bytes, { data }) => bytes + data.length, 0),
  };
}
