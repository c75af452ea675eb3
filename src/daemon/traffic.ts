/**
 * Creates the components that route work to upstreams and limit how much of it
 * is accepted: router, circuit breakers, cache index, stall detector, budgets
 * and admission.
 */
import type { ConfigurationView } from "../control/configuration.ts";
import type { Clock } from "../core/clock.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import { createPeriodicTask, type Task } from "../core/supervisor.ts";
import {
  type UpstreamId,
  type UpstreamInfo,
  UpstreamKind,
} from "../core/types.ts";
import { type Admission, createAdmission } from "../limits/admission.ts";
import { createConcurrencyWindow } from "../limits/concurrency_window.ts";
import { createConfiguredCustomerLimits } from "../limits/customer_limits.ts";
import { createFairShare } from "../limits/fair_share.ts";
import { createRetryBudget, type RetryBudget } from "../limits/retry_budget.ts";
import { createCacheIndex } from "../routing/cache_index.ts";
import {
  CircuitState,
  createCircuitBreaker,
} from "../routing/circuit_breaker.ts";
import {
  createEngineRouter,
  type EngineRouter,
} from "../routing/engine_router.ts";
import {
  createStallDetector,
  type StallDetector,
} from "../routing/stall_detector.ts";
import type { Settings } from "../settings/schema.ts";
import { createCacheEventsClient } from "../upstreams/cache_events_client.ts";
import type { EngineClient } from "../upstreams/engine_client.ts";
import type { UpstreamRegistry } from "../upstreams/upstream_registry.ts";

export interface Traffic {
  readonly router: EngineRouter;
  readonly stallDetector: StallDetector;
  /** Counted in tokens. */
  readonly answerBudget: RetryBudget;
  /** Counted in calls. */
  readonly callBudget: RetryBudget;
  readonly admission: Admission;
  readonly tasks: readonly Task[];
  /** Statistics for the operator API. */
  getLimits(): unknown;
  getCircuit(upstreamId: UpstreamId): string;
  close(): Promise<void>;
}

export interface TrafficOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: Random;
  readonly registry: UpstreamRegistry;
  readonly engines: EngineClient;
  readonly configuration: ConfigurationView;
  getInstanceCount(): number;
  /** Whether new requests for the version may be routed to the engine. */
  servesVersion(info: UpstreamInfo, version: string): boolean;
}

const loadPollMs = 500;
const cachePollMs = 500;
const admissionTickMs = 50;
const minWindow = 8;
const initialWindow = 64;

export function createTraffic(options: TrafficOptions): Traffic {
  const { settings, clock, logger, random, registry, engines } = options;
  const { limits } = settings;
  const breaker = createCircuitBreaker({ clock, onChanged: logCircuit });
  const cacheIndex = createCacheIndex({
    clock,
    maxBlocks: limits.maxCacheIndexBlocks,
  });
  const cacheEvents = createCacheEventsClient();
  const pendingReadIds = new Set<string>();
  const window = createConcurrencyWindow({
    minSize: Math.min(minWindow, limits.maxOpenAnswers),
    maxSize: limits.maxOpenAnswers,
    initialSize: initialWindow,
  });
  const admission = createAdmission({
    clock,
    logger,
    window,
    shares: createFairShare({
      clock,
      limits: createConfiguredCustomerLimits(options.configuration),
      maxOpenAnswers: limits.maxOpenAnswers,
      maxTokensPerS: limits.maxTokensPerS,
    }),
    maxQueueLength: limits.maxQueueLength,
    maxQueueWaitMs: limits.maxQueueWaitMs,
  });
  const ratio = limits.retryBudgetRatio;
  const answerBudget = createRetryBudget({
    ratio,
    initialUnits: 2_000,
    maxUnits: 50_000,
  });
  const callBudget = createRetryBudget({
    ratio,
    initialUnits: 10,
    maxUnits: 100,
  });
  return {
    router: createEngineRouter({
      clock,
      random,
      registry,
      breaker,
      cacheIndex,
      getInstanceCount: options.getInstanceCount,
      servesVersion: options.servesVersion,
    }),
    stallDetector: createStallDetector({ clock }),
    answerBudget,
    callBudget,
    admission,
    tasks: [
      createPeriodicTask({
        name: "load-reports",
        clock,
        intervalMs: loadPollMs,
        action: readLoads,
      }),
      createPeriodicTask({
        name: "cache-events",
        clock,
        intervalMs: cachePollMs,
        action: readCacheEvents,
      }),
      createPeriodicTask({
        name: "admission",
        clock,
        intervalMs: admissionTickMs,
        action: () => admission.tick(),
      }),
    ],
    getLimits: () => ({
      admission: admission.getStats(),
      answerBudget: answerBudget.getStats(),
      callBudget: callBudget.getStats(),
      cacheIndexBlocks: cacheIndex.getBlockCount(),
    }),
    getCircuit: breaker.getState,
    close: cacheEvents.close,
  };

  function listEngines() {
    return registry.list().filter(({ info }) =>
      info.kind === UpstreamKind.Engine
    );
  }

  function readLoads(): void {
    updateWindow();
    for (const { info } of listEngines()) {
      void engines.readLoad(info.baseUrl).map((load) =>
        registry.reportLoad(info.upstreamId, load)
      );
    }
  }

  function updateWindow(): void {
    window.update({
      engines: listEngines().flatMap(({ info, load }) =>
        load ? [{ upstreamId: info.upstreamId, ...load }] : []
      ),
      instanceCount: options.getInstanceCount(),
      openCount: admission.getStats().openCount,
    });
  }

  function readCacheEvents(): void {
    for (const { info } of listEngines()) {
      const { upstreamId, baseUrl } = info;
      // At most one read is in flight at a slow engine.
      if (pendingReadIds.has(upstreamId)) continue;
      pendingReadIds.add(upstreamId);
      const after = cacheIndex.getPollCursor(upstreamId);
      void cacheEvents.read(baseUrl, after).match(
        (page) => {
          pendingReadIds.delete(upstreamId);
          if (!cacheIndex.applyPage(upstreamId, page)) return;
          logger.log(logEvents.cacheEventsGap, { upstream: upstreamId, after });
        },
        (error) => {
          pendingReadIds.delete(upstreamId);
          logger.log(logEvents.cacheEventsFailed, {
            upstream: upstreamId,
            reason: error.message,
          });
        },
      );
    }
  }

  function logCircuit(upstream: string, state: CircuitState): void {
    const event = {
      [CircuitState.Closed]: logEvents.upstreamCircuitClosed,
      [CircuitState.Crashed]: logEvents.upstreamCircuitOpened,
      [CircuitState.Suspected]: logEvents.upstreamSuspected,
      [CircuitState.Probing]: logEvents.upstreamProbed,
    }[state];
    logger.log(event, { upstream });
  }
}
