/**
 * Metrics that are sent to a StatsD server. If no server is configured, the
 * client is a mock that sends nothing.
 */
import { StatsD } from "hot-shots";
import type { LimitMetrics } from "./caller_limits.ts";

export interface StatsdMetrics {
  increment(name: string, value?: number): void;
  gauge(name: string, value: number): void;
  timing(name: string, durationMs: number): void;
  close(): void;
}

/** Counters only; StatsD has no gauges that are read. */
export function createStatsdRegistry(
  metrics: Pick<StatsdMetrics, "increment">,
): LimitMetrics {
  return {
    createCounter: (name) => ({
      add: (labels = {}, count = 1) =>
        metrics.increment([name, ...Object.values(labels)].join("."), count),
    }),
    createGauge: () => {},
  };
}

export interface StatsdOptions {
  readonly host: string;
  readonly port: number;
  readonly instanceId: string;
}

export function createStatsdMetrics(
  options: StatsdOptions | undefined,
): StatsdMetrics {
  const client = new StatsD(
    options
      ? {
        host: options.host,
        port: options.port,
        prefix: "apricotyoke.",
        globalTags: { instance: options.instanceId },
        maxBufferSize: 1400, // fits one Ethernet frame
        errorHandler: () => {}, // a metrics failure must not affect requests
      }
      : { mock: true },
  );
  return {
    increment: (name, value = 1) => client.increment(name, value),
    gauge: (name, value) => client.gauge(name, value),
    timing: (name, durationMs) => client.timing(name, durationMs),
    close: () => client.close(),
  };
}
