/**
 * Adapter to model engines: completions that are streamed as server-sent events
 * and can be resumed from a position, cancellation, and load reports.
 */
import type { Buffer } from "node:buffer";
import { createParser } from "eventsource-parser";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { Agent, request } from "undici";
import * as z from "zod";
import {
  createError,
  ErrorKind,
  getErrorMessage,
  type SystemError,
} from "../core/errors.ts";
import { parseJson } from "../core/parse_json.ts";
import { FinishReason } from "../core/types.ts";

export interface EngineCompletion {
  readonly requestId: string;
  readonly model: string;
  readonly version: string;
  readonly adapter: string;
  /** For the engine's own logs and metrics. */
  readonly route: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly priority: number;
  /** Tokens generated so far; the engine continues after the last one. */
  readonly resumeTokens: readonly string[];
}

export interface CompletionSink {
  onTokens(fromPosition: number, tokens: readonly string[]): void;
}

export interface CompletionEnd {
  readonly reason: FinishReason;
  readonly tokenCount: number;
}

export interface EngineLoad {
  readonly runningCount: number;
  readonly waitingCount: number;
  readonly isLeaving: boolean;
}

export interface EngineClient {
  complete(
    baseUrl: string,
    completion: EngineCompletion,
    options: { readonly sink: CompletionSink; readonly signal: AbortSignal },
  ): ResultAsync<CompletionEnd, SystemError>;
  cancel(baseUrl: string, requestId: string): void;
  readLoad(baseUrl: string): ResultAsync<EngineLoad, SystemError>;
  close(): Promise<void>;
}

const chunkSchema = z.object({
  choices: z.array(z.object({
    text: z.string().max(4_096),
    finish_reason: z.enum(["stop", "length"]).nullish(),
  })).length(1),
  position: z.int().min(0),
});

const loadSchema = z.object({
  running: z.int().min(0),
  waiting: z.int().min(0),
  leaving: z.boolean().default(false),
});

const connectTimeoutMs = 1_000;
const shortRequestTimeoutMs = 1_000;
/** Bounds the parser's buffer, which a line without an end would let grow. */
const maxEventBytes = 65_536;

export function createEngineClient(): EngineClient {
  // The stall detector limits the silence of a stream, so undici's timeouts for
  // headers and bodies are disabled.
  const agent = new Agent({
    connect: { timeout: connectTimeoutMs },
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: 10_000,
  });
  return { complete, cancel, readLoad, close: () => agent.destroy() };

  function complete(
    baseUrl: string,
    completion: EngineCompletion,
    { sink, signal }: { sink: CompletionSink; signal: AbortSignal },
  ): ResultAsync<CompletionEnd, SystemError> {
    return ResultAsync.fromPromise(
      request(`${baseUrl}/v1/completions`, {
        dispatcher: agent,
        method: "POST",
        signal,
        headers: {
          "content-type": "application/json",
          accept: "text/event-stream",
        },
        body: JSON.stringify(createRequestBody(completion)),
      }),
      upstreamFailed,
    ).andThen((response) => {
      if (response.statusCode === 200) {
        return new ResultAsync(
          readStream(response.body, { completion, sink }),
        );
      }
      return new ResultAsync(readRejection(response));
    });
  }

  function cancel(baseUrl: string, requestId: string): void {
    const url = `${baseUrl}/v1/completions/${encodeURIComponent(requestId)}`;
    request(url, {
      dispatcher: agent,
      method: "DELETE",
      headersTimeout: shortRequestTimeoutMs,
      bodyTimeout: shortRequestTimeoutMs,
    }).then((response) => response.body.dump()).catch(() => {
      // The engine has crashed, or cancels the request when the connection
      // closes.
    });
  }

  function readLoad(baseUrl: string): ResultAsync<EngineLoad, SystemError> {
    return ResultAsync.fromPromise(
      request(`${baseUrl}/load`, {
        dispatcher: agent,
        headersTimeout: shortRequestTimeoutMs,
        bodyTimeout: shortRequestTimeoutMs,
      }).then((response) => response.body.json()),
      upstreamFailed,
    ).andThen((value) => {
      const parsed = loadSchema.safeParse(value);
      if (!parsed.success) return err(malformed(parsed.error.message));
      return ok({
        runningCount: parsed.data.running,
        waitingCount: parsed.data.waiting,
        isLeaving: parsed.data.leaving,
      });
    });
  }
}

