/** Reads the body of a request within the limits. */
import type { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { HeldBody } from "./body_store.ts";
import { createError, ErrorKind, type SystemError } from "./errors.ts";
import { setTimeoutAfterReads } from "./timeout_after_reads.ts";

export interface BodyReading {
  readonly request: IncomingMessage;
  /** Released here if the body can't be read. */
  readonly held: HeldBody;
  readonly maxBytes: number;
  readonly timeoutMs?: number;
}

/** Bodies are released when their requests end, mostly within a second. */
const retryAfterMs = 1_000;

export function getAnnouncedBytes({ headers }: IncomingMessage): number {
  return Number(headers["content-length"] ?? 0);
}

/**
 * Fails if the body exceeds the limit or the room of all bodies, is not complete
 * in time, or the caller disconnects. The rest of the body is thrown away then.
 */
export function readRequestBody(
  { request, held, maxBytes, timeoutMs }: BodyReading,
): Promise<Result<Buffer, SystemError>> {
  const tooLarge = createError(ErrorKind.PayloadTooLarge, "body too large");
  if (getAnnouncedBytes(request) > maxBytes) {
    return Promise.resolve(err(tooLarge));
  }
  let sizeBytes = 0;
  let isSettled = false;
  return new Promise((resolve) => {
    const cancelTimeout = timeoutMs === undefined
      ? () => {}
      : setTimeoutAfterReads(
        () => refuse(ErrorKind.OutcomeUnknown, "the body came too late"),
        timeoutMs,
      );
    request.on("data", (chunk: Buffer) => {
      if (isSettled) return;
      sizeBytes += chunk.length;
      if (sizeBytes > maxBytes) refuse(tooLarge.kind, tooLarge.message);
      else if (!held.tryAdd(chunk)) {
        refuse(ErrorKind.Overloaded, "too many bodies are held");
      }
    });
    request.on("end", () => {
      if (isSettled) return;
      isSettled = true;
      cancelTimeout();
      resolve(ok(held.takeAll()));
    });
    request.on("error", leave);
    request.on("close", leave);

    function leave(): void {
      refuse(ErrorKind.InvalidRequest, "the caller disconnected");
    }

    function refuse(kind: ErrorKind, message: string): void {
      if (isSettled) return;
      isSettled = true;
      cancelTimeout();
      held.release();
      resolve(
        err(
          kind === ErrorKind.Overloaded
            ? createError(kind, message, { retryAfterMs })
            : createError(kind, message),
        ),
      );
    }
  });
}
