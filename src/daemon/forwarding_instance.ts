/**
 * Runs one instance of a forwarding deployment until it is stopped.
 */
import { okAsync, ResultAsync } from "neverthrow";
import { assertNever } from "../core/assert_never.ts";
import { createCallerGuard } from "../core/caller_limits.ts";
import { createSystemClock } from "../core/clock.ts";
import type { SystemError } from "../core/errors.ts";
import { logEvents } from "../core/log_events.ts";
import { createLogger, type Logger } from "../core/logger.ts";
import { createMetricsRegistry } from "../core/metrics_registry.ts";
import { startMetricsServer } from "../core/metrics_server.ts";
import { createRandom } from "../core/random.ts";
import {
  type ForwardingSettings,
  InstanceRole,
} from "../settings/forwarding_settings.ts";
import type { DeploymentAdapter } from "./deployment_adapter.ts";
import type { InstanceOptions, RunningInstance } from "./instance_types.ts";

export interface ForwardingInstance {
  readonly logger: Logger;
  /** Graceful shutdown. */
  stop(): Promise<void>;
  /** Applies the settings that may change at run time, which are the seeds. */
  reload(settings: ForwardingSettings): void;
  /** Rejects when the root supervisor has exceeded its restart limit. */
  readonly finished: Promise<void>;
}

export function startForwardingInstance(
  settings: ForwardingSettings,
  adapter: DeploymentAdapter,
): ResultAsync<ForwardingInstance, SystemError> {
  const clock = createSystemClock();
  const logger = createLogger({
    level: settings.log.level,
    isJson: settings.log.format === "json",
  }).with({ instance: settings.instanceName });
  const random = createRandom(Date.now() ^ (Math.random() * 2 ** 31));
  const registry = createMetricsRegistry();
  const guard = createCallerGuard({
    limits: settings.callerLimits,
    logger,
    registry,
  });
  const options = {
    settings,
    adapter,
    clock,
    logger,
    random,
    registry,
    guard,
  };
  return startRole(options).andThen((running) =>
    startMetrics().map(() => running)
  ).map((running) => {
    logger.log(logEvents.daemonStarted, {
      role: settings.role,
      host: settings.host,
      domain: settings.domainId,
      seeds: settings.seeds.map(({ host }) => host),
    });
    const stopping = new AbortController();
    return {
      logger,
      finished: running.task.run(stopping.signal),
      reload: ({ seeds }) => {
        running.membership.setSeeds(seeds.map(({ host }) => host));
        logger.log(logEvents.settingsReloaded, {
          seeds: seeds.map(({ host }) => host),
        });
      },
      stop: async () => {
        logger.log(logEvents.daemonStopping);
        await running.drain();
        stopping.abort();
        await running.close();
        logger.log(logEvents.daemonStopped);
        logger.flush();
      },
    };
  });

  function startMetrics(): ResultAsync<void, SystemError> {
    const { host, metricsPort: port } = settings;
    if (port === null) return okAsync(undefined);
    return startMetricsServer(registry, { host, port }, {
      logger,
      guard,
      maxConnections: settings.callerLimits.maxServiceConnections,
    }).map(() => {});
  }
}

/**
 * Imports only the modules that the role needs, because the startup time
 * matters after a crash.
 */
function startRole(
  options: InstanceOptions,
): ResultAsync<RunningInstance, SystemError> {
  switch (options.settings.role) {
    case InstanceRole.Entry:
      return ResultAsync.fromSafePromise(import("./entry_instance.ts"))
        .andThen(({ startEntryInstance }) => startEntryInstance(options));
    case InstanceRole.Control:
      return ResultAsync.fromSafePromise(import("./control_instance.ts"))
        .andThen(({ startControlInstance }) => startControlInstance(options));
    default:
      return assertNever(options.settings.role);
  }
}
