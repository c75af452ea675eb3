/**
 * Guards against bodies that fill the memory together, and against a refusal of
 * a request that has run.
 */
import { Hono } from "hono";
import { expect, test } from "vitest";
import { createByteBudget } from "../core/byte_budget.ts";
import { limitBodies } from "./body_room.ts";

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
