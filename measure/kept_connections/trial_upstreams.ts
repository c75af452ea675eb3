/**
 * Upstreams of a trial: application upstreams and engines whose responses,
 * faults and silences are drawn from the seed.
 */
import { Buffer } from "node:buffer";
import http from "node:http";
import type net from "node:net";
import { createRandom, type Random } from "../../src/core/random.ts";
import type { ListedUpstream } from "../../src/upstreams/upstream_view.ts";
import { formatEvent } from "../forwarding_fakes.ts";
import {
  Feature,
  type ObservedRun,
  RunEnd,
  type TrialRecord,
} from "./trial_types.ts";

export interface TrialUpstream {
  /** Replaced when another upstream takes over the address. */
  listed: ListedUpstream;
  /** Nothing is sent on any connection until then. */
  silentUntilMs: number;
  /** Connections are refused until then. */
  downUntilMs: number;
  limitPerS: number | undefined;
  readonly server: http.Server;
}

export interface TrialUpstreams {
  readonly all: readonly TrialUpstream[];
  add(service: string, domainId: string): Promise<TrialUpstream>;
  /** Another upstream takes over the address; its former runs end. */
  replace(upstream: TrialUpstream): void;
  /** Ends all runs and refuses connections for a while. */
  crash(upstream: TrialUpstream, downtimeMs: number): void;
  close(): void;
}

export interface TrialUpstreamsOptions {
  readonly seed: number;
  readonly features: ReadonlySet<Feature>;
  readonly record: TrialRecord;
}

type CallBehaviour =
  | "small"
  | "large"
  | "failed"
  | "refused"
  | "misdirected"
  | "reset"
  | "truncated"
  | "cut"
  | "unframed"
  | "unframedReset"
  | "extra"
  | "lateExtra"
  | "early"
  | "earlyClose"
  | "otherId"
  | "closing"
  | "noResponse";

const soundBehaviours: readonly CallBehaviour[] = [
  "small",
  "small",
  "small",
  "small",
  "large",
  "failed",
  "unframed",
  "early",
  "earlyClose",
  "closing",
];
const refusingBehaviours: readonly CallBehaviour[] = ["refused", "misdirected"];
const breakingBehaviours: readonly CallBehaviour[] = [
  "reset",
  "truncated",
  "cut",
  "unframedReset",
  "extra",
  "lateExtra",
  "otherId",
  "noResponse",
];
const refusalRatio = 0.08;
const breakRatio = 0.08;
const minEventIntervalMs = 15;
const maxEventIntervalMs = 50;
const maxEvents = 40;
const maxCallMs = 80;
const largeCallBytes = 3_000_000;
const largeEventBytes = 40_000;

