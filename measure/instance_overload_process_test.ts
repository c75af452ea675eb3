/**
 * Guards against settings that don't reach a real entry instance, refusals of
 * requests that an upstream has run, and refusals after a pause of the process.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import { callEntry, startFakeUpstream } from "./forwarding_fakes.ts";
import {
  createForwardingSettings,
  forwardingPorts,
  waitUntilOk,
} from "./forwarding_settings.ts";

const startTimeoutMs = 20_000;
const minLimitBytes = 65_536;
const heldBytes = 50_000;
const callCount = 60;
const frozenMs = 2_000;
const closers: (() => unknown)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

async function start() {
  const folder = mkdtempSync(join(tmpdir(), "apricotyoke-overload-"));
  closers.push(() => rmSync(folder, { recursive: true, force: true }));
  const prefix = `127.${20 + process.pid % 200}.98`;
  const upstream = await startFakeUpstream((request, response) => {
    response.writeHead(200, {
      "Request-Id": String(request.headers["request-id"]),
      "Response-Seal": "seal",
    });
    response.end("whole");
  });
  closers.push(upstream.close);
  const list = http.createServer((_request, response) =>
    response.end(JSON.stringify({
      instances: [{
        id: "i-1",
        service: "app",
        addr: `127.0.0.1:${upstream.listed.port}`,
        zone: "domain-a",
        version: "v1",
        slots: 100,
        state: "ready",
        cold_left_ms: 0,
      }],
      next: null,
    }))
  );
  await new Promise<void>((resolve) => list.listen(0, "127.0.0.1", resolve));
  closers.push(() => list.close());
  const listPort = (list.address() as net.AddressInfo).port;
  startInstance("control", `${prefix}.1`);
  const host = `${prefix}.2`;
  const child = startInstance("entry", host);
  const submit = () =>
    fetch(`http://${prefix}.1:${forwardingPorts.operators}/config`, {
      method: "PUT",
      body: createDocument(),
    }).then(({ status }) => status, () => undefined);
  await expect.poll(submit, { timeout: startTimeoutMs }).toBe(200);
  const readyUrl = `http://${host}:${forwardingPorts.readiness}/ready`;
  await waitUntilOk(readyUrl, startTimeoutMs);
  const call = (requestId: string) =>
    callEntry(forwardingPorts.callers, {
      address: host,
      method: "POST",
      headers: { "Request-Id": requestId, "Deadline-Ms": "5000" },
      body: requestId,
    });
  await expect.poll(async () => (await call("first")).status, {
    timeout: startTimeoutMs,
  }).toBe(200);
  return { host, child, upstream, readyUrl, call };

  function startInstance(role: "control" | "entry", at: string): ChildProcess {
    const dataFolder = join(folder, `${role}-data`);
    mkdirSync(dataFolder);
    const settingsPath = join(folder, `${role}.json`);
    const settings = createForwardingSettings({
      name: role,
      role,
      host: at,
      domainId: "domain-a",
      controlHosts: [`${prefix}.1`],
      isFirstStart: true,
      dataFolder,
      toleratedLosses: 0,
      upstreamList: `127.0.0.1:${listPort}`,
    });
    writeFileSync(
      settingsPath,
      JSON.stringify({
        ...settings,
        overload: { isEnabled: true, maxHeldRatio: 0.1 },
        callerLimits: {
          maxUnparsedBytes: minLimitBytes,
          maxBodyBytes: minLimitBytes,
          maxUnreadBytes: minLimitBytes,
        },
      }),
    );
    const instance = spawn(process.execPath, ["dist/platform/main.js"], {
      env: { ...process.env, APRICOTYOKE_CONFIG: settingsPath },
      stdio: "ignore",
    });
    closers.push(() => void instance.kill("SIGKILL"));
    return instance;
  }
}

function createDocument(): string {
  return JSON.stringify({
    version: 1,
    routes: [{
      name: "app",
      host: "app.example",
      path_prefix: "/app/",
      kind: "unsafe",
      timeout_ms: 5_000,
      slo_ms: 500,
      priority: 0,
      attempts: 1,
      public: false,
      service: "app",
    }],
    services: [{ name: "app", health_path: "/healthz", max_conns: 500 }],
    limits: {
      max_body_bytes: 60_000,
      header_timeout_ms: 5_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: "clinic", api_keys: ["key-1"] }],
  });
}

test(
  "an instance short of memory for bodies refuses a part, as not run, and stays ready",
  async () => {
    const { host, upstream, readyUrl, call } = await start();
    const holder = net.connect(forwardingPorts.callers, host);
    closers.push(() => holder.destroy());
    holder.on("error", () => {});
    holder.write(
      "POST /app/item HTTP/1.1\r\nHost: app.example\r\nRequest-Id: held\r\n" +
        `Api-Key: key-1\r\nContent-Length: ${heldBytes + 1}\r\n\r\n` +
        "x".repeat(heldBytes),
    );
    const refused: string[] = [];
    for (let index = 0; index < callCount; index++) {
      const requestId = `call-${index}`;
      const { status, body, headers } = await call(requestId);
      if (status !== 200) {
        refused.push(requestId);
        expect(status).toBe(503);
        expect(JSON.parse(body).error.execution).toBe("notRun");
        expect(Number(headers["retry-after"])).toBeGreaterThan(0);
      }
      await sleep(50);
    }
    expect((await fetch(readyUrl)).status).toBe(200);
    expect(refused.length).toBeGreaterThan(0);
    expect(refused.length).toBeLessThanOrEqual(callCount / 2 + 5);
    const ranIds = upstream.received.map((request) =>
      request.headers["request-id"]
    );
    for (const requestId of refused) expect(ranIds).not.toContain(requestId);
  },
  60_000,
);

test("an instance that was frozen refuses nothing for it", async () => {
  const { child, host, call } = await start();
  child.kill("SIGSTOP");
  const calls = Array.from({ length: 20 }, (_, index) => call(`call-${index}`));
  await sleep(frozenMs);
  child.kill("SIGCONT");
  for (const { body } of await Promise.all(calls)) {
    expect(body).not.toContain("short of capacity");
  }
  await sleep(1_500);
  const metrics = await fetch(
    `http://${host}:${forwardingPorts.metrics}/metrics`,
  )
    .then((response) => response.text());
  expect(metrics).toContain("apricotyoke_overload_refused_ratio 0\n");
  expect(metrics).not.toContain("apricotyoke_overload_refusals_total{");
}, 60_000);
