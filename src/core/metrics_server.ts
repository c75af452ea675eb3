/**
 * HTTP server for the metrics of an instance in the Prometheus text format.
 */
import { createServer, type Server } from "node:http";
import type { ResultAsync } from "neverthrow";
import type { CallerGuard } from "./caller_limits.ts";
import type { SystemError } from "./errors.ts";
import { type ListenAddress, listenOn } from "./listen_on.ts";
import type { Logger } from "./logger.ts";
import type { MetricsRegistry } from "./metrics_registry.ts";

export const metricsPath = "/metrics";

export function startMetricsServer(
  registry: MetricsRegistry,
  address: ListenAddress,
  { logger, guard, maxConnections }: {
    readonly logger: Logger;
    readonly guard: CallerGuard;
    readonly maxConnections: number;
  },
): ResultAsync<Server, SystemError> {
  const server = createServer((request, response) => {
    if (request.url !== metricsPath) {
      response.writeHead(404);
      response.end();
      return;
    }
    void registry.getText().then((text) => {
      response.writeHead(200, { "Content-Type": "text/plain; version=0.0.4" });
      response.end(text);
    });
  });
  guard.protect(server, { maxConnections, mayPipeline: false });
  return listenOn(server, address, logger).map(() => server);
}
