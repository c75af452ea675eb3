/**
 * Callers and peers that don't keep to the limits, against the HTTP server of
 * the product's own interface and the peer port, in a separate process with the
 * heap of the deployment. With a lower one the process has no room of its own:
 * after its start it takes 98 to 115 MB with 32 MB.
 */
import { Buffer } from "node:buffer";
import { type ChildProcess, spawn } from "node:child_process";
import { createHash } from "node:crypto";
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
import tls from "node:tls";
import { afterEach, expect, test } from "vitest";
import { createSilentLogger } from "../src/core/logger.ts";
import { encodeFrame } from "../src/peer/frame_codec.ts";
import { PeerCallKind } from "../src/peer/messages.ts";
import { createPeerClient } from "../src/peer/peer_client.ts";
import {
  commonTlsOptions,
  getClientPskCallback,
} from "../src/peer/peer_tls.ts";
import {
  createAnnouncedCrowd,
  createEndlessCrowd,
  createPipelinedCrowd,
  runCrowd,
} from "./caller_crowd.ts";
import { waitUntilOk } from "./forwarding_settings.ts";

const firstNetwork = 20;
const networkCount = 200;
const ports = { callers: 7302, peers: 7300 };
const startTimeoutMs = 20_000;
const calmTimeoutMs = 20_000;
const testTimeoutMs = 120_000;
const connectionCount = 200;
const durationMs = 6_000;
const reconnectMs = 50;
/** The smallest machine, and the heap with which it is started. */
const maxMemoryMb = 178;
const heapMb = 96;
/** Descriptors of an instance without callers, with a margin. */
const ownDescriptors = 60;
const announcedBytes = 4_000_000_000;
const maxBodyBytes = 1024 * 1024;
const token = "token";
const peerKeys = [{ keyId: "k", keyHex: "5a".repeat(16) }];
const requestHead = "POST /v1/completions HTTP/1.1\r\nHost: a\r\n" +
  `Authorization: Bearer ${token}\r\n`;
const closers: (() => void | Promise<void>)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

async function start(): Promise<{ child: ChildProcess; host: string }> {
  const folder = mkdtempSync(join(tmpdir(), "apricotyoke-listeners-"));
  closers.push(() => rmSync(folder, { recursive: true, force: true }));
  const host = `127.${firstNetwork + process.pid % networkCount}.97.1`;
  const list = http.createServer((_request, response) =>
    response.end(JSON.stringify({
      instances: [{
        instanceId: "a-0",
        domainId: "a",
        host,
        peerPort: ports.peers,
        state: "live",
      }],
      upstreams: [],
    }))
  );
  closers.push(() => void list.close(), () => list.closeAllConnections());
  await new Promise<void>((resolve) => list.listen(0, host, resolve));
  const { port } = list.address() as net.AddressInfo;
  const dataFolder = join(folder, "data");
  mkdirSync(dataFolder);
  const tokenSha256 = [createHash("sha256").update(token).digest("hex")];
  const settingsPath = join(folder, "settings.json");
  writeFileSync(
    settingsPath,
    JSON.stringify({
      instanceId: "a-0",
      domainId: "a",
      callers: { host, port: ports.callers },
      peers: { host, port: ports.peers, keys: peerKeys },
      membership: { listUrl: `http://${host}:${port}/list` },
      controlInstanceIds: ["a-0"],
      control: { dataFolder },
      customers: [{ customerId: "clinic", tokenSha256 }],
      operators: [{ operatorId: "oncall", tokenSha256 }],
      services: [{ kind: "model", service: "m", stableVersion: "v1" }],
    }),
  );
  const child = spawn(process.execPath, [
    "--max-semi-space-size=4",
    `--max-old-space-size=${heapMb}`,
    "dist/src/daemon/main.js",
    "--settings",
    settingsPath,
  ], { stdio: "ignore" });
  closers.push(() => void child.kill("SIGKILL"));
  await waitUntilOk(`http://${host}:${ports.callers}/healthz`, startTimeoutMs);
  await expectOrdinaryAnswers(host);
  return { child, host };
}

