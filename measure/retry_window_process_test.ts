/**
 * The retry budget that all entry instances share, on separate processes: the
 * arrivals beyond the first of each request in every sliding window, while all
 * upstreams of a service refuse, ask for a wait, reset connections or are
 * silent.
 */
import { rmSync } from "node:fs";
import http from "node:http";
import type net from "node:net";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import { callEntry } from "./forwarding_fakes.ts";
import { forwardingPorts, waitUntilOk } from "./forwarding_settings.ts";
import { startSoakDeployment } from "./soak/soak_deployment.ts";

const domainIds = ["domain-a", "domain-b", "domain-c"];
const entriesPerDomain = 2;
const upstreamsPerDomain = 2;
const firstNetwork = 20;
const networkCount = 200;
const startTimeoutMs = 20_000;
const host = "window.example";
const requestsPerS = 90;
const warmUpMs = 2_000;
const modeMs = 3_000;
const deadlineMs = 1_500;
const waitS = 1;
/** Bounds of the forwarding settings of these processes. */
const retryRatio = 0.8;
const retrySlack = 150;
const windowMs = 10_000;
const closers: (() => void | Promise<void>)[] = [];

enum Mode {
  Sound = "sound",
  Refusing = "refusing",
  Waiting = "waiting",
  Resetting = "resetting",
  Silent = "silent",
}

interface Arrival {
  readonly requestId: string;
  readonly atMs: number;
}

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

async function start() {
  const networkPrefix = `127.${firstNetwork + process.pid % networkCount}`;
  const upstreamHost = `${networkPrefix}.250.1`;
  const arrivals: Arrival[] = [];
  let mode = Mode.Sound;
  const listed: unknown[] = [];
  const listen = async (listener: http.RequestListener) => {
    const server = http.createServer(listener);
    await new Promise<void>((resolve) =>
      server.listen(0, upstreamHost, resolve)
    );
    closers.push(() => {
      server.close();
      server.closeAllConnections();
    });
    return (server.address() as net.AddressInfo).port;
  };
  for (const zone of domainIds) {
    for (let count = 0; count < upstreamsPerDomain; count++) {
      const port = await listen((request, response) => {
        request.resume();
        request.on("end", () => answer(request, response));
      });
      listed.push({
        id: `i-${listed.length}`,
        service: "app",
        addr: `${upstreamHost}:${port}`,
        zone,
        version: "v1",
        slots: 50,
        state: "ready",
        cold_left_ms: 0,
      });
    }
  }
  const listPort = await listen((_request, response) => {
    response.end(JSON.stringify({ instances: listed, next: null }));
  });
  const unexpectedExits: string[] = [];
  const deployment = await startSoakDeployment({
    networkPrefix,
    domainIds,
    entriesPerDomain,
    upstreamList: `${upstreamHost}:${listPort}`,
    onUnexpectedExit: (exit) => unexpectedExits.push(exit),
  });
  closers.push(async () => {
    await deployment.end();
    rmSync(deployment.folder, { recursive: true, force: true });
  });
  return {
    arrivals,
    deployment,
    unexpectedExits,
    setMode: (next: Mode) => {
      mode = next;
    },
  };

  function answer(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const requestId = String(request.headers["request-id"] ?? "");
    if (requestId === "") {
      response.end();
      return;
    }
    arrivals.push({ requestId, atMs: performance.now() });
    switch (mode) {
      case Mode.Resetting:
        request.socket.resetAndDestroy();
        return;
      case Mode.Refusing:
      case Mode.Waiting:
        response.writeHead(503, {
          "Request-Id": requestId,
          "Not-Executed": "1",
          "Content-Length": 0,
          ...mode === Mode.Waiting ? { "Retry-After": `${waitS}` } : {},
        });
        response.end();
        return;
      case Mode.Silent:
        setTimeout(() => respond(response, requestId), deadlineMs);
        return;
      case Mode.Sound:
        respond(response, requestId);
    }
  }

  function respond(response: http.ServerResponse, requestId: string): void {
    if (response.destroyed) return;
    response.writeHead(200, {
      "Request-Id": requestId,
      "Response-Seal": "seal",
      "Content-Length": 2,
    });
    response.end("ok");
  }
}

