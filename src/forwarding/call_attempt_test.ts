/** Guards against memory that grows with callers that read responses slowly. */
import { Buffer } from "node:buffer";
import { expect, test } from "vitest";
import { createForwardingProtocol } from "../../platform/forwarding_protocol.ts";
import { headerNames } from "../../platform/wire_names.ts";
import { createByteBudget } from "../core/byte_budget.ts";
import { startCallAttempt } from "./call_attempt.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { ExchangeHandlers } from "./upstream_connections.ts";
import type { RequestLoad } from "./upstream_types.ts";

const bodyBytes = 512 * 1024;
const maxHeldBytes = 2 * 1024 * 1024;

/** Starts a call whose caller takes nothing until the returned functions run. */
function startCall(heldResponses: ForwardingContext["heldResponses"]) {
  let handlers!: ExchangeHandlers;
  const drains: (() => void)[] = [];
  const ends: (() => void)[] = [];
  const nothing = () => {};
  const context = {
    protocol: createForwardingProtocol(),
    clock: { nowMs: () => 0 },
    limits: { recordSend: nothing, recordResponse: nothing },
    directory: new Proxy({}, { get: () => nothing }),
    heldResponses,
    connections: {
      send: (_request: unknown, given: ExchangeHandlers) => {
        handlers = given;
        return { cancel: nothing, pause: nothing, resume: nothing };
      },
    },
  } as unknown as ForwardingContext;
  const caller = {
    description: { requestId: "r" },
    method: "GET",
    path: "/",
    rawHeaders: [],
    startResponse: nothing,
    endResponse: nothing,
    write: () => false,
    onDrain: (callback: () => void) => drains.push(callback),
    onEnd: (callback: () => void) => ends.push(callback),
  } as unknown as CallerExchange;
  startCallAttempt(
    context,
    { caller, body: Buffer.alloc(0), deadlineAtMs: 1_000 } as never,
    {
      upstream: { info: { upstreamId: "u", host: "h", port: 1 } },
      release: nothing,
    } as unknown as RequestLoad,
    { mayReuseConnection: true },
  );
  handlers.onHead(200, [
    headerNames.requestId,
    "r",
    headerNames.originProof,
    "seal",
  ], {
    isLocal: false,
  } as never);
  return {
    receive: (bytes: number) => handlers.onData(Buffer.alloc(bytes)),
    complete: () => handlers.onEnd(),
    takeAll: () => drains.forEach((drain) => drain()),
    end: () => ends.forEach((end) => end()),
  };
}

test("a relayed response counts as held until its caller has taken it", () => {
  const budget = createByteBudget(maxHeldBytes);
  const calls = Array.from({ length: 10 }, () => startCall(budget));
  for (const call of calls) {
    call.receive(bodyBytes);
    call.receive(bodyBytes);
    call.receive(1);
  }
  expect(budget.getHeldBytes()).toBeGreaterThan(maxHeldBytes / 2);
  expect(budget.getHeldBytes()).toBeLessThanOrEqual(maxHeldBytes);
  for (const call of calls) call.takeAll();
  expect(budget.getHeldBytes()).toBe(0);
});

test("a whole response counts as held until its exchange ends", () => {
  const budget = createByteBudget(maxHeldBytes);
  const call = startCall(budget);
  call.receive(bodyBytes);
  call.complete();
  expect(budget.getHeldBytes()).toBe(bodyBytes);
  call.end();
  expect(budget.getHeldBytes()).toBe(0);
});

test("large responses leave room to small ones", () => {
  const budget = createByteBudget(100_000, { smallReservedRatio: 0.25 });
  expect(budget.open().tryTake(70_000)).toBe(true);
  expect(budget.open().tryTake(70_000)).toBe(false);
  expect(budget.open().tryTake(30_000)).toBe(true);
});
