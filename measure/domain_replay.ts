/**
 * Replays streams of several failure domains against the choice of the engine,
 * without a network: engines prefill one prompt after the other, and instances
 * know what others have placed only after a delay.
 */
import { createRandom } from "../src/core/random.ts";
import { createDomainTraffic } from "../src/forwarding/domain_traffic.ts";
import type { DomainPrices } from "../src/forwarding/domain_traffic.ts";
import { chooseForStream } from "../src/forwarding/placement.ts";
import {
  unknownSpeed,
  type Upstream,
} from "../src/forwarding/upstream_types.ts";
import type { DomainDemandEntry } from "../src/upstreams/engine_load_summary.ts";
import { engineTraits } from "./forwarding_fakes.ts";

export interface Replay {
  readonly seed: number;
  readonly durationMs: number;
  readonly figureAgeMs: number;
  /** False replays the constant cost. */
  readonly isLoadAware: boolean;
  readonly prices?: DomainPrices;
  getDemandPerS(domain: number, nowMs: number): number;
  isDown?(domain: number, nowMs: number): boolean;
  isCutOff?(domain: number, nowMs: number): boolean;
  /** What an instance wrongly states as its own demand. */
  readonly wrongDemandPerS?: number;
}

export interface ReplayResult {
  readonly requestCount: number;
  readonly lateCount: number;
  /** Requests that ran in another domain; each costs the same bytes. */
  readonly crossedCount: number;
  /** Crossed requests in each second. */
  readonly crossedBySecond: readonly number[];
}

interface Job {
  readonly instance: number;
  readonly arrivedAtMs: number;
  readonly placedAtMs: number;
  readonly startsAtMs: number;
  readonly prefilledAtMs: number;
}

interface Engine {
  readonly id: string;
  readonly domain: number;
  jobs: Job[];
}

export const replayObjectiveMs = 4_500;
export const domainCount = 3;
const enginesPerDomain = 8;
const instancesPerDomain = 8;
const promptTokens = 8_200;
const prefillMs = promptTokens / 8;
const generateMs = 4_500;
const stepMs = 25;
const exchangeIntervalMs = 500;
const noPrices: DomainPrices = {
  roundTripMs: 0,
  priceMsPerMs: 1,
  priceMsPerMegabyte: 0,
};

