/**
 * Guards against a thundering herd: the entry instances of one failure domain
 * place eight streams a second on engines whose loads they know with a delay of
 * about a second (a deployment of 90 machines under low load). All instances
 * saw the same few idle engines and placed their streams there.
 */
import { expect, test } from "vitest";
import { engineTraits } from "../../measure/forwarding_fakes.ts";
import { createRandom } from "../core/random.ts";
import { chooseForStream, getDefaultDomainCost } from "./placement.ts";
import { unknownSpeed, type Upstream } from "./upstream_types.ts";

interface Engine {
  readonly upstreamId: string;
  /** Time at which all prompts are prefilled, one after the other. */
  prefilledUntilMs: number;
  streams: { readonly prefilledAtMs: number; readonly endMs: number }[];
}

const engineCount = 34;
const entryCount = 28;
const streamsPerS = 8;
const prefillMs = 1_000;
const generateMs = 5_500;
const loadSummaryAgeMs = 750;
const durationMs = 60_000;

/** Simulates placements; returns the 90th percentile of first-event times. */
function simulate(
  unreportedPlacementCount: number,
  seed: number,
  isLoadAware = false,
): number {
  const random = createRandom(seed);
  const engines: Engine[] = Array.from({ length: engineCount }, (_, index) => ({
    upstreamId: `e${index}`,
    prefilledUntilMs: 0,
    streams: [],
  }));
  const snapshots: { readonly atMs: number; readonly loads: Upstream[] }[] = [];
  const firstEventMs: number[] = [];
  for (let nowMs = 0; nowMs < durationMs; nowMs += 1_000 / streamsPerS) {
    if (nowMs % 250 === 0) {
      snapshots.push({ atMs: nowMs, loads: snapshot(nowMs) });
    }
    const known = snapshots.findLast(({ atMs }) =>
      atMs <= nowMs - loadSummaryAgeMs
    );
    const engine = choose(known?.loads ?? snapshot(-1), nowMs);
    const prefillFromMs = Math.max(nowMs, engine.prefilledUntilMs);
    engine.prefilledUntilMs = prefillFromMs + prefillMs;
    engine.streams.push({
      prefilledAtMs: engine.prefilledUntilMs,
      endMs: engine.prefilledUntilMs + generateMs,
    });
    firstEventMs.push(engine.prefilledUntilMs - nowMs);
  }
  firstEventMs.sort((left, right) => left - right);
  return firstEventMs[Math.floor(firstEventMs.length * 0.9)]!;

  function snapshot(atMs: number): Upstream[] {
    return engines.map(({ upstreamId, streams }) => {
      const open = streams.filter(({ endMs }) => endMs > atMs);
      const unread = open.filter(({ prefilledAtMs }) =>
        prefilledAtMs > atMs
      ).length;
      return {
        info: {
          upstreamId,
          service: "s",
          host: "h",
          port: 1,
          domainId: "a",
          version: "v1",
          maxRunning: 12,
          isLeaving: false,
          isCold: false,
          versionShare: 1,
        },
        inFlightCount: 0,
        memoryTokens: 0,
        unreadTokens: 0,
        reported: undefined,
        speed: unknownSpeed,
        others: {
          runningCount: open.length,
          unreadTokens: unread * 8_000,
          memoryTokens: open.length * 9_500,
        },
        failureRatio: 0,
        suspendedUntilMs: -Infinity,
        waitsUntilMs: -Infinity,
        lostAtMs: -Infinity,
        lastActivityAtMs: -Infinity,
      };
    });
  }

  function choose(loads: Upstream[], nowMs: number): Engine {
    const chosen = chooseForStream(loads, {
      traits: engineTraits,
      prefillTokens: 8_000,
      totalTokens: 9_500,
    }, {
      nowMs,
      getDomainCost: (domainId) => getDefaultDomainCost(domainId, "a"),
      triedIds: new Set(),
      random,
      unreportedPlacementCount,
      isLoadAware,
      isDomainSuspected: () => false,
      hasRoom: () => true,
    })!;
    return engines.find(({ upstreamId }) =>
      upstreamId === chosen.info.upstreamId
    )!;
  }
}

test.each([false, true])(
  "instances with the same outdated loads do not choose the same engine (load-aware: %s)",
  (isLoadAware) => {
    const perInstance = streamsPerS / entryCount;
    const unreportedCount = perInstance * (loadSummaryAgeMs / 1_000) *
      (entryCount - 1);
    for (const seed of [1, 2, 3]) {
      const herdMs = simulate(0, seed, isLoadAware);
      const spreadMs = simulate(unreportedCount, seed, isLoadAware);
      expect(spreadMs).toBeLessThan(herdMs * 0.8);
      expect(spreadMs).toBeLessThan(2_500);
    }
  },
);
