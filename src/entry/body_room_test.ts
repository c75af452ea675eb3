/**
 * Guards against bodies that fill the memory together, and against a refusal of
 * a request that has run.
 */
import { EventEmitter } from "node:events";
import { Readable } from "node:stream";
import { Hono } from "hono";
import { expect, test } from "vitest";
import { createByteBudget } from "../core/byte_budget.ts";
import {
  createBodyBudget,
  getRequestTimeoutMs,
  limitBodies,
} from "./body_room.ts";

const maxBytes = 1_000_000;

test("a body without room is refused before its request runs", async () => {
  const budget = createByteBudget(2 * maxBytes, { smallReservedRatio: 0.25 });
  let refusedCount = 0;
  let runCount = 0;
  let finish = () => {};
  const finished = new Promise<void>((resolve) => finish = resolve);
  const app = new Hono();
  app.use(limitBodies({ budget, maxBytes, onRefused: () => refusedCount++ }));
  app.post("/", async (context) => {
    runCount += 1;
    await finished;
    return context.text("done");
  });
  app.get("/", (context) => context.text("done"));
  const post = (headers: Record<string, string>) =>
    app.request("/", { method: "POST", headers });
  const chunked = { "transfer-encoding": "chunked" };
  const first = post(chunked);
  const refused = await post(chunked);
  expect(refused.status).toBe(503);
  expect(await refused.json()).toMatchObject({
    error: { execution: "notRun", retryable: true },
  });
  expect(refusedCount).toBe(1);
  expect(runCount).toBe(1);
  const small = post({ "content-length": "60000" });
  expect((await app.request("/")).status).toBe(200);
  finish();
  expect((await first).status).toBe(200);
  expect((await small).status).toBe(200);
  expect(budget.getHeldBytes()).toBe(0);
  expect((await post(chunked)).status).toBe(200);
});

test("a body has its room until it has ended, whenever its handler returns", async () => {
  const budget = createBodyBudget(0, maxBytes);
  let finish = () => {};
  const finished = new Promise<void>((resolve) => finish = resolve);
  const app = new Hono();
  app.use(limitBodies({ budget, maxBytes, onRefused: () => {} }));
  app.post("/early", (context) => context.text("not read"));
  app.post("/late", async (context) => {
    await finished;
    return context.text("done");
  });
  const headers = { "content-length": String(maxBytes) };
  const post = (path: string, incoming: Readable) =>
    app.request(path, { method: "POST", headers }, { incoming });
  const createBody = () => new Readable({ read: () => {} });
  const unread = createBody();
  expect((await post("/early", unread)).status).toBe(200);
  expect((await post("/early", createBody())).status).toBe(503);
  unread.destroy();
  await expect.poll(budget.getHeldBytes).toBe(0);
  const socket = new EventEmitter();
  const abandoned = Object.assign(createBody(), { socket });
  expect((await post("/early", abandoned)).status).toBe(200);
  expect(budget.getHeldBytes()).toBe(maxBytes);
  socket.emit("close");
  expect(budget.getHeldBytes()).toBe(0);
  expect(socket.listenerCount("close")).toBe(0);
  const read = createBody();
  const late = post("/late", read);
  await expect.poll(budget.getHeldBytes).toBe(maxBytes);
  read.push(null);
  read.resume();
  await expect.poll(budget.getHeldBytes).toBe(0);
  finish();
  expect((await late).status).toBe(200);
});

test("a small room holds one body of the largest size, and a small one", () => {
  const budget = createBodyBudget(65_536, 16_777_216);
  expect(budget.open().tryTake(16_777_216)).toBe(true);
  expect(budget.open().tryTake(65_536)).toBe(true);
  expect(budget.open().tryTake(16_777_216)).toBe(false);
});

test("a larger body has more time", () => {
  expect([0, 1_048_576, 16_777_216].map(getRequestTimeoutMs))
    .toEqual([60_000, 60_000, 932_068]);
});
