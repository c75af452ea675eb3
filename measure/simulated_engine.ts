/**
 * Simulated model engine, started by the launcher as a separate process. It
 * uses continuous batching: the time per step grows with the batch size. Each
 * token holds a hash of the prompt, the version, the generation and its
 * position, so that a check detects missing, repeated and mixed tokens.
 */
import { createHash, randomBytes } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import process from "node:process";
import { createRandom } from "../src/core/random.ts";
import { createPrefixCache } from "./prefix_cache.ts";
import type { EngineOptions } from "./simulated_engine_options.ts";

/** Faults that a test activates while the engine runs. */
interface Faults {
  /** Ratio of requests that fail. */
  failRatio: number;
  slowFactor: number;
  /** The faults apply only while at least this many requests run. */
  minBatch: number;
  /** The faults apply only to this route; empty means all. */
  route: string;
  isLeaving: boolean;
}

interface RunningRequest {
  readonly requestId: string;
  readonly response: ServerResponse;
  readonly maxTokens: number;
  readonly priority: number;
  readonly tag: string;
  readonly route: string;
  position: number;
  readyAtMs: number;
}

const options = JSON.parse(process.argv[2]!) as EngineOptions;
const random = createRandom(options.seed);
const cache = createPrefixCache(options.cacheBlocks, random);
const faults: Faults = {
  failRatio: 0,
  slowFactor: 1,
  minBatch: 0,
  route: "",
  isLeaving: false,
};
const running = new Map<string, RunningRequest>();
const waiting: RunningRequest[] = [];
const loadedVersions = new Set([options.version]);
const totals = { generatedTokens: 0, prefilledTokens: 0, requests: 0 };
let highestFence = 0;
let reportedLoad = { running: 0, waiting: 0 };

const server = createServer((request, response) => {
  void handle(request, response);
});
server.listen(0, "127.0.0.1", () => {
  const address = server.address();
  const port = typeof address === "object" ? address?.port : 0;
  process.stdout.write(`${JSON.stringify({ port })}\n`);
});
setInterval(() => {
  reportedLoad = { running: running.size, waiting: waiting.length };
}, options.loadLagMs);
runBatchStep();

async function handle(
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const url = new URL(request.url ?? "/", "http://engine");
  const path = `${request.method} ${url.pathname}`;
  if (path === "POST /v1/completions") {
    complete(JSON.parse(await readBody(request)), response);
  } else if (path.startsWith("DELETE /v1/completions/")) {
    cancel(decodeURIComponent(url.pathname.split("/").at(-1)!));
    sendJson(response, {});
  } else if (path === "GET /load") {
    sendJson(response, { ...reportedLoad, leaving: faults.isLeaving });
  } else if (path === "GET /cache_events") {
    sendJson(response, cache.readEvents(Number(url.searchParams.get("after"))));
  } else if (path === "GET /totals") {
    sendJson(response, totals);
  } else if (path === "GET /orders") {
    sendJson(response, { versions: [...loadedVersions], fence: highestFence });
  } else if (path === "POST /orders") {
    executeOrder(JSON.parse(await readBody(request)), response);
  } else if (path === "POST /faults") {
    Object.assign(faults, JSON.parse(await readBody(request)));
    sendJson(response, faults);
  } else {
    response.writeHead(404).end();
  }
}

interface CompletionBody {
  readonly request_id: string;
  readonly version: string;
  readonly prompt: string;
  readonly max_tokens: number;
  readonly priority: number;
  readonly route?: string;
  readonly resume?: {
    readonly position: number;
    readonly tokens: readonly string[];
  };
}

