/**
 * Builds the replies to read requests, from an owned answer or a held copy.
 */
import { type ReadReply, ReadStatus } from "../peer/messages.ts";
import type { ReadRequest } from "../peer/messages.ts";
import type { AnswerState } from "./answer_state.ts";
import { canContinue } from "./lineage.ts";
import type { HeldAnswer } from "./replica_store.ts";

/** Keeps a reply well below the maximum frame size. */
const maxReplyChars = 500_000;

export function getOwnedReply(
  state: AnswerState,
  request: ReadRequest,
): ReadReply {
  const journal = { lineage: state.lineage, tokenCount: state.releasedCount };
  const base = {
    ownerId: state.owner.instanceId,
    ownerNumber: state.owner.attemptNumber,
    heldCount: state.tokens.length,
    lineage: [...state.lineage],
  };
  if (!canContinue(journal, getReadPosition(request))) {
    // A new owner releases tokens only after its own replica has them, so a
    // caller may briefly be ahead of it.
    const isCallerAhead = canContinue(
      { lineage: state.lineage, tokenCount: state.tokens.length },
      getReadPosition(request),
    );
    const status = isCallerAhead ? ReadStatus.Tokens : ReadStatus.Diverged;
    return { ...base, status, tokens: [] };
  }
  return {
    ...base,
    status: ReadStatus.Tokens,
    ...getReplyTokens(state, {
      fromPosition: request.fromPosition,
      toPosition: state.releasedCount,
      isEnded: state.isEndReleased,
    }),
  };
}

export function getHeldReply(
  copy: HeldAnswer | undefined,
  request: ReadRequest,
): ReadReply {
  if (!copy) return getEmptyReply(ReadStatus.NotHeld);
  if (copy.meta.customerId !== request.customerId) {
    return getEmptyReply(ReadStatus.Forbidden);
  }
  const base = {
    ownerId: copy.owner.instanceId,
    ownerNumber: copy.owner.attemptNumber,
    heldCount: copy.tokens.length,
    lineage: [...copy.lineage],
  };
  if (!copy.end) return { ...base, status: ReadStatus.HeldCopy, tokens: [] };
  const journal = { lineage: copy.lineage, tokenCount: copy.tokens.length };
  if (!canContinue(journal, getReadPosition(request))) {
    return { ...base, status: ReadStatus.Diverged, tokens: [] };
  }
  return {
    ...base,
    status: ReadStatus.Tokens,
    ...getReplyTokens(copy, {
      fromPosition: request.fromPosition,
      toPosition: copy.tokens.length,
      isEnded: true,
    }),
  };
}

export function getEmptyReply(status: ReadStatus): ReadReply {
  return {
    status,
    ownerId: "",
    ownerNumber: 0,
    heldCount: 0,
    tokens: [],
    lineage: [],
  };
}

/** Returns the tokens that fit in one reply, and the end with the last one. */
function getReplyTokens(
  { tokens, end }: Pick<HeldAnswer, "tokens" | "end">,
  { fromPosition, toPosition, isEnded }: {
    fromPosition: number;
    toPosition: number;
    isEnded: boolean;
  },
): Pick<ReadReply, "tokens" | "end"> {
  let position = fromPosition;
  let chars = 0;
  while (position < toPosition && chars < maxReplyChars) {
    chars += tokens[position]!.length;
    position += 1;
  }
  return {
    tokens: tokens.slice(fromPosition, position),
    ...(end && isEnded && position >= toPosition ? { end } : {}),
  };
}

function getReadPosition(request: ReadRequest) {
  return {
    fromPosition: request.fromPosition,
    lastAttempt: request.lastAttempt,
  };
}
