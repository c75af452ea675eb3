/**
 * Fake upstreams of a soak: application upstreams, engines, and the platform's
 * list of them. They record every attempt. Both kinds refuse requests at random;
 * application upstreams also fail at random and lose responses, and engines
 * crash when the schedule injects a crash.
 */
import { Buffer } from "node:buffer";
import http from "node:http";
import type net from "node:net";
import type { Random } from "../../src/core/random.ts";
import { type Relay, startRelay } from "../relay.ts";
import {
  appService,
  modelService,
  type ObservedAttempt,
  type SoakRecord,
} from "./soak_types.ts";

export interface SoakUpstreams {
  readonly relays: readonly Relay[];
  readonly listPort: number;
  crashEngines(domainIndex: number, downtimeMs: number): void;
  /** Lists an upstream as draining and adds a replacement of its version. */
  replaceUpstream(index: number): Promise<void>;
  addVersion(version: string, isBad: boolean): Promise<void>;
  removeVersion(version: string): void;
  close(): void;
}

interface SoakUpstream {
  readonly upstreamId: string;
  readonly service: string;
  readonly domainId: string;
  readonly version: string;
  readonly isBad: boolean;
  readonly server: http.Server;
  readonly relay: Relay;
  readonly incarnationMs: { value: number };
  isDown: boolean;
  isLeaving: boolean;
}

/** An engine crashes when it starts to run a request with this prompt part. */
export const crashingPart = "crashing";
/** An upstream crashes when it starts to run a call whose path ends so. */
export const crashingCall = "crashing";
const crashDowntimeMs = 700;
/** Deep enough to overflow the stack of a recursive function. */
const oddEntryDepth = 100_000;
const enginesPerDomain = 2;
const engineSlots = 8;
const appSlots = 6;
const eventIntervalMs = 40;
const prefillMs = 150;
const maxCallMs = 30;
const slownessPeriodMs = 600;
/**
 * Ratios of random failures. A lost response resets the connection after the
 * request was executed.
 */
const failedRatio = 0.02;
const lostRatio = 0.02;
const refusedRatio = 0.02;
const badVersionFailedRatio = 0.4;
const removalDelayMs = 4_500;

