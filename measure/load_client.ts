/**
 * A caller: sends generations and calls through any running instance, reconnects
 * after a failure, and checks every received token.
 */
import { randomUUID } from "node:crypto";
import { createParser } from "eventsource-parser";
import { Agent, request } from "undici";
import {
  applicationService,
  type Cluster,
  customerIds,
  modelService,
  stableVersion,
} from "./launcher.ts";

export interface AnswerResult {
  readonly isWhole: boolean;
  readonly missingTokens: number;
  readonly repeatedTokens: number;
  readonly mixedTokens: number;
  readonly resets: number;
  readonly reconnects: number;
  readonly firstTokenMs: number;
  readonly maxGapMs: number;
  readonly startedAtMs: number;
  readonly finishedAtMs: number;
  /** Times between new tokens, as the caller observed them. */
  readonly gaps: readonly { readonly endedAtMs: number; gapMs: number }[];
  readonly tokens: number;
  readonly failure: string;
}

export interface CallResult {
  readonly status: number;
  readonly errorType: string;
  /** Whether the call was executed, according to an error response. */
  readonly execution: string;
  readonly idempotencyKey: string;
  readonly durationMs: number;
}

export interface LoadClient {
  generate(options: GenerateOptions): Promise<AnswerResult>;
  book(idempotencyKey?: string, instanceId?: string): Promise<CallResult>;
  lookUp(instanceId?: string): Promise<CallResult>;
  /** Instances that the simulated load balancer no longer selects. */
  readonly excludedInstanceIds: Set<string>;
  close(): Promise<void>;
}

export interface GenerateOptions {
  readonly maxTokens: number;
  readonly prompt?: string;
  readonly customerId?: string;
  readonly route?: string;
  /** Entry instance for the first connection; any running one by default. */
  readonly instanceId?: string;
  /** Opens the answer without a stream and reads it through other instances. */
  readonly isReadThroughOthers?: boolean;
  onOpened?(answerId: string): void;
  onToken?(position: number): void;
}

const answerTimeoutMs = 40_000;
const reconnectDelayMs = 50;
/** A caller reconnects when it has received nothing for this long. */
const silenceLimitMs = 1_500;
/** After such a silence the caller selects other instances for this long. */
const avoidanceMs = 5_000;

/**
 * Baseline to compare with: a failed generation is started again from the
 * beginning. With `engines` generations are sent directly to a random engine,
 * with `entry` through an instance; calls are sent directly to a random worker.
 */
export type BaselineVariant = "engines" | "entry";

