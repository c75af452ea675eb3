/**
 * Adapter to application workers, which are called over plain HTTP.
 */
import { ResultAsync } from "neverthrow";
import { Agent, request } from "undici";
import { getErrorMessage } from "../core/errors.ts";

export interface ApplicationCall {
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: string;
  /** Passed on to the worker for its own use; empty if the call has none. */
  readonly idempotencyKey: string;
}

export interface ApplicationResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
  /** The worker reported that it did not execute the call. */
  readonly isNotRun: boolean;
}

export interface ApplicationFailure {
  /** False only when no byte of the call reached the worker. */
  readonly mayHaveRun: boolean;
  readonly message: string;
}

export interface SendOptions {
  readonly timeoutMs: number;
  /**
   * Sends the call over a new connection. A kept-alive connection may already
   * be dead, and then it is unknown whether the worker executed the call.
   */
  readonly isNewConnection: boolean;
}

export interface ApplicationClient {
  send(
    baseUrl: string,
    call: ApplicationCall,
    options: SendOptions,
  ): ResultAsync<ApplicationResponse, ApplicationFailure>;
  close(): Promise<void>;
}

/** A worker that refuses a call responds with 429 or 503 and this header. */
const executionHeader = "x-execution";
const connectTimeoutMs = 1_000;
const maxResponseChars = 262_144;
/** Errors that undici reports before it writes any byte to the connection. */
const connectErrorCodes: ReadonlySet<string> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
  "UND_ERR_INVALID_ARG",
  "ERR_INVALID_URL",
]);

export function createApplicationClient(): ApplicationClient {
  const agent = new Agent({
    connect: { timeout: connectTimeoutMs },
    keepAliveTimeout: 4_000,
    maxResponseSize: maxResponseChars,
  });
  const singleUseAgent = new Agent({
    connect: { timeout: connectTimeoutMs },
    pipelining: 0,
    maxResponseSize: maxResponseChars,
  });
  return {
    send,
    close: async () => {
      await Promise.all([agent.destroy(), singleUseAgent.destroy()]);
    },
  };

  function send(
    baseUrl: string,
    call: ApplicationCall,
    { timeoutMs, isNewConnection }: SendOptions,
  ): ResultAsync<ApplicationResponse, ApplicationFailure> {
    return ResultAsync.fromPromise(sendCall(), (cause) => ({
      mayHaveRun: !connectErrorCodes.has(getErrorCode(cause)),
      message: getErrorMessage(cause),
    }));

    async function sendCall(): Promise<ApplicationResponse> {
      const response = await request(`${baseUrl}${call.path}`, {
        dispatcher: isNewConnection ? singleUseAgent : agent,
        method: call.method as "GET",
        // AbortSignal.timeout rejects fractions of a millisecond.
        signal: AbortSignal.timeout(Math.ceil(timeoutMs)),
        headers: getHeaders(call),
        ...(call.body === "" ? {} : { body: call.body }),
      });
      const contentType = response.headers["content-type"];
      return {
        status: response.statusCode,
        contentType: typeof contentType === "string" ? contentType : "",
        body: await response.body.text(),
        isNotRun: response.headers[executionHeader] === "not-run" &&
          (response.statusCode === 429 || response.statusCode === 503),
      };
    }
  }
}

function getHeaders(call: ApplicationCall): Record<string, string> {
  return {
    ...(call.contentType === "" ? {} : { "content-type": call.contentType }),
    ...(call.idempotencyKey === ""
      ? {}
      : { "idempotency-key": call.idempotencyKey }),
  };
}

function getErrorCode(cause: unknown): string {
  const code = (cause as { code?: unknown } | null)?.code;
  return typeof code === "string" ? code : "";
}
