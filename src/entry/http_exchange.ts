/**
 * Helpers that read callers' HTTP requests and write the responses.
 */
import type { ServerResponse } from "node:http";
import type { Context } from "hono";

const deadlineHeader = "x-deadline-ms";

/** Time until the caller's deadline, from its header and at most `maxMs`. */
export function getRemainingMs(context: Context, maxMs: number): number {
  const text = context.req.header(deadlineHeader) ?? "";
  return /^\d{1,9}$/.test(text) ? Math.min(maxMs, Number(text)) : maxMs;
}

/**
 * Returns the path and query after the service name, unchanged. The name may be
 * percent-encoded, so its decoded length does not say where the rest starts.
 */
export function getServicePath(requestUrl: string): string {
  const { pathname, search } = new URL(requestUrl);
  return `/${pathname.split("/").slice(4).join("/")}${search}`;
}

/** Resolves when writable again; false when the caller has disconnected. */
export function writeText(
  outgoing: ServerResponse,
  text: string,
): Promise<boolean> {
  if (outgoing.destroyed || outgoing.writableEnded) {
    return Promise.resolve(false);
  }
  if (outgoing.write(text)) return Promise.resolve(true);
  return new Promise((resolve) => {
    const finish = () => {
      outgoing.off("drain", finish);
      outgoing.off("close", finish);
      resolve(!outgoing.destroyed);
    };
    outgoing.on("drain", finish);
    outgoing.on("close", finish);
  });
}