export function replayStreams(replay: Replay): ReplayResult {
  /** Arrivals do not depend on the choices, so that replays compare. */
  const arrivals = createRandom(replay.seed);
  const random = createRandom(replay.seed + 1_000_003);
  let nowMs = 0;
  const engines: Engine[] = Array.from(
    { length: domainCount * enginesPerDomain },
    (_, index) => ({
      id: `e${index}`,
      domain: index % domainCount,
      jobs: [],
    }),
  );
  const counter = { add: () => {} };
  const instances = Array.from(
    { length: domainCount * instancesPerDomain },
    (_, instance) =>
      createDomainTraffic({
        clock: { nowMs: () => nowMs },
        random,
        logger: { log: () => {} },
        domainId: `${instance % domainCount}`,
        prices: replay.prices ?? noPrices,
        attempts: counter,
        bytes: counter,
        listUsable: () => listUpstreams(instance),
        isLoadAware: () => replay.isLoadAware,
        isDomainSuspected: (_, domainId) => isSuspected(Number(domainId)),
        getObjectives: () => ({
          firstEventMs: replayObjectiveMs,
          callMs: undefined,
        }),
        getTimes: () => ({}),
      }),
  );
  const sent: { atMs: number; demands: DomainDemandEntry[][] }[] = [];
  const firstEventMs: number[] = [];
  const crossedBySecond: number[] = [];
  const waiting: { instance: number; arrivedAtMs: number }[] = [];
  for (; nowMs < replay.durationMs; nowMs += stepMs) {
    if (nowMs % exchangeIntervalMs === 0) exchange();
    loseJobs();
    for (const job of waiting.splice(0)) place(job.instance, job.arrivedAtMs);
    for (let domain = 0; domain < domainCount; domain++) {
      const expected = replay.getDemandPerS(domain, nowMs) * stepMs / 1_000;
      if (arrivals.next() >= expected) continue;
      const instance = domain +
        domainCount * arrivals.nextInt(instancesPerDomain);
      instances[instance]!.recordRequest("s");
      instances[instance]!.recordPromptTokens("s", promptTokens);
      place(instance, nowMs);
    }
  }
  const completed = firstEventMs.concat(
    engines.flatMap(({ jobs }) =>
      jobs.map(({ prefilledAtMs, arrivedAtMs }) => prefilledAtMs - arrivedAtMs)
    ),
    waiting.map(() => Infinity),
  );
  return {
    requestCount: completed.length,
    lateCount: completed.filter((ms) => ms > replayObjectiveMs).length,
    crossedCount: crossedBySecond.reduce((sum, count) => sum + count, 0),
    crossedBySecond,
  };

  function isDown(domain: number): boolean {
    return replay.isDown?.(domain, nowMs) ?? false;
  }

  function isSuspected(domain: number): boolean {
    return isDown(domain);
  }

  function isReachable(from: number, to: number): boolean {
    if (from === to) return true;
    const isCut = (domain: number) => replay.isCutOff?.(domain, nowMs) ?? false;
    return !isCut(from) && !isCut(to);
  }

  /** Ended jobs are counted; those of a crashed engine are placed again. */
  function loseJobs(): void {
    for (const engine of engines) {
      if (isDown(engine.domain)) {
        const lost = engine.jobs.filter((job) => job.prefilledAtMs > nowMs);
        engine.jobs = engine.jobs.filter((job) => job.prefilledAtMs <= nowMs);
        waiting.push(...lost);
      }
      const isEnded = ({ prefilledAtMs }: Job) =>
        prefilledAtMs + generateMs + 5_000 < nowMs;
      for (const job of engine.jobs.filter(isEnded)) {
        firstEventMs.push(job.prefilledAtMs - job.arrivedAtMs);
      }
      engine.jobs = engine.jobs.filter((job) => !isEnded(job));
    }
  }

  function place(instance: number, arrivedAtMs: number): void {
    const domain = instance % domainCount;
    const chosen = chooseForStream(listUpstreams(instance), {
      traits: engineTraits,
      prefillTokens: promptTokens,
      totalTokens: promptTokens + 140,
    }, {
      nowMs,
      getDomainCost: instances[instance]!.drawCosts("s"),
      triedIds: new Set(),
      random,
      isLoadAware: true,
      unreportedPlacementCount: replay.getDemandPerS(domain, nowMs) *
        replay.figureAgeMs / 1_000,
      isDomainSuspected: (domainId) => isSuspected(Number(domainId)),
      hasRoom: () => true,
    });
    const engine = engines.find(({ id }) => id === chosen?.info.upstreamId);
    if (!engine || isDown(engine.domain)) {
      waiting.push({ instance, arrivedAtMs });
      return;
    }
    if (engine.domain !== domain) {
      const second = Math.floor(nowMs / 1_000);
      crossedBySecond[second] = (crossedBySecond[second] ?? 0) + 1;
    }
    const startsAtMs = Math.max(
      nowMs,
      ...engine.jobs.map(({ prefilledAtMs }) => prefilledAtMs),
    );
    engine.jobs.push({
      instance,
      arrivedAtMs,
      placedAtMs: nowMs,
      startsAtMs,
      prefilledAtMs: startsAtMs + prefillMs,
    });
  }

  function exchange(): void {
    sent.push({
      atMs: nowMs,
      demands: instances.map((traffic, instance) => {
        const own = traffic.getDemands();
        const { wrongDemandPerS } = replay;
        if (instance !== 0 || wrongDemandPerS === undefined) return own;
        const perS = wrongDemandPerS * 1_000;
        return [["s", "0", perS, perS * promptTokens]];
      }),
    });
    const known = sent.findLast(({ atMs }) =>
      atMs <= nowMs - replay.figureAgeMs
    );
    if (!known) return;
    for (const [receiver, traffic] of instances.entries()) {
      const sums = new Map<string, [number, number]>();
      for (const [sender, demands] of known.demands.entries()) {
        const isHeard = isReachable(
          sender % domainCount,
          receiver % domainCount,
        );
        if (sender === receiver || !isHeard) continue;
        for (const [, domainId, requests, tokens] of demands) {
          const sum = sums.get(domainId) ?? [0, 0];
          sums.set(domainId, [sum[0] + requests, sum[1] + tokens]);
        }
      }
      traffic.setRemoteDemands(
        [...sums].map(([domainId, sum]) => ["s", domainId, ...sum] as const),
      );
    }
  }

  function listUpstreams(instance: number): Upstream[] {
    const knownAtMs = nowMs - replay.figureAgeMs;
    return engines.map(({ id, domain, jobs }) => {
      const isUnavailable = isDown(domain) ||
        !isReachable(instance % domainCount, domain);
      const own = jobs.filter((job) => job.instance === instance);
      const others = jobs.filter((job) =>
        job.instance !== instance && job.placedAtMs <= knownAtMs
      );
      const ownLoad = describe(own, nowMs);
      return {
        info: {
          upstreamId: id,
          service: "s",
          host: "h",
          port: 1,
          domainId: `${domain}`,
          version: "v1",
          maxRunning: engineTraits.maxRunning,
          isLeaving: false,
          isCold: false,
          versionShare: 1,
        },
        inFlightCount: ownLoad.runningCount,
        memoryTokens: ownLoad.memoryTokens,
        unreadTokens: ownLoad.unreadTokens,
        reported: undefined,
        speed: unknownSpeed,
        others: describe(others, knownAtMs),
        failureRatio: 0,
        suspendedUntilMs: isUnavailable ? Infinity : -Infinity,
        waitsUntilMs: -Infinity,
        lostAtMs: -Infinity,
        lastActivityAtMs: -Infinity,
      };
    });
  }

  function describe(jobs: readonly Job[], atMs: number) {
    const running =
      jobs.filter((job) => job.prefilledAtMs + generateMs > atMs).length;
    const unread = jobs.filter((job) => job.prefilledAtMs > atMs).length;
    return {
      runningCount: running,
      unreadTokens: unread * promptTokens,
      memoryTokens: running * (promptTokens + 140),
    };
  }
}
