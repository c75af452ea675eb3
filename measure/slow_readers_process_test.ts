/**
 * Callers and upstreams that read slowly, against separate processes that are
 * started as the deployment starts them.
 */
import { Buffer } from "node:buffer";
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
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import {
  createForwardingSettings,
  forwardingPorts,
  waitUntilOk,
} from "./forwarding_settings.ts";

const programPath = "dist/platform/main.js";
const firstNetwork = 20;
const networkCount = 200;
const startTimeoutMs = 20_000;
const calmTimeoutMs = 20_000;
const testTimeoutMs = 150_000;
/** The memory of the smallest machine. */
const maxMemoryMb = 178;
/** Slow clients at a time; a burst brings about 30 streams to an instance. */
const clientCount = 200;
/** Descriptors of an instance without callers, with a margin. */
const ownDescriptors = 60;
/** Each client has one connection here and one to an upstream. */
const maxDescriptors = 2 * clientCount + ownDescriptors;
const crowdMs = 8_000;
const sampleMs = 200;
const reconnectMs = 50;
/** A slow client reads 10 KiB/s. */
const slowBytes = 1_024;
const slowIntervalMs = 100;
/** An honest slow caller reads 1.3 MB/s. */
const honestBytes = 64 * 1024;
const honestIntervalMs = 50;
const honestEventCount = 1_500;
const eventBytes = 4_096;
const responseBytes = 32 * 1024 * 1024;
const maxBodyBytes = 4 * 1024 * 1024;
const body = Buffer.alloc(maxBodyBytes, "x");
const block = Buffer.alloc(64 * 1024, "x");
const host = "crowd.example";
const closers: (() => void | Promise<void>)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

/** Stops when the connection is closed. */
async function writeAll(
  response: http.ServerResponse,
  pieces: Iterable<Buffer>,
): Promise<void> {
  let proceed = () => {};
  response.on("drain", () => proceed());
  response.once("close", () => proceed());
  for (const piece of pieces) {
    if (response.destroyed) return;
    if (response.write(piece)) continue;
    await new Promise<void>((resolve) => proceed = resolve);
  }
  response.end();
}

function* createEvents(count: number): Generator<Buffer> {
  for (let index = 1; index <= count; index++) {
    const head = `id: ${index}\ndata: `;
    const data = "x".repeat(eventBytes - head.length - 2);
    yield Buffer.from(`${head}${data}\n\n`);
  }
}

function* createBlocks(): Generator<Buffer> {
  for (let sent = 0; sent < responseBytes; sent += block.length) yield block;
}

/** Reads a part of what has arrived at each interval, until the socket closes. */
function readInParts(
  socket: NodeJS.ReadableStream & { destroyed: boolean },
  { bytes, intervalMs, onRead }: {
    readonly bytes: number;
    readonly intervalMs: number;
    onRead?(chunk: Buffer): void;
  },
): void {
  // With this listener the socket is read only up to its own limit.
  socket.on("readable", () => {});
  const timer = setInterval(() => {
    const chunk = (socket.read(bytes) ?? socket.read()) as Buffer | null;
    if (chunk) onRead?.(chunk);
  }, intervalMs);
  socket.once("close", () => clearInterval(timer));
  closers.push(() => clearInterval(timer));
}

function answer(
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  const headers = {
    "Request-Id": String(request.headers["request-id"]),
    "Response-Seal": "seal",
  };
  const { pathname } = new URL(request.url!, `http://${host}`);
  if (pathname === "/unsafe/slow") {
    readInParts(request, { bytes: slowBytes, intervalMs: slowIntervalMs });
    return;
  }
  request.resume();
  request.once("end", () => {
    if (pathname.startsWith("/stream/")) {
      response.writeHead(200, {
        ...headers,
        "Content-Type": "text/event-stream",
      });
      const isHonest = pathname === "/stream/honest";
      void writeAll(
        response,
        createEvents(isHonest ? honestEventCount : Infinity),
      );
    } else if (pathname === "/safe/large") {
      response.writeHead(200, { ...headers, "Content-Length": responseBytes });
      void writeAll(response, createBlocks());
    } else {
      response.writeHead(200, headers);
      response.end("whole");
    }
  });
}

function listen(server: http.Server, address: string): Promise<number> {
  closers.push(() => {
    server.close();
    server.closeAllConnections();
  });
  return new Promise((resolve) =>
    server.listen(
      0,
      address,
      () => resolve((server.address() as net.AddressInfo).port),
    )
  );
}

