/**
 * Models entry instances and engines in simulated time. Each instance has the
 * production router and admission and sends its requests to engine models.
 */
import { createHash } from "node:crypto";
import { createSilentLogger } from "../src/core/logger.ts";
import { createRandom, type Random } from "../src/core/random.ts";
import {
  type UpstreamInfo,
  UpstreamKind,
  UpstreamState,
} from "../src/core/types.ts";
import { type Admission, createAdmission } from "../src/limits/admission.ts";
import { createConcurrencyWindow } from "../src/limits/concurrency_window.ts";
import { createSettingsCustomerLimits } from "../src/limits/customer_limits.ts";
import { createFairShare } from "../src/limits/fair_share.ts";
import { createCacheIndex } from "../src/routing/cache_index.ts";
import { createCircuitBreaker } from "../src/routing/circuit_breaker.ts";
import { createEngineRouter } from "../src/routing/engine_router.ts";
import { blockChars, getPrefixBlocks } from "../src/routing/prefix_blocks.ts";
import {
  createUpstreamRegistry,
  type UpstreamRegistry,
  type UpstreamStatus,
} from "../src/upstreams/upstream_registry.ts";
import { createEngineModel, type EngineModel } from "./engine_model.ts";
import { createSimulatedTime, type SimulatedTime } from "./simulated_time.ts";

export type RouterKind = "router" | "random" | "leastReported" | "rendezvous";

export interface TrafficModelOptions {
  readonly seed: number;
  readonly router: RouterKind;
  readonly instanceCount: number;
  readonly engineCount: number;
  readonly reportLagMs: number;
  readonly weights: Readonly<Record<string, number>>;
  readonly maxTokensPerS: number;
  /** Admission admits every request, as a baseline. */
  readonly isUnlimited: boolean;
}

export interface ModelInstance {
  readonly admission: Admission;
  chooseEngine(prompt: string): ModelAssignment;
}

export interface ModelAssignment {
  readonly engine: EngineModel;
  onFirstToken(): void;
  onEnded(): void;
}

export interface TrafficModel {
  readonly time: SimulatedTime;
  readonly instances: readonly ModelInstance[];
  readonly engines: readonly EngineModel[];
}

const service = "model";
const version = "v1";
const pollIntervalMs = 500;
const admissionTickIntervalMs = 50;

