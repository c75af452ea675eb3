/**
 * HTTP interface for callers: completions, answers and calls to application
 * services. The routes under `/v1/` require a customer's token.
 */
import type { ServerResponse } from "node:http";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { type Context, Hono } from "hono";
import { bodyLimit } from "hono/body-limit";
import { err, ok, type Result } from "neverthrow";
import { parseAnswerId } from "../answers/answer_id.ts";
import type { AnswerReader } from "../answers/answer_reader.ts";
import type { AnswerService } from "../answers/answer_service_types.ts";
import type { CallService } from "../calls/call_service.ts";
import type { Clock } from "../core/clock.ts";
import {
  createError,
  ErrorKind,
  errorResponses,
  getErrorBody,
  getErrorMessage,
  type SystemError,
} from "../core/errors.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import type { Admission } from "../limits/admission.ts";
import type { AnswerId, CustomerId } from "../core/types.ts";
import type { Random } from "../core/random.ts";
import {
  chooseVersion,
  type ConfigurationView,
  findApplicationService,
  findModelService,
} from "../control/configuration.ts";
import type { Settings } from "../settings/schema.ts";
import {
  type AnswerStreamOptions,
  collectAnswer,
  streamAnswer,
} from "./answer_stream.ts";
import type { Authenticator } from "./authenticator.ts";
import {
  type CompletionRequest,
  parseCompletionRequest,
} from "./completion_request.ts";
import { type EventPosition, parseEventId } from "./event_id.ts";
import { getRemainingMs, getServicePath, writeText } from "./http_exchange.ts";

export interface CallerAppOptions {
  readonly settings: Settings;
  readonly configuration: ConfigurationView;
  readonly random: Random;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly authenticator: Authenticator;
  readonly answers: AnswerService;
  readonly reader: AnswerReader;
  readonly calls: CallService;
  /** Returns the version for a new answer of the service. */
  chooseVersion(choice: {
    readonly service: string;
    readonly route: string;
    readonly stableVersion: string;
  }): string;
  readonly admission: Admission;
  isReady(): boolean;
  /** False until a started instance has a configuration that it may use. */
  isConfigured(): boolean;
  /** False once the drain has stopped admitting new requests. */
  isAccepting(): boolean;
  trackRequest(): () => void;
}

interface CallerEnv {
  readonly Bindings: { readonly outgoing: ServerResponse };
}

type CallerContext = Context<CallerEnv>;

const startupRetryAfterMs = 1_000;
const answerIdHeader = "x-answer-id";
/** Engine priority of requests above the customer's fair share. */
const overSharePriority = 0;
/**
 * Short, so that a caller can then try an instance on the other side of a
 * partition.
 */
const firstLocateTimeoutMs = 500;
const maxIdempotencyKeyChars = 200;
const startPosition: EventPosition = {
  fromPosition: 0,
  lastAttempt: undefined,
};

