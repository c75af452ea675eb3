/**
 * Services that entry and control instances of a forwarding deployment have in
 * common: membership by seeds, peer connections, the configuration in force and
 * the upstream view.
 */
import {
  type ConfigurationCache,
  createConfigurationCache,
} from "../control/configuration_cache.ts";
import {
  type Configuration,
  getEmptyConfiguration,
} from "../control/configuration.ts";
import {
  type ConfigurationService,
  createConfigurationService,
} from "../control/configuration_service.ts";
import type { Clock } from "../core/clock.ts";
import type { Logger } from "../core/logger.ts";
import type { MetricsRegistry } from "../core/metrics_registry.ts";
import type { Random } from "../core/random.ts";
import { createSupervisor, type Task } from "../core/supervisor.ts";
import {
  type InstanceId,
  type InstanceInfo,
  InstanceState,
} from "../core/types.ts";
import {
  createSeedMembership,
  type SeedMembership,
} from "../membership/seed_membership.ts";
import type { AnswerReport } from "../control/moves/answer_reports.ts";
import type { Heartbeat } from "../peer/messages.ts";
import { createPeerClient, type PeerClient } from "../peer/peer_client.ts";
import {
  type ForwardingSettings,
  InstanceRole,
} from "../settings/forwarding_settings.ts";
import {
  createUpstreamViewService,
  type UpstreamViewService,
} from "../upstreams/upstream_view_service.ts";
import type { EngineLoadSummary } from "../upstreams/engine_load_summary.ts";
import type { ListedUpstream } from "../upstreams/upstream_view.ts";
import type { DeploymentAdapter } from "./deployment_adapter.ts";

export interface InstanceCore {
  readonly membership: SeedMembership;
  readonly peers: PeerClient;
  readonly configuration: ConfigurationService;
  readonly upstreams: UpstreamViewService;
  readonly tasks: readonly Task[];
}

export interface InstanceCoreOptions {
  readonly settings: ForwardingSettings;
  readonly adapter: DeploymentAdapter;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: Random;
  readonly registry: MetricsRegistry;
  isLeader(): boolean;
  getLeaderTerm(): number | undefined;
  onConfiguration(configuration: Configuration): void;
  onUpstreams(upstreams: readonly ListedUpstream[]): void;
  getEngineLoadSummary(to: InstanceId): EngineLoadSummary | undefined;
  onEngineLoadSummary(from: InstanceInfo, summary: EngineLoadSummary): void;
  getAnswerReport(): AnswerReport | undefined;
  /** `received` is the heartbeat that is replied to, if any. */
  getQuarantineFields(
    received: Heartbeat | undefined,
  ): Pick<Heartbeat, "crashReport" | "quarantineRevision" | "quarantine">;
  onHeartbeat(heartbeat: Heartbeat): void;
  assignShares(upstreams: readonly ListedUpstream[]): ListedUpstream[];
}

/**
 * The drain time must cover two reads of the upstream list, two heartbeats and
 * the transit of a request.
 */
const pollsPerDrain = 5;
const maxPollIntervalMs = 1_000;
/** Heartbeats that may be missed before an instance counts as lost. */
const maxMissedHeartbeats = 2.4;
const removeAfterMs = 30_000;
/** Short, to discover control instances that start at the same time. */
const startupHeartbeatIntervalMs = 100;
const maxStartupMs = 5_000;

export function createInstanceCore(options: InstanceCoreOptions): InstanceCore {
  const { settings, adapter, clock, logger, random } = options;
  const { heartbeatIntervalMs } = settings;
  const isControl = settings.role === InstanceRole.Control;
  const startedAtMs = clock.nowMs();
  /** Set below, since the services depend on each other. */
  const late: { membership?: SeedMembership; peers?: PeerClient } = {};
  const pollIntervalMs = Math.min(
    maxPollIntervalMs,
    settings.bounds.drainMs / pollsPerDrain,
  );
  const configuration = createConfigurationService({
    clock,
    logger,
    random,
    initial: getEmptyConfiguration(),
    cache: openCache(settings),
    selfId: settings.host,
    domainId: settings.domainId,
    getMembership: () => late.membership!,
    getPeers: () => late.peers!,
    isLeader: options.isLeader,
    onApplied: () => options.onConfiguration(configuration.getConfiguration()),
  });
  // Instances are discovered through the seeds, so there is no platform list to
  // wait for.
  configuration.handleListRead();
  const upstreams = createUpstreamViewService({
    clock,
    logger,
    random,
    pollIntervalMs,
    staleAfterMs: settings.bounds.drainMs,
    isControl,
    getPeers: () => late.peers!,
    getLeaderTerm: options.getLeaderTerm,
    readList: () => adapter.readUpstreamList(settings.upstreamList.address),
    onChanged: options.onUpstreams,
    assignShares: options.assignShares,
  });
  const membership = createSeedMembership({
    self: {
      instanceId: settings.host,
      domainId: settings.domainId,
      host: settings.host,
      peerPort: settings.peerPort,
      state: InstanceState.Live,
      incarnation: clock.wallMs(),
      isControl,
    },
    seedIds: settings.seeds.map(({ host }) => host),
    clock,
    logger,
    heartbeatIntervalMs,
    startupHeartbeatIntervalMs,
    isStartupFinished: () =>
      clock.nowMs() - startedAtMs > maxStartupMs ||
      (configuration.getRevision() > 0 && upstreams.getState().revision > 0),
    lostAfterMs: heartbeatIntervalMs * maxMissedHeartbeats,
    removeAfterMs,
    getPeers: () => late.peers!,
    getRevision: configuration.getRevision,
    getUpstreams: upstreams.getState,
    onHeartbeat: (heartbeat) => {
      configuration.handleHeartbeat(heartbeat);
      upstreams.handleHeartbeat(heartbeat);
      options.onHeartbeat(heartbeat);
    },
    getEngineLoadSummary: options.getEngineLoadSummary,
    onEngineLoadSummary: options.onEngineLoadSummary,
    getAnswerReport: options.getAnswerReport,
    getQuarantineFields: options.getQuarantineFields,
  });
  const peers = createPeerClient({
    keys: settings.peerKeys,
    logger,
    getAddress: membership.getAddress,
    onConnectionLost: membership.probeInstance,
  });
  options.registry.createGauge(
    "configuration_revision",
    "Revision of the configuration in force here.",
    configuration.getRevision,
  );
  late.membership = membership;
  late.peers = peers;
  return {
    membership,
    peers,
    configuration,
    upstreams,
    tasks: [
      supervise("membership", membership.tasks),
      supervise("configuration", configuration.tasks),
      supervise("upstreams", upstreams.tasks),
    ],
  };

  function supervise(name: string, tasks: readonly Task[]): Task {
    return createSupervisor({ name, clock, logger, tasks });
  }
}

function openCache(
  { dataFolder }: ForwardingSettings,
): ConfigurationCache | undefined {
  return dataFolder === null ? undefined : createConfigurationCache(dataFolder);
}
