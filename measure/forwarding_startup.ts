/**
 * Measures how both roles of a forwarding deployment start: time and processor
 * time until the instance answers on its metrics address, and its resident
 * memory at that time. Needs the bundle (`npm run bundle`); prints one JSON
 * object with medians.
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

const programPath = "target/apricotyoked.mjs";
const runCount = 9;
const startTimeoutMs = 10_000;
/** Unit of the processor times in `/proc/PID/stat`. */
const clockTickMs = 10;
const hostsByRole = { entry: "127.0.9.1", control: "127.0.9.2" };

interface StartupSample {
  readonly startMs: number;
  readonly processorMs: number;
  readonly residentMb: number;
}

async function measureStartup(
  role: keyof typeof hostsByRole,
): Promise<StartupSample> {
  const folder = mkdtempSync(join(tmpdir(), "apricotyoke-start-"));
  const settingsPath = join(folder, "settings.json");
  const host = hostsByRole[role];
  const settings = createForwardingSettings({
    name: role,
    role,
    host,
    domainId: "domain-a",
    controlHosts: [hostsByRole.control],
    isFirstStart: true,
    dataFolder: folder,
    toleratedLosses: 0,
    // Nothing listens there: neither role waits for the list at its start.
    upstreamList: `${host}:1`,
  });
  writeFileSync(settingsPath, JSON.stringify(settings));
  const startedAtMs = performance.now();
  const child = spawn(process.execPath, [programPath], {
    env: { ...process.env, APRICOTYOKE_CONFIG: settingsPath },
    stdio: "ignore",
  });
  try {
    const url = `http://${host}:${forwardingPorts.metrics}/metrics`;
    await waitUntilOk(url, startTimeoutMs);
    return {
      startMs: performance.now() - startedAtMs,
      ...readResourceUse(child.pid!),
    };
  } finally {
    child.kill("SIGKILL");
    rmSync(folder, { recursive: true, force: true });
  }
}

function readResourceUse(pid: number): Omit<StartupSample, "startMs"> {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8").split(" ");
  return {
    processorMs: (Number(stat[13]) + Number(stat[14])) * clockTickMs,
    residentMb: Number(/VmRSS:\s+(\d+)/.exec(status)![1]) / 1_024,
  };
}

async function measureRole(
  role: keyof typeof hostsByRole,
): Promise<StartupSample> {
  const samples: StartupSample[] = [];
  for (let run = 0; run < runCount; run++) {
    samples.push(await measureStartup(role));
  }
  const getMedian = (field: keyof StartupSample) =>
    Math.round(getPercentile(samples.map((sample) => sample[field]), 0.5));
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