export function createTrialUpstreams(
  { seed, features, record }: TrialUpstreamsOptions,
): TrialUpstreams {
  const all: TrialUpstream[] = [];
  let nextId = 1;
  return {
    all,
    add,
    replace: (upstream) => {
      upstream.listed = { ...upstream.listed, upstreamId: `u-${nextId++}` };
      upstream.server.closeAllConnections();
    },
    crash: (upstream, downtimeMs) => {
      upstream.downUntilMs = performance.now() + downtimeMs;
      upstream.server.closeAllConnections();
    },
    close: () => {
      for (const { server } of all) {
        server.close();
        server.closeAllConnections();
      }
    },
  };

  async function add(
    service: string,
    domainId: string,
  ): Promise<TrialUpstream> {
    const server = http.createServer();
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const upstream: TrialUpstream = {
      listed: {
        upstreamId: `u-${nextId++}`,
        service,
        host: "127.0.0.1",
        port: (server.address() as net.AddressInfo).port,
        domainId,
        version: "v1",
        maxRunning: 8,
        isLeaving: false,
        isCold: false,
        versionShare: 1,
      },
      silentUntilMs: 0,
      downUntilMs: 0,
      limitPerS: undefined,
      server,
    };
    server.on("connection", (socket: net.Socket) => {
      if (performance.now() < upstream.downUntilMs) socket.resetAndDestroy();
    });
    server.on("request", (request, response) => {
      serve(upstream, request, response);
    });
    all.push(upstream);
    return upstream;
  }

  function serve(
    upstream: TrialUpstream,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    response.on("error", () => {});
    const requestId = String(request.headers["request-id"] ?? "");
    if (request.headers["target-instance"] === undefined) {
      request.resume();
      whenNotSilent(upstream, response, () => {
        if (request.url === "/report") {
          response.end(JSON.stringify({ born: 1, models: [{ name: "m" }] }));
        } else if (request.url === "/kv-move") {
          response.end(JSON.stringify({ handle: `h-${requestId}`, made: 1 }));
        } else {
          response.writeHead(404);
          response.end();
        }
      });
      return;
    }
    const random = createRandom(hashText(`${seed} ${requestId} ${nextRun()}`));
    const behaviour = drawBehaviour(random);
    const isOther =
      request.headers["target-instance"] !== upstream.listed.upstreamId;
    if (isOther || behaviour === "refused" || behaviour === "misdirected") {
      readBody(request, () =>
        whenNotSilent(upstream, response, () => {
          response.writeHead(
            isOther || behaviour === "misdirected" ? 421 : 503,
            {
              "Request-Id": requestId,
              "Not-Executed": "1",
              "Instance-Id": upstream.listed.upstreamId,
              "Content-Length": 0,
            },
          );
          response.end();
        }));
      return;
    }
    const run: ObservedRun = {
      requestId,
      upstreamId: upstream.listed.upstreamId,
      startedAtMs: performance.now(),
      behaviour,
      end: RunEnd.Open,
      endedAtMs: undefined,
    };
    record.runs.push(run);
    const finish = (end: RunEnd) => {
      if (run.end !== RunEnd.Open) return;
      run.end = end;
      run.endedAtMs = performance.now();
    };
    response.on("finish", () => finish(RunEnd.Complete));
    response.on("close", () => {
      // The upstream's own crash ends runs too.
      const isDown = performance.now() < upstream.downUntilMs ||
        upstream.listed.upstreamId !== run.upstreamId;
      finish(isDown ? RunEnd.BrokenOff : RunEnd.Cancelled);
    });
    const breakOff = (end: () => void) => {
      finish(RunEnd.BrokenOff);
      end();
    };
    const exchange = {
      upstream,
      request,
      response,
      requestId,
      behaviour,
      random,
      breakOff,
    };
    if (String(request.url).includes("/stream")) {
      readBody(request, () => runStream(exchange));
    } else if (behaviour === "early" || behaviour === "earlyClose") {
      runCall(exchange);
    } else readBody(request, () => runCall(exchange));
  }

  function nextRun(): number {
    return record.runs.length;
  }

  function drawBehaviour(random: Random): CallBehaviour {
    const draw = random.next();
    if (draw < refusalRatio && features.has(Feature.Refusals)) {
      return pick(random, refusingBehaviours);
    }
    const isBreak = draw >= refusalRatio && draw < refusalRatio + breakRatio;
    return isBreak && features.has(Feature.Breaks)
      ? pick(random, breakingBehaviours)
      : pick(random, soundBehaviours);
  }
}

interface UpstreamExchange {
  readonly upstream: TrialUpstream;
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly requestId: string;
  readonly behaviour: CallBehaviour;
  readonly random: Random;
  /** Records that the upstream itself breaks the run off. */
  breakOff(end: () => void): void;
}

function runCall(exchange: UpstreamExchange): void {
  const { upstream, request, response, requestId, behaviour, random } =
    exchange;
  const delayMs = random.next() * maxCallMs;
  setTimeout(() => whenNotSilent(upstream, response, answer), delayMs);

  function answer(): void {
    const body = getCallBody(
      requestId,
      behaviour === "large" ? largeCallBytes : 0,
    );
    const socket = response.socket;
    if (!socket) return;
    const head = {
      "Request-Id": requestId,
      "Response-Seal": "seal",
      ...getLimitHeader(upstream),
    };
    const length = { "Content-Length": body.length };
    switch (behaviour) {
      case "reset":
        exchange.breakOff(() => socket.resetAndDestroy());
        return;
      case "noResponse":
        exchange.breakOff(() => socket.end());
        return;
      case "truncated":
      case "cut":
        exchange.breakOff(() => {
          response.writeHead(200, { ...head, "Content-Length": 1_000 });
          response.write("incomplete");
          setTimeout(() => {
            if (behaviour === "cut") socket.resetAndDestroy();
            else socket.end();
          }, 20);
        });
        return;
      case "unframed":
      case "unframedReset": {
        const text = `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\n` +
          `Response-Seal: seal\r\n\r\n${body}`;
        if (behaviour === "unframed") {
          socket.end(text);
          return;
        }
        exchange.breakOff(() => {
          socket.write(text);
          setTimeout(() => socket.resetAndDestroy(), 5);
        });
        return;
      }
      case "otherId":
        exchange.breakOff(() => {
          response.writeHead(200, { ...head, ...length, "Request-Id": "x" });
          response.end(body);
        });
        return;
      case "extra":
      case "lateExtra": {
        response.writeHead(200, { ...head, ...length });
        response.end(body);
        const extra = `HTTP/1.1 503 Busy\r\nRequest-Id: ${requestId}\r\n` +
          "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        if (behaviour === "extra") socket.write(extra);
        else setTimeout(() => socket.writable && socket.write(extra), 30);
        return;
      }
      case "closing":
      case "earlyClose":
        response.writeHead(200, { ...head, ...length, Connection: "close" });
        response.end(body);
        return;
      case "failed":
        response.writeHead(500, { ...head, ...length });
        response.end(body);
        return;
      default:
        response.writeHead(200, { ...head, ...length });
        response.end(body);
        request.resume();
    }
  }
}

