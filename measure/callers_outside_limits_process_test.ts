/**
 * Callers that don't keep to the limits, against separate processes of both
 * roles. The heap of the tested process is lowered, so that a small crowd shows
 * what grows with what callers send or leave unread.
 */
import { type ChildProcess, spawn } from "node:child_process";
import {
  mkdirSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import http from "node:http";
import type net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { afterEach, expect, test } from "vitest";
import {
  type CallerCrowd,
  createAnnouncedCrowd,
  createEndlessCrowd,
  createPipelinedCrowd,
  runCrowd,
} from "./caller_crowd.ts";
import {
  createForwardingSettings,
  forwardingPorts,
  waitUntilOk,
} from "./forwarding_settings.ts";

const programPath = "dist/platform/main.js";
const firstNetwork = 20;
const networkCount = 200;
const startTimeoutMs = 20_000;
/** Time in which the first ordinary request after a crowd is answered. */
const calmTimeoutMs = 20_000;
const connectionCount = 40;
const durationMs = 6_000;
/** `deploy/system.toml` starts the smallest entry machines with 96 of 178 MB. */
const machineMb = 178;
const machineHeapMb = 96;
/** Lower than in the deployment, so that a small crowd suffices. */
const heapMb = 32;
/** The same room beside the heap as on the smallest machine. */
const maxMemoryMb = machineMb - machineHeapMb + heapMb;
/** Descriptors of an instance without callers, with a margin. */
const ownDescriptors = 60;
const maxBodyBytes = 4 * 1024 * 1024;
const announcedBytes = 4_000_000_000;
const requestHead = "POST /safe/item HTTP/1.1\r\nHost: crowd.example\r\n" +
  "Request-Id: large\r\nApi-Key: key-1\r\nDeadline-Ms: 5000\r\n";
const closers: (() => void | Promise<void>)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

interface TestedProcess {
  readonly child: ChildProcess;
  readonly host: string;
}

function listen(server: http.Server, host: string): Promise<number> {
  closers.push(() => {
    server.close();
    server.closeAllConnections();
  });
  return new Promise((resolve) =>
    server.listen(
      0,
      host,
      () => resolve((server.address() as net.AddressInfo).port),
    )
  );
}

/** Starts an upstream, a control instance and an entry instance. */
async function start() {
  const folder = mkdtempSync(join(tmpdir(), "apricotyoke-crowd-"));
  closers.push(() => rmSync(folder, { recursive: true, force: true }));
  const prefix = `127.${firstNetwork + process.pid % networkCount}.99`;
  const upstreamHost = `${prefix}.3`;
  const upstream = http.createServer((request, response) => {
    request.resume();
    request.once("end", () => {
      response.writeHead(200, {
        "Request-Id": String(request.headers["request-id"]),
        "Response-Seal": "seal",
      });
      response.end("whole");
    });
  });
  const upstreamPort = await listen(upstream, upstreamHost);
  const list = http.createServer((_request, response) =>
    response.end(JSON.stringify({
      instances: [{
        id: "i-1",
        service: "app",
        addr: `${upstreamHost}:${upstreamPort}`,
        zone: "domain-a",
        version: "v1",
        slots: 100,
        state: "ready",
        cold_left_ms: 0,
      }],
      next: null,
    }))
  );
  const listPort = await listen(list, upstreamHost);
  const control = startInstance("control", `${prefix}.1`);
  const entry = startInstance("entry", `${prefix}.2`);
  const submit = () =>
    fetch(`http://${control.host}:${forwardingPorts.operators}/config`, {
      method: "PUT",
      body: createDocument(),
    }).then(({ status }) => status, () => undefined);
  await expect.poll(submit, { timeout: startTimeoutMs }).toBe(200);
  const readyUrl = `http://${entry.host}:${forwardingPorts.readiness}/ready`;
  await waitUntilOk(readyUrl, startTimeoutMs);
  await expectOrdinaryAnswers(control, entry);
  return { control, entry };

  function startInstance(
    role: "control" | "entry",
    host: string,
  ): TestedProcess {
    const dataFolder = join(folder, `${role}-data`);
    mkdirSync(dataFolder);
    const settingsPath = join(folder, `${role}.json`);
    const settings = createForwardingSettings({
      name: role,
      role,
      host,
      domainId: "domain-a",
      controlHosts: [`${prefix}.1`],
      isFirstStart: true,
      dataFolder,
      toleratedLosses: 0,
      upstreamList: `${upstreamHost}:${listPort}`,
    });
    writeFileSync(settingsPath, JSON.stringify(settings));
    const child = spawn(process.execPath, [
      ...readFlags(role),
      `--max-old-space-size=${heapMb}`,
      programPath,
    ], {
      env: { ...process.env, APRICOTYOKE_CONFIG: settingsPath },
      stdio: "ignore",
    });
    closers.push(() => void child.kill("SIGKILL"));
    return { child, host };
  }
}

/** The flags of Node.js with which the deployment starts the role. */
function readFlags(role: string): readonly string[] {
  const system = readFileSync("deploy/system.toml", "utf8");
  const [, section = ""] = system.split(`[roles.${role}]`);
  const [, flags = ""] = /run = "node (.*?)target/.exec(section) ?? [];
  return flags.split(" ").filter((flag) => flag !== "");
}

function createDocument(): string {
  return JSON.stringify({
    version: 1,
    routes: [{
      name: "safe",
      host: "crowd.example",
      path_prefix: "/safe/",
      kind: "safe",
      timeout_ms: 5_000,
      slo_ms: 500,
      priority: 0,
      attempts: 2,
      public: false,
      service: "app",
    }],
    services: [{ name: "app", health_path: "/healthz", max_conns: 500 }],
    limits: {
      max_body_bytes: maxBodyBytes,
      header_timeout_ms: 5_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: "clinic", api_keys: ["key-1"] }],
  });
}

