/**
 * Writes an answer to its caller as server-sent events, or collects it for a
 * buffered response.
 */
import { err, ok, type Result } from "neverthrow";
import type { AnswerReader } from "../answers/answer_reader.ts";
import { getAttemptAt } from "../answers/lineage.ts";
import {
  createError,
  ErrorKind,
  getErrorBody,
  type SystemError,
} from "../core/errors.ts";
import {
  type AnswerEnd,
  type AnswerId,
  type AttemptId,
  type CustomerId,
  FinishReason,
} from "../core/types.ts";
import type { ReadReply } from "../peer/messages.ts";
import { type EventPosition, formatEventId } from "./event_id.ts";

export interface EventSink {
  /** Resolves when writable again; false when the caller has disconnected. */
  write(text: string): Promise<boolean>;
}

export interface AnswerStreamOptions {
  readonly reader: AnswerReader;
  readonly answerId: AnswerId;
  readonly customerId: CustomerId;
  readonly model: string;
  readonly position: EventPosition;
  /** Whether a diverged answer is reset instead of ending in an error. */
  readonly canReset: boolean;
}

const readWaitMs = 15_000;

/** Writes events until the answer ends or the caller disconnects. */
export async function streamAnswer(
  options: AnswerStreamOptions,
  sink: EventSink,
): Promise<Result<AnswerEnd | undefined, SystemError>> {
  let { fromPosition, lastAttempt } = options.position;
  while (true) {
    const reply = await readFrom(options, { fromPosition, lastAttempt });
    if (reply.isErr()) {
      const isResetAllowed = reply.error.kind === ErrorKind.AnswerDiverged &&
        options.canReset;
      if (!isResetAllowed) {
        await sink.write(formatError(reply.error));
        return err(reply.error);
      }
      fromPosition = 0;
      lastAttempt = undefined;
      if (!await sink.write(formatReset(options.answerId))) {
        return ok(undefined);
      }
      continue;
    }
    const text = formatReply(options, { reply: reply.value, fromPosition });
    if (!await sink.write(text)) return ok(undefined);
    fromPosition += reply.value.tokens.length;
    if (fromPosition > 0) {
      lastAttempt = getAttemptAt(reply.value.lineage, fromPosition - 1);
    }
    if (reply.value.end) return ok(reply.value.end);
  }
}

export interface CollectedAnswer {
  readonly text: string;
  readonly end: AnswerEnd;
}

/** Reads the whole answer; a reset is not visible in the result. */
export async function collectAnswer(
  options: AnswerStreamOptions,
  signal: AbortSignal,
): Promise<Result<CollectedAnswer, SystemError>> {
  let tokens: string[] = [];
  let lastAttempt: AttemptId | undefined;
  while (!signal.aborted) {
    const position = { fromPosition: tokens.length, lastAttempt };
    const reply = await readFrom(options, position);
    if (reply.isErr()) {
      if (reply.error.kind !== ErrorKind.AnswerDiverged) {
        return err(reply.error);
      }
      tokens = [];
      lastAttempt = undefined;
      continue;
    }
    for (const token of reply.value.tokens) tokens.push(token);
    if (tokens.length > 0) {
      lastAttempt = getAttemptAt(reply.value.lineage, tokens.length - 1);
    }
    if (reply.value.end) {
      return checkEnd(reply.value.end)
        .map((end) => ({ text: tokens.join(""), end }));
    }
  }
  return err(createError(ErrorKind.Internal, "the caller has disconnected"));
}

function readFrom(
  { reader, answerId, customerId }: AnswerStreamOptions,
  { fromPosition, lastAttempt }: EventPosition,
): Promise<Result<ReadReply, SystemError>> {
  return reader.read({
    answerId,
    customerId,
    fromPosition,
    lastAttempt,
    waitMs: readWaitMs,
  });
}

function checkEnd(end: AnswerEnd): Result<AnswerEnd, SystemError> {
  if (end.reason !== FinishReason.Failed) return ok(end);
  return err(createError(ErrorKind.AnswerFailed, end.errorMessage));
}

function formatReply(
  { answerId, model }: AnswerStreamOptions,
  { reply, fromPosition }: { reply: ReadReply; fromPosition: number },
): string {
  const { tokens, lineage, end } = reply;
  const nextPosition = fromPosition + tokens.length;
  if (tokens.length === 0 && !end) return ": keep-alive\n\n";
  const attempt = nextPosition > 0
    ? getAttemptAt(lineage, nextPosition - 1)
    : undefined;
  const idLine = attempt ? `id: ${formatEventId(attempt, nextPosition)}\n` : "";
  const chunk = JSON.stringify({
    id: answerId,
    object: "text_completion",
    model,
    choices: [{
      index: 0,
      text: tokens.join(""),
      finish_reason: end && end.reason !== FinishReason.Failed
        ? end.reason
        : null,
    }],
    position: fromPosition,
    tokens: tokens.length,
  });
  const event = `${idLine}data: ${chunk}\n\n`;
  if (!end) return event;
  return checkEnd(end).match(
    () => `${event}data: [DONE]\n\n`,
    (error) => event + formatError(error),
  );
}

function formatError(error: SystemError): string {
  return `event: error\ndata: ${JSON.stringify(getErrorBody(error))}\n\n`;
}

function formatReset(answerId: AnswerId): string {
  const data = JSON.stringify({ id: answerId, position: 0 });
  return `event: reset\ndata: ${data}\n\n`;
}
