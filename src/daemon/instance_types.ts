/**
 * What the roles of a forwarding deployment are started with, and what they
 * return.
 */
import type { CallerGuard } from "../core/caller_limits.ts";
import type { Clock } from "../core/clock.ts";
import type { Logger } from "../core/logger.ts";
import type { MetricsRegistry } from "../core/metrics_registry.ts";
import type { Random } from "../core/random.ts";
import type { Task } from "../core/supervisor.ts";
import type { SeedMembership } from "../membership/seed_membership.ts";
import type { ForwardingSettings } from "../settings/forwarding_settings.ts";
import type { DeploymentAdapter } from "./deployment_adapter.ts";

export interface InstanceOptions {
  readonly settings: ForwardingSettings;
  readonly adapter: DeploymentAdapter;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: Random;
  readonly registry: MetricsRegistry;
  readonly guard: CallerGuard;
}

/** Result of starting a role; `startForwardingInstance` runs its task. */
export interface RunningInstance {
  readonly task: Task;
  readonly membership: SeedMembership;
  /** Finishes open requests within a limited time. */
  drain(): Promise<void>;
  close(): Promise<void>;
}
