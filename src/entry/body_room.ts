/**
 * Limits the bodies of all requests that are being read. Room is taken before a
 * body is read, so that a request that is refused has certainly not run.
 */
import type { Socket } from "node:net";
import { finished, type Readable } from "node:stream";
import type { MiddlewareHandler } from "hono";
import { type ByteBudget, createByteBudget } from "../core/byte_budget.ts";
import {
  createError,
  ErrorKind,
  errorResponses,
  getErrorBody,
} from "../core/errors.ts";

export interface BodyRoomOptions {
  readonly budget: ByteBudget;
  /** The largest body that is read; also taken for one without a length. */
  readonly maxBytes: number;
  onRefused(): void;
}

/** Bodies are mostly read within a second. */
const retryAfterMs = 1_000;
/** Part of the room for bodies that large ones leave to small ones. */
const smallBodiesRatio = 0.25;

/** The room has place for one body of `maxBytes` beside the reserved part. */
export function createBodyBudget(
  roomBytes: number,
  maxBytes: number,
): ByteBudget {
  const minRoomBytes = Math.ceil(maxBytes / (1 - smallBodiesRatio));
  return createByteBudget(Math.max(roomBytes, minRoomBytes), {
    smallReservedRatio: smallBodiesRatio,
  });
}

/** A body that comes more slowly gives up its room. */
const minBytesPerMs = 18;
const minRequestTimeoutMs = 60_000;

/** The time for the receipt of a request whose body has up to `maxBytes`. */
export function getRequestTimeoutMs(maxBytes: number): number {
  return Math.max(minRequestTimeoutMs, Math.ceil(maxBytes / minBytesPerMs));
}

type Incoming = Readable & { readonly socket?: Socket };

/**
 * Node.js does not close a request whose response was sent before its body had
 * ended when the connection closes.
 */
function callAtEnd(incoming: Incoming, action: () => void): void {
  const { socket } = incoming;
  const removeListeners = finished(incoming, end);
  socket?.once("close", end);

  function end(): void {
    removeListeners();
    socket?.off("close", end);
    action();
  }
}

export function limitBodies(
  { budget, maxBytes, onRefused }: BodyRoomOptions,
): MiddlewareHandler {
  return async (context, next) => {
    const length = context.req.header("content-length");
    const isChunked = context.req.header("transfer-encoding") !== undefined;
    const announcedBytes = isChunked ? maxBytes : Number(length ?? 0);
    const share = budget.open();
    if (!share.tryTake(Math.min(announcedBytes, maxBytes))) {
      onRefused();
      const error = createError(
        ErrorKind.Overloaded,
        "too many bodies are being read",
        { retryAfterMs },
      );
      const { httpStatus } = errorResponses[error.kind];
      return context.json(getErrorBody(error), httpStatus as 503, {
        "Retry-After": String(retryAfterMs / 1_000),
      });
    }
    // Of the server; a request that is made in this process has none.
    const { incoming } = (context.env ?? {}) as {
      readonly incoming?: Incoming;
    };
    // A handler may return before the body has ended, or long after.
    if (incoming) callAtEnd(incoming, share.release);
    try {
      return await next();
    } finally {
      if (!incoming) share.release();
    }
  };
}
