/**
 * A caller: sends generations and calls through any live instance, reconnects
 * after a failure, and checks every token it receives.
 */
import { randomUUID } from "node:crypto";
import { createParser } from "eventsource-parser";
import { Agent, request } from "undici";
import { type Cluster, customerIds, modelService } from "./launcher.ts";
import { applicationService } from "./launcher.ts";

export interface AnswerResult {
  readonly isWhole: boolean;
  readonly missingTokens: number;
  readonly repeatedTokens: number;
  readonly mixedTokens: number;
  readonly resets: number;
  readonly reconnects: number;
  readonly firstTokenMs: number;
  readonly maxGapMs: number;
  readonly tokens: number;
  readonly failure: string;
}

export interface CallResult {
  readonly status: number;
  readonly errorType: string;
  readonly idempotencyKey: string;
  readonly durationMs: number;
}

export interface LoadClient {
  generate(options: GenerateOptions): Promise<AnswerResult>;
  book(idempotencyKey?: string): Promise<CallResult>;
  lookUp(): Promise<CallResult>;
  close(): Promise<void>;
}

export interface GenerateOptions {
  readonly maxTokens: number;
  readonly prompt?: string;
  readonly customerId?: string;
  readonly route?: string;
  /** Entry instance for the first connection; any live one by default. */
  readonly instanceId?: string;
  onToken?(position: number): void;
}

const answerTimeoutMs = 40_000;
const reconnectDelayMs = 50;

export function createLoadClient(cluster: Cluster): LoadClient {
  const agent = new Agent({
    connect: { timeout: 500 },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  let nextInstance = 0;
  return { generate, book, lookUp, close: () => agent.destroy() };

  function pickUrl(instanceId?: string): string {
    const chosen = cluster.instances.find((instance) =>
      instance.instanceId === instanceId
    );
    if (chosen) return chosen.callerUrl;
    const live = cluster.instances.filter((instance) =>
      instance.process.exitCode === null && !instance.process.killed &&
      cluster.listedStates.get(instance.instanceId) !== "leaving"
    );
    return live[nextInstance++ % live.length]!.callerUrl;
  }

  async function generate(options: GenerateOptions): Promise<AnswerResult> {
    const startedAtMs = performance.now();
    const giveUpAtMs = startedAtMs + answerTimeoutMs;
    const customerId = options.customerId ?? customerIds[0]!;
    const received: string[] = [];
    let answerId = "";
    let lastEventId = "";
    let isDone = false;
    let reconnects = -1;
    let resets = 0;
    let failure = "";
    let firstTokenMs = 0;
    let lastTokenAtMs = 0;
    let maxGapMs = 0;
    while (!isDone && performance.now() < giveUpAtMs) {
      reconnects += 1;
      try {
        await connect();
      } catch (cause) {
        failure = String(cause);
      }
      if (!isDone) {
        await new Promise((resolve) => setTimeout(resolve, reconnectDelayMs));
      }
    }
    const checked = checkTokens(received, options.maxTokens);
    return {
      ...checked,
      isWhole: isDone && checked.missingTokens === 0 &&
        checked.repeatedTokens === 0 && checked.mixedTokens === 0,
      resets,
      reconnects,
      firstTokenMs,
      maxGapMs,
      tokens: received.length,
      failure: isDone ? "" : failure,
    };

    async function connect(): Promise<void> {
      const url = pickUrl(reconnects === 0 ? options.instanceId : undefined);
      const headers = {
        authorization: `Bearer ${cluster.customerToken(customerId)}`,
        accept: "text/event-stream",
        "content-type": "application/json",
        ...(lastEventId === "" ? {} : { "last-event-id": lastEventId }),
      };
      const response = answerId === ""
        ? await request(`${url}/v1/completions`, {
          dispatcher: agent,
          method: "POST",
          headers,
          body: JSON.stringify({
            model: modelService,
            prompt: options.prompt ?? `manual ${randomUUID()}`,
            max_tokens: options.maxTokens,
            stream: true,
            route: options.route ?? "default",
          }),
        })
        : await request(`${url}/v1/answers/${answerId}`, {
          dispatcher: agent,
          headers,
        });
      if (response.statusCode !== 200) {
        failure = await response.body.text();
        return;
      }
      answerId = String(response.headers["x-answer-id"]);
      const parser = createParser({ onEvent: receive });
      const decoder = new TextDecoder();
      for await (const chunk of response.body) {
        parser.feed(decoder.decode(chunk as Uint8Array, { stream: true }));
      }
    }

    function receive(
      event: {
        id?: string | undefined;
        event?: string | undefined;
        data: string;
      },
    ): void {
      if (event.id) lastEventId = event.id;
      if (event.event === "reset") {
        resets += 1;
        received.length = 0;
        return;
      }
      if (event.event === "error") {
        failure = event.data;
        return;
      }
      if (event.data === "[DONE]") {
        isDone = true;
        return;
      }
      const { text } = (JSON.parse(event.data) as {
        choices: { text: string }[];
      }).choices[0]!;
      const tokens = text.split(" ").filter((token) => token !== "");
      if (tokens.length === 0) return;
      const nowMs = performance.now();
      if (received.length === 0) firstTokenMs = nowMs - startedAtMs;
      else maxGapMs = Math.max(maxGapMs, nowMs - lastTokenAtMs);
      lastTokenAtMs = nowMs;
      for (const token of tokens) {
        received.push(token);
        options.onToken?.(received.length);
      }
    }
  }

  function book(idempotencyKey: string = randomUUID()): Promise<CallResult> {
    return callService("POST", "/bookings", idempotencyKey);
  }

  function lookUp(): Promise<CallResult> {
    return callService("GET", "/status/1", "");
  }

  async function callService(
    method: "GET" | "POST",
    path: string,
    idempotencyKey: string,
  ): Promise<CallResult> {
    const startedAtMs = performance.now();
    const base = { idempotencyKey, status: 0, errorType: "connection" };
    try {
      const response = await request(
        `${pickUrl()}/v1/services/${applicationService}${path}`,
        {
          dispatcher: agent,
          method,
          headers: {
            authorization: `Bearer ${cluster.customerToken(customerIds[0]!)}`,
            ...(idempotencyKey ? { "idempotency-key": idempotencyKey } : {}),
          },
          ...(method === "POST" ? { body: `{"key":"${idempotencyKey}"}` } : {}),
        },
      );
      const body = await response.body.json() as { error?: { type: string } };
      return {
        ...base,
        status: response.statusCode,
        errorType: body.error?.type ?? "",
        durationMs: performance.now() - startedAtMs,
      };
    } catch {
      return { ...base, durationMs: performance.now() - startedAtMs };
    }
  }
}

/** Compares the received tokens with positions 0, 1, 2, ... of one generation. */
function checkTokens(received: readonly string[], expectedCount: number) {
  const positions = new Set<number>();
  const tags = new Set<string>();
  let repeatedTokens = 0;
  let mixedTokens = 0;
  received.forEach((token, index) => {
    const separator = token.lastIndexOf(":");
    const position = Number(token.slice(separator + 1));
    const tag = token.slice(0, separator);
    if (tags.size > 0 && !tags.has(tag)) mixedTokens += 1;
    tags.add(tag);
    if (positions.has(position)) repeatedTokens += 1;
    else if (position !== index) mixedTokens += 1;
    positions.add(position);
  });
  let missingTokens = 0;
  for (let position = 0; position < expectedCount; position++) {
    if (!positions.has(position)) missingTokens += 1;
  }
  return { missingTokens, repeatedTokens, mixedTokens };
}