function createRequestBody(completion: EngineCompletion): unknown {
  const { resumeTokens } = completion;
  return {
    request_id: completion.requestId,
    model: completion.model,
    version: completion.version,
    adapter: completion.adapter,
    route: completion.route,
    prompt: completion.prompt,
    max_tokens: completion.maxTokens,
    priority: completion.priority,
    stream: true,
    ...(resumeTokens.length > 0
      ? { resume: { position: resumeTokens.length, tokens: resumeTokens } }
      : {}),
  };
}

interface StreamOptions {
  readonly completion: EngineCompletion;
  readonly sink: CompletionSink;
}

async function readStream(
  body: AsyncIterable<Buffer>,
  { completion, sink }: StreamOptions,
): Promise<Result<CompletionEnd, SystemError>> {
  let nextPosition = completion.resumeTokens.length;
  let batchStart = nextPosition;
  let batch: string[] = [];
  let reason: FinishReason | undefined;
  let failure: SystemError | undefined;
  let eventBytes = 0;
  const parser = createParser({
    onEvent: (event) => {
      eventBytes = 0;
      if (event.data !== "[DONE]") receiveChunk(event.data);
    },
  });
  const decoder = new TextDecoder();
  try {
    for await (const bytes of body) {
      eventBytes += bytes.length;
      parser.feed(decoder.decode(bytes, { stream: true }));
      flush();
      if (eventBytes > maxEventBytes) failure ??= malformed("event too long");
      if (failure) return err(failure);
    }
  } catch (cause) {
    if (!reason) return err(upstreamFailed(cause));
  }
  if (failure) return err(failure);
  if (reason) return ok({ reason, tokenCount: nextPosition });
  return err(createError(
    ErrorKind.UpstreamFailed,
    "the engine closed the stream before the end of the answer",
  ));

  function receiveChunk(data: string): void {
    const chunk = parseChunk(data);
    if (chunk.isErr()) {
      failure ??= chunk.error;
      return;
    }
    const { text, position, finishReason } = chunk.value;
    if (text !== "") {
      if (position !== nextPosition) {
        failure ??= malformed(
          `token at position ${position}, expected ${nextPosition}`,
        );
        return;
      }
      batch.push(text);
      nextPosition += 1;
    }
    reason = finishReason ?? reason;
  }

  function flush(): void {
    if (batch.length === 0 || failure) return;
    sink.onTokens(batchStart, batch);
    batchStart = nextPosition;
    batch = [];
  }
}

interface Chunk {
  readonly text: string;
  readonly position: number;
  readonly finishReason: FinishReason | undefined;
}

function parseChunk(data: string): Result<Chunk, SystemError> {
  return parseJson(data).mapErr(malformed).andThen((value) => {
    const parsed = chunkSchema.safeParse(value);
    if (!parsed.success) return err(malformed(parsed.error.message));
    const choice = parsed.data.choices[0]!;
    return ok({
      text: choice.text,
      position: parsed.data.position,
      finishReason: toFinishReason(choice.finish_reason),
    });
  });
}

function toFinishReason(
  reason: "stop" | "length" | null | undefined,
): FinishReason | undefined {
  if (reason === "stop") return FinishReason.Stop;
  if (reason === "length") return FinishReason.Length;
  return undefined;
}

async function readRejection(
  { statusCode, headers, body }: {
    readonly statusCode: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: { text(): Promise<string> };
  },
): Promise<Result<never, SystemError>> {
  const text = await body.text().catch(() => "");
  const message = `engine answered ${statusCode}: ${text.slice(0, 200)}`;
  if (statusCode === 429 || statusCode === 503) {
    const retryAfterS = Number(headers["retry-after"]);
    return err(createError(
      ErrorKind.Overloaded,
      message,
      retryAfterS > 0 ? { retryAfterMs: retryAfterS * 1_000 } : {},
    ));
  }
  if (statusCode === 400 || statusCode === 422) {
    return err(createError(ErrorKind.InvalidRequest, message));
  }
  // The engine's process responds, so this is not a crash.
  return err(createError(ErrorKind.AnswerFailed, message));
}

function upstreamFailed(cause: unknown): SystemError {
  return createError(ErrorKind.UpstreamFailed, getErrorMessage(cause));
}

function malformed(message: string): SystemError {
  return createError(
    ErrorKind.ProtocolError,
    `malformed engine stream: ${message}`,
  );
}
