/**
 * Overhead of the system: direct calls to a simulated engine against calls
 * through one entry instance, with and without a replica, and the cost of
 * idle instances. `docs/CAPACITY.md` is worked out from its last line.
 */
import process from "node:process";
import { createParser } from "eventsource-parser";
import { Agent, request } from "undici";
import { type Cluster, startCluster } from "./launcher.ts";
import { createLoadClient } from "./load_client.ts";
import { getPercentile } from "./statistics.ts";

const streamCount = 150;
const stepMs = 25; // 150 streams at 40 tokens/s each are 6,000 tokens/s
const maxTokens = 400;
const warmUpTokens = 60;
const engineOptions = {
  stepMs,
  stepPerRequestMs: 0,
  maxBatch: 64,
  prefillTokensPerMs: 1_000,
};
const enginesPerRun = 6;
/** Streams start spread over this time, so that steps do not coincide. */
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
const unreplicated = await runThrough(["andina-a"]);
print("without replica", unreplicated.figures);
const replicated = await runThrough(["andina-a", "andina-b", "andina-c"]);
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
  const cluster = await start(["andina-a"], 1, enginesPerRun);
  const agent = new Agent();
  const startedAtMs = performance.now();
  const samples = await Promise.all(
    Array.from({ length: streamCount }, async (_, index) => {
      await pause((index / streamCount) * startSpreadMs);
      const engine = cluster.engines[index % enginesPerRun]!;
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

async function runThrough(domainIds: string[]) {
  const perDomain = enginesPerRun / domainIds.length;
  const cluster = await start(domainIds, 1, perDomain);
  const client = createLoadClient(cluster);
  const { instanceId } = cluster.instances[0]!;
  // A start measures compilation and the growing concurrency window instead.
  await Promise.all(
    Array.from(
      { length: 2 * streamCount },
      () => client.generate({ maxTokens: warmUpTokens, instanceId }),
    ),
  );
  const before = await readStats(cluster);
  const startedAtMs = performance.now();
  let peakHeapBytes = 0;
  const samples = await Promise.all(
    Array.from({ length: streamCount }, async (_, index) => {
      await pause((index / streamCount) * startSpreadMs);
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
  const after = await readStats(cluster);
  peakHeapBytes = after[0]!.heapUsedBytes;
  await client.close();
  await cluster.stop();
  const kiloTokens = streamCount * maxTokens / 1_000;
  const getCost = (index: number) => ({
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
    owner: { ...getCost(0), peakHeapBytes },
    replicas: cluster.instances.slice(1).map((_, index) => getCost(index + 1)),
  };
}

/** Cost of heartbeats and polling without any request. */
async function runIdle(instancesPerDomain: number) {
  const cluster = await start(
    ["andina-a", "andina-b", "andina-c"],
    instancesPerDomain,
    1,
  );
  await pause(2_000);
  const before = await readStats(cluster);
  const measuredMs = 5_000;
  await pause(measuredMs);
  const after = await readStats(cluster);
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

async function start(
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

async function readStats(cluster: Cluster): Promise<ProcessStats[]> {
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

function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
