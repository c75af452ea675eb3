/**
 * Fakes for tests of the forwarding entry: an upstream whose responses are
 * given by the test, and an entry server in this process that forwards to such
 * upstreams.
 */
import { Buffer } from "node:buffer";
import http from "node:http";
import net from "node:net";
import { createByteBudget } from "../src/core/byte_budget.ts";
import { createSystemClock } from "../src/core/clock.ts";
import { createMetricsRegistry } from "../src/core/metrics_registry.ts";
import { createCallQueue } from "../src/forwarding/call_queue.ts";
import { createForwardingMetrics } from "../src/forwarding/forwarding_metrics.ts";
import {
  type CallerGuard,
  callerLimitsSchema,
  createCallerGuard,
} from "../src/core/caller_limits.ts";
import { createSilentLogger, type Logger } from "../src/core/logger.ts";
import { createRandom } from "../src/core/random.ts";
import {
  createEntryServer,
  type EntryServer,
} from "../src/forwarding/entry_server.ts";
import type { ForwardingContext } from "../src/forwarding/forwarding_context.ts";
import {
  type EngineTraits,
  type ForwardingRoute,
  type ForwardingTable,
  RequestKind,
} from "../src/forwarding/forwarding_table.ts";
import type { InstanceAdmission } from "../src/forwarding/instance_admission.ts";
import { createRouteTable } from "../src/forwarding/route_table.ts";
import { createStreamQueue } from "../src/forwarding/stream_queue.ts";
import { createUrgentEngines } from "../src/forwarding/urgent_engines.ts";
import { getDefaultDomainCost } from "../src/forwarding/placement.ts";
import { createSuccessorDiscovery } from "../src/forwarding/successor_discovery.ts";
import { createUpstreamConnections } from "../src/forwarding/upstream_connections.ts";
import { createUpstreamDirectory } from "../src/forwarding/upstream_directory.ts";
import {
  createDemandShare,
  type DemandShare,
} from "../src/limits/demand_share.ts";
import { createLimitQueue } from "../src/limits/limit_queue.ts";
import { createRankDemand } from "../src/limits/rank_demand.ts";
import { createUpstreamLimits } from "../src/limits/upstream_limits.ts";
import { createRetryBudget } from "../src/limits/retry_budget.ts";
import { createRequestQuarantine } from "../src/quarantine/request_quarantine.ts";
import type { ListedUpstream } from "../src/upstreams/upstream_view.ts";
import { createForwardingProtocol } from "../platform/forwarding_protocol.ts";

export interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly rawHeaders: readonly string[];
  readonly body: string;
}

export interface FakeUpstream {
  readonly listed: ListedUpstream;
  readonly received: ReceivedRequest[];
  /** Ids of requests whose connection closed before the response ended. */
  readonly cancelled: string[];
  /** Refuses new connections; the responses in progress go on. */
  stopListening(): void;
  /** Closes all connections and refuses new ones until it is back. */
  crash(downtimeMs: number): void;
  close(): Promise<void>;
}

export type FakeUpstreamHandler = (
  request: ReceivedRequest,
  response: http.ServerResponse,
) => void;

const maxListenAttempts = 5;
const maxHeldResponseBytes = 4 * 1024 * 1024;
let nextUpstreamNumber = 1;

