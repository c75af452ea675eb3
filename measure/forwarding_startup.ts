/**
 * Measures the start of both roles of a forwarding deployment: time and
 * processor time until the instance answers on its metrics address, and its
 * resident memory then. Needs the bundle (`npm run bundle`); prints one JSON
 * object.
 */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { getPercentile } from "./statistics.ts";

const program = "target/apricotyoked.mjs";
const runCount = 9;
const pollMs = 2;
const maxStartMs = 10_000;
/** Linux counts processor time in these. */
const msPerTick = 10;
/** The whole loopback network is local, so each run has its own address. */
const addresses = { entry: "127.0.9.1", control: "127.0.9.2" };

interface Start {
  readonly startMs: number;
  readonly processorMs: number;
  readonly residentMb: number;
}

function getSettings(role: keyof typeof addresses, folder: string) {
  const host = addresses[role];
  const isEntry = role === "entry";
  return {
    role,
    instanceName: role,
    host,
    domainId: "domain-a",
    peerPort: 7200,
    peerKeys: [{ keyId: "measure", keyHex: "00".repeat(16) }],
    seeds: [`${addresses.control}:7201`],
    isFirstStart: true,
    callers: isEntry ? `${host}:7202` : null,
    readiness: isEntry ? `${host}:7203` : null,
    operators: isEntry ? null : `${host}:7201`,
    metricsPort: 7204,
    dataFolder: isEntry ? null : folder,
    toleratedLosses: 0,
    upstreamList: { address: `${host}:7205` },
  };
}

async function measureStart(role: keyof typeof addresses): Promise<Start> {
  const folder = mkdtempSync(join(tmpdir(), "apricotyoke-start-"));
  const settingsPath = join(folder, "settings.json");
  writeFileSync(settingsPath, JSON.stringify(getSettings(role, folder)));
  const startedAtMs = performance.now();
  const child = spawn(process.execPath, [program], {
    env: { ...process.env, APRICOTYOKE_CONFIG: settingsPath },
    stdio: "ignore",
  });
  try {
    await waitForMetrics(addresses[role]);
    return { startMs: performance.now() - startedAtMs, ...readUse(child.pid!) };
  } finally {
    child.kill("SIGKILL");
    rmSync(folder, { recursive: true, force: true });
  }
}

async function waitForMetrics(host: string): Promise<void> {
  const endsAtMs = performance.now() + maxStartMs;
  while (performance.now() < endsAtMs) {
    try {
      const response = await fetch(`http://${host}:7204/metrics`);
      if (response.ok) return;
    } catch {
      await sleep(pollMs); // it does not listen yet
    }
  }
  throw new Error(`${host} did not start within ${maxStartMs} ms`);
}

function readUse(pid: number): Omit<Start, "startMs"> {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8").split(" ");
  return {
    processorMs: (Number(stat[13]) + Number(stat[14])) * msPerTick,
    residentMb: Number(/VmRSS:\s+(\d+)/.exec(status)![1]) / 1_024,
  };
}

async function measureRole(role: keyof typeof addresses): Promise<Start> {
  const starts: Start[] = [];
  for (let run = 0; run < runCount; run++) {
    starts.push(await measureStart(role));
  }
  const getMedian = (field: keyof Start) =>
    Math.round(getPercentile(starts.map((start) => start[field]), 0.5));
  return {
    startMs: getMedian("startMs"),
    processorMs: getMedian("processorMs"),
    residentMb: getMedian("residentMb"),
  };
}

console.log(JSON.stringify({
  runCount,
  entry: await measureRole("entry"),
  control: await measureRole("control"),
}));
