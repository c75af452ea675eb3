/**
 * Measures the overhead of the system: streams read directly from simulated
 * engines, compared with streams through one entry instance with and without a
 * replica, and the cost of idle instances. The figures of `docs/CAPACITY.md` are
 * derived from the last line printed.
 */
import process from "node:process";
import { createParser } from "eventsource-parser";
import { Agent, request } from "undici";
import { type Cluster, startCluster } from "./launcher.ts";
import { createLoadClient } from "./load_client.ts";
import { getPercentile } from "./statistics.ts";

const streamCount = 150;
const stepMs = 25; // 40 tokens/s per stream, 6,000 tokens/s for 150 streams
const maxTokens = 400;
const warmUpTokens = 60;
const engineOptions = {
  stepMs,
  stepPerRequestMs: 0,
  maxBatch: 64,
  prefillTokensPerMs: 1_000,
};
const engineCount = 6;
/** Stream starts are spread over this time, so that steps do not coincide. */
const startSpreadMs = 2_000;

interface Sample {
  firstTokenMs: number;
  gapsMs: number[];
}

interface ProcessStats {
  readonly cpuMs: number;
  readonly heapUsedBytes: number;
  readonly residentBytes: number;
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

const direct = await runDirect();
print("direct", direct);
const unreplicated = await runThroughEntry(["andina-a"]);
print("without replica", unreplicated.figures);
const replicated = await runThroughEntry(["andina-a", "andina-b", "andina-c"]);
print("with replica", replicated.figures);
const idle: Record<string, unknown> = {};
for (const perDomain of [1, 3, 5]) {
  const figures = await runIdle(perDomain);
  idle[String(perDomain * 3)] = figures;
  print(`idle, ${perDomain * 3} instances`, figures);
}
process.stdout.write(`${
  JSON.stringify({
    direct,
    unreplicated: unreplicated.figures,
    replicated: replicated.figures,
    owner: replicated.owner,
    replicas: replicated.replicas,
    idle,
  })
}\n`);
process.exit(0);

async function runDirect() {
  const cluster = await startReadyCluster(["andina-a"], 1, engineCount);
  const agent = new Agent();
  const startedAtMs = performance.now();
  const samples = await Promise.all(
    Array.from({ length: streamCount }, async (_, index) => {
      await delay((index / streamCount) * startSpreadMs);
      const engine = cluster.engines[index % engineCount]!;
      return await readDirect(agent, engine.baseUrl, `direct-${index}`);
    }),
  );
  const figures = getFigures(samples, performance.now() - startedAtMs);
  await agent.destroy();
  await cluster.stop();
  return figures;
}

async function readDirect(
  agent: Agent,
  baseUrl: string,
  requestId: string,
): Promise<Sample> {
  const sample = createSample();
  const response = await request(`${baseUrl}/v1/completions`, {
    dispatcher: agent,
    method: "POST",
    body: JSON.stringify({
      request_id: requestId,
      version: "v1",
      prompt: requestId,
      max_tokens: maxTokens,
      priority: 5,
    }),
  });
  const parser = createParser({ onEvent: () => sample.onToken() });
  const decoder = new TextDecoder();
  for await (const chunk of response.body) {
    parser.feed(decoder.decode(chunk as Uint8Array, { stream: true }));
  }
  return sample;
}

async function runThroughEntry(domainIds: string[]) {
  const perDomain = engineCount / domainIds.length;
  const cluster = await startReadyCluster(domainIds, 1, perDomain);
  const client = createLoadClient(cluster);
  const { instanceId } = cluster.instances[0]!;
  // Without a warm-up, compilation and the growing concurrency window would be
  // measured instead.
  await Promise.all(
    Array.from(
      { length: 2 * streamCount },
      () => client.generate({ maxTokens: warmUpTokens, instanceId }),
    ),
  );
  const before = await readProcessStats(cluster);
  const startedAtMs = performance.now();
  let peakHeapBytes = 0;
  const samples = await Promise.all(
    Array.from({ length: streamCount }, async (_, index) => {
      await delay((index / streamCount) * startSpreadMs);
      const sample = createSample();
      await client.generate({
        maxTokens,
        instanceId,
        onToken: () => sample.onToken(),
      });
      return sample;
    }),
  );
  const durationMs = performance.now() - startedAtMs;
  const after = await readProcessStats(cluster);
  peakHeapBytes = after[0]!.heapUsedBytes;
  await client.close();
  await cluster.stop();
  const kiloTokens = streamCount * maxTokens / 1_000;
  const getInstanceCost = (index: number) => ({
    cpuMsPerKiloToken: round(
      (after[index]!.cpuMs - before[index]!.cpuMs) / kiloTokens,
    ),
    peerBytesPerToken: round(
      (after[index]!.sentBytes - before[index]!.sentBytes) /
        (kiloTokens * 1_000),
    ),
    heapBytesPerAnswer: Math.round(
      (after[index]!.heapUsedBytes - before[index]!.heapUsedBytes) /
        streamCount,
    ),
  });
  return {
    figures: getFigures(samples, durationMs),
    owner: { ...getInstanceCost(0), peakHeapBytes },
    replicas: cluster.instances.slice(1).map((_, index) =>
      getInstanceCost(index + 1)
    ),
  };
}

/** Measures the cost of heartbeats and polling without any request. */
async function runIdle(instancesPerDomain: number) {
  const cluster = await startReadyCluster(
    ["andina-a", "andina-b", "andina-c"],
    instancesPerDomain,
    1,
  );
  await delay(2_000);
  const before = await readProcessStats(cluster);
  const measuredMs = 5_000;
  await delay(measuredMs);
  const after = await readProcessStats(cluster);
  await cluster.stop();
  const count = cluster.instances.length;
  const getMean = (key: keyof ProcessStats) =>
    after.reduce(
      (total, stats, index) => total + stats[key] - before[index]![key],
      0,
    ) / count;
  return {
    coreRatio: round(getMean("cpuMs") / measuredMs, 4),
    sentBytesPerS: Math.round(getMean("sentBytes") * 1_000 / measuredMs),
    receivedBytesPerS: Math.round(
      getMean("receivedBytes") * 1_000 / measuredMs,
    ),
    residentMegabytes: round(
      after.reduce((total, stats) => total + stats.residentBytes, 0) / count /
        1e6,
    ),
    heapMegabytes: round(
      after.reduce((total, stats) => total + stats.heapUsedBytes, 0) / count /
        1e6,
    ),
  };
}

async function startReadyCluster(
  domainIds: string[],
  instancesPerDomain: number,
  enginesPerDomain: number,
): Promise<Cluster> {
  const cluster = await startCluster({
    domainIds,
    instancesPerDomain,
    enginesPerDomain,
    workersPerDomain: 0,
    seed: 1,
    engine: engineOptions,
    changeSettings: (settings) => {
      settings.log = { level: "warn" };
    },
  });
  await cluster.waitUntilReady();
  return cluster;
}

async function readProcessStats(cluster: Cluster): Promise<ProcessStats[]> {
  const headers = { authorization: `Bearer ${cluster.operatorToken}` };
  return await Promise.all(cluster.instances.map(async ({ callerUrl }) => {
    const response = await fetch(`${callerUrl}/admin/status`, { headers });
    const body = await response.json() as {
      process: { cpuMs: number; heapUsedBytes: number; residentBytes: number };
      peerTraffic: { sentBytes: number; receivedBytes: number };
    };
    return { ...body.process, ...body.peerTraffic };
  }));
}

function createSample(): Sample & { onToken(): void } {
  const startedAtMs = performance.now();
  let lastAtMs = 0;
  const sample = { firstTokenMs: 0, gapsMs: [] as number[], onToken };
  return sample;

  function onToken(): void {
    const nowMs = performance.now();
    if (lastAtMs === 0) sample.firstTokenMs = nowMs - startedAtMs;
    else sample.gapsMs.push(nowMs - lastAtMs);
    lastAtMs = nowMs;
  }
}

function getFigures(samples: readonly Sample[], durationMs: number) {
  const firstTokensMs = samples.map((sample) => sample.firstTokenMs);
  const gapsMs = samples.flatMap((sample) => sample.gapsMs);
  return {
    tokensPerS: Math.round(gapsMs.length / (durationMs / 1_000)),
    firstTokenP50Ms: round(getPercentile(firstTokensMs, 0.5)),
    firstTokenP99Ms: round(getPercentile(firstTokensMs, 0.99)),
    gapP50Ms: round(getPercentile(gapsMs, 0.5)),
    gapP99Ms: round(getPercentile(gapsMs, 0.99)),
  };
}

function print(name: string, figures: unknown): void {
  process.stdout.write(`${name}: ${JSON.stringify(figures)}\n`);
}

function round(value: number, digits = 2): number {
  return Number(value.toFixed(digits));
}

function delay(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
