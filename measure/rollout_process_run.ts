/**
 * Measures a rollout on real processes: `npm run measure:rollout-processes`.
 *
 * The candidate is loaded on an engine, gets its first share of the requests,
 * and then fails on that engine. The run ends with the rollback and reports the
 * callers' answers and the number of requests on the candidate's engines,
 * counted `afterRollbackMs` later.
 */
import { submitTicket } from "./ticket_client.ts";
import process from "node:process";
import { startCluster, type UpstreamHandle } from "./launcher.ts";
import { type AnswerResult, createLoadClient } from "./load_client.ts";
import { sum } from "./statistics.ts";

const concurrency = 40;
const maxTokens = 80;
const faultFreeMs = 45_000;
const waitTimeoutMs = 150_000;
const afterRollbackMs = 3_000;

const cluster = await startCluster({
  domainIds: ["andina-a", "andina-b", "andina-c"],
  instancesPerDomain: 1,
  enginesPerDomain: 5,
  workersPerDomain: 1,
  seed: 1,
  changeSettings: (settings) => {
    settings.weightStore = { rateBytesPerS: 1e9, weightBytes: 1e9 };
  },
});
await cluster.waitUntilReady();
const client = createLoadClient(cluster);
const leader = cluster.instances[0]!;
const headers = {
  authorization: `Bearer ${cluster.operatorToken}`,
  "content-type": "application/json",
};
let isRunning = true;
const results: AnswerResult[] = [];
const load = Promise.all(Array.from({ length: concurrency }, async () => {
  while (isRunning) results.push(await client.generate({ maxTokens }));
}));

const startedAtMs = Date.now();
await submitTicket(cluster, {
  number: 1,
  versions: {
    "taller-lm": {
      kind: "stable",
      stableVersion: "v1",
      candidateVersion: "v2",
    },
  },
  rollouts: {
    "taller-lm": {
      candidateVersion: "v2",
      targetDate: new Date(startedAtMs + 10 * 60_000).toISOString(),
      soakMs: 0,
    },
  },
});

await waitFor(async () => (await readRollout()).share > 0);
const firstShareAtMs = Date.now();
print(`first share of requests after ${firstShareAtMs - startedAtMs} ms`);
await delay(faultFreeMs);
const beforeFault = await readRollout();
const candidates = await listCandidateEngines();
for (const engine of candidates) {
  await fetch(`${engine.baseUrl}/faults`, {
    method: "POST",
    body: JSON.stringify({ failRatio: 0.7 }),
  });
}
const faultAtMs = Date.now();
await waitFor(async () => (await readRollout()).phase === "rolledBack");
const rolledBackAtMs = Date.now();
await delay(afterRollbackMs);
const candidateRequestCount = await countRequests(candidates);
for (const engine of candidates) {
  await fetch(`${engine.baseUrl}/faults`, {
    method: "POST",
    body: JSON.stringify({ failRatio: 0 }),
  });
}
isRunning = false;
await load;
const final = await readRollout();
print(final.summary);
process.stdout.write(`${
  JSON.stringify({
    beforeFault: beforeFault.phase,
    shareBeforeFault: beforeFault.share,
    detectionMs: rolledBackAtMs - faultAtMs,
    phase: final.phase,
    reason: final.reason,
    answers: results.length,
    whole: results.filter((result) => result.isWhole).length,
    resets: sum(results.map((result) => result.resets)),
    mixedTokens: sum(results.map((result) => result.mixedTokens)),
    repeatedTokens: sum(results.map((result) => result.repeatedTokens)),
    candidateEngines: candidates.length,
    requestsOnCandidateEngines: candidateRequestCount,
  })
}\n`);
await client.close();
await cluster.stop();
process.exit(final.phase === "rolledBack" ? 0 : 1);

interface RolloutReport {
  readonly phase: string;
  readonly share: number;
  readonly reason: string;
  readonly summary: string;
}

async function readRollout(): Promise<RolloutReport> {
  const response = await fetch(`${leader.callerUrl}/admin/rollouts`, {
    headers,
  });
  const body = await response.json() as { rollouts?: RolloutReport[] };
  // The leader starts the rollout shortly after the ticket is in force.
  return body.rollouts?.[0] ??
    { phase: "", share: 0, reason: "", summary: "" };
}

async function listCandidateEngines(): Promise<UpstreamHandle[]> {
  const loaded = await Promise.all(cluster.engines.map(async (engine) => {
    const response = await fetch(`${engine.baseUrl}/orders`);
    const { versions } = await response.json() as { versions: string[] };
    return versions.includes("v2") ? [engine] : [];
  }));
  return loaded.flat();
}

async function countRequests(
  engines: readonly UpstreamHandle[],
): Promise<number> {
  const totals = await Promise.all(engines.map(async (engine) => {
    const response = await fetch(`${engine.baseUrl}/totals`);
    return (await response.json() as { requests: number }).requests;
  }));
  return sum(totals);
}

async function waitFor(isDone: () => Promise<boolean>): Promise<void> {
  const waitEndAtMs = Date.now() + waitTimeoutMs;
  while (!(await isDone())) {
    if (Date.now() > waitEndAtMs) {
      print(`timed out: ${JSON.stringify(await readRollout())}`);
      process.exit(1);
    }
    await delay(100);
  }
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}