function complete(body: CompletionBody, response: ServerResponse): void {
  totals.requests += 1;
  const route = body.route ?? "";
  if (!loadedVersions.has(body.version)) {
    response.writeHead(404).end("version is not loaded");
    return;
  }
  if (isFaultActive(route) && random.next() < faults.failRatio) {
    response.writeHead(500).end("fault");
    return;
  }
  const resumeTokens = body.resume?.tokens ?? [];
  const promptTokens = Math.ceil(body.prompt.length / 4) + resumeTokens.length;
  const cachedTokens = cache.touch(body.prompt);
  const prefillTokens = Math.max(0, promptTokens - cachedTokens);
  totals.prefilledTokens += prefillTokens;
  response.writeHead(200, { "content-type": "text/event-stream" });
  response.flushHeaders();
  response.on("close", () => cancel(body.request_id));
  waiting.push({
    requestId: body.request_id,
    response,
    maxTokens: body.max_tokens,
    priority: body.priority,
    tag: getTokenTag(body, resumeTokens),
    route,
    position: resumeTokens.length,
    readyAtMs: Date.now() + prefillTokens / options.prefillTokensPerMs,
  });
  waiting.sort((left, right) => right.priority - left.priority);
}

/** Hash of the prompt, version and generation; a resume keeps its tokens' tag. */
function getTokenTag(
  body: CompletionBody,
  resumeTokens: readonly string[],
): string {
  const last = resumeTokens.at(-1);
  if (last) return last.slice(1, last.lastIndexOf(":"));
  const hash = createHash("sha256").update(body.prompt).digest("hex");
  const generation = randomBytes(4).toString("hex");
  return `${hash.slice(0, 8)}:${body.version}:${generation}`;
}

function isFaultActive(route: string): boolean {
  return running.size >= faults.minBatch &&
    (faults.route === "" || faults.route === route);
}

/** Generates one token for each running request whose prefill has finished. */
function runBatchStep(): void {
  while (running.size < options.maxBatch && waiting.length > 0) {
    const next = waiting.shift()!;
    running.set(next.requestId, next);
  }
  const nowMs = Date.now();
  let slowFactor = 1;
  for (const request of running.values()) {
    if (isFaultActive(request.route)) slowFactor = faults.slowFactor;
    if (request.readyAtMs <= nowMs) generateToken(request);
  }
  const stepMs = options.stepMs + running.size * options.stepPerRequestMs;
  setTimeout(runBatchStep, stepMs * slowFactor);
}

function generateToken(request: RunningRequest): void {
  const isLast = request.position + 1 >= request.maxTokens;
  const chunk = {
    choices: [{
      index: 0,
      text: ` ${request.tag}:${request.position}`,
      finish_reason: isLast ? "length" : null,
    }],
    position: request.position,
  };
  request.position += 1;
  totals.generatedTokens += 1;
  request.response.write(`data: ${JSON.stringify(chunk)}\n\n`);
  if (!isLast) return;
  running.delete(request.requestId);
  request.response.end("data: [DONE]\n\n");
}

function cancel(requestId: string): void {
  const index = waiting.findIndex((entry) => entry.requestId === requestId);
  if (index >= 0) waiting.splice(index, 1);
  running.get(requestId)?.response.destroy();
  running.delete(requestId);
}

interface OrderBody {
  readonly fence: number;
  readonly kind: "load" | "unload";
  readonly version: string;
}

function executeOrder(order: OrderBody, response: ServerResponse): void {
  if (options.checksFencing && order.fence < highestFence) {
    response.writeHead(409).end(JSON.stringify({ fence: highestFence }));
    return;
  }
  highestFence = Math.max(highestFence, order.fence);
  if (order.kind === "unload") loadedVersions.delete(order.version);
  else {
    setTimeout(
      () => loadedVersions.add(order.version),
      options.loadVersionMs,
    );
  }
  sendJson(response, { fence: highestFence });
}

async function readBody(request: IncomingMessage): Promise<string> {
  let text = "";
  for await (const chunk of request) text += chunk;
  return text;
}

function sendJson(response: ServerResponse, value: unknown): void {
  response.writeHead(200, { "content-type": "application/json" })
    .end(JSON.stringify(value));
}
