/**
 * Chooses the engine for an attempt.
 */
import { Maybe } from "true-myth";
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

export interface EngineChoice {
  readonly service: string;
  readonly version: string;
  /** Used only when no other engine is left. */
  readonly avoidedUpstreamIds: readonly UpstreamId[];
  /** A hedge on an avoided engine would be of no use. */
  readonly mustAvoid: boolean;
}

export interface EngineRouter {
  chooseEngine(choice: EngineChoice): Maybe<UpstreamStatus>;
  recordFailure(upstreamId: UpstreamId): void;
  recordSuccess(upstreamId: UpstreamId): void;
}

export interface EngineRouterOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly registry: UpstreamRegistry;
  /** Whether new work on the version may go to the engine. */
  servesVersion?(info: UpstreamInfo, version: string): boolean;
}

/** An engine that failed gets no new work for this long, doubled each time. */
const initialPenaltyMs = 1_000;
const maxPenaltyMs = 30_000;
const loadHalfLifeMs = 2_000;

export function createEngineRouter(options: EngineRouterOptions): EngineRouter {
  const { clock, random, registry } = options;
  const penalties = new Map<
    UpstreamId,
    { untilMs: number; lengthMs: number }
  >();
  return { chooseEngine, recordFailure, recordSuccess };

  function chooseEngine(choice: EngineChoice): Maybe<UpstreamStatus> {
    const engines = registry.listUsable(UpstreamKind.Engine, choice.service)
      .filter(({ info }) =>
        options.servesVersion?.(info, choice.version) ??
          info.version === choice.version
      );
    const notAvoided = engines.filter((engine) =>
      !choice.avoidedUpstreamIds.includes(engine.info.upstreamId)
    );
    const healthy = notAvoided.filter((engine) => !isPenalized(engine));
    if (healthy.length > 0) return pickOfTwo(healthy);
    if (notAvoided.length > 0) return pickOfTwo(notAvoided);
    return choice.mustAvoid ? Maybe.nothing() : pickOfTwo(engines);
  }

  function pickOfTwo(
    engines: readonly UpstreamStatus[],
  ): Maybe<UpstreamStatus> {
    if (engines.length === 0) return Maybe.nothing();
    const first = engines[random.nextInt(engines.length)]!;
    const second = engines[random.nextInt(engines.length)]!;
    return Maybe.just(getLoad(second) < getLoad(first) ? second : first);
  }

  function getLoad(engine: UpstreamStatus): number {
    if (!engine.load) return engine.inFlightCount;
    const ageMs = clock.nowMs() - engine.load.receivedAtMs;
    const weight = 0.5 ** (ageMs / loadHalfLifeMs);
    const reported = engine.load.runningCount + engine.load.waitingCount;
    return Math.max(engine.inFlightCount, reported * weight);
  }

  function isPenalized(engine: UpstreamStatus): boolean {
    const penalty = penalties.get(engine.info.upstreamId);
    return penalty !== undefined && clock.nowMs() < penalty.untilMs;
  }

  function recordFailure(upstreamId: UpstreamId): void {
    const nowMs = clock.nowMs();
    const previous = penalties.get(upstreamId);
    if (previous && nowMs < previous.untilMs) return;
    const lengthMs = previous
      ? Math.min(maxPenaltyMs, previous.lengthMs * 2)
      : initialPenaltyMs;
    penalties.set(upstreamId, { untilMs: nowMs + lengthMs, lengthMs });
  }

  function recordSuccess(upstreamId: UpstreamId): void {
    penalties.delete(upstreamId);
  }
}
