/**
 * Asks the control leader for repeats of requests, from an entry instance. Any
 * control instance names the leader.
 */
import type { InstanceId } from "../core/types.ts";
import type { RepeatUrgency } from "../limits/repeat_window.ts";
import { PeerCallKind } from "../peer/messages.ts";
import type { PeerClient } from "../peer/peer_client.ts";

export interface RepeatGrantClient {
  /** Resolves with the number granted; 0 if no leader replies in time. */
  request(
    service: string,
    units: number,
    urgency: RepeatUrgency,
  ): Promise<number>;
}

export interface RepeatGrantClientOptions {
  readonly peers: Pick<PeerClient, "call">;
  /** Control instances that can be reached, the nearest first. */
  listReachableControlIds(): readonly InstanceId[];
}

/**
 * Far above a round trip between failure domains, and short against the pause
 * that a stream's caller accepts.
 */
const timeoutMs = 150;

export function createRepeatGrantClient(
  { peers, listReachableControlIds }: RepeatGrantClientOptions,
): RepeatGrantClient {
  let leaderId: InstanceId | undefined;
  /** The instance that did not reply last; another one is asked next. */
  let silentId: InstanceId | undefined;
  return { request };

  async function request(
    service: string,
    units: number,
    urgency: RepeatUrgency,
  ): Promise<number> {
    const reachableIds = listReachableControlIds();
    const isKnown = leaderId !== undefined && reachableIds.includes(leaderId);
    const askedId = isKnown
      ? leaderId
      : reachableIds.find((controlId) => controlId !== silentId) ??
        reachableIds[0];
    if (askedId === undefined) return 0;
    const reply = await ask(askedId);
    silentId = reply ? undefined : askedId;
    if (!reply) {
      leaderId = undefined;
      return 0;
    }
    if (reply.isLeader) {
      leaderId = askedId;
      return reply.granted;
    }
    leaderId = reachableIds.includes(reply.leaderId)
      ? reply.leaderId
      : undefined;
    if (leaderId === undefined) return 0;
    const fromLeader = await ask(leaderId);
    return fromLeader?.isLeader ? fromLeader.granted : 0;

    async function ask(controlId: InstanceId) {
      const result = await peers.call(controlId, PeerCallKind.GrantRepeats, {
        body: { service, units, urgency },
        timeoutMs,
      });
      return result.unwrapOr(undefined);
    }
  }
}
