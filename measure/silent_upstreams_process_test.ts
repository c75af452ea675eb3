/**
 * Whole requests in flight at sound upstreams that fall silent for a second,
 * while the configuration changes, on separate processes.
 */
import { rmSync } from "node:fs";
import http from "node:http";
import type net from "node:net";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import { callEntry } from "./forwarding_fakes.ts";
import { forwardingPorts, waitUntilOk } from "./forwarding_settings.ts";
import {
  SilencePosition,
  type SilentUpstream,
  startSilentUpstream,
} from "./silent_upstream.ts";
import { startSoakDeployment } from "./soak/soak_deployment.ts";

const domainIds = ["domain-a", "domain-b", "domain-c"];
const firstNetwork = 20;
const networkCount = 200;
const startTimeoutMs = 20_000;
const host = "silent.example";
const kinds = ["safe", "unsafe", "streaming"];
/** "A sound server may fall silent for a second or so and go on." */
const silenceMs = 1_200;
const deadlineMs = 8_000;
const changeIntervalMs = 150;
const requestsPerCase = 3;
/** Larger than the buffers of a connection. */
const requestBody = "x".repeat(3_000_000);
const responseBody = Array.from(
  { length: 2_000 },
  (_, index) => `id: ${index + 1}\ndata: token ${index + 1}\n\n`,
).join("");
const closers: (() => void | Promise<void>)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

async function start() {
  const networkPrefix = `127.${firstNetwork + process.pid % networkCount}`;
  const upstreamHost = `${networkPrefix}.250.1`;
  const upstreams: SilentUpstream[] = [];
  const entries: unknown[] = [];
  for (const [index, zone] of domainIds.entries()) {
    const id = `i-${index}`;
    const upstream = await startSilentUpstream({
      upstreamId: id,
      host: upstreamHost,
      silenceMs,
      body: responseBody,
    });
    upstreams.push(upstream);
    closers.push(upstream.close);
    const addr = `${upstreamHost}:${upstream.port}`;
    entries.push({
      id,
      service: "app",
      addr,
      zone,
      version: "v1",
      slots: 100,
      state: "ready",
      cold_left_ms: 0,
    });
  }
  const list = http.createServer((_request, response) => {
    response.end(JSON.stringify({ instances: entries, next: null }));
  });
  await new Promise<void>((resolve) => list.listen(0, upstreamHost, resolve));
  closers.push(() => {
    list.close();
    list.closeAllConnections();
  });
  const unexpectedExits: string[] = [];
  const deployment = await startSoakDeployment({
    networkPrefix,
    domainIds,
    entriesPerDomain: 1,
    upstreamList: `${upstreamHost}:${(list.address() as net.AddressInfo).port}`,
    onUnexpectedExit: (exit) => unexpectedExits.push(exit),
  });
  closers.push(async () => {
    await deployment.end();
    rmSync(deployment.folder, { recursive: true, force: true });
  });
  return { upstreams, deployment, unexpectedExits };
}

/** Every change concerns the routes of the requests in flight. */
function createDocument(version: number): string {
  const route = (name: string, kind: string, others = {}) => ({
    name: `${name}-${version % 3}`,
    host,
    path_prefix: `/${name}/`,
    kind,
    timeout_ms: deadlineMs + version % 4 * 100,
    slo_ms: 500 + version % 2 * 100,
    priority: version % 3,
    attempts: 2 + version % 3,
    public: version % 2 === 0,
    ...version % 5 === 0
      ? {
        split: [{ service: "app", weight: 9 }, { service: "idle", weight: 0 }],
      }
      : { service: "app" },
    ...others,
  });
  return JSON.stringify({
    version,
    routes: [
      ...kinds.map((kind) => route(kind, kind)),
      route(`added-${version}`, "safe"),
    ],
    services: ["app", "idle"].map((name) => ({
      name,
      health_path: "/healthz",
      max_conns: 500,
    })),
    limits: {
      max_body_bytes: 4_194_304,
      header_timeout_ms: 2_000 + version % 3 * 500,
      idle_timeout_ms: 2_000 + version % 4 * 1_000,
    },
    tenants: [{ name: "clinic", api_keys: ["key-1", `key-${version}`] }],
  });
}

// A request whose upstream was silent for a second ended without a response
// beside a change of the configuration.
test(
  "a whole request is answered although its upstream is silent while the configuration changes",
  async () => {
    const { upstreams, deployment, unexpectedExits } = await start();
    let version = 1;
    const submit = async () => {
      const { host: address } = deployment.control[version % 3]!;
      const url = `http://${address}:${forwardingPorts.operators}/config`;
      const body = createDocument(version++);
      const response = await fetch(url, { method: "PUT", body })
        .catch(() => undefined);
      return response?.status;
    };
    await expect.poll(submit, { timeout: startTimeoutMs }).toBe(200);
    for (const { host: address } of deployment.entries) {
      const url = `http://${address}:${forwardingPorts.readiness}/ready`;
      await waitUntilOk(url, startTimeoutMs);
    }
    const cases = kinds.flatMap((kind) =>
      Object.values(SilencePosition).flatMap((position) =>
        Array.from({ length: requestsPerCase }, () => ({ kind, position }))
      )
    );
    let isDone = false;
    const changes = (async () => {
      let acceptedCount = 0;
      while (!isDone) {
        if (await submit() === 200) acceptedCount += 1;
        await sleep(changeIntervalMs);
      }
      return acceptedCount;
    })();
    const results = await Promise.all(
      cases.map(async ({ kind, position }, index) => {
        await sleep(index * 30); // before, during and after a change
        const requestId = `whole-${index}`;
        const port = deployment.entries[index % 3]!.relay!.port;
        const { durationMs, ...response } = await callEntry(port, {
          host,
          method: "POST",
          path: `/${kind}/${position}`,
          headers: { "Request-Id": requestId, "Deadline-Ms": `${deadlineMs}` },
          ...position === SilencePosition.RequestBody
            ? { body: requestBody }
            : {},
        });
        const runCount = upstreams.reduce(
          (sum, { runs }) => sum + (runs.get(requestId) ?? 0),
          0,
        );
        expect(durationMs).toBeGreaterThan(silenceMs * 0.9);
        const { status, isComplete, body } = response;
        return { kind, position, status, isComplete, body, runCount };
      }),
    );
    isDone = true;
    expect(await changes).toBeGreaterThan(10);
    expect(unexpectedExits).toEqual([]);
    for (const result of results) {
      const { body, runCount, ...seen } = result;
      const { kind, position } = seen;
      expect(seen).toEqual({ kind, position, status: 200, isComplete: true });
      expect(body === responseBody, JSON.stringify(seen)).toBe(true);
      if (kind !== "safe") expect(runCount, JSON.stringify(seen)).toBe(1);
    }
  },
  60_000,
);
