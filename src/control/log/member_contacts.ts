/**
 * When each member was last known to be up. Leaders report it to followers, and
 * followers to candidates, so that a new leader does not count the silence of a
 * lost voter from its own election: with a few changes of the leader, the voter
 * would count until the next disk is lost, and the group would have no majority
 * for good.
 *
 * Only ages are sent, since the clocks of two replicas are not comparable. The
 * transit time makes a member seem more recent than it was, never less.
 */
import type { MemberSilences } from "../../peer/control_log_messages.ts";
import type { ConsensusState, ReplicaId, StepContext } from "./log_types.ts";

export function recordContact(
  { lastContactsAtMs, configuration }: ConsensusState,
  id: ReplicaId,
  atMs: number,
): void {
  const members = [...configuration.voters, ...configuration.learners];
  if (!members.includes(id)) return;
  const lastAtMs = lastContactsAtMs.get(id) ?? -Infinity;
  lastContactsAtMs.set(id, Math.max(lastAtMs, atMs));
  if (lastContactsAtMs.size <= members.length) return;
  for (const known of lastContactsAtMs.keys()) {
    if (!members.includes(known)) lastContactsAtMs.delete(known);
  }
}

export function listSilences(
  { state, nowMs }: StepContext,
): MemberSilences {
  const { voters, learners } = state.configuration;
  return [...voters, ...learners].flatMap((replicaId) => {
    const atMs = state.lastContactsAtMs.get(replicaId);
    if (replicaId === state.selfId || atMs === undefined) return [];
    return [{ replicaId, silentMs: Math.max(0, nowMs - atMs) }];
  });
}

export function recordSilences(
  { state, nowMs }: StepContext,
  silences: MemberSilences,
): void {
  for (const { replicaId, silentMs } of silences) {
    recordContact(state, replicaId, nowMs - silentMs);
  }
}

/**
 * A replica that nobody has heard, as far as this one knows, was not up since
 * this one started: leaders report whom they hear.
 */
export function getLastContactAtMs(
  state: ConsensusState,
  id: ReplicaId,
): number {
  return state.lastContactsAtMs.get(id) ?? state.startedAtMs;
}