export async function startFakeUpstream(
  answer: FakeUpstreamHandler,
  listed: Partial<ListedUpstream> = {},
): Promise<FakeUpstream> {
  const received: ReceivedRequest[] = [];
  const cancelled: string[] = [];
  const server = http.createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on("data", (chunk: Buffer) => chunks.push(chunk));
    request.on("end", () => {
      const entry: ReceivedRequest = {
        method: request.method!,
        path: request.url!,
        headers: request.headers,
        rawHeaders: request.rawHeaders,
        body: Buffer.concat(chunks).toString(),
      };
      if (request.url !== "/report") received.push(entry);
      answer(entry, response);
    });
    response.on("close", () => {
      if (response.writableFinished) return;
      cancelled.push(String(request.headers["request-id"]));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  let restartTimer: NodeJS.Timeout | undefined;
  return {
    listed: {
      upstreamId: `upstream-${nextUpstreamNumber++}`,
      service: "service",
      host: "127.0.0.1",
      port,
      domainId: "domain-a",
      version: "v1",
      maxRunning: 4,
      isLeaving: false,
      isCold: false,
      versionShare: 1,
      ...listed,
    },
    received,
    cancelled,
    // Not that of an HTTP server, which also closes idle connections.
    stopListening: () => void net.Server.prototype.close.call(server),
    crash: (downtimeMs) => {
      server.close();
      server.closeAllConnections();
      clearTimeout(restartTimer);
      restartTimer = setTimeout(
        () => server.listen(port, "127.0.0.1"),
        downtimeMs,
      );
    },
    close: () => {
      clearTimeout(restartTimer);
      server.closeAllConnections();
      return new Promise((resolve) => server.close(() => resolve()));
    },
  };
}

/** Sends a complete response with the request id and seal of an upstream. */
export function sendCompleteResponse(
  request: ReceivedRequest,
  response: http.ServerResponse,
  { status = 200, body = "whole" }: { status?: number; body?: string } = {},
): void {
  response.writeHead(status, {
    "Request-Id": String(request.headers["request-id"]),
    "Response-Seal": "seal",
    "Content-Length": Buffer.byteLength(body),
  });
  response.end(body);
}

export function startEventStream(
  request: ReceivedRequest,
  response: http.ServerResponse,
): void {
  response.writeHead(200, {
    "Request-Id": String(request.headers["request-id"]),
    "Response-Seal": "seal",
    "Content-Type": "text/event-stream",
  });
}

export function formatEvent(eventId: number): string {
  return `id: ${eventId}\ndata: token ${eventId}\n\n`;
}

export const engineTraits: EngineTraits = {
  maxRunning: 8,
  memoryTokens: 88_000,
  tokenBytes: 1_000,
  linkMbps: 10_000,
  canMove: true,
  canBackUp: true,
  tokensPerEvent: 1,
  copyTtlMs: 4_000,
};

export function createTestTable(
  route: Partial<ForwardingRoute> = {},
  engine: EngineTraits | null = null,
): ForwardingTable {
  return {
    routes: [{
      name: "route",
      host: "app.example",
      pathPrefix: "/app/",
      kind: RequestKind.Safe,
      timeoutMs: 2_000,
      objectiveMs: 200,
      priority: 1,
      targets: [{ service: "service", weight: 1 }],
      maxAttempts: 2,
      isPublic: false,
      isResumable: false,
      maxEventGapMs: null,
      ...route,
    }],
    services: [{
      name: "service",
      healthPath: "/healthz",
      maxConnections: 100,
      engine,
    }],
    customers: [{ customerId: "clinic", apiKeys: ["key-1"], priority: 1 }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 100_000,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

export interface TestEntry {
  readonly port: number;
  readonly readinessPort: number;
  readonly server: EntryServer;
  readonly context: ForwardingContext;
  /** Exchanges its demand with other test entries. */
  readonly demand: DemandShare;
  setTable(table: ForwardingTable | undefined): void;
}

export async function startTestEntry(
  upstreams: readonly FakeUpstream[],
  table: ForwardingTable,
  {
    instanceCount = 1,
    logger = createSilentLogger(),
    isControlReachable = false,
    createAdmission,
  }: {
    /** Instances that share the limits of upstreams. */
    readonly instanceCount?: number;
    readonly logger?: Logger;
    /** Without control, the quarantine decides from its own crashes. */
    readonly isControlReachable?: boolean;
    readonly createAdmission?: (
      context: ForwardingContext,
      guard: CallerGuard,
    ) => Pick<InstanceAdmission, "refuse">;
  } = {},
): Promise<TestEntry> {
  const clock = createSystemClock();
  const protocol = createForwardingProtocol();
  const connections = createUpstreamConnections();
  const directory = createUpstreamDirectory({
    clock,
    logger,
    random: createRandom(2),
    onUpstreamLost: () => {},
    canRouteToCandidates: () => true,
  });
  directory.update(upstreams.map(({ listed }) => listed));
  const demand = createDemandShare({
    clock,
    getInstanceCount: () => instanceCount,
  });
  const limits = createUpstreamLimits({
    clock,
    logger,
    random: { next: () => 0, nextInt: () => 0 },
    getShare: demand.getShare,
  });
  let routes: ReturnType<typeof createRouteTable> | undefined =
    createRouteTable(table, 1);
  const metrics = createForwardingMetrics(createMetricsRegistry());
  const limitQueue = createLimitQueue({
    clock,
    listUpstreamIds: (service) =>
      directory.listUsable(service).map(({ info }) => info.upstreamId),
    getRatePerS: limits.getRatePerS,
  });
  const context: ForwardingContext = {
    clock,
    logger,
    random: createRandom(1),
    domainId: "domain-a",
    protocol,
    connections,
    directory,
    quarantine: createRequestQuarantine({
      clock,
      logger,
      isControlReachable: () => isControlReachable,
      onCrash: () => {},
    }),
    limits,
    limitQueue,
    callQueue: createCallQueue({
      clock,
      random: createRandom(3),
      logger,
      limitQueue,
      directory,
      demand,
      metrics,
    }),
    demand,
    rankDemand: createRankDemand({
      clock,
      getInstanceCount: () => instanceCount,
    }),
    streamQueue: createStreamQueue(),
    urgentEngines: createUrgentEngines(),
    getUrgentObjectiveMs: (service) => routes?.getUrgentObjectiveMs(service),
    successors: createSuccessorDiscovery({
      logger,
      protocol,
      connections,
      directory,
      getSoleEngineService: () => routes?.soleEngineService,
    }),
    metrics,
    heldResponses: createByteBudget(maxHeldResponseBytes),
    getStreamPriorities: (service) =>
      routes?.getStreamPriorities(service) ?? [],
    isLoadAware: (service) =>
      routes?.hasRankedStreams(service) === true ||
      directory.hasStatedSlowness(service),
    refreshLoads: () => Promise.resolve(),
    announceLoads: () => {},
    domainTraffic: {
      drawCosts: () => (domainId) => getDefaultDomainCost(domainId, "domain-a"),
    },
    recordPlacement: () => {},
    getUnreportedPlacementCount: () => 0,
    budget: createRetryBudget({
      ratio: 1,
      initialUnits: 10,
      maxUnits: 10,
      getReserveUnits: () => 10,
    }),
  };
  const callerLimits = callerLimitsSchema.parse(undefined);
  const guard = createCallerGuard({
    limits: callerLimits,
    logger,
    registry: createMetricsRegistry(),
  });
  const admission = createAdmission?.(context, guard);
  return {
    ...await listenOnFreePorts(({ port, readinessPort }) =>
      createEntryServer({
        context,
        callers: { host: "127.0.0.1", port },
        readiness: { host: "127.0.0.1", port: readinessPort },
        guard,
        admission,
        callerLimits,
        getRouteTable: () => routes,
      })
    ),
    context,
    demand,
    setTable: (next) => {
      routes = next && createRouteTable(next, 2);
    },
  };
}

/** Another process may take a port between its choice and its use. */
async function listenOnFreePorts(
  create: (ports: { port: number; readinessPort: number }) => EntryServer,
): Promise<Pick<TestEntry, "port" | "readinessPort" | "server">> {
  for (let attempt = 1;; attempt++) {
    const ports = {
      port: await findFreePort(),
      readinessPort: await findFreePort(),
    };
    const server = create(ports);
    const listening = await server.listen();
    if (listening.isOk()) return { ...ports, server };
    if (attempt === maxListenAttempts) throw new Error(listening.error.message);
  }
}

async function findFreePort(): Promise<number> {
  const server = http.createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

export interface CallerResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  /** Its first 32 MiB. */
  readonly body: string;
  /** Whether the response was received in full according to HTTP. */
  readonly isComplete: boolean;
  readonly durationMs: number;
}

export interface CallOptions {
  readonly address?: string;
  readonly method?: string;
  readonly path?: string;
  readonly host?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly agent?: http.Agent;
  readonly signal?: AbortSignal;
}

let nextRequestNumber = 1;

/**
 * What a caller keeps of a body; the rest is read and dropped. A response
 * without end brought 700 MB within its timeout of 600 ms, and Node.js makes no
 * strings above 512 MB.
 */
const maxKeptBodyBytes = 32 * 1024 * 1024;

/** Sends a request as a caller does; the promise never rejects. */
export function callEntry(
  port: number,
  options: CallOptions = {},
): Promise<CallerResponse> {
  const startedAtMs = performance.now();
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let keptBytes = 0;
    let status = 0;
    let headers: http.IncomingHttpHeaders = {};
    const keep = (chunk: Buffer) => {
      if (keptBytes >= maxKeptBodyBytes) return;
      keptBytes += chunk.length;
      chunks.push(chunk);
    };
    const finish = (isComplete: boolean) =>
      resolve({
        status,
        headers,
        body: Buffer.concat(chunks).toString(),
        isComplete,
        durationMs: performance.now() - startedAtMs,
      });
    const request = http.request({
      host: options.address ?? "127.0.0.1",
      port,
      method: options.method ?? "GET",
      path: options.path ?? "/app/item",
      headers: {
        Host: options.host ?? "app.example",
        "Request-Id": `request-${nextRequestNumber++}`,
        "Api-Key": "key-1",
        "Deadline-Ms": "2000",
        ...options.headers,
      },
      ...(options.agent ? { agent: options.agent } : { agent: false }),
      ...(options.signal ? { signal: options.signal } : {}),
    }, (response) => {
      status = response.statusCode!;
      headers = response.headers;
      response.on("data", keep);
      response.on("end", () => finish(response.complete));
      response.on("error", () => finish(false));
    });
    request.on("error", () => finish(false));
    request.end(options.body);
  });
}