/** Starts upstreams, a control instance and an entry instance. */
async function start() {
  const folder = mkdtempSync(join(tmpdir(), "apricotyoke-slow-"));
  closers.push(() => rmSync(folder, { recursive: true, force: true }));
  const prefix = `127.${firstNetwork + process.pid % networkCount}.98`;
  const upstreamHost = `${prefix}.3`;
  const upstreams: unknown[] = [];
  for (const service of ["app", "model"]) {
    const port = await listen(http.createServer(answer), upstreamHost);
    upstreams.push({
      id: `i-${service}`,
      service,
      addr: `${upstreamHost}:${port}`,
      zone: "domain-a",
      version: "v1",
      slots: 2 * clientCount,
      state: "ready",
      cold_left_ms: 0,
    });
  }
  const list = http.createServer((_request, response) =>
    response.end(JSON.stringify({ instances: upstreams, next: null }))
  );
  const listPort = await listen(list, upstreamHost);
  startInstance("control", `${prefix}.1`);
  const child = startInstance("entry", `${prefix}.2`);
  const submit = () =>
    fetch(`http://${prefix}.1:${forwardingPorts.operators}/config`, {
      method: "PUT",
      body: createDocument(),
    }).then(({ status }) => status, () => undefined);
  await expect.poll(submit, { timeout: startTimeoutMs }).toBe(200);
  const entryHost = `${prefix}.2`;
  const readyUrl = `http://${entryHost}:${forwardingPorts.readiness}/ready`;
  await waitUntilOk(readyUrl, startTimeoutMs);
  await expectOrdinaryAnswers(entryHost);
  return { child, entryHost };

  function startInstance(
    role: "control" | "entry",
    address: string,
  ): ChildProcess {
    const dataFolder = join(folder, `${role}-data`);
    mkdirSync(dataFolder);
    const settingsPath = join(folder, `${role}.json`);
    const settings = createForwardingSettings({
      name: role,
      role,
      host: address,
      domainId: "domain-a",
      controlHosts: [`${prefix}.1`],
      isFirstStart: true,
      dataFolder,
      toleratedLosses: 0,
      upstreamList: `${upstreamHost}:${listPort}`,
    });
    writeFileSync(settingsPath, JSON.stringify(settings));
    const started = spawn(process.execPath, [...readFlags(role), programPath], {
      env: { ...process.env, APRICOTYOKE_CONFIG: settingsPath },
      stdio: "ignore",
    });
    closers.push(() => void started.kill("SIGKILL"));
    return started;
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
  const createRoute = (kind: string, path: string, service: string) => ({
    name: path,
    host,
    path_prefix: `/${path}/`,
    kind,
    timeout_ms: 60_000,
    slo_ms: 5_000,
    priority: 0,
    attempts: 1,
    public: false,
    service,
  });
  return JSON.stringify({
    version: 1,
    routes: [
      createRoute("safe", "safe", "app"),
      createRoute("unsafe", "unsafe", "app"),
      createRoute("streaming", "stream", "model"),
    ],
    services: [
      { name: "app", health_path: "/healthz", max_conns: 2 * clientCount },
      {
        name: "model",
        health_path: "/healthz",
        max_conns: 2 * clientCount,
        engine: { slots: 2 * clientCount, kv_tokens: 10_000_000 },
      },
    ],
    limits: {
      max_body_bytes: maxBodyBytes,
      header_timeout_ms: 5_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: "clinic", api_keys: ["key-1"] }],
  });
}

const headers = {
  Host: host,
  "Request-Id": "slow",
  "Api-Key": "key-1",
  "Deadline-Ms": "60000",
  "Token-Count": "30,2000",
};

/** Calls and a body of the largest size are answered. */
async function expectOrdinaryAnswers(address: string): Promise<void> {
  const call = (path: string, sent?: Buffer) =>
    new Promise<number | undefined>((resolve) => {
      const request = http.request({
        host: address,
        port: forwardingPorts.callers,
        agent: false,
        path,
        method: sent ? "POST" : "GET",
        headers: { ...headers, "Content-Length": sent?.length ?? 0 },
      }, (response) => {
        response.resume();
        response.once("end", () => resolve(response.statusCode));
        response.once("error", () => resolve(undefined));
      });
      request.once("error", () => resolve(undefined));
      request.end(sent);
    });
  const options = { timeout: calmTimeoutMs };
  await expect.poll(() => call("/safe/item"), options).toBe(200);
  await expect.poll(() => call("/unsafe/item", body), options).toBe(200);
}

