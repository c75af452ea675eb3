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
import type { Logger } from "../core/logger.ts";
import { type ListenAddress, listenOn } from "../core/listen_on.ts";
import { getRequestTimeoutMs } from "../entry/body_room.ts";

export function startHttpServer(
  app: Hono,
  address: ListenAddress,
  { logger, guard, maxConnections, maxBodyBytes }: {
    readonly logger: Logger;
    readonly guard: CallerGuard;
    readonly maxConnections: number;
    readonly maxBodyBytes: number;
  },
): ResultAsync<Server, SystemError> {
  const server = createAdaptorServer({
    fetch: app.fetch,
    serverOptions: { requestTimeout: getRequestTimeoutMs(maxBodyBytes) },
  }) as Server;
  closeOnlyIdleConnections(server);
  // Requests sent ahead wait, so that none runs whose response can't be sent.
  guard.protect(server, { maxConnections, mayPipeline: false });
  return listenOn(server, address, logger).map(() => server);
}
