/**
 * Limits the bodies of all requests that are being read. Room is taken before a
 * body is read, so that a request that is refused has certainly not run.
 */
import type { MiddlewareHandler } from "hono";
import type { ByteBudget } from "../core/byte_budget.ts";
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
    try {
      return await next();
    } finally {
      share.release();
    }
  };
}
