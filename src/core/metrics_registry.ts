/**
 * Counters, histograms and gauges that an instance serves as text on its
 * metrics address. The entry module of prom-client loads far more than these
 * classes, so they are imported from their own modules.
 */
import Counter from "prom-client/lib/counter.js";
import Gauge from "prom-client/lib/gauge.js";
import Histogram from "prom-client/lib/histogram.js";
import Registry from "prom-client/lib/registry.js";
import type * as prom from "prom-client";

export interface MetricCounter {
  add(labels?: Readonly<Record<string, string>>, count?: number): void;
}

export interface MetricTimer {
  observeMs(
    durationMs: number,
    labels?: Readonly<Record<string, string>>,
  ): void;
}

export interface MetricsRegistry {
  createCounter(
    name: string,
    help: string,
    labelNames?: readonly string[],
  ): MetricCounter;
  createTimer(
    name: string,
    help: string,
    labelNames?: readonly string[],
  ): MetricTimer;
  /** Creates a gauge whose value is read whenever the metrics are read. */
  createGauge(name: string, help: string, read: () => number): void;
  /** Creates a gauge that is always 1 and states facts as labels. */
  createInfo(
    name: string,
    help: string,
    labels: Readonly<Record<string, string>>,
  ): void;
  getText(): Promise<string>;
}

/** From a network round trip to the longest answer. */
const bucketsS = [
  0.005,
  0.01,
  0.025,
  0.05,
  0.1,
  0.2,
  0.4,
  0.7,
  1,
  2,
  4.5,
  10,
  25,
];
const prefix = "apricotyoke_";

export function createMetricsRegistry(): MetricsRegistry {
  const registry = new (Registry as unknown as typeof prom.Registry)();
  return {
    createCounter: (name, help, labelNames = []) => {
      const counter = new (Counter as unknown as typeof prom.Counter)({
        name: `${prefix}${name}_total`,
        help,
        labelNames: [...labelNames],
        registers: [registry],
      });
      return { add: (labels = {}, count = 1) => counter.inc(labels, count) };
    },
    createTimer: (name, help, labelNames = []) => {
      const histogram = new (Histogram as unknown as typeof prom.Histogram)({
        name: `${prefix}${name}_seconds`,
        help,
        labelNames: [...labelNames],
        buckets: bucketsS,
        registers: [registry],
      });
      return {
        observeMs: (durationMs, labels = {}) =>
          histogram.observe(labels, durationMs / 1_000),
      };
    },
    createGauge: (name, help, read) => {
      new (Gauge as unknown as typeof prom.Gauge)({
        name: prefix + name,
        help,
        registers: [registry],
        collect() {
          this.set(read());
        },
      });
    },
    createInfo: (name, help, labels) => {
      const gauge = new (Gauge as unknown as typeof prom.Gauge)({
        name: prefix + name,
        help,
        labelNames: Object.keys(labels),
        registers: [registry],
      });
      gauge.set(labels, 1);
    },
    getText: () => registry.metrics(),
  };
}
