/**
 * Client of the operator API of one instance.
 */
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { request } from "undici";
import * as z from "zod";
import { getErrorMessage } from "../core/errors.ts";

export enum ExitCode {
  Ok = 0,
  /** The instance replied with a failure that has no exit code of its own. */
  Failed = 1,
  /** Wrong options, or a file that cannot be read. */
  Usage = 2,
  /** A ticket is invalid. */
  Invalid = 3,
  /** The ticket number is in use or outdated. */
  Conflict = 4,
  NotFound = 5,
  Unauthenticated = 6,
  /** No reply, or no control leader; retrying is safe. */
  Unavailable = 7,
  /** The ticket was not in force on all instances before the timeout. */
  TimedOut = 8,
  /** `ticket diff` found differences. */
  Different = 9,
}

export interface AdminFailure {
  readonly exitCode: ExitCode;
  readonly message: string;
  /** The body of the reply, for `--json`. */
  readonly body: unknown;
}

export interface AdminClient {
  get(path: string): ResultAsync<unknown, AdminFailure>;
  post(path: string, text: string): ResultAsync<unknown, AdminFailure>;
}

export interface AdminClientOptions {
  readonly baseUrl: string;
  /** Sends no `authorization` header if undefined. */
  readonly token: string | undefined;
  readonly timeoutMs: number;
  /** Precedes all paths; `/admin` by default. */
  readonly pathPrefix?: string;
}

const errorBodySchema = z.object({
  error: z.object({ message: z.string() }),
});

export function createAdminClient(options: AdminClientOptions): AdminClient {
  const { baseUrl, token, timeoutMs, pathPrefix = "/admin" } = options;
  return {
    get: (path) => send("GET", path, undefined),
    post: (path, text) => send("POST", path, text),
  };

  function send(
    method: "GET" | "POST",
    path: string,
    text: string | undefined,
  ): ResultAsync<unknown, AdminFailure> {
    return ResultAsync.fromThrowable(
      async () => {
        // Throws if the address or the token has no valid form.
        const { statusCode, body } = await request(
          new URL(pathPrefix + path, baseUrl),
          {
            method,
            headers: {
              ...(token === undefined
                ? {}
                : { authorization: `Bearer ${token}` }),
              ...(text === undefined
                ? {}
                : { "content-type": "application/json" }),
            },
            ...(text === undefined ? {} : { body: text }),
            headersTimeout: timeoutMs,
            bodyTimeout: timeoutMs,
          },
        );
        return { statusCode, text: await body.text() };
      },
      (cause) => ({
        exitCode: ExitCode.Unavailable,
        message: `no reply from ${baseUrl}: ${getErrorMessage(cause)}`,
        body: null,
      }),
    )().andThen(parseReply);
  }
}

function parseReply(
  reply: { readonly statusCode: number; readonly text: string },
): Result<unknown, AdminFailure> {
  let body: unknown;
  try {
    body = JSON.parse(reply.text);
  } catch {
    return err({
      exitCode: ExitCode.Failed,
      message:
        `reply with status ${reply.statusCode} is not JSON; is this the ` +
        "address of an entry instance?",
      body: null,
    });
  }
  if (reply.statusCode < 300) return ok(body);
  const parsed = errorBodySchema.safeParse(body);
  return err({
    exitCode: getExitCode(reply.statusCode),
    message: parsed.success
      ? parsed.data.error.message
      : `status ${reply.statusCode}`,
    body,
  });
}

function getExitCode(statusCode: number): ExitCode {
  switch (statusCode) {
    case 401:
    case 403:
      return ExitCode.Unauthenticated;
    case 404:
      return ExitCode.NotFound;
    case 409:
      return ExitCode.Conflict;
    case 422:
      return ExitCode.Invalid;
    case 503:
    case 504:
      return ExitCode.Unavailable;
    default:
      return ExitCode.Failed;
  }
}
