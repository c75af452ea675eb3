/**
 * Chooses the engine for an attempt and reports the attempt's outcome to the
 * circuit breaker and the cache index.
 */
import { Maybe } from "true-myth/maybe";
import type { Clock } from "../core/clock.ts";
import type { Random } from "../core/random.ts";
import {
  type UpstreamId,
  type UpstreamInfo,
  UpstreamKind,
} from "../core/types.ts";
import type {
  UpstreamRegistry,
  UpstreamStatus,
} from "../upstreams/upstream_registry.ts";
import type { CacheIndex } from "./cache_index.ts";
import { type CircuitBreaker, CircuitState } from "./circuit_breaker.ts";
import { chooseCandidate, type EngineCandidate } from "./engine_choice.ts";
import {
  estimateLoad,
  getOtherCount,
  type LoadInput,
} from "./load_estimate.ts";
import { getPrefixBlocks } from "./prefix_blocks.ts";

export interface EngineRequirements {
  readonly service: string;
  readonly version: string;
  readonly prompt: string;
  /** Tokens generated so far, which the engine prefills like the prompt. */
  readonly resumeTokenCount: number;
  /** Engines that are used only when no other one is available. */
  readonly avoidedUpstreamIds: readonly UpstreamId[];
  /** Excludes avoided engines: a hedge on one of them would be useless. */
  readonly mustAvoid: boolean;
}

/** The engine chosen for one attempt, with access to its circuit breaker. */
export interface EngineAssignment {
  readonly engine: UpstreamStatus;
  recordProgress(): void;
  recordCrash(): void;
  recordOverload(retryAfterMs: number | undefined): void;
  recordSuspected(): void;
  /** Ends an attempt whose outcome says nothing about the engine's health. */
  release(): void;
}

export interface EngineRouter {
  chooseEngine(requirements: EngineRequirements): Maybe<EngineAssignment>;
}

export interface EngineRouterOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly registry: UpstreamRegistry;
  /** Whether the engine may receive new requests for the version. */
  servesVersion?(info: UpstreamInfo, version: string): boolean;
  readonly breaker: CircuitBreaker;
  readonly cacheIndex: CacheIndex;
  getInstanceCount(): number;
}

/**
 * An engine whose last load report is older than this has probably crashed,
 * stalled or become unreachable. It is used only when no other engine is
 * available.
 */
const staleReportAfterMs = 2_000;
const charsPerToken = 4;

export function createEngineRouter(options: EngineRouterOptions): EngineRouter {
  const { clock, random, registry, breaker, cacheIndex } = options;
  return { chooseEngine };

  function chooseEngine(
    requirements: EngineRequirements,
  ): Maybe<EngineAssignment> {
    const engines = registry.listUsable(
      UpstreamKind.Engine,
      requirements.service,
    )
      .filter(({ info }) =>
        options.servesVersion?.(info, requirements.version) ??
          info.version === requirements.version
      );
    const allowed = engines.filter((engine) =>
      !requirements.avoidedUpstreamIds.includes(engine.info.upstreamId)
    );
    // A resume or hedge is not used as a probe, because its caller already
    // waits.
    const mayProbe = requirements.resumeTokenCount === 0 &&
      !requirements.mustAvoid;
    const available = allowed.filter((engine) => isAvailable(engine, mayProbe));
    const fresh = available.filter((engine) => !isStale(engine));
    const tiers = [
      fresh,
      available,
      allowed.filter(isClosed),
      allowed,
      requirements.mustAvoid ? [] : engines,
    ];
    const usable = tiers.find((tier) => tier.length > 0);
    return usable
      ? assignEngine(usable, engines, requirements)
      : Maybe.nothing();
  }

  function assignEngine(
    usable: readonly UpstreamStatus[],
    engines: readonly UpstreamStatus[],
    requirements: EngineRequirements,
  ): Maybe<EngineAssignment> {
    const blocks = getPrefixBlocks(requirements.prompt);
    const meanOtherCount = getMeanOtherCount(engines);
    const candidates = usable.map((engine): EngineCandidate => {
      const { upstreamId } = engine.info;
      return {
        upstreamId,
        load: estimateEngineLoad(engine, meanOtherCount),
        share: breaker.getShare(upstreamId),
        cachedBlocks: cacheIndex.getCachedBlockCount(upstreamId, blocks),
      };
    });
    const chosen = chooseCandidate({
      candidates,
      promptTokens: Math.ceil(requirements.prompt.length / charsPerToken) +
        requirements.resumeTokenCount,
    }, random);
    const engine = chosen && registry.get(chosen.upstreamId);
    if (!engine) return Maybe.nothing();
    return Maybe.just(createAssignment(engine));
  }

  function createAssignment(engine: UpstreamStatus): EngineAssignment {
    const { upstreamId } = engine.info;
    const permit = breaker.acquire(upstreamId);
    return {
      engine,
      recordProgress: () => breaker.recordProgress(upstreamId, permit),
      recordCrash: () => {
        breaker.recordCrash(upstreamId, permit);
        cacheIndex.invalidate(upstreamId);
      },
      recordOverload: (retryAfterMs) =>
        breaker.recordOverload(upstreamId, permit, retryAfterMs),
      recordSuspected: () => breaker.recordSuspected(upstreamId),
      release: () => breaker.release(upstreamId, permit),
    };
  }

  function isAvailable(engine: UpstreamStatus, mayProbe: boolean): boolean {
    const { upstreamId } = engine.info;
    if (!breaker.isAvailable(upstreamId)) return false;
    if (breaker.getState(upstreamId) === CircuitState.Closed) return true;
    // A load report since the crash shows that the engine's process responds.
    return mayProbe && (engine.load === undefined ||
      engine.load.receivedAtMs > breaker.getOpenedAtMs(upstreamId));
  }

  function isClosed(engine: UpstreamStatus): boolean {
    return breaker.getState(engine.info.upstreamId) === CircuitState.Closed;
  }

  function isStale({ load }: UpstreamStatus): boolean {
    return load !== undefined &&
      clock.nowMs() - load.receivedAtMs > staleReportAfterMs;
  }

  function estimateEngineLoad(
    engine: UpstreamStatus,
    meanOtherCount: number,
  ): number {
    return estimateLoad(toLoadInput(engine), {
      instanceCount: options.getInstanceCount(),
      meanOtherCount,
    });
  }

  function getMeanOtherCount(engines: readonly UpstreamStatus[]): number {
    const reported = engines.filter((engine) => engine.load !== undefined);
    if (reported.length === 0) return 0;
    const total = reported.reduce(
      (sum, engine) => sum + getOtherCount(toLoadInput(engine)),
      0,
    );
    return total / reported.length;
  }

  function toLoadInput({ inFlightCount, load }: UpstreamStatus): LoadInput {
    return {
      ownCount: inFlightCount,
      report: load && {
        totalCount: load.runningCount + load.waitingCount,
        ownCount: load.ownCount,
        ageMs: clock.nowMs() - load.receivedAtMs,
      },
    };
  }
}