export function createTrafficModel(
  options: TrafficModelOptions,
): TrafficModel {
  const time = createSimulatedTime();
  const random = createRandom(options.seed);
  const upstreams = Array.from(
    { length: options.engineCount },
    (_, index): UpstreamInfo => ({
      upstreamId: `engine-${index}`,
      kind: UpstreamKind.Engine,
      service,
      version,
      domainId: `domain-${index % 3}`,
      baseUrl: "http://127.0.0.1",
      state: UpstreamState.Live,
    }),
  );
  const engines = upstreams.map(() =>
    createEngineModel({ time, random, reportLagMs: options.reportLagMs })
  );
  const enginesById = new Map(
    upstreams.map((info, index) => [info.upstreamId, engines[index]!]),
  );
  const instances = Array.from(
    { length: options.instanceCount },
    () => createInstance(),
  );
  return { time, instances, engines };

  function createInstance(): ModelInstance {
    const { clock } = time;
    const logger = createSilentLogger();
    const registry = createUpstreamRegistry({ clock, logger });
    registry.update(upstreams);
    const cacheIndex = createCacheIndex({ clock, maxBlocks: 100_000 });
    const router = createEngineRouter({
      clock,
      random,
      registry,
      breaker: createCircuitBreaker({ clock }),
      cacheIndex,
      getInstanceCount: () => options.instanceCount,
    });
    const window = createConcurrencyWindow({
      minSize: 8,
      maxSize: 2_000,
      initialSize: options.isUnlimited ? 2_000 : 64,
    });
    const customers = Object.entries(options.weights)
      .map(([customerId, weight]) => ({ customerId, weight }));
    const admission = createAdmission({
      clock,
      logger,
      window,
      shares: createFairShare({
        clock,
        limits: createSettingsCustomerLimits(customers),
        maxOpenAnswers: 2_000,
        maxTokensPerS: options.isUnlimited ? 1e9 : options.maxTokensPerS,
      }),
      maxQueueLength: 500,
      maxQueueWaitMs: 5_000,
    });
    time.scheduleEvery(pollIntervalMs, random.next() * pollIntervalMs, poll);
    time.scheduleEvery(
      admissionTickIntervalMs,
      random.next() * admissionTickIntervalMs,
      () => {
        admission.tick();
      },
    );
    return { admission, chooseEngine };

    function poll(): void {
      const reports = [];
      for (const [upstreamId, engine] of enginesById) {
        const { running, waiting } = engine.getReport();
        const load = { runningCount: running, waitingCount: waiting };
        registry.reportLoad(upstreamId, { ...load, isLeaving: false });
        reports.push({ upstreamId, ...load });
        if (options.router !== "router") continue;
        const after = cacheIndex.getPollCursor(upstreamId);
        cacheIndex.applyPage(upstreamId, engine.cache.readEvents(after));
      }
      if (options.isUnlimited) return;
      window.update({
        engines: reports,
        instanceCount: options.instanceCount,
        openCount: admission.getStats().openCount,
      });
    }

    function chooseEngine(prompt: string): ModelAssignment {
      if (options.router !== "router") {
        return createAssignment(
          chooseBaselineEngine(registry, prompt),
          () => {},
        );
      }
      const assignment = router.chooseEngine({
        service,
        version,
        prompt,
        resumeTokenCount: 0,
        avoidedUpstreamIds: [],
        mustAvoid: false,
      }).unwrapOrElse(() => {
        throw new Error("no engine is usable");
      });
      return createAssignment(assignment.engine, assignment.recordProgress);
    }

    function createAssignment(
      { info: { upstreamId } }: UpstreamStatus,
      onFirstToken: () => void,
    ): ModelAssignment {
      registry.adjustInFlight(upstreamId, 1);
      return {
        engine: enginesById.get(upstreamId)!,
        onFirstToken,
        onEnded: () => registry.adjustInFlight(upstreamId, -1),
      };
    }
  }

  function chooseBaselineEngine(
    registry: UpstreamRegistry,
    prompt: string,
  ): UpstreamStatus {
    const statuses = registry.list();
    switch (options.router) {
      case "leastReported": {
        const loads = statuses.map(({ load }) =>
          load ? load.runningCount + load.waitingCount : 0
        );
        const least = Math.min(...loads);
        const tied = statuses.filter((_, index) => loads[index] === least);
        return tied[random.nextInt(tied.length)]!;
      }
      case "rendezvous": {
        const key = getPrefixBlocks(prompt)[0] ?? prompt;
        return statuses.reduce((best, status) =>
          getRendezvousRank(key, status) > getRendezvousRank(key, best)
            ? status
            : best
        );
      }
      default:
        return statuses[random.nextInt(statuses.length)]!;
    }
  }
}

function getRendezvousRank(key: string, { info }: UpstreamStatus): number {
  return createHash("sha256").update(`${key}\0${info.upstreamId}`)
    .digest().readUInt32BE(0);
}

export interface PromptSource {
  next(): string;
}

/** Creates prompts with shared prefixes, a few of which are used most often. */
export function createPromptSource(
  random: Random,
  prefixCount: number,
): PromptSource {
  const prefixes = Array.from({ length: prefixCount }, (_, index) => {
    const blocks = 6 + random.nextInt(18);
    return `prefix ${index} `.repeat(200).slice(0, blocks * blockChars);
  });
  let nextNumber = 0;
  return {
    next: () => {
      // The square of a uniform number prefers low indices, similar to Zipf.
      const index = Math.floor(random.next() ** 2 * prefixCount);
      const suffix = `question ${nextNumber++} `;
      const suffixChars = 256 + random.nextInt(1_280);
      return prefixes[index]! + suffix.repeat(200).slice(0, suffixChars);
    },
  };
}
