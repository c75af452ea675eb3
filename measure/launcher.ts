/**
 * Starts the processes of a measurement: instances, simulated engines and
 * workers, and a server of the platform list. All child processes are killed
 * and their folder is removed when this process exits.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { createHash, randomBytes } from "node:crypto";
import {
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer, type Server } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { type Relay, startRelay } from "./relay.ts";
import type { EngineOptions } from "./simulated_engine_options.ts";

export interface InstanceHandle {
  readonly instanceId: string;
  readonly domainId: string;
  readonly callerPort: number;
  readonly peerPort: number;
  readonly callerUrl: string;
  readonly dataFolder: string;
  process: ChildProcess;
}

export interface UpstreamHandle {
  readonly upstreamId: string;
  readonly domainId: string;
  readonly version: string;
  readonly baseUrl: string;
  readonly process: ChildProcess;
}

export interface ClusterOptions {
  readonly domainIds: readonly string[];
  readonly instancesPerDomain: number;
  readonly enginesPerDomain: number;
  readonly workersPerDomain: number;
  readonly seed: number;
  readonly engine?: Partial<EngineOptions>;
  /** Versions assigned to the engines of a domain in turn; default stable. */
  readonly versions?: readonly string[];
  /** Starts relays in front of instances and engines, one per source domain. */
  readonly hasRelays?: boolean;
  /** Changes the settings of every instance before they are written. */
  readonly changeSettings?: (settings: Record<string, unknown>) => void;
}

export interface Cluster {
  readonly instances: InstanceHandle[];
  readonly engines: UpstreamHandle[];
  readonly workers: UpstreamHandle[];
  readonly customerToken: (customerId: string) => string;
  readonly operatorToken: string;
  readonly folder: string;
  /** State shown by the platform list, by instance or upstream id. */
  readonly listedStates: Map<string, "live" | "leaving">;
  /** Tokens that engines had generated when they were killed, by engine id. */
  readonly generatedTokensByKilledEngine: Map<string, number>;
  startInstance(instanceId: string): void;
  /** Cuts the domain off from the others, or reconnects it. Needs relays. */
  setCut(domainId: string, isCut: boolean): void;
  waitUntilReady(): Promise<void>;
  stop(): Promise<void>;
}

export const modelService = "taller-lm";
export const applicationService = "clinica-app";
export const stableVersion = "v1";
export const customerIds = ["bench-a", "bench-b", "bench-c"];
const operatorToken = "operator-token";
const firstCandidatePort = 12_000;
const candidatePortCount = 18_000;
const readyTimeoutMs = 10_000;

const distFolder = fileURLToPath(new URL("..", import.meta.url));

const defaultEngine: EngineOptions = {
  service: modelService,
  version: stableVersion,
  seed: 0,
  maxBatch: 32,
  stepMs: 8,
  stepPerRequestMs: 0.2,
  prefillTokensPerMs: 20,
  cacheBlocks: 2_000,
  loadLagMs: 400,
  checksFencing: true,
  loadVersionMs: 500,
};