function runStream(exchange: UpstreamExchange): void {
  const { upstream, request, response, requestId, behaviour, random } =
    exchange;
  const count = getEventCount(requestId);
  const breakAfter = isBreaking(behaviour) ? random.nextInt(count) : undefined;
  let eventId = Number(request.headers["last-event-id"] ?? 0);
  let hasHead = false;
  setTimeout(writeNext, random.next() * maxCallMs);

  function writeNext(): void {
    whenNotSilent(upstream, response, () => {
      if (response.destroyed) return;
      if (behaviour === "failed" && !hasHead) {
        response.writeHead(500, {
          "Request-Id": requestId,
          "Response-Seal": "seal",
          "Content-Length": 6,
        });
        response.end("failed");
        return;
      }
      if (!hasHead) {
        hasHead = true;
        response.writeHead(200, {
          "Request-Id": requestId,
          "Response-Seal": "seal",
          "Content-Type": "text/event-stream",
          ...getLimitHeader(upstream),
        });
      }
      if (breakAfter !== undefined && eventId >= breakAfter) {
        exchange.breakOff(() => {
          const socket = response.socket!;
          response.write(formatEvent(eventId + 1).slice(0, 8));
          if (behaviour === "truncated") socket.end();
          else setTimeout(() => socket.resetAndDestroy(), 5);
        });
        return;
      }
      if (eventId >= count) {
        response.end();
        return;
      }
      eventId += 1;
      const mayContinue = response.write(formatTrialEvent(requestId, eventId));
      const intervalMs = minEventIntervalMs +
        random.next() * (maxEventIntervalMs - minEventIntervalMs);
      if (mayContinue) setTimeout(writeNext, intervalMs);
      else response.once("drain", () => setTimeout(writeNext, intervalMs));
    });
  }
}

function isBreaking(behaviour: CallBehaviour): boolean {
  return breakingBehaviours.includes(behaviour);
}

function getLimitHeader({ limitPerS }: TrialUpstream) {
  return limitPerS === undefined ? {} : { "Server-Limit": String(limitPerS) };
}

const silencePollMs = 10;

function whenNotSilent(
  upstream: TrialUpstream,
  response: http.ServerResponse,
  action: () => void,
): void {
  if (response.destroyed) return;
  const silentMs = upstream.silentUntilMs - performance.now();
  if (silentMs <= 0) action();
  else {
    setTimeout(
      () => whenNotSilent(upstream, response, action),
      Math.max(silencePollMs, silentMs),
    );
  }
}

function readBody(request: http.IncomingMessage, onEnd: () => void): void {
  request.on("error", () => {});
  request.on("end", onEnd);
  request.resume();
}

function pick<T>(random: Random, items: readonly T[]): T {
  return items[random.nextInt(items.length)]!;
}

export function hashText(text: string): number {
  let hash = 7;
  for (let index = 0; index < text.length; index++) {
    hash = (hash * 31 + text.charCodeAt(index)) | 0;
  }
  return hash;
}

export function getCallBody(requestId: string, sizeBytes: number): Buffer {
  return Buffer.from(`answer of ${requestId} `.padEnd(sizeBytes, "x"));
}

export function getEventCount(requestId: string): number {
  return 1 + Math.abs(hashText(requestId)) % maxEvents;
}

/** Every fourth stream has large events. */
export function formatTrialEvent(requestId: string, eventId: number): string {
  const isLarge = Math.abs(hashText(requestId)) % 4 === 0;
  const padding = isLarge ? "x".repeat(largeEventBytes) : "";
  return `id: ${eventId}\ndata: ${requestId} ${eventId} ${padding}\n\n`;
}
