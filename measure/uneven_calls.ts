/**
 * Replays the calls of the uneven deployment without a network: many entry
 * instances with their own directories, which exchange load summaries with a
 * delay, in front of three upstreams of different speed.
 */
import { createSilentLogger } from "../src/core/logger.ts";
import { createRandom, type Random } from "../src/core/random.ts";
import {
  chooseForCall,
  getDefaultDomainCost,
} from "../src/forwarding/placement.ts";
import {
  createUpstreamDirectory,
  type UpstreamDirectory,
} from "../src/forwarding/upstream_directory.ts";
import { createEngineLoadAggregator } from "../src/upstreams/engine_load_aggregator.ts";
import { createEventQueue } from "./event_queue.ts";

export interface UnevenCallOptions {
  readonly seed: number;
  readonly isLoadAware: boolean;
  readonly durationMs: number;
  /** Calls per second of all instances on average. */
  readonly callsPerS: number;
  /** Time factors of the upstreams, one in each failure domain. */
  readonly factors: readonly number[];
  /** Whether summaries reach other instances. */
  readonly isControlAvailable?: boolean;
  /** Whether leaving the failure domain costs something. */
  readonly hasDomainCost?: boolean;
  /** Without swings of the demand and momentary slowness. */
  readonly isSteady?: boolean;
  /** Whether the stated slowness includes the time factor. */
  readonly statesFactor?: boolean;
}

export interface UnevenCallResult {
  readonly callCount: number;
  /** Calls that were refused or took longer than the objective. */
  readonly lateCount: number;
  /** Calls by upstream. */
  readonly placedCounts: readonly number[];
  /** Most requests that one upstream had at once. */
  readonly maxHeldCounts: readonly number[];
  /** Learned factors of calls at one instance. */
  readonly learnedFactors: readonly number[];
}

const instanceCount = 78;
const slots = 6;
const maxQueueCount = 24;
const workMs = 43;
const objectiveMs = 150;
const maxSlownessRatio = 0.15;
const slownessFactor = 2.5;
const slownessPeriodMs = 600;
const maxSwing = 0.55;
const swingPeriodMs = 17_000;
const swingOffsetMs = 1_400;
const heartbeatMs = 500;
const homeDelayMs = 1;
const otherDelayMs = 4;

interface ModelUpstream {
  readonly id: string;
  readonly domain: number;
  readonly factor: number;
  slowness: number;
  runningCount: number;
  queue: (() => void)[];
}