const document = JSON.stringify({
  version: 1,
  routes: ["safe", "unsafe"].map((kind) => ({
    name: kind,
    host,
    path_prefix: `/${kind}/`,
    kind,
    timeout_ms: deadlineMs,
    slo_ms: 300,
    priority: 1,
    service: "app",
    attempts: 5,
    public: true,
  })),
  services: [{ name: "app", health_path: "/healthz", max_conns: 500 }],
  limits: {},
});

/** The largest excess of repeats over what some window permits. */
function getLargestExcess(
  arrivals: readonly Arrival[],
  sentAtMs: readonly number[],
): { excess: number; repeats: number } {
  const seen = new Set<string>();
  const repeatsAtMs = arrivals.filter(({ requestId }) => {
    if (seen.has(requestId)) return true;
    seen.add(requestId);
    return false;
  }).map(({ atMs }) => atMs);
  const countIn = (times: readonly number[], startMs: number) =>
    times.filter((atMs) => atMs >= startMs && atMs < startMs + windowMs).length;
  let excess = -Infinity;
  for (const endMs of repeatsAtMs) {
    const startMs = endMs - windowMs;
    const requestCount = Math.max(
      ...[0, windowMs / 2, windowMs].map((earlierMs) =>
        countIn(sentAtMs, startMs - earlierMs)
      ),
    );
    const permitted = retryRatio * requestCount + retrySlack;
    excess = Math.max(excess, countIn(repeatsAtMs, startMs) + 1 - permitted);
  }
  return { excess, repeats: repeatsAtMs.length };
}

// Guards against repeats that pile up because each instance, each kind of
// failure or each change of it has a budget of its own.
test(
  "repeats stay within the budget of the service in every window",
  async () => {
    const { arrivals, deployment, unexpectedExits, setMode } = await start();
    const url = `http://${
      deployment.control[0]!.host
    }:${forwardingPorts.operators}/config`;
    const put = () =>
      fetch(url, { method: "PUT", body: document })
        .then(({ status }) => status, () => 0);
    await expect.poll(put, { timeout: startTimeoutMs }).toBe(200);
    for (const { host: address } of deployment.entries) {
      const ready = `http://${address}:${forwardingPorts.readiness}/ready`;
      await waitUntilOk(ready, startTimeoutMs);
    }
    const sentAtMs: number[] = [];
    const calls: Promise<number>[] = [];
    const send = setInterval(() => {
      const number = sentAtMs.push(performance.now());
      const entry = deployment.entries[number % deployment.entries.length]!;
      calls.push(
        callEntry(entry.relay!.port, {
          host,
          method: "POST",
          path: number % 3 === 0 ? "/unsafe/x" : "/safe/x",
          headers: {
            "Request-Id": `request-${number}`,
            "Deadline-Ms": `${deadlineMs}`,
          },
        }).then(({ status }) => status),
      );
    }, 1_000 / requestsPerS);
    await sleep(warmUpMs);
    const modes = [
      Mode.Refusing,
      Mode.Resetting,
      Mode.Waiting,
      Mode.Silent,
      Mode.Refusing,
    ];
    for (const mode of modes) {
      setMode(mode);
      await sleep(modeMs);
    }
    setMode(Mode.Sound);
    await sleep(warmUpMs);
    clearInterval(send);
    const statuses = await Promise.all(calls);
    const { excess, repeats } = getLargestExcess(arrivals, sentAtMs);
    expect(excess).toBeLessThanOrEqual(0);
    // The budget is used, and the service is back at the end.
    expect(repeats).toBeGreaterThan(retrySlack / 2);
    expect(
      statuses.slice(-requestsPerS).filter((status) => status === 200).length,
    )
      .toBeGreaterThan(requestsPerS / 2);
    expect(unexpectedExits).toEqual([]);
  },
  60_000,
);
