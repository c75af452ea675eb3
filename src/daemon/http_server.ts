/**
 * Serves the HTTP interface of an instance.
 */
import type { Server } from "node:http";
import { createAdaptorServer } from "@hono/node-server";
import type { Hono } from "hono";
import type { ResultAsync } from "neverthrow";
import type { CallerGuard } from "../core/caller_limits.ts";
import type { SystemError } from "../core/errors.ts";
import { closeOnlyIdleConnections } from "../core/idle_connections.ts";
import { type ListenAddress, listenOn } from "../core/listen_on.ts";

/** A body of 1 MiB that comes more slowly than 18 KB/s gives up its room. */
const requestTimeoutMs = 60_000;

export function startHttpServer(
  app: Hono,
  address: ListenAddress,
  { guard, maxConnections }: {
    readonly guard: CallerGuard;
    readonly maxConnections: number;
  },
): ResultAsync<Server, SystemError> {
  const server = createAdaptorServer({
    fetch: app.fetch,
    serverOptions: { requestTimeout: requestTimeoutMs },
  }) as Server;
  closeOnlyIdleConnections(server);
  // Requests sent ahead wait, so that none runs whose response can't be sent.
  guard.protect(server, { maxConnections, mayPipeline: false });
  return listenOn(server, address).map(() => server);
}