export function createCallerApp(options: CallerAppOptions): Hono<CallerEnv> {
  const { settings, clock, logger, answers, reader, calls, admission } =
    options;
  const app = new Hono<CallerEnv>();
  app.onError((cause, context) => {
    logger.log(logEvents.unexpectedError, { reason: getErrorMessage(cause) });
    const message = "the request failed unexpectedly";
    return sendError(context, createError(ErrorKind.Internal, message));
  });
  app.notFound((context) =>
    sendError(context, createError(ErrorKind.NotFound, "no such path"))
  );
  app.get("/healthz", (context) => context.json({ status: "ok" }));
  app.get(
    "/readyz",
    (context) =>
      context.json({ ready: options.isReady() }, options.isReady() ? 200 : 503),
  );
  app.use(
    "/v1/*",
    bodyLimit({
      maxSize: settings.limits.maxBodyBytes,
      onError: (context) =>
        sendError(
          context,
          createError(
            ErrorKind.PayloadTooLarge,
            `the body exceeds ${settings.limits.maxBodyBytes} bytes`,
          ),
        ),
    }),
  );
  app.post("/v1/completions", wrapHandler(complete));
  app.get("/v1/answers/:answerId", wrapHandler(getAnswer));
  app.delete("/v1/answers/:answerId", wrapHandler(cancelAnswer));
  app.all("/v1/services/:service/*", wrapHandler(callService));
  return app;

  function wrapHandler(
    handler: (
      context: CallerContext,
      customerId: CustomerId,
    ) => Promise<Response>,
  ) {
    return async (context: CallerContext): Promise<Response> => {
      if (!options.isAccepting()) {
        return sendError(
          context,
          createError(ErrorKind.ShuttingDown, "this instance is shutting down"),
        );
      }
      if (!options.isConfigured()) {
        return sendError(
          context,
          createError(
            ErrorKind.Overloaded,
            "this instance is starting and asks its peers for the configuration",
            { retryAfterMs: startupRetryAfterMs },
          ),
        );
      }
      const customer = options.authenticator.authenticateCustomer(
        context.req.header("authorization"),
      );
      if (customer.isErr()) return sendError(context, customer.error);
      const release = options.trackRequest();
      try {
        return await handler(context, customer.value);
      } finally {
        release();
      }
    };
  }

  async function complete(
    context: CallerContext,
    customerId: CustomerId,
  ): Promise<Response> {
    const parsed = parseCompletionRequest(
      await context.req.text(),
      settings.answers.maxTokens,
    );
    if (parsed.isErr()) return sendError(context, parsed.error);
    const isAsync = context.req.header("prefer") === "respond-async";
    const opened = await openAnswer(context, parsed.value, {
      customerId,
      isAsync,
    });
    if (opened.isErr()) return sendError(context, opened.error);
    const { answerId, model, isStreaming } = opened.value;
    context.header(answerIdHeader, answerId);
    if (isAsync) {
      return context.json({ id: answerId, status: "running" }, 202);
    }
    const stream = getStreamOptions(customerId, {
      answerId,
      model,
      position: startPosition,
      canReset: true,
    });
    return isStreaming
      ? await sendStream(context, stream)
      : await sendBuffered(context, stream);
  }

  async function openAnswer(
    context: CallerContext,
    { generation, isStreaming }: CompletionRequest,
    { customerId, isAsync }: { customerId: CustomerId; isAsync: boolean },
  ): Promise<
    Result<
      { answerId: AnswerId; model: string; isStreaming: boolean },
      SystemError
    >
  > {
    const found = findModelService(
      options.configuration.getConfiguration(),
      generation.model,
    );
    if (!found) {
      return err(createError(
        ErrorKind.NotFound,
        `no such model: ${generation.model}`,
        { fieldPath: "model" },
      ));
    }
    const createdAtWallMs = clock.wallMs();
    const lifetimeMs = getRemainingMs(context, settings.answers.deadlineMs);
    const admitted = await admission.admit({
      customerId,
      priority: generation.priority,
      deadlineAtMs: clock.nowMs() + lifetimeMs,
      signal: context.req.raw.signal,
    });
    if (admitted.isErr()) return err(admitted.error);
    const priority = admitted.value.isOverShare
      ? overSharePriority
      : generation.priority;
    const answerId = answers.open({
      customerId,
      request: { ...generation, priority },
      version: options.chooseVersion({
        service: generation.model,
        route: generation.route,
        stableVersion: chooseVersion(found.versions, options.random),
      }),
      createdAtWallMs,
      deadlineAtWallMs: createdAtWallMs + lifetimeMs,
      // A caller that fetches the answer later need not read it now.
      isStreaming: isStreaming && !isAsync,
    });
    return ok({ answerId, model: generation.model, isStreaming });
  }

  async function getAnswer(
    context: CallerContext,
    customerId: CustomerId,
  ): Promise<Response> {
    const answerId = context.req.param("answerId") ?? "";
    if (parseAnswerId(answerId).isNothing) {
      const message = "no such answer";
      return sendError(context, createError(ErrorKind.NotFound, message));
    }
    const isStreaming =
      context.req.header("accept")?.includes("text/event-stream") === true;
    const lastEventId = context.req.header("last-event-id");
    const position = lastEventId === undefined
      ? startPosition
      : parseEventId(lastEventId).unwrapOr(undefined);
    if (!position) {
      return sendError(
        context,
        createError(ErrorKind.InvalidRequest, "malformed Last-Event-ID", {
          fieldPath: "headers.Last-Event-ID",
        }),
      );
    }
    context.header(answerIdHeader, answerId);
    const stream = getStreamOptions(customerId, {
      answerId,
      model: "",
      position,
      canReset: context.req.query("reset") === "true",
    });
    if (!isStreaming) return await sendBuffered(context, stream);
    // The first read decides between an error response and a stream.
    const first = await reader.read({
      answerId,
      customerId,
      ...position,
      waitMs: 0,
      locateTimeoutMs: firstLocateTimeoutMs,
    });
    const canStream = first.isOk() ||
      (first.error.kind === ErrorKind.AnswerDiverged && stream.canReset);
    if (!canStream && first.isErr()) return sendError(context, first.error);
    return await sendStream(context, stream);
  }

  function cancelAnswer(
    context: CallerContext,
    customerId: CustomerId,
  ): Promise<Response> {
    const answerId = context.req.param("answerId") ?? "";
    const isCancelled = answers.cancel(answerId, {
      customerId,
      message: "cancelled by the caller",
    });
    return Promise.resolve(
      isCancelled
        ? context.json({ id: answerId, status: "cancelled" })
        : sendError(
          context,
          createError(ErrorKind.NotFound, "this instance owns no such answer"),
        ),
    );
  }

  async function callService(
    context: CallerContext,
    customerId: CustomerId,
  ): Promise<Response> {
    const name = context.req.param("service") ?? "";
    const service = findApplicationService(
      options.configuration.getConfiguration(),
      name,
    );
    if (!service) {
      const message = `no such service: ${name}`;
      return sendError(context, createError(ErrorKind.NotFound, message));
    }
    const idempotencyKey = context.req.header("idempotency-key") ?? "";
    if (idempotencyKey.length > maxIdempotencyKeyChars) {
      // A truncated key could match two different requests.
      return sendError(
        context,
        createError(
          ErrorKind.InvalidRequest,
          `the Idempotency-Key exceeds ${maxIdempotencyKeyChars} characters`,
          { fieldPath: "headers.Idempotency-Key" },
        ),
      );
    }
    const result = await calls.execute({
      customerId,
      service,
      remainingMs: getRemainingMs(context, service.timeoutMs),
      method: context.req.method,
      path: getServicePath(context.req.url),
      contentType: context.req.header("content-type") ?? "",
      body: await context.req.text(),
      idempotencyKey,
    });
    if (result.isErr()) return sendError(context, result.error);
    const { status, contentType, body } = result.value;
    return new Response(body === "" ? null : body, {
      status,
      headers: contentType === "" ? {} : { "content-type": contentType },
    });
  }

  function getStreamOptions(
    customerId: CustomerId,
    stream: Omit<AnswerStreamOptions, "reader" | "customerId">,
  ): AnswerStreamOptions {
    return { ...stream, reader, customerId };
  }

  async function sendBuffered(
    context: CallerContext,
    stream: AnswerStreamOptions,
  ): Promise<Response> {
    const answer = await collectAnswer(stream, context.req.raw.signal);
    if (answer.isErr()) return sendError(context, answer.error);
    const { text, end } = answer.value;
    return context.json({
      id: stream.answerId,
      object: "text_completion",
      model: stream.model,
      choices: [{ index: 0, text, finish_reason: end.reason }],
      usage: { completion_tokens: end.tokenCount },
    });
  }

  /** Writes to the Node.js response directly, which reports backpressure. */
  async function sendStream(
    context: CallerContext,
    stream: AnswerStreamOptions,
  ): Promise<Response> {
    const { outgoing } = context.env;
    outgoing.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
      [answerIdHeader]: stream.answerId,
    });
    outgoing.flushHeaders();
    const result = await streamAnswer(stream, {
      write: (text) => writeText(outgoing, text),
    });
    if (result.isErr()) {
      logger.log(logEvents.requestFailed, {
        answer: stream.answerId,
        kind: result.error.kind,
      });
    }
    outgoing.end();
    return RESPONSE_ALREADY_SENT;
  }

  function sendError(context: Context, error: SystemError): Response {
    logger.log(logEvents.requestAnsweredWithError, {
      kind: error.kind,
      reason: error.message,
    });
    const { httpStatus } = errorResponses[error.kind];
    const headers = error.retryAfterMs.mapOr<Record<string, string>>(
      {},
      (retryAfterMs) => ({
        "retry-after": String(Math.ceil(retryAfterMs / 1_000)),
      }),
    );
    return context.json(getErrorBody(error), httpStatus as 500, headers);
  }
}