export async function startCluster(options: ClusterOptions): Promise<Cluster> {
  const folder = mkdtempSync(join(tmpdir(), "apricotyoke-"));
  const children = new Set<ChildProcess>();
  const listedStates = new Map<string, "live" | "leaving">();
  const cleanUp = () => {
    for (const child of children) child.kill("SIGKILL");
    rmSync(folder, { recursive: true, force: true });
  };
  process.once("exit", cleanUp);
  for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => process.exit(130));
  }
  const versions = options.versions ?? [stableVersion];
  const list = await startPlatformList();
  const engines = await startUpstreams("engine", options.enginesPerDomain);
  const workers = await startUpstreams("worker", options.workersPerDomain);
  const instances = await planInstances();
  const relays = new Map<string, Relay & { from: string; to: string }>();
  if (options.hasRelays) await startRelays();
  const keyHex = randomBytes(32).toString("hex");
  const settingsPaths = new Map(instances.map((instance) => [
    instance.instanceId,
    writeSettings(instance),
  ]));
  for (const { instanceId } of instances) startInstance(instanceId);
  return {
    instances,
    engines,
    workers,
    customerToken: (customerId) => `token-of-${customerId}`,
    operatorToken,
    folder,
    listedStates,
    generatedTokensByKilledEngine: new Map(),
    startInstance,
    setCut,
    waitUntilReady,
    stop,
  };

  function spawnNode(
    script: string,
    args: readonly string[],
    output: "pipe" | number,
  ): ChildProcess {
    const child = spawn(process.execPath, [join(distFolder, script), ...args], {
      stdio: ["ignore", output, output === "pipe" ? "ignore" : output],
    });
    children.add(child);
    child.once("exit", () => children.delete(child));
    return child;
  }

  async function startUpstreams(
    kind: "engine" | "worker",
    perDomain: number,
  ): Promise<UpstreamHandle[]> {
    const planned = options.domainIds.flatMap((domainId) =>
      Array.from({ length: perDomain }, (_, index) => ({ domainId, index }))
    );
    return await Promise.all(planned.map(async ({ domainId, index }) => {
      const upstreamId = `${kind}-${domainId}-${index}`;
      const engineOptions = {
        ...defaultEngine,
        ...options.engine,
        seed: options.seed + children.size,
        version: versions[index % versions.length]!,
      };
      const child = kind === "engine"
        ? spawnNode(
          "measure/simulated_engine.js",
          [JSON.stringify(engineOptions)],
          "pipe",
        )
        : spawnNode("measure/simulated_worker.js", ['{"workMs":20}'], "pipe");
      const port = await readReportedPort(child);
      return {
        upstreamId,
        domainId,
        version: kind === "engine" ? engineOptions.version : "",
        baseUrl: `http://127.0.0.1:${port}`,
        process: child,
      };
    }));
  }

  async function planInstances(): Promise<InstanceHandle[]> {
    const planned = options.domainIds.flatMap((domainId) =>
      Array.from({ length: options.instancesPerDomain }, (_, index) => ({
        domainId,
        index,
      }))
    );
    const ports = await findFreePorts(planned.length * 2);
    return planned.map(({ domainId, index }, number) => ({
      instanceId: `${domainId}-${index}`,
      domainId,
      callerPort: ports[2 * number]!,
      peerPort: ports[2 * number + 1]!,
      callerUrl: `http://127.0.0.1:${ports[2 * number]}`,
      dataFolder: join(folder, `${domainId}-${index}-data`),
      process: undefined as unknown as ChildProcess,
    }));
  }

  function writeSettings(instance: InstanceHandle): string {
    // With one control instance per domain a majority remains when one domain
    // is cut off.
    const controlInstanceIds = options.domainIds.map((id) => `${id}-0`);
    const settings: Record<string, unknown> = {
      instanceId: instance.instanceId,
      domainId: instance.domainId,
      callers: { host: "127.0.0.1", port: instance.callerPort },
      peers: {
        host: "127.0.0.1",
        port: instance.peerPort,
        keys: [{ keyId: "k1", keyHex }],
      },
      membership: { listUrl: `${list.url}?from=${instance.domainId}` },
      controlInstanceIds,
      ...(controlInstanceIds.includes(instance.instanceId)
        ? { control: { dataFolder: instance.dataFolder } }
        : {}),
      customers: customerIds.map((customerId) => ({
        customerId,
        tokenSha256: [hashSha256(`token-of-${customerId}`)],
      })),
      operators: [{
        operatorId: "oncall",
        tokenSha256: [hashSha256(operatorToken)],
      }],
      services: [
        { kind: "model", service: modelService, stableVersion },
        {
          kind: "application",
          service: applicationService,
          routes: [
            { method: "GET", pathPrefix: "/", idempotent: true },
            { method: "POST", pathPrefix: "/bookings", idempotent: false },
          ],
        },
      ],
    };
    options.changeSettings?.(settings);
    const path = join(folder, `${instance.instanceId}.json`);
    writeFileSync(path, JSON.stringify(settings, null, 2));
    return path;
  }

  function startInstance(instanceId: string): void {
    const instance = instances.find((entry) =>
      entry.instanceId === instanceId
    )!;
    const logFile = openSync(join(folder, `${instanceId}.log`), "a");
    instance.process = spawnNode(
      "src/daemon/main.js",
      ["--settings", settingsPaths.get(instanceId)!],
      logFile,
    );
  }

  function startPlatformList(): Promise<{ server: Server; url: string }> {
    const server = createServer((request, response) => {
      const from = new URL(request.url!, "http://list").searchParams.get(
        "from",
      );
      response.writeHead(200, { "content-type": "application/json" });
      response.end(JSON.stringify(createListDocument(from ?? "")));
    });
    return new Promise((resolve) => {
      server.listen(0, "127.0.0.1", () => {
        const address = server.address();
        const port = typeof address === "object" ? address?.port : 0;
        resolve({ server, url: `http://127.0.0.1:${port}/list` });
      });
    });
  }

  async function startRelays(): Promise<void> {
    const targets = [
      ...instances.map((instance) => ({
        ...instance,
        id: instance.instanceId,
      })),
      ...engines.map((engine) => ({
        ...engine,
        id: engine.upstreamId,
        peerPort: Number(new URL(engine.baseUrl).port),
      })),
    ];
    for (const { id, peerPort, domainId: to } of targets) {
      for (const from of options.domainIds) {
        const relay = await startRelay(peerPort);
        relays.set(`${from} ${id}`, { ...relay, from, to });
      }
    }
  }

  function setCut(domainId: string, isCut: boolean): void {
    for (const relay of relays.values()) {
      const isCrossing = (relay.from === domainId) !== (relay.to === domainId);
      if (isCrossing) relay.setCut(isCut);
    }
  }

  function createListDocument(from: string): unknown {
    const getState = (id: string) => listedStates.get(id) ?? "live";
    const getUrl = ({ upstreamId, baseUrl }: UpstreamHandle) => {
      const relay = relays.get(`${from} ${upstreamId}`);
      return relay ? `http://127.0.0.1:${relay.port}` : baseUrl;
    };
    return {
      instances: instances.map((instance) => ({
        instanceId: instance.instanceId,
        domainId: instance.domainId,
        host: "127.0.0.1",
        peerPort: relays.get(`${from} ${instance.instanceId}`)?.port ??
          instance.peerPort,
        state: getState(instance.instanceId),
      })),
      upstreams: [...engines, ...workers].map((upstream) => ({
        upstreamId: upstream.upstreamId,
        kind: engines.includes(upstream) ? "engine" : "application",
        service: engines.includes(upstream) ? modelService : applicationService,
        version: upstream.version,
        domainId: upstream.domainId,
        baseUrl: getUrl(upstream),
        state: getState(upstream.upstreamId),
      })),
    };
  }

  async function waitUntilReady(): Promise<void> {
    const deadlineAtMs = Date.now() + readyTimeoutMs;
    const headers = { authorization: `Bearer ${operatorToken}` };
    for (const { callerUrl, instanceId } of instances) {
      while (true) {
        if (Date.now() > deadlineAtMs) {
          throw new Error(
            `${instanceId} is not ready: ${readLastLogLines(instanceId)}`,
          );
        }
        const isReady = await fetch(`${callerUrl}/admin/instances`, { headers })
          .then((response) => response.json())
          .then(async (body) =>
            (await fetch(`${callerUrl}/readyz`)).ok &&
            (body as { instances: { isReachable: boolean }[] }).instances
                .filter((entry) => entry.isReachable).length ===
              instances.length
          )
          .catch(() => false);
        if (isReady) break;
        await new Promise((resolve) => setTimeout(resolve, 50));
      }
    }
  }

  function readLastLogLines(instanceId: string): string {
    const text = readFileSync(join(folder, `${instanceId}.log`), "utf8");
    return text.trim().split("\n").slice(-3).join("\n");
  }

  async function stop(): Promise<void> {
    const exits = [...children].map((child) =>
      new Promise((resolve) => child.once("exit", resolve))
    );
    for (const child of children) child.kill("SIGKILL");
    await Promise.all(exits);
    for (const relay of relays.values()) relay.close();
    list.server.close();
    list.server.closeAllConnections();
    rmSync(folder, { recursive: true, force: true });
    process.off("exit", cleanUp);
  }
}

export function hashSha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

function readReportedPort(child: ChildProcess): Promise<number> {
  return new Promise((resolve, reject) => {
    child.once(
      "exit",
      () => reject(new Error("upstream exited before it reported its port")),
    );
    child.stdout!.once("data", (chunk) => {
      resolve((JSON.parse(String(chunk)) as { port: number }).port);
    });
  });
}

/**
 * Returns ports below the ephemeral range: the kernel could assign a port of
 * that range to an outgoing connection between this check and the start of the
 * process that is to listen on it.
 */
async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  let port = firstCandidatePort +
    randomBytes(2).readUInt16BE() % candidatePortCount;
  while (ports.length < count) {
    port = firstCandidatePort +
      (port + 1 - firstCandidatePort) % candidatePortCount;
    if (await isPortFree(port)) ports.push(port);
  }
  return ports;
}

function isPortFree(port: number): Promise<boolean> {
  const server = createTcpServer();
  return new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}
