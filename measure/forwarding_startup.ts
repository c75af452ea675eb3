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
import {
  createForwardingSettings,
  forwardingPorts,
  waitUntilOk,
} from "./forwarding_settings.ts";
import { getPercentile } from "./statistics.ts";

const program = "target/apricotyoked.mjs";
const runCount = 9;
const maxStartMs = 10_000;
/** Linux counts processor time in these. */
const msPerTick = 10;
const addresses = { entry: "127.0.9.1", control: "127.0.9.2" };

interface Start {
  readonly startMs: number;
  readonly processorMs: number;
  readonly residentMb: number;
}

async function measureStart(role: keyof typeof addresses): Promise<Start> {
  const folder = mkdtempSync(join(tmpdir(), "apricotyoke-start-"));
  const settingsPath = join(folder, "settings.json");
  const host = addresses[role];
  const settings = createForwardingSettings({
    name: role,
    role,
    host,
    domainId: "domain-a",
    controlHosts: [addresses.control],
    isFirstStart: true,
    dataFolder: folder,
    toleratedLosses: 0,
    // Nobody answers there; neither role waits for the list to start.
    upstreamList: `${host}:1`,
  });
  writeFileSync(settingsPath, JSON.stringify(settings));
  const startedAtMs = performance.now();
  const child = spawn(process.execPath, [program], {
    env: { ...process.env, APRICOTYOKE_CONFIG: settingsPath },
    stdio: "ignore",
  });
  try {
    const url = `http://${host}:${forwardingPorts.metrics}/metrics`;
    await waitUntilOk(url, maxStartMs);
    return { startMs: performance.now() - startedAtMs, ...readUse(child.pid!) };
  } finally {
    child.kill("SIGKILL");
    rmSync(folder, { recursive: true, force: true });
  }
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