/** One request to each listener is answered. */
async function expectOrdinaryAnswers(
  control: TestedProcess,
  entry: TestedProcess,
): Promise<void> {
  const call = (options: http.RequestOptions & { body?: string }) =>
    new Promise<number | undefined>((resolve) => {
      const request = http.request({ agent: false, ...options }, (response) => {
        response.resume();
        response.once("end", () => resolve(response.statusCode));
        response.once("error", () => resolve(undefined));
      });
      request.once("error", () => resolve(undefined));
      request.end(options.body);
    });
  const options = { timeout: calmTimeoutMs };
  const { host } = entry;
  const headers = {
    Host: "crowd.example",
    "Request-Id": "ordinary",
    "Api-Key": "key-1",
    "Deadline-Ms": "5000",
  };
  const { callers, metrics, operators, readiness } = forwardingPorts;
  const requests: (http.RequestOptions & { body?: string })[] = [
    { host, port: callers, path: "/safe/item", headers },
    {
      host,
      port: callers,
      path: "/safe/item",
      headers: { ...headers, "Content-Length": maxBodyBytes },
      method: "POST",
      body: "x".repeat(maxBodyBytes),
    },
    { host, port: readiness, path: "/ready" },
    { host, port: metrics, path: "/metrics" },
    { host: control.host, port: metrics, path: "/metrics" },
    { host: control.host, port: operators, path: "/config" },
  ];
  for (const request of requests) {
    await expect.poll(() => call(request), options).toBe(200);
  }
}

async function endure(
  role: "control" | "entry",
  port: number,
  crowd: CallerCrowd,
): Promise<void> {
  const deployment = await start();
  const { child, host } = deployment[role];
  await runCrowd({ host, port }, crowd, { connectionCount, durationMs });
  const isRunning = child.exitCode === null && child.signalCode === null;
  expect(isRunning, "the process ended").toBe(true);
  const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
  const peakMb = Number(/VmHWM:\s+(\d+)/.exec(status)![1]) / 1_024;
  const descriptors = readdirSync(`/proc/${child.pid}/fd`).length;
  await expectOrdinaryAnswers(deployment.control, deployment.entry);
  console.log(JSON.stringify({ role, port, peakMb, descriptors }));
  expect(peakMb).toBeLessThan(maxMemoryMb);
  expect(descriptors).toBeLessThan(connectionCount + ownDescriptors);
}

const timeoutMs = 120_000;
const ready = "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n";
const metrics = "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n";
const configuration = "GET /config HTTP/1.1\r\nHost: a\r\n\r\n";

// Each of these guards against memory that grows with what a caller sends ahead
// or leaves unread; the first two ended a process.
test(
  "requests sent ahead without the usual headers don't end an entry instance",
  () =>
    endure(
      "entry",
      forwardingPorts.callers,
      createPipelinedCrowd("GET /none HTTP/1.1\r\nHost: a\r\n\r\n"),
    ),
  timeoutMs,
);

test(
  "requests sent ahead to the readiness path don't end an entry instance",
  () => endure("entry", forwardingPorts.readiness, createPipelinedCrowd(ready)),
  timeoutMs,
);

test(
  "bodies announced far over the limit don't end an entry instance",
  () =>
    endure(
      "entry",
      forwardingPorts.callers,
      createAnnouncedCrowd(requestHead, announcedBytes),
    ),
  timeoutMs,
);

test(
  "chunked bodies without end don't end an entry instance",
  () =>
    endure("entry", forwardingPorts.callers, createEndlessCrowd(requestHead)),
  timeoutMs,
);

test(
  "requests sent ahead to the metrics path don't end an entry instance",
  () => endure("entry", forwardingPorts.metrics, createPipelinedCrowd(metrics)),
  timeoutMs,
);

test(
  "requests sent ahead to the metrics path don't end a control instance",
  () =>
    endure("control", forwardingPorts.metrics, createPipelinedCrowd(metrics)),
  timeoutMs,
);

test(
  "operators' requests sent ahead don't end a control instance",
  () =>
    endure(
      "control",
      forwardingPorts.operators,
      createPipelinedCrowd(configuration),
    ),
  timeoutMs,
);

test(
  "operators' bodies without end don't end a control instance",
  () =>
    endure(
      "control",
      forwardingPorts.operators,
      createEndlessCrowd("PUT /config HTTP/1.1\r\nHost: a\r\n"),
    ),
  timeoutMs,
);
