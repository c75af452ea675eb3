/**
 * Types that the forwarders of non-streaming calls and of streams share.
 */
import type { Buffer } from "node:buffer";
import type { ByteBudget } from "../core/byte_budget.ts";
import type { Clock } from "../core/clock.ts";
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import type { DomainId } from "../core/types.ts";
import type { DomainTraffic } from "./domain_traffic.ts";
import type { SuccessorDiscovery } from "./successor_discovery.ts";
import type { DemandShare } from "../limits/demand_share.ts";
import type { LimitQueue } from "../limits/limit_queue.ts";
import type { RankDemand } from "../limits/rank_demand.ts";
import type { UpstreamLimits } from "../limits/upstream_limits.ts";
import type { RetryBudget } from "../limits/retry_budget.ts";
import type { RequestQuarantine } from "../quarantine/request_quarantine.ts";
import type { CallQueue } from "./call_queue.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { ForwardingMetrics } from "./forwarding_metrics.ts";
import type { ForwardingProtocol } from "./forwarding_protocol.ts";
import type { ForwardingRoute, ForwardingService } from "./forwarding_table.ts";
import type { StreamQueue } from "./stream_queue.ts";
import type { UpstreamConnections } from "./upstream_connections.ts";
import type { UpstreamDirectory } from "./upstream_directory.ts";
import type { UrgentEngines } from "./urgent_engines.ts";

export interface ForwardingContext {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: Random;
  readonly domainId: DomainId;
  readonly protocol: ForwardingProtocol;
  readonly connections: UpstreamConnections;
  readonly directory: UpstreamDirectory;
  readonly successors: SuccessorDiscovery;
  readonly budget: RetryBudget;
  readonly quarantine: RequestQuarantine;
  readonly limits: UpstreamLimits;
  readonly limitQueue: LimitQueue;
  readonly demand: Pick<DemandShare, "recordRequest" | "getShare">;
  readonly rankDemand: Pick<
    RankDemand,
    "recordStream" | "getMoreUrgent" | "getAll"
  >;
  readonly streamQueue: StreamQueue;
  readonly urgentEngines: UrgentEngines;
  readonly callQueue: CallQueue;
  readonly domainTraffic: Pick<DomainTraffic, "drawCosts">;
  readonly metrics: ForwardingMetrics;
  /** For responses that are held until they are complete. */
  readonly heldResponses: ByteBudget;
  /**
   * Whether requests to the service are scheduled by urgency and expected time:
   * its streaming routes differ in priority, or its upstreams state the slowness
   * of their machines.
   */
  isLoadAware(service: string): boolean;
  /**
   * The different priorities of streams of the service, the most urgent first;
   * see `combinePriorities`.
   */
  getStreamPriorities(service: string): readonly number[];
  /** The shortest objective of the most urgent streaming routes. */
  getUrgentObjectiveMs(service: string): number | undefined;
  /**
   * Exchanges loads with the other instances now; resolves when theirs are known
   * or that takes too long.
   */
  refreshLoads(): Promise<void>;
  /** Tells the other instances of the load of a stream that was placed. */
  announceLoads(): void;
  /** Counts a stream that this instance has placed. */
  recordPlacement(): void;
  /**
   * Estimated number of streams that domain peers have placed since the loads
   * that they last reported.
   */
  getUnreportedPlacementCount(isBurst: boolean, loadAgeMs?: number): number;
}

/**
 * A request that passed the checks, with the objects of the configuration that
 * was in force when the request arrived.
 */
export interface AdmittedRequest {
  readonly caller: CallerExchange;
  readonly route: ForwardingRoute;
  readonly service: ForwardingService;
  readonly customerId: string | undefined;
  readonly body: Buffer;
  readonly revision: number;
  /** Lower ones go first; see `combinePriorities`. */
  readonly priority: number;
  /** The earlier of the caller's deadline and the route's timeout. */
  readonly deadlineAtMs: number;
}