export async function startSoakUpstreams(
  { host, domainIds, random, record }: {
    readonly host: string;
    readonly domainIds: readonly string[];
    readonly random: Random;
    readonly record: SoakRecord;
  },
): Promise<SoakUpstreams> {
  const upstreams: SoakUpstream[] = [];
  let nextId = 1;
  for (const domainId of domainIds) {
    await addUpstream({ service: appService, domainId });
    for (let count = 0; count < enginesPerDomain; count++) {
      await addUpstream({ service: modelService, domainId });
    }
  }
  const list = http.createServer((_request, response) => {
    const entries = upstreams.map((upstream) => ({
      id: upstream.upstreamId,
      service: upstream.service,
      addr: `${host}:${upstream.relay.port}`,
      zone: upstream.domainId,
      version: upstream.version,
      slots: upstream.service === appService ? appSlots : engineSlots,
      state: upstream.isLeaving ? "draining" : "ready",
      cold_left_ms: 0,
    }));
    const texts = entries.map((entry) => JSON.stringify(entry));
    const all = [...texts, ...formatOddEntries(entries[0]!)];
    response.end(`{"instances":[${all.join()}],"next":null}`);
  });
  const listPort = await listen(list);
  return {
    get relays() {
      return upstreams.map(({ relay }) => relay);
    },
    listPort,
    crashEngines: (domainIndex, downtimeMs) => {
      const domainId = domainIds[domainIndex % domainIds.length];
      for (const upstream of upstreams) {
        if (upstream.domainId !== domainId) continue;
        if (upstream.service === modelService) crash(upstream, downtimeMs);
      }
    },
    replaceUpstream: async (index) => {
      const upstream = upstreams[index % upstreams.length]!;
      if (upstream.isLeaving) return;
      const { service, domainId, version, isBad } = upstream;
      await addUpstream({ service, domainId, version, isBad });
      upstream.isLeaving = true;
      setTimeout(() => removeUpstream(upstream), removalDelayMs).unref();
    },
    addVersion: async (version, isBad) => {
      for (const domainId of domainIds) {
        await addUpstream({ service: appService, domainId, version, isBad });
      }
    },
    removeVersion: (version) => {
      for (const upstream of [...upstreams]) {
        if (upstream.version === version && upstream.service === appService) {
          removeUpstream(upstream);
        }
      }
    },
    close: () => {
      for (const upstream of [...upstreams]) removeUpstream(upstream);
      list.close();
      list.closeAllConnections();
    },
  };

  async function listen(server: http.Server): Promise<number> {
    await new Promise<void>((resolve) => server.listen(0, host, resolve));
    return (server.address() as net.AddressInfo).port;
  }

  async function addUpstream(
    { service, domainId, version = "v1", isBad = false }: {
      readonly service: string;
      readonly domainId: string;
      readonly version?: string;
      readonly isBad?: boolean;
    },
  ): Promise<void> {
    const upstreamId = `i-${nextId++}`;
    const server = http.createServer();
    const port = await listen(server);
    const relay = await startRelay({ host, port }, { host, port: 0 });
    const upstream: SoakUpstream = {
      upstreamId,
      service,
      domainId,
      version,
      isBad,
      server,
      relay,
      incarnationMs: { value: Date.now() },
      isDown: false,
      isLeaving: false,
    };
    server.on("request", (request, response) => {
      const chunks: Buffer[] = [];
      request.on("data", (chunk: Buffer) => chunks.push(chunk));
      request.on("end", () => answer(upstream, request, response));
    });
    upstreams.push(upstream);
  }

  function removeUpstream(upstream: SoakUpstream): void {
    upstreams.splice(upstreams.indexOf(upstream), 1);
    upstream.server.close();
    upstream.server.closeAllConnections();
    upstream.relay.close();
  }

  function crash(upstream: SoakUpstream, downtimeMs: number): void {
    upstream.isDown = true;
    upstream.relay.reset(1);
    upstream.server.closeAllConnections();
    upstream.incarnationMs.value = Date.now();
    setTimeout(() => upstream.isDown = false, downtimeMs).unref();
  }

  /** A process that has crashed accepts no connection. */
  function refuseConnections(
    { relay }: SoakUpstream,
    downtimeMs: number,
  ): void {
    relay.setListening(false);
    setTimeout(() => relay.setListening(true), downtimeMs).unref();
  }

  function answer(
    upstream: SoakUpstream,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    if (upstream.isDown) {
      request.socket.resetAndDestroy();
      return;
    }
    const requestId = String(request.headers["request-id"] ?? "");
    if (request.url === "/report") {
      response.end(JSON.stringify({ born: upstream.incarnationMs.value }));
      return;
    }
    if (request.url === "/kv-move" || request.url?.startsWith("/kv-handle")) {
      response.writeHead(404, { "Request-Id": requestId });
      response.end();
      return;
    }
    if (request.headers["target-instance"] !== upstream.upstreamId) {
      refuse(response, requestId, 421);
      return;
    }
    // KV cache copies are not modelled: a request that resumes from one is
    // refused.
    const isRefused = request.headers["kv-from"] !== undefined ||
      random.next() < refusedRatio;
    if (isRefused) {
      refuse(response, requestId, 503);
      return;
    }
    record.attempts.push(describeAttempt(upstream, request, requestId));
    if (upstream.service === modelService) {
      executeStream(upstream, request, response);
    } else executeCall(upstream, request, response);
  }

  function executeCall(
    upstream: SoakUpstream,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const requestId = String(request.headers["request-id"]);
    if (request.url!.endsWith(crashingCall)) {
      crash(upstream, crashDowntimeMs);
      refuseConnections(upstream, crashDowntimeMs);
      return;
    }
    const draw = random.next();
    setTimeout(() => {
      if (draw < lostRatio) {
        request.socket.resetAndDestroy();
        return;
      }
      const isFailed = draw < lostRatio + failedRatio ||
        (upstream.isBad && random.next() < badVersionFailedRatio);
      const body = getCallBody(requestId);
      response.writeHead(isFailed ? 500 : 200, {
        "Request-Id": requestId,
        "Response-Seal": "seal",
        "Server-Load": `1,0,${appSlots},${getSlownessPercent(upstream)}`,
        "Content-Length": Buffer.byteLength(body),
      });
      response.end(body);
    }, random.next() * maxCallMs);
  }

  function executeStream(
    upstream: SoakUpstream,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const [, , key, count] = request.url!.split("/");
    let eventId = Number(request.headers["last-event-id"] ?? 0);
    response.writeHead(200, {
      "Request-Id": String(request.headers["request-id"]),
      "Response-Seal": "seal",
      "Content-Type": "text/event-stream",
    });
    let timer = setTimeout(writeNextEvent, prefillMs);
    response.on("close", () => clearTimeout(timer));

    const prompt = String(request.headers["prompt-prefix"] ?? "");
    if (prompt.includes(crashingPart)) {
      clearTimeout(timer);
      timer = setTimeout(() => crash(upstream, crashDowntimeMs), prefillMs);
    }

    function writeNextEvent(): void {
      if (upstream.isDown) return;
      if (eventId >= Number(count)) {
        response.end();
        return;
      }
      eventId += 1;
      response.write(formatSoakEvent(key!, eventId));
      timer = setTimeout(writeNextEvent, eventIntervalMs);
    }
  }
}

/**
 * Each upstream in turn states that its machine is slow. No random number is
 * drawn, so that seeds keep their course.
 */
function getSlownessPercent({ upstreamId }: SoakUpstream): number {
  const period = Math.floor(performance.now() / slownessPeriodMs);
  return (period + upstreamId.length) % 3 === 0 ? 250 : 100;
}

function refuse(
  response: http.ServerResponse,
  requestId: string,
  status: number,
): void {
  response.writeHead(status, {
    "Request-Id": requestId,
    "Not-Executed": "1",
    "Content-Length": 0,
  });
  response.end();
}

function describeAttempt(
  { upstreamId, version, service }: SoakUpstream,
  { headers }: http.IncomingMessage,
  requestId: string,
): ObservedAttempt {
  return {
    requestId,
    upstreamId,
    version,
    service,
    atMs: performance.now(),
    customer: String(headers["tenant"] ?? ""),
    hasApiKey: headers["api-key"] !== undefined,
  };
}

export function getCallBody(requestId: string): string {
  return `answer of ${requestId}`;
}

export function formatSoakEvent(key: string, eventId: number): string {
  return `id: ${eventId}\ndata: ${key} token ${eventId}\n\n`;
}

/** Entries of another writer in the list, which name no upstream to use. */
function formatOddEntries(entry: { addr: string }): string[] {
  const nesting = "[".repeat(oddEntryDepth) + "]".repeat(oddEntryDepth);
  const [host] = entry.addr.split(":");
  return [
    JSON.stringify({ ...entry, id: "odd-1", addr: `${host}:99999` }),
    JSON.stringify({ ...entry, id: "odd-2", addr: `${host}:0` }),
    JSON.stringify({ ...entry, id: "odd-\ufffd" }),
    JSON.stringify({ ...entry, id: "odd-3", slots: 0 })
      .replace('"slots":0', '"slots":1e999'),
    `{"id":"odd-4","service":${nesting}}`,
  ];
}