/** A request without and with a body and a peer's call are answered. */
async function expectOrdinaryAnswers(host: string): Promise<void> {
  const baseUrl = `http://${host}:${ports.callers}`;
  const options = { timeout: calmTimeoutMs };
  const call = (path: string, init: RequestInit) =>
    fetch(baseUrl + path, init).then(async (response) => {
      await response.arrayBuffer();
      return response.status;
    }, () => undefined);
  await expect.poll(() => call("/healthz", {}), options).toBe(200);
  // No service has this name.
  const unknown = JSON.stringify({
    model: "none",
    prompt: "x".repeat(maxBodyBytes / 2),
    max_tokens: 1,
  });
  const post = {
    method: "POST",
    headers: { Authorization: `Bearer ${token}` },
    body: unknown,
  };
  await expect.poll(() => call("/v1/completions", post), options).toBe(404);
  const peers = createPeerClient({
    keys: peerKeys,
    logger: createSilentLogger(),
    getAddress: () => ({ host, port: ports.peers }),
    onConnectionLost: () => {},
  });
  const pull = () =>
    peers.call("a-0", PeerCallKind.PullConfiguration, {
      body: { revision: 0 },
      timeoutMs: calmTimeoutMs,
    }).match(() => "replied", ({ kind }) => kind);
  await expect.poll(pull, options).toBe("replied");
  peers.close();
}

/** Peers with the key. */
function connectPeer(host: string): net.Socket {
  return tls.connect({
    ...commonTlsOptions,
    host,
    port: ports.peers,
    pskCallback: getClientPskCallback(peerKeys),
    checkServerIdentity: () => undefined,
  });
}

/** Sends the block once or again and again on each connection, and reads nothing. */
async function runSenders(
  open: () => net.Socket,
  block: Buffer,
  isRepeated: boolean,
): Promise<void> {
  const sockets = new Set<net.Socket>();
  let isDone = false;
  for (let index = 0; index < connectionCount; index++) connect();
  await sleep(durationMs);
  isDone = true;
  for (const socket of sockets) socket.destroy();

  function connect(): void {
    if (isDone) return;
    const socket = open();
    sockets.add(socket);
    const send = () => {
      while (!isDone && socket.writable && socket.write(block) && isRepeated);
    };
    if (isRepeated) socket.on("drain", send);
    socket.on("error", () => {});
    const readyEvent = socket instanceof tls.TLSSocket
      ? "secureConnect"
      : "connect";
    socket.once(readyEvent, send);
    socket.once("close", () => {
      sockets.delete(socket);
      setTimeout(connect, reconnectMs);
    });
  }
}

async function endure(send: (host: string) => Promise<void>): Promise<void> {
  const { child, host } = await start();
  await send(host);
  const isRunning = child.exitCode === null && child.signalCode === null;
  expect(isRunning, "the process ended").toBe(true);
  const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
  const peakMb = Number(/VmHWM:\s+(\d+)/.exec(status)![1]) / 1_024;
  const descriptors = readdirSync(`/proc/${child.pid}/fd`).length;
  console.log(JSON.stringify({ peakMb, descriptors }));
  await expectOrdinaryAnswers(host);
  expect(peakMb).toBeLessThan(maxMemoryMb);
  expect(descriptors).toBeLessThan(connectionCount + ownDescriptors);
}

function runCallers(crowd: Parameters<typeof runCrowd>[1]) {
  return (host: string) =>
    runCrowd({ host, port: ports.callers }, crowd, {
      connectionCount,
      durationMs,
    });
}

const ready = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";

// Each of these guards against memory that grows with what a caller or a peer
// sends, or leaves unread.
test(
  "requests sent ahead don't end an instance with the own interface",
  () => endure(runCallers(createPipelinedCrowd(ready))),
  testTimeoutMs,
);

test(
  "chunked bodies without end don't end an instance with the own interface",
  () => endure(runCallers(createEndlessCrowd(requestHead))),
  testTimeoutMs,
);

test(
  "bodies that stop short of their length don't end an instance",
  () => {
    const head = `${requestHead}Content-Length: ${maxBodyBytes}\r\n\r\n`;
    const block = Buffer.from(head + "x".repeat(maxBodyBytes - 1));
    return endure((host) => {
      const target = { host, port: ports.callers };
      return runSenders(() => net.connect(target), block, false);
    });
  },
  testTimeoutMs,
);

test(
  "bodies announced far over the limit don't end an instance",
  () => endure(runCallers(createAnnouncedCrowd(requestHead, announcedBytes))),
  testTimeoutMs,
);

test("calls of a peer that reads no reply don't end an instance", () => {
  const call = encodeFrame({
    callId: 1,
    kind: PeerCallKind.PullConfiguration,
    body: { revision: 0 },
  })._unsafeUnwrap();
  const block = Buffer.concat(Array.from({ length: 1_000 }, () => call));
  return endure((host) => runSenders(() => connectPeer(host), block, true));
}, testTimeoutMs);

test("frames that peers don't complete don't end an instance", () => {
  // The first frame announces 4 MiB; no further byte follows 4 MiB - 1.
  const frame = Buffer.alloc(4 * 1024 * 1024 - 1);
  frame.writeUInt32BE(4 * 1024 * 1024);
  return endure((host) => runSenders(() => connectPeer(host), frame, false));
}, testTimeoutMs);
