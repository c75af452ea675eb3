/** Guards against figures that show a shortage where there is none, or none. */
import { setTimeout as sleep } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { afterEach, expect, test } from "vitest";
import type { HeldForCallers } from "./caller_limits.ts";
import { createInstanceMeter, type InstanceMeter } from "./instance_figures.ts";

let meter: InstanceMeter | undefined;

afterEach(() => meter?.close());

function start(held: Partial<HeldForCallers> = {}) {
  const state = {
    heldBytes: 0,
    heldLimitBytes: 1,
    unsentBytes: 0,
    sentBytes: 0,
    ...held,
  };
  meter = createInstanceMeter(() => state);
  return { state, meter };
}

test("the heap is known after a full collection, and not for long", async () => {
  const { meter } = start();
  // Garbage that no full collection has removed does not show a full heap.
  expect(meter.read().heapUsedBytes).toBeUndefined();
  setFlagsFromString("--expose-gc");
  (runInNewContext("gc") as () => void)();
  await expect.poll(() => meter.read().heapUsedBytes).toBeGreaterThan(0);
  const { heapUsedBytes, heapLimitBytes } = meter.read();
  expect(heapUsedBytes).toBeLessThan(heapLimitBytes!);
});

test("the event loop delay is the length of the turns in which events arrive", async () => {
  const { meter } = start();
  const timer = setInterval(() => {
    const untilMs = performance.now() + 80;
    while (performance.now() < untilMs);
  }, 1);
  await sleep(500);
  clearInterval(timer);
  const figures = meter.read();
  expect(figures.eventLoopDelayMs).toBeGreaterThan(60);
  expect(figures.processorUse).toBeGreaterThan(0);
});

test("bytes that sockets took before the start are not counted as sent", async () => {
  const { state, meter } = start({ sentBytes: 5_000_000 });
  await sleep(20);
  expect(meter.read().sentBytesPerS).toBe(0);
  state.sentBytes += 1_000_000;
  await sleep(20);
  // Most of the bytes of the last second.
  const bytesPerS = meter.read().sentBytesPerS!;
  expect(bytesPerS).toBeGreaterThan(500_000);
  expect(bytesPerS).toBeLessThanOrEqual(1_000_000);
});