export function createLoadClient(
  cluster: Cluster,
  baseline?: BaselineVariant,
): LoadClient {
  const agent = new Agent({
    connect: { timeout: 500 },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  let nextInstance = 0;
  const excludedInstanceIds = new Set<string>();
  const avoidedUntilMs = new Map<string, number>();
  return {
    generate,
    book: (key, instanceId) =>
      callService("POST", "/bookings", {
        key: key ?? randomUUID(),
        instanceId,
      }),
    lookUp: (instanceId) =>
      callService("GET", "/status/1", { key: "", instanceId }),
    excludedInstanceIds,
    close: () => agent.destroy(),
  };

  function selectUrl(instanceId?: string): string {
    const chosen = cluster.instances.find((instance) =>
      instance.instanceId === instanceId
    );
    if (chosen) return chosen.callerUrl;
    const live = cluster.instances.filter((instance) =>
      instance.process.exitCode === null && !instance.process.killed &&
      cluster.listedStates.get(instance.instanceId) !== "leaving" &&
      !excludedInstanceIds.has(instance.instanceId) &&
      (avoidedUntilMs.get(instance.callerUrl) ?? 0) < performance.now()
    );
    const candidates = live.length > 0 ? live : cluster.instances;
    return candidates[nextInstance++ % candidates.length]!.callerUrl;
  }

  async function generate(options: GenerateOptions): Promise<AnswerResult> {
    const startedAtMs = performance.now();
    const deadlineAtMs = startedAtMs + answerTimeoutMs;
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
    let maxReceivedTokens = 0;
    const gaps: { endedAtMs: number; gapMs: number }[] = [];
    while (!isDone && performance.now() < deadlineAtMs) {
      reconnects += 1;
      try {
        await connect();
      } catch (cause) {
        failure = String(cause);
      }
      if (!isDone) {
        if (baseline) {
          answerId = lastEventId = "";
          received.length = 0;
        }
        await new Promise((resolve) => setTimeout(resolve, reconnectDelayMs));
      }
    }
    const checked = compareTokens(received, options.maxTokens);
    return {
      ...checked,
      isWhole: isDone && checked.missingTokens === 0 &&
        checked.repeatedTokens === 0 && checked.mixedTokens === 0,
      resets,
      reconnects,
      firstTokenMs,
      maxGapMs,
      startedAtMs,
      finishedAtMs: performance.now(),
      gaps,
      tokens: received.length,
      failure: isDone ? "" : failure,
    };

    async function connect(): Promise<void> {
      const url = baseline === "engines"
        ? pickRandom(cluster.engines).baseUrl
        : selectUrl(reconnects === 0 ? options.instanceId : undefined);
      const abort = new AbortController();
      const onSilence = () => {
        avoidedUntilMs.set(url, performance.now() + avoidanceMs);
        abort.abort();
      };
      let silenceTimer = setTimeout(onSilence, silenceLimitMs);
      try {
        const isOpening = answerId === "";
        const response = await request(
          `${url}/v1/${getPath(isOpening)}`,
          {
            dispatcher: agent,
            signal: abort.signal,
            headers: getHeaders(isOpening),
            ...(isOpening ? { method: "POST", body: getBody() } : {}),
          },
        );
        if (response.statusCode >= 300) {
          failure = await response.body.text();
          return;
        }
        answerId = String(response.headers["x-answer-id"] ?? "");
        if (isOpening) options.onOpened?.(answerId);
        if (response.statusCode === 202) return void await response.body.dump();
        const parser = createParser({ onEvent: receive });
        const decoder = new TextDecoder();
        for await (const chunk of response.body) {
          clearTimeout(silenceTimer);
          silenceTimer = setTimeout(onSilence, silenceLimitMs);
          parser.feed(decoder.decode(chunk as Uint8Array, { stream: true }));
        }
      } finally {
        clearTimeout(silenceTimer);
      }
    }

    function getPath(isOpening: boolean): string {
      if (isOpening) return "completions";
      // After a partition only one of two diverged generations is continued.
      const needsReset = failure.includes("answerDiverged");
      return `answers/${answerId}${needsReset ? "?reset=true" : ""}`;
    }

    function getHeaders(isOpening: boolean): Record<string, string> {
      const isAsync = isOpening && options.isReadThroughOthers && !baseline;
      return {
        authorization: `Bearer ${cluster.customerToken(customerId)}`,
        accept: "text/event-stream",
        "content-type": "application/json",
        ...(isAsync ? { prefer: "respond-async" } : {}),
        ...(lastEventId === "" ? {} : { "last-event-id": lastEventId }),
      };
    }

    function getBody(): string {
      return JSON.stringify({
        request_id: randomUUID(),
        version: stableVersion,
        model: modelService,
        prompt: options.prompt ?? `manual ${randomUUID()}`,
        max_tokens: options.maxTokens,
        stream: true,
        route: options.route ?? "default",
        priority: 5,
      });
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
      for (const token of tokens) {
        received.push(token);
        options.onToken?.(received.length);
      }
      // After a reset, or when the baseline starts a generation again, tokens
      // count as new only beyond the number of tokens received before.
      if (received.length <= maxReceivedTokens) return;
      const nowMs = performance.now();
      const gapMs = maxReceivedTokens === 0 ? 0 : nowMs - lastTokenAtMs;
      if (maxReceivedTokens === 0) firstTokenMs = nowMs - startedAtMs;
      gaps.push({ endedAtMs: nowMs, gapMs });
      maxGapMs = Math.max(maxGapMs, gapMs);
      maxReceivedTokens = received.length;
      lastTokenAtMs = nowMs;
    }
  }

  async function callService(
    method: "GET" | "POST",
    path: string,
    { key, instanceId }: { key: string; instanceId: string | undefined },
  ): Promise<CallResult> {
    const startedAtMs = performance.now();
    const base = {
      idempotencyKey: key,
      status: 0,
      errorType: "connection",
      execution: "",
    };
    const url = baseline
      ? pickRandom(cluster.workers).baseUrl
      : `${selectUrl(instanceId)}/v1/services/${applicationService}`;
    try {
      const response = await request(
        `${url}${path}`,
        {
          dispatcher: agent,
          method,
          signal: AbortSignal.timeout(15_000),
          headers: {
            authorization: `Bearer ${cluster.customerToken(customerIds[0]!)}`,
            ...(key ? { "idempotency-key": key } : {}),
          },
          ...(method === "POST" ? { body: `{"key":"${key}"}` } : {}),
        },
      );
      const body = await response.body.json() as {
        error?: { type: string; execution: string };
      };
      return {
        ...base,
        status: response.statusCode,
        errorType: body.error?.type ?? "",
        execution: body.error?.execution ?? "",
        durationMs: performance.now() - startedAtMs,
      };
    } catch {
      return { ...base, durationMs: performance.now() - startedAtMs };
    }
  }
}

function pickRandom<T>(items: readonly T[]): T {
  return items[Math.floor(Math.random() * items.length)]!;
}

/** Compares received tokens with positions 0, 1, 2, ... of one generation. */
function compareTokens(received: readonly string[], expectedCount: number) {
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
