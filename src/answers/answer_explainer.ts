/**
 * Collects the records that all instances have of one answer, for operators.
 */
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { createError, ErrorKind, type SystemError } from "../core/errors.ts";
import type { AnswerId } from "../core/types.ts";
import type { MembershipView } from "../membership/membership_view.ts";
import { PeerCallKind } from "../peer/messages.ts";
import type { PeerClient } from "../peer/peer_client.ts";
import { type AnswerRecord, AnswerRole } from "./answer_history.ts";
import type { OwnedAnswer } from "./owned_answer.ts";
import type { HeldAnswer } from "./replica_store.ts";

export interface AnswerExplainer {
  explain(
    answerId: AnswerId,
  ): ResultAsync<{ records: AnswerRecord[] }, SystemError>;
}

export interface AnswerExplainerOptions {
  readonly membership: MembershipView;
  readonly peers: PeerClient;
  describeLocal(answerId: AnswerId): AnswerRecord[];
}

const describeTimeoutMs = 1_000;

export function createAnswerExplainer(
  { membership, peers, describeLocal }: AnswerExplainerOptions,
): AnswerExplainer {
  return {
    explain: (answerId) =>
      ResultAsync.fromSafePromise(collect(answerId)).andThen((explanation) =>
        explanation.records.length > 0 ? ok(explanation) : err(createError(
          ErrorKind.NotFound,
          "no reachable instance knows the answer",
        ))
      ),
  };

  async function collect(
    answerId: AnswerId,
  ): Promise<{ records: AnswerRecord[] }> {
    const selfId = membership.getSelf().instanceId;
    const others = membership.listInstances()
      .map(({ instanceId }) => instanceId)
      .filter((instanceId) => instanceId !== selfId);
    const replies = await Promise.all(others.map(async (instanceId) => {
      const reply: Result<{ records: AnswerRecord[] }, SystemError> =
        await peers.call(instanceId, PeerCallKind.DescribeAnswer, {
          body: { answerId },
          timeoutMs: describeTimeoutMs,
        });
      return reply.orElse(() => ok({ records: [] }))._unsafeUnwrap().records;
    }));
    return { records: [...describeLocal(answerId), ...replies.flat()] };
  }
}

export function describeOwned(answer: OwnedAnswer): AnswerRecord {
  const { state } = answer;
  const unreplicatedTokens = state.unreplicatedRanges.reduce(
    (total, range) => total + range.toPosition - range.fromPosition,
    0,
  );
  return {
    instanceId: state.owner.instanceId,
    role: AnswerRole.Owner,
    customerId: state.meta.customerId,
    service: state.meta.request.model,
    version: state.meta.version,
    ownerId: state.owner.instanceId,
    tokenCount: state.tokens.length,
    releasedCount: state.releasedCount,
    isEnded: state.end !== undefined,
    endReason: state.end?.reason ?? "",
    replicaId: state.replica?.instanceId ?? "",
    duplicatedTokens: state.waste.droppedTokens,
    refilledTokens: state.waste.refilledTokens,
    unreplicatedTokens,
    history: answer.listHistory(),
  };
}

export function describeHeld(
  copy: HeldAnswer,
  instanceId: string,
): AnswerRecord {
  return {
    instanceId,
    role: AnswerRole.Replica,
    customerId: copy.meta.customerId,
    service: copy.meta.request.model,
    version: copy.meta.version,
    ownerId: copy.owner.instanceId,
    tokenCount: copy.tokens.length,
    releasedCount: 0,
    isEnded: copy.end !== undefined,
    endReason: copy.end?.reason ?? "",
    replicaId: instanceId,
    duplicatedTokens: 0,
    refilledTokens: 0,
    unreplicatedTokens: 0,
    history: [],
  };
}
