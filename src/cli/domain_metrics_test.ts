/**
 * Guards the reading of the metrics as an instance writes them.
 */
import { expect, test } from "vitest";
import { createMetricsRegistry } from "../core/metrics_registry.ts";
import { createForwardingMetrics } from "../forwarding/forwarding_metrics.ts";
import { formatDomainRows, readDomainView } from "./domain_metrics.ts";

function createRegistry() {
  const registry = createMetricsRegistry();
  return { registry, metrics: createForwardingMetrics(registry) };
}

test("the share that leaves, its reasons and bytes are read from the metrics", async () => {
  const { registry, metrics } = createRegistry();
  registry.createInfo("instance_info", "Domain.", { domain: "a" });
  const service = 'chat"}\\n';
  const add = (domain: string, reason: string, count: number) =>
    metrics.domainAttempts.add({ service, domain, reason }, count);
  add("a", "homeHasRoom", 70);
  add("b", "leave", 20);
  add("b", "unbalanced", 5);
  add("c", "leave", 5);
  metrics.domainBytes.add({ service, domain: "b" }, 1_000);
  metrics.domainBytes.add({ service: "call", domain: "c" }, 7);
  const view = readDomainView(await registry.getText(), undefined)
    ._unsafeUnwrap();
  expect(view.homeId).toBe("a");
  expect(view.services).toMatchObject([
    // Attempts are not counted for services without load figures.
    { service: "call", attemptCount: 0, leavingShare: null, leavingBytes: 7 },
    {
      service,
      attemptCount: 100,
      leavingShare: 0.3,
      leavingBytes: 1_000,
      domains: [
        { domainId: "a", isHome: true, share: 0.7, bytes: null },
        { domainId: "b", share: 0.25, reasons: { leave: 20, unbalanced: 5 } },
        { domainId: "c", share: 0.05, bytes: 0 },
      ],
    },
  ]);
  expect(formatDomainRows(view).map((row) => row.slice(1))).toEqual([
    ["(all that left)", "-", "0", "7", ""],
    ["c", "-", "0", "7", ""],
    ["(all that left)", "30.0%", "30", "1000", ""],
    ["a (own)", "70.0%", "70", "-", "homeHasRoom 70"],
    ["b", "25.0%", "25", "1000", "leave 20, unbalanced 5"],
    ["c", "5.0%", "5", "0", "leave 5"],
  ]);
});

test("other metrics, and an instance that does not state its domain, are errors", async () => {
  const { registry } = createRegistry();
  const text = await registry.getText();
  expect(readDomainView("<html>", "a").isErr()).toBe(true);
  expect(readDomainView(text, undefined).isErr()).toBe(true);
  expect(readDomainView(text, "a")._unsafeUnwrap().services).toEqual([]);
});