/** Connects the number of clients; each is replaced when it is closed. */
function startCrowd(
  address: string,
  begin: (socket: net.Socket) => void,
): () => void {
  const sockets = new Set<net.Socket>();
  let isDone = false;
  for (let index = 0; index < clientCount; index++) connect();
  const stop = () => {
    isDone = true;
    for (const socket of sockets) socket.destroy();
  };
  closers.push(stop);
  return stop;

  function connect(): void {
    if (isDone) return;
    const socket = net.connect({
      host: address,
      port: forwardingPorts.callers,
    });
    sockets.add(socket);
    socket.on("error", () => {});
    socket.once("connect", () => begin(socket));
    socket.once("close", () => {
      sockets.delete(socket);
      setTimeout(connect, reconnectMs);
    });
  }
}

function formatHead(method: string, path: string, bytes = 0): string {
  const lines = Object.entries({ ...headers, "Content-Length": bytes })
    .map(([name, value]) => `${name}: ${value}\r\n`);
  return `${method} ${path} HTTP/1.1\r\n${lines.join("")}\r\n`;
}

function readSlowly(path: string): (socket: net.Socket) => void {
  return (socket) => {
    socket.write(formatHead("GET", path));
    readInParts(socket, { bytes: slowBytes, intervalMs: slowIntervalMs });
  };
}

/** Returns the number of the last event of a complete stream. */
function readHonestly(address: string): Promise<number | undefined> {
  return new Promise((resolve) => {
    const request = http.request({
      host: address,
      port: forwardingPorts.callers,
      agent: false,
      path: "/stream/honest",
      headers: { ...headers, "Request-Id": "honest" },
    }, (response) => {
      let lastNumber = 0;
      response.setEncoding("latin1");
      readInParts(response, {
        bytes: honestBytes,
        intervalMs: honestIntervalMs,
        onRead: (chunk) => {
          for (const [, number] of String(chunk).matchAll(/id: (\d+)\n/g)) {
            lastNumber = Number(number);
          }
        },
      });
      response.once("end", () => resolve(lastNumber));
      response.once("error", () => resolve(undefined));
    });
    request.once("error", () => resolve(undefined));
    request.end();
  });
}

/** Lets the crowd go on for some time, and until the caller is served. */
async function endure(
  begin: (socket: net.Socket) => void,
  serve: (address: string) => Promise<void> = () => Promise.resolve(),
): Promise<void> {
  const { child, entryHost } = await start();
  const isRunning = () => child.exitCode === null && child.signalCode === null;
  let descriptors = 0;
  const sampling = setInterval(() => {
    if (!isRunning()) return;
    const { length } = readdirSync(`/proc/${child.pid}/fd`);
    descriptors = Math.max(descriptors, length);
  }, sampleMs);
  closers.push(() => clearInterval(sampling));
  const stop = startCrowd(entryHost, begin);
  await sleep(crowdMs / 2);
  await Promise.all([serve(entryHost), sleep(crowdMs / 2)]);
  expect(isRunning(), "the process ended").toBe(true);
  const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
  const peakMb = Number(/VmHWM:\s+(\d+)/.exec(status)![1]) / 1_024;
  console.log(JSON.stringify({ peakMb, descriptors }));
  stop();
  await expectOrdinaryAnswers(entryHost);
  expect(isRunning(), "the process ended").toBe(true);
  expect(peakMb).toBeLessThan(maxMemoryMb);
  expect(descriptors).toBeLessThan(maxDescriptors);
}

// Guards against memory that grows with the events that callers have not read,
// and against closing the connection of a caller that reads on.
test(
  "callers that read a stream slowly don't exceed the memory",
  () =>
    endure(readSlowly("/stream/slow"), async (address) => {
      expect(await readHonestly(address)).toBe(honestEventCount);
    }),
  testTimeoutMs,
);

// Guards against memory that grows with the parts of large responses that
// callers have not read.
test(
  "callers that read a large response slowly don't exceed the memory",
  () => endure(readSlowly("/safe/large")),
  testTimeoutMs,
);

// Guards against memory that grows with the bodies that an upstream has not
// read.
test(
  "an upstream that reads large bodies slowly doesn't exceed the memory",
  () =>
    endure((socket) => {
      socket.resume();
      socket.write(formatHead("POST", "/unsafe/slow", maxBodyBytes));
      socket.write(body);
    }),
  testTimeoutMs,
);
