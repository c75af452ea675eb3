/** Guards against refusals of streams that have begun, and silent refusals. */
import { Buffer } from "node:buffer";
import { expect, test } from "vitest";
import type { InstanceFigures } from "../core/instance_figures.ts";
import { createSilentLogger } from "../core/logger.ts";
import { createMetricsRegistry } from "../core/metrics_registry.ts";
import { forwardingSettingsSchema } from "../settings/forwarding_settings.ts";
import type { AdmittedRequest } from "./forwarding_context.ts";
import { createForwardingMetrics } from "./forwarding_metrics.ts";
import { RequestKind } from "./forwarding_table.ts";
import { createInstanceAdmission } from "./instance_admission.ts";
import { figuresIntervalMs } from "./overload_decisions.ts";

async function start(figures: Partial<InstanceFigures>) {
  let nowMs = 0;
  const registry = createMetricsRegistry();
  const admission = createInstanceAdmission({
    limits: forwardingSettingsSchema.shape.overload.parse({}),
    clock: {
      nowMs: () => nowMs,
      wallMs: () => nowMs,
      sleep: () => {
        nowMs += figuresIntervalMs;
        if (nowMs >= 10 * figuresIntervalMs) stopping.abort();
        return Promise.resolve();
      },
    },
    random: { next: () => 0, nextInt: () => 0 },
    logger: createSilentLogger(),
    metrics: createForwardingMetrics(registry),
    meter: { read: () => figures as InstanceFigures },
    pauses: { hasPausedSince: () => false },
  });
  const stopping = new AbortController();
  const refuse = (kind: RequestKind, lastEventId?: number) =>
    admission.refuse({
      caller: {
        method: "POST",
        path: "/app/item",
        description: { lastEventId },
      },
      route: { kind, objectiveMs: 200, maxEventGapMs: null },
      service: { name: "service" },
      customerId: "clinic",
      body: Buffer.from(String(nowMs++)),
      priority: 1,
      deadlineAtMs: nowMs + 2_000,
    } as unknown as AdmittedRequest);
  for (let count = 0; count < 20; count++) refuse(RequestKind.Unsafe);
  await admission.task.run(stopping.signal);
  return { admission, registry, refuse };
}

test("a stream that has begun is admitted where others are refused", async () => {
  const { refuse, registry } = await start({ eventLoopDelayMs: 200 });
  for (let count = 0; count < 20; count++) {
    expect(refuse(RequestKind.Streaming, 3)).toBeUndefined();
  }
  const refused = refuse(RequestKind.Streaming);
  expect(refused?.retryAfterMs.unwrapOr(-1)).toBeGreaterThan(0);
  expect(await registry.getText())
    .toContain('overload_refusals_total{shortage="processor"} 1');
});

test("absurd figures are counted and refuse nothing", async () => {
  const { admission, refuse, registry } = await start({
    eventLoopDelayMs: -1,
    heldBytes: NaN,
  });
  expect(admission.getRefusedRatio()).toBe(0);
  expect(refuse(RequestKind.Unsafe)).toBeUndefined();
  expect(await registry.getText())
    .toContain("overload_absurd_figures_total 20");
});
