/**
 * Replays calls of three failure domains with one small upstream each against
 * the choice of the upstream, without a network. Instances know of the queues of
 * upstreams only what responses report.
 */
import { createRandom } from "../src/core/random.ts";
import type { ReportedLoad } from "../src/forwarding/forwarding_protocol.ts";
import { createDomainTraffic } from "../src/forwarding/domain_traffic.ts";
import { chooseForCall } from "../src/forwarding/placement.ts";
import {
  unknownSpeed,
  type Upstream,
} from "../src/forwarding/upstream_types.ts";

export interface CallReplay {
  readonly seed: number;
  readonly durationMs: number;
  /** False replays the constant cost. */
  readonly isLoadAware: boolean;
  getDemandPerS(domain: number, nowMs: number): number;
  /** Time of calls in the domain, relative to the usual time. */
  getSlowness(domain: number, nowMs: number): number;
}

export interface CallReplayResult {
  readonly callCount: number;
  /** Late calls, and those that found the queue full. */
  readonly lateCount: number;
  /** Calls that ran in another domain; each costs the same bytes. */
  readonly crossedCount: number;
}

interface Call {
  readonly instance: number;
  readonly arrivedAtMs: number;
}

interface Server {
  readonly waiting: Call[];
  running: { readonly call: Call; readonly endsAtMs: number }[];
}

const domainCount = 3;
const instancesPerDomain = 8;
const slots = 6;
const maxWaiting = 24;
const callMs = 43;
const objectiveMs = 200;
const exchangeIntervalMs = 500;

export function replayCalls(replay: CallReplay): CallReplayResult {
  /** Arrivals do not depend on the choices, so that replays compare. */
  const arrivals = createRandom(replay.seed);
  const random = createRandom(replay.seed + 1_000_003);
  const servers: Server[] = Array.from(
    { length: domainCount },
    () => ({ waiting: [], running: [] }),
  );
  let nowMs = 0;
  const counter = { add: () => {} };
  const instances = Array.from(
    { length: domainCount * instancesPerDomain },
    (_, instance) => ({
      reported: new Map<number, { load: ReportedLoad; atMs: number }>(),
      inFlight: Array.from({ length: domainCount }, () => 0),
      traffic: createDomainTraffic({
        clock: { nowMs: () => nowMs },
        random,
        logger: { log: () => {} },
        domainId: `${instance % domainCount}`,
        prices: { roundTripMs: 0, priceMsPerMs: 1, priceMsPerMegabyte: 0 },
        attempts: counter,
        bytes: counter,
        listUsable: () => listUpstreams(instance),
        isLoadAware: () => replay.isLoadAware,
        isDomainSuspected: () => false,
        getObjectives: () => ({ firstEventMs: undefined, callMs: objectiveMs }),
        getTimes: ({ info }) => ({
          callMs: callMs * replay.getSlowness(Number(info.domainId), nowMs),
        }),
      }),
    }),
  );
  const result = { callCount: 0, lateCount: 0, crossedCount: 0 };
  for (; nowMs < replay.durationMs; nowMs++) {
    if (nowMs % exchangeIntervalMs === 0) exchange();
    for (const [domain, server] of servers.entries()) run(domain, server);
    for (let domain = 0; domain < domainCount; domain++) {
      if (arrivals.next() * 1_000 >= replay.getDemandPerS(domain, nowMs)) {
        continue;
      }
      send(domain + domainCount * arrivals.nextInt(instancesPerDomain));
    }
  }
  return result;

  function send(instance: number): void {
    const { traffic, inFlight } = instances[instance]!;
    traffic.recordRequest("s");
    const chosen = chooseForCall(listUpstreams(instance), {
      nowMs,
      getDomainCost: traffic.drawCosts("s"),
      triedIds: new Set(),
      random,
      isLoadAware: true,
      unreportedPlacementCount: 0,
      isDomainSuspected: () => false,
      hasRoom: () => true,
    })!;
    const domain = Number(chosen.info.domainId);
    const { waiting } = servers[domain]!;
    result.callCount += 1;
    if (domain !== instance % domainCount) result.crossedCount += 1;
    if (waiting.length >= maxWaiting) {
      result.lateCount += 1;
      return;
    }
    inFlight[domain]! += 1;
    waiting.push({ instance, arrivedAtMs: nowMs });
  }

  function run(domain: number, server: Server): void {
    const ended = server.running.filter(({ endsAtMs }) => endsAtMs <= nowMs);
    server.running = server.running.filter(({ endsAtMs }) => endsAtMs > nowMs);
    while (server.running.length < slots && server.waiting.length > 0) {
      server.running.push({
        call: server.waiting.shift()!,
        endsAtMs: nowMs + callMs * replay.getSlowness(domain, nowMs),
      });
    }
    for (const { call } of ended) {
      if (nowMs - call.arrivedAtMs > objectiveMs) result.lateCount += 1;
      const { inFlight, reported } = instances[call.instance]!;
      inFlight[domain]! -= 1;
      const load = {
        runningCount: server.running.length,
        waitingCount: server.waiting.length,
        maxRunning: slots,
        slowness: undefined,
      };
      reported.set(domain, { load, atMs: nowMs });
    }
  }

  function exchange(): void {
    const demands = instances.map(({ traffic }) => traffic.getDemands());
    for (const [receiver, { traffic }] of instances.entries()) {
      const sums = new Map<string, number>();
      for (const [sender, entries] of demands.entries()) {
        if (sender === receiver) continue;
        for (const [, id, perS] of entries) {
          sums.set(id, (sums.get(id) ?? 0) + perS);
        }
      }
      traffic.setRemoteDemands(
        [...sums].map(([id, perS]) => ["s", id, perS, 0] as const),
      );
    }
  }

  function listUpstreams(instance: number): Upstream[] {
    const { reported, inFlight } = instances[instance]!;
    return servers.map((_, domain) => ({
      info: {
        upstreamId: `u${domain}`,
        service: "s",
        host: "h",
        port: 1,
        domainId: `${domain}`,
        version: "v1",
        maxRunning: slots,
        isLeaving: false,
        isCold: false,
        versionShare: 1,
      },
      inFlightCount: inFlight[domain]!,
      memoryTokens: 0,
      unreadTokens: 0,
      reported: reported.get(domain),
      speed: unknownSpeed,
      others: { runningCount: 0, unreadTokens: 0, memoryTokens: 0 },
      failureRatio: 0,
      suspendedUntilMs: -Infinity,
      waitsUntilMs: -Infinity,
      lostAtMs: -Infinity,
      lastActivityAtMs: -Infinity,
    }));
  }
}
