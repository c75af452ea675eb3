/**
 * A caller: sends generations and calls through any live instance, reconnects
 * after a failure, and checks every token it receives.
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
  /** Waits of the caller for the next new token. */
  readonly gaps: readonly { readonly endedAtMs: number; gapMs: number }[];
  readonly tokens: number;
  readonly failure: string;
}

export interface CallResult {
  readonly status: number;
  readonly errorType: string;
  /** What a rejection says about the work. */
  readonly execution: string;
  readonly idempotencyKey: string;
  readonly durationMs: number;
}

export interface LoadClient {
  generate(options: GenerateOptions): Promise<AnswerResult>;
  book(idempotencyKey?: string, instanceId?: string): Promise<CallResult>;
  lookUp(instanceId?: string): Promise<CallResult>;
  /** Instances that the load balancer no longer sends to. */
  readonly hiddenIds: Set<string>;
  close(): Promise<void>;
}

export interface GenerateOptions {
  readonly maxTokens: number;
  readonly prompt?: string;
  readonly customerId?: string;
  readonly route?: string;
  /** Entry instance for the first connection; any live one by default. */
  readonly instanceId?: string;
  /** Opens the answer without a stream and reads it through other instances. */
  readonly isReadElsewhere?: boolean;
  onOpened?(answerId: string): void;
  onToken?(position: number): void;
}

const answerTimeoutMs = 40_000;
const reconnectDelayMs = 50;
/** A caller reconnects when nothing arrives for this long. */
const maxSilenceMs = 1_500;
const avoidMs = 5_000;

/**
 * The plain variant to compare with: a failed generation starts again from the
 * beginning. With `engines` the caller uses a random engine or worker itself.
 */
export type PlainVariant = "engines" | "entry";

export function createLoadClient(
  cluster: Cluster,
  plain?: PlainVariant,
): LoadClient {
  const agent = new Agent({
    connect: { timeout: 500 },
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  let nextInstance = 0;
  const hiddenIds = new Set<string>();
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
    hiddenIds,
    close: () => agent.destroy(),
  };

  function pickUrl(instanceId?: string): string {
    const chosen = cluster.instances.find((instance) =>
      instance.instanceId === instanceId
    );
    if (chosen) return chosen.callerUrl;
    const live = cluster.instances.filter((instance) =>
      instance.process.exitCode === null && !instance.process.killed &&
      cluster.listedStates.get(instance.instanceId) !== "leaving" &&
      !hiddenIds.has(instance.instanceId) &&
      (avoidedUntilMs.get(instance.callerUrl) ?? 0) < performance.now()
    );
    const usable = live.length > 0 ? live : cluster.instances;
    return usable[nextInstance++ % usable.length]!.callerUrl;
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
    let seenTokens = 0;
    const gaps: { endedAtMs: number; gapMs: number }[] = [];
    while (!isDone && performance.now() < giveUpAtMs) {
      reconnects += 1;
      try {
        await connect();
      } catch (cause) {
        failure = String(cause);
      }
      if (!isDone) {
        if (plain) {
          answerId = lastEventId = "";
          received.length = 0;
        }
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
      startedAtMs,
      finishedAtMs: performance.now(),
      gaps,
      tokens: received.length,
      failure: isDone ? "" : failure,
    };

    async function connect(): Promise<void> {
      const url = plain === "engines"
        ? pickRandom(cluster.engines).baseUrl
        : pickUrl(reconnects === 0 ? options.instanceId : undefined);
      const abort = new AbortController();
      const onSilent = () => {
        avoidedUntilMs.set(url, performance.now() + avoidMs);
        abort.abort();
      };
      let silence = setTimeout(onSilent, maxSilenceMs);
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
          clearTimeout(silence);
          silence = setTimeout(onSilent, maxSilenceMs);
          parser.feed(decoder.decode(chunk as Uint8Array, { stream: true }));
        }
      } finally {
        clearTimeout(silence);
      }
    }

    function getPath(isOpening: boolean): string {
      if (isOpening) return "completions";
      // After a partition only one of two generations goes on.
      const mayReset = failure.includes("answerDiverged");
      return `answers/${answerId}${mayReset ? "?reset=true" : ""}`;
    }

    function getHeaders(isOpening: boolean): Record<string, string> {
      const isAsync = isOpening && options.isReadElsewhere && !plain;
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
      // Tokens of a restarted generation are new to the caller only beyond
      // those that it has seen before.
      if (received.length <= seenTokens) return;
      const nowMs = performance.now();
      const gapMs = seenTokens === 0 ? 0 : nowMs - lastTokenAtMs;
      if (seenTokens === 0) firstTokenMs = nowMs - startedAtMs;
      gaps.push({ endedAtMs: nowMs, gapMs });
      maxGapMs = Math.max(maxGapMs, gapMs);
      seenTokens = received.length;
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
    const url = plain
      ? pickRandom(cluster.workers).baseUrl
      : `${pickUrl(instanceId)}/v1/services/${applicationService}`;
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
