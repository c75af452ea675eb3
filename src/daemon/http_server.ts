/**
 * Serves the HTTP interface of an instance.
 */
import type { Server } from "node:http";
import { serve } from "@hono/node-server";
import type { Hono } from "hono";
import { ResultAsync } from "neverthrow";
import { closeOnlyIdleConnections } from "../core/idle_connections.ts";
import { createError, ErrorKind, type SystemError } from "../core/errors.ts";

export function startHttpServer(
  app: Hono,
  { host, port }: { readonly host: string; readonly port: number },
): ResultAsync<Server, SystemError> {
  return ResultAsync.fromPromise(
    new Promise<Server>((resolve, reject) => {
      const options = { fetch: app.fetch, hostname: host, port };
      const server = serve(options, () => resolve(server)) as Server;
      closeOnlyIdleConnections(server);
      server.on("error", reject);
    }),
    (cause) => createError(ErrorKind.InvalidSettings, String(cause)),
  );
}
