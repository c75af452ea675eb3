/**
 * Adapter to the order interface of engines: `POST /orders` with a fencing
 * token, and `GET /orders` to read back what an engine has loaded.
 */
import { ok, ResultAsync } from "neverthrow";
import { Agent, request } from "undici";
import * as z from "zod";
import {
  createError,
  ErrorKind,
  getErrorMessage,
  type SystemError,
} from "../../core/errors.ts";
import {
  type EngineContent,
  type EngineOrder,
  OrderAnswer,
  OrderKind,
} from "./engine_orders.ts";

export interface OrderClient {
  send(
    baseUrl: string,
    order: EngineOrder,
    fencingToken: number,
  ): Promise<OrderAnswer>;
  read(baseUrl: string): ResultAsync<EngineContent, SystemError>;
  close(): Promise<void>;
}

const contentSchema = z.object({
  versions: z.array(z.string().max(200)).max(100),
  adapters: z.array(z.string().max(200)).max(1_000).default([]),
  role: z.string().max(200).default(""),
});

/** Below the longest in-flight time of an order that a new leader waits for. */
const orderTimeoutMs = 2_000;

export function createOrderClient(): OrderClient {
  const agent = new Agent({
    connect: { timeout: 1_000 },
    headersTimeout: orderTimeoutMs,
    bodyTimeout: orderTimeoutMs,
  });
  return { send, read, close: () => agent.destroy() };

  async function send(
    baseUrl: string,
    order: EngineOrder,
    fencingToken: number,
  ): Promise<OrderAnswer> {
    try {
      const response = await request(`${baseUrl}/orders`, {
        dispatcher: agent,
        method: "POST",
        headers: { "content-type": "application/json" },
        signal: AbortSignal.timeout(orderTimeoutMs),
        body: JSON.stringify(getBody(order, fencingToken)),
      });
      await response.body.dump();
      if (response.statusCode === 200) return OrderAnswer.Accepted;
      return response.statusCode === 409
        ? OrderAnswer.Stale
        : OrderAnswer.Failed;
    } catch {
      // Reading back shows whether the order arrived.
      return OrderAnswer.Failed;
    }
  }

  function read(baseUrl: string): ResultAsync<EngineContent, SystemError> {
    return ResultAsync.fromPromise(
      request(`${baseUrl}/orders`, { dispatcher: agent })
        .then((response) => response.body.json())
        .then((value) => contentSchema.parse(value)),
      (cause) => createError(ErrorKind.UpstreamFailed, getErrorMessage(cause)),
    ).andThen((content) => ok(content));
  }
}

function getBody({ kind, name }: EngineOrder, fence: number) {
  switch (kind) {
    case OrderKind.Load:
    case OrderKind.Unload:
      return { kind, fence, version: name };
    case OrderKind.LoadAdapter:
    case OrderKind.UnloadAdapter:
      return { kind, fence, adapter: name };
    case OrderKind.SetRole:
      return { kind, fence, role: name };
  }
}
