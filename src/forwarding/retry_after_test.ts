/**
 * Guards against synchronised retries when a failure domain is partitioned from
 * its upstreams: 30 callers a second are refused and retry after the delay that
 * they are given.
 */
import { expect, test } from "vitest";
import { createRandom } from "../core/random.ts";
import { getRetryAfterMs } from "./retry_after.ts";

const random = createRandom(3);

test("the delay ends when the first upstream is tried again", () => {
  const upstreams = [{ suspendedUntilMs: 2_400, waitsUntilMs: -Infinity }, {
    suspendedUntilMs: 1_700,
    waitsUntilMs: -Infinity,
  }];
  const delays = Array.from(
    { length: 200 },
    () => getRetryAfterMs(upstreams, { nowMs: 1_000, random }),
  );
  expect(Math.min(...delays)).toBeGreaterThanOrEqual(700);
  expect(Math.max(...delays)).toBeLessThanOrEqual(1_050);
});

test("without a listed upstream the delay is as long as a suspension", () => {
  expect(getRetryAfterMs([], { nowMs: 0, random }))
    .toBeGreaterThanOrEqual(5_000);
});

test("the delay is short if an upstream may be tried at once", () => {
  const delayMs = getRetryAfterMs([{
    suspendedUntilMs: -Infinity,
    waitsUntilMs: -Infinity,
  }], {
    nowMs: 0,
    random,
  });
  expect(delayMs).toBeLessThanOrEqual(300);
});

test("callers that were refused together do not retry together", () => {
  const upstreams = [{ suspendedUntilMs: 1_200, waitsUntilMs: -Infinity }];
  const arrivals = Array.from({ length: 18 }, (_, index) => index * 33);
  const retries = arrivals.map((atMs) =>
    atMs + getRetryAfterMs(upstreams, { nowMs: atMs, random })
  ).sort((left, right) => left - right);
  const retriesPerInterval = new Map<number, number>();
  for (const atMs of retries) {
    const slot = Math.floor(atMs / 50);
    retriesPerInterval.set(slot, (retriesPerInterval.get(slot) ?? 0) + 1);
  }
  // A slot serves a call in about 20 ms, and an upstream has 6 slots.
  expect(Math.max(...retriesPerInterval.values())).toBeLessThanOrEqual(15);
  expect(retries[0]).toBeGreaterThanOrEqual(1_200);
});
