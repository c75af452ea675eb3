/**
 * Changes a large configuration many times on separate processes, and prints the
 * memory and disk that they take: `npm run measure:large-changes -- --changes
 * 300 --routes 2800`. Neither may grow with the number of changes. The last line
 * is one JSON object; the status is 1 if a process ended by itself.
 */
import { readdirSync, readFileSync, rmSync, statSync } from "node:fs";
import http from "node:http";
import type net from "node:net";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { parseArgs } from "node:util";
import { forwardingPorts } from "./forwarding_settings.ts";
import {
  type SoakProcess,
  startSoakDeployment,
} from "./soak/soak_deployment.ts";

const { values } = parseArgs({
  options: {
    changes: { type: "string", default: "300" },
    routes: { type: "string", default: "2800" },
    network: { type: "string", default: "127.77" },
  },
});
const changeCount = Number(values.changes);
const routeCount = Number(values.routes);
const rowIntervalChanges = 50;
const retryDelayMs = 100;
const requestTimeoutMs = 3_000;
const mebibyte = 1024 * 1024;

interface Sample {
  readonly change: number;
  /** Resident memory of the largest process of the role. */
  readonly controlMb: number;
  readonly entryMb: number;
  /** Largest data folder of a control instance. */
  readonly diskMb: number;
}

const list = http.createServer((_request, response) => {
  response.end(JSON.stringify({ instances: [], next: null }));
});
const listHost = `${values.network}.250.1`;
await new Promise<void>((resolve) => list.listen(0, listHost, resolve));
const { port: listPort } = list.address() as net.AddressInfo;
const unexpectedExits: string[] = [];
const deployment = await startSoakDeployment({
  networkPrefix: values.network,
  domainIds: ["domain-a", "domain-b", "domain-c"],
  entriesPerDomain: 1,
  upstreamList: `${listHost}:${listPort}`,
  onUnexpectedExit: (exit) => unexpectedExits.push(exit),
});
const samples: Sample[] = [];
for (let change = 1; change <= changeCount; change++) {
  await putConfiguration(change);
  if (change % rowIntervalChanges === 0) {
    const sample = takeSample(change);
    samples.push(sample);
    console.log(JSON.stringify(sample));
  }
}
const peakMb = {
  control: getLargest(deployment.control, readPeakMb),
  entry: getLargest(deployment.entries, readPeakMb),
};
await deployment.end();
rmSync(deployment.folder, { recursive: true, force: true });
list.close();
console.log(JSON.stringify({
  changeCount,
  routeCount,
  peakMb,
  samples,
  unexpectedExits,
}));
if (unexpectedExits.length > 0) process.exitCode = 1;

/** Sends the change to one control instance after the other until one replies. */
async function putConfiguration(change: number): Promise<void> {
  const body = JSON.stringify(createDocument(change));
  for (let attempt = 0;; attempt++) {
    const { host } = deployment.control[attempt % deployment.control.length]!;
    try {
      const response = await fetch(
        `http://${host}:${forwardingPorts.operators}/config`,
        {
          method: "PUT",
          body,
          signal: AbortSignal.timeout(requestTimeoutMs),
        },
      );
      await response.text();
      if (response.ok) return;
    } catch {
      // The instance starts, or has no leader yet.
    }
    await sleep(retryDelayMs);
  }
}

function createDocument(change: number) {
  return {
    version: change,
    routes: Array.from({ length: routeCount }, (_, index) => ({
      name: `r-${index}`,
      host: "large.example",
      path_prefix: `/route-${index}/`,
      kind: "safe",
      timeout_ms: 1_200 + change % 10,
      slo_ms: 150,
      priority: 2,
      service: "app",
      attempts: 2,
      public: false,
      resumable: false,
    })),
    services: [{ name: "app", health_path: "/healthz" }],
    limits: {},
    tenants: [{ name: "customer", api_keys: ["key"] }],
  };
}

function takeSample(change: number): Sample {
  return {
    change,
    controlMb: getLargest(
      deployment.control,
      (target) => readMemoryMb(target, "VmRSS"),
    ),
    entryMb: getLargest(
      deployment.entries,
      (target) => readMemoryMb(target, "VmRSS"),
    ),
    diskMb: getLargest(deployment.control, readDiskMb),
  };
}

function getLargest(
  processes: readonly SoakProcess[],
  read: (target: SoakProcess) => number,
): number {
  return Math.max(...processes.map(read));
}

function readPeakMb(target: SoakProcess): number {
  return readMemoryMb(target, "VmHWM");
}

/** 0 if the process has ended. */
function readMemoryMb({ child }: SoakProcess, field: string): number {
  if (!child) return 0;
  const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
  const match = new RegExp(`^${field}:\\s+(\\d+) kB$`, "m").exec(status);
  return Math.round(Number(match?.[1] ?? 0) / 1024);
}

function readDiskMb({ name }: SoakProcess): number {
  const folder = join(deployment.folder, `${name}-data`);
  const sizeBytes = readdirSync(folder, { recursive: true }).reduce(
    (sum, entry) => sum + statSync(join(folder, String(entry))).size,
    0,
  );
  return Math.round(sizeBytes / mebibyte);
}