export function replayUnevenCalls(
  options: UnevenCallOptions,
): UnevenCallResult {
  const { seed, isLoadAware, durationMs, callsPerS, factors } = options;
  const swing = options.isSteady ? 0 : maxSwing;
  const slownessRatio = options.isSteady ? 0 : maxSlownessRatio;
  const random = createRandom(seed);
  const queue = createEventQueue();
  const domainCount = factors.length;
  const upstreams = factors.map((factor, domain): ModelUpstream => ({
    id: `u${domain}`,
    domain,
    factor,
    slowness: 1,
    runningCount: 0,
    queue: [],
  }));
  const aggregator = createEngineLoadAggregator({ getNowMs: queue.nowMs });
  const instances = Array.from({ length: instanceCount }, (_, index) => {
    const instance = {
      id: `f${index}`,
      domain: index % domainCount,
      random: createRandom(seed * 1_000 + index),
      directory: createDirectory(queue.nowMs, random, upstreams),
    };
    queue.schedule(heartbeatMs * random.next(), () => exchange(instance));
    return instance;
  });
  const placedCounts = factors.map(() => 0);
  const maxHeldCounts = factors.map(() => 0);
  let callCount = 0;
  let lateCount = 0;
  redraw();
  arrive();
  queue.runUntil(durationMs);
  const { directory } = instances[0]!;
  return {
    callCount,
    lateCount,
    placedCounts,
    maxHeldCounts,
    learnedFactors: directory.listUsable("app").map(({ speed }) =>
      speed.callFactor
    ),
  };

  function redraw(): void {
    for (const upstream of upstreams) {
      upstream.slowness = random.next() < slownessRatio ? slownessFactor : 1;
    }
    queue.schedule(slownessPeriodMs, redraw);
  }

  function exchange(instance: typeof instances[number]): void {
    if (options.isControlAvailable ?? true) {
      const summary = instance.directory.getLocalLoadSummary();
      const others = aggregator.aggregateOthers(instance.id);
      aggregator.record(instance.id, summary, false);
      queue.schedule(
        5,
        () => instance.directory.setRemoteLoadSummary(others),
      );
    }
    queue.schedule(heartbeatMs, () => exchange(instance));
  }

  function arrive(): void {
    const maxPerMs = callsPerS * (1 + swing) / 1_000;
    queue.schedule(-Math.log(1 - random.next()) / maxPerMs, () => {
      arrive();
      const domain = random.nextInt(domainCount);
      const phase = (queue.nowMs() + domain * swingOffsetMs) / swingPeriodMs;
      const rate = (1 + swing * Math.sin(2 * Math.PI * phase)) / (1 + swing);
      if (random.next() >= rate) return;
      const inDomain = instances.filter((one) => one.domain === domain);
      send(inDomain[random.nextInt(inDomain.length)]!);
    });
  }

  function send({ directory, domain, random }: typeof instances[number]): void {
    callCount += 1;
    const sentAtMs = queue.nowMs();
    const chosen = chooseForCall(directory.listUsable("app"), {
      nowMs: sentAtMs,
      getDomainCost: (id) =>
        options.hasDomainCost
          ? getDefaultDomainCost(id, `d${domain}`)
          : { delayMs: 0, slots: 0 },
      triedIds: new Set(),
      random,
      isLoadAware,
      unreportedPlacementCount: 0,
      isDomainSuspected: () => false,
      hasRoom: () => true,
    });
    const upstream = upstreams.find(({ id }) => id === chosen?.info.upstreamId);
    if (!upstream) {
      lateCount += 1;
      return;
    }
    placedCounts[upstream.domain]! += 1;
    const load = directory.trackRequest(upstream.id);
    const delayMs = upstream.domain === domain ? homeDelayMs : otherDelayMs;
    queue.schedule(delayMs, () =>
      receive(upstream, (isDone) => {
        // What the upstream states when it responds.
        const report = getReport(upstream);
        queue.schedule(delayMs, () => {
          load.release();
          directory.recordLoad(upstream.id, report);
          const durationMs = queue.nowMs() - sentAtMs;
          if (!isDone || durationMs > objectiveMs) lateCount += 1;
          if (!isDone) {
            directory.recordRefusal(upstream.id);
            return;
          }
          directory.recordSuccess(upstream.id, durationMs);
          directory.recordCallDuration(upstream.id, durationMs);
        });
      }));
  }

  function receive(
    upstream: ModelUpstream,
    onEnd: (isDone: boolean) => void,
  ): void {
    if (upstream.queue.length >= maxQueueCount) {
      onEnd(false);
      return;
    }
    upstream.queue.push(() => {
      upstream.runningCount += 1;
      const ms = workMs * (0.5 + random.next()) * upstream.factor *
        upstream.slowness;
      queue.schedule(ms, () => {
        upstream.runningCount -= 1;
        startNext(upstream);
        onEnd(true);
      });
    });
    const heldCount = upstream.runningCount + upstream.queue.length;
    maxHeldCounts[upstream.domain] = Math.max(
      maxHeldCounts[upstream.domain]!,
      heldCount,
    );
    startNext(upstream);
  }

  function startNext(upstream: ModelUpstream): void {
    if (upstream.runningCount < slots) upstream.queue.shift()?.();
  }

  function getReport({ runningCount, queue: waiting, ...rest }: ModelUpstream) {
    return {
      runningCount,
      waitingCount: waiting.length,
      maxRunning: slots,
      slowness: rest.slowness * (options.statesFactor ? rest.factor : 1),
    };
  }
}

function createDirectory(
  nowMs: () => number,
  random: Random,
  upstreams: readonly ModelUpstream[],
): UpstreamDirectory {
  const directory = createUpstreamDirectory({
    clock: {
      nowMs,
      wallMs: nowMs,
      sleep: () => Promise.resolve(),
    },
    logger: createSilentLogger(),
    random,
    onUpstreamLost: () => {},
    canRouteToCandidates: () => true,
  });
  directory.update(upstreams.map(({ id, domain }) => ({
    upstreamId: id,
    service: "app",
    host: "10.0.0.1",
    port: 1 + domain,
    domainId: `d${domain}`,
    version: "v1",
    maxRunning: slots,
    isLeaving: false,
    isCold: false,
    versionShare: 1,
  })));
  return directory;
}
