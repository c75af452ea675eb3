import { expect, test } from "vitest";
import { engineTraits } from "../../measure/forwarding_fakes.ts";
import { createRandom } from "../core/random.ts";
import {
  chooseForCall,
  chooseForCopy,
  chooseForStream,
  getDefaultDomainCost,
  type PlacementContext,
} from "./placement.ts";
import { unknownSpeed, type Upstream } from "./upstream_types.ts";

function createUpstream(
  upstreamId: string,
  domainId: string,
  change: Partial<Upstream> = {},
): Upstream {
  return {
    info: {
      upstreamId,
      service: "service",
      host: "10.0.0.1",
      port: 1,
      domainId,
      version: "v1",
      maxRunning: 6,
      isLeaving: false,
      isCold: false,
      versionShare: 1,
    },
    inFlightCount: 0,
    memoryTokens: 0,
    unreadTokens: 0,
    reported: undefined,
    speed: unknownSpeed,
    others: { runningCount: 0, unreadTokens: 0, memoryTokens: 0 },
    failureRatio: 0,
    suspendedUntilMs: -Infinity,
    waitsUntilMs: -Infinity,
    lostAtMs: -Infinity,
    lastActivityAtMs: -Infinity,
    ...change,
  };
}

const context: PlacementContext = {
  nowMs: 1_000,
  getDomainCost: (domainId) => getDefaultDomainCost(domainId, "a"),
  triedIds: new Set(),
  random: createRandom(1),
  unreportedPlacementCount: 0,
  isLoadAware: false,
  isDomainSuspected: () => false,
  hasRoom: () => true,
};
const demand = {
  traits: engineTraits,
  prefillTokens: 8_000,
  totalTokens: 9_500,
};

function chooseStreams(
  upstreams: readonly Upstream[],
  change: Partial<PlacementContext> = {},
): Set<string | undefined> {
  const chosen = new Set<string | undefined>();
  // One generator for all choices: its first number hardly depends on the seed.
  const random = createRandom(1);
  for (let choice = 1; choice <= 30; choice++) {
    const engine = chooseForStream(upstreams, demand, {
      ...context,
      random,
      ...change,
    });
    chosen.add(engine?.info.upstreamId);
  }
  return chosen;
}

test("a stream is placed at an idle engine of the same domain", () => {
  const chosen = chooseStreams([
    createUpstream("a1", "a", { inFlightCount: 1 }),
    createUpstream("a2", "a"),
    createUpstream("b1", "b"),
  ]);
  expect([...chosen]).toEqual(["a2"]);
});

// Guards against overloading one engine when three entry instances of a domain
// place prompts within a second: each knows the loads of the others only
// through control.
test("the load of other entry instances counts like that of this instance", () => {
  const chosen = chooseStreams([
    createUpstream("a1", "a", {
      others: { runningCount: 2, unreadTokens: 10_000, memoryTokens: 18_000 },
    }),
    createUpstream("a2", "a"),
  ]);
  expect([...chosen]).toEqual(["a2"]);
});

test("a stream is placed in another domain if its own is busy", () => {
  const busy = { inFlightCount: 3, unreadTokens: 16_000 };
  const chosen = chooseStreams([
    createUpstream("a1", "a", busy),
    createUpstream("b1", "b"),
  ]);
  expect([...chosen]).toEqual(["b1"]);
});

test("an engine without capacity for a stream is chosen last", () => {
  const chosen = chooseStreams([
    createUpstream("a1", "a", { memoryTokens: 80_000 }),
    createUpstream("b1", "b", { inFlightCount: 4, unreadTokens: 30_000 }),
  ]);
  expect([...chosen]).toEqual(["b1"]);
});

// Guards against a thundering herd when nine tenths of a domain's engines crash
// and the streams of its entry instances all need another engine at once.
test("streams of a crashed domain spread over the engines of other domains", () => {
  const upstreams = [
    createUpstream("a1", "a"),
    ...["b1", "b2", "c1", "c2"].map((id) => createUpstream(id, id[0]!)),
  ];
  const chosen = chooseStreams(upstreams, {
    isDomainSuspected: (domainId) => domainId === "a",
  });
  expect([...chosen].sort()).toEqual(["b1", "b2", "c1", "c2"]);
});

test("a suspected domain is used if there is no other", () => {
  const chosen = chooseStreams([createUpstream("a1", "a")], {
    isDomainSuspected: () => true,
  });
  expect([...chosen]).toEqual(["a1"]);
});

test("tried and suspended engines are not chosen", () => {
  const upstreams = [
    createUpstream("a1", "a", { suspendedUntilMs: 2_000 }),
    createUpstream("a2", "a"),
  ];
  expect([...chooseStreams(upstreams)]).toEqual(["a2"]);
  expect([...chooseStreams(upstreams, { triedIds: new Set(["a2"]) })])
    .toEqual([undefined]);
});

test("a copy is placed in another domain, at an engine with few tokens", () => {
  const running = createUpstream("a1", "a");
  const upstreams = [
    running,
    createUpstream("a2", "a"),
    createUpstream("b1", "b", { memoryTokens: 40_000 }),
    createUpstream("c1", "c"),
  ];
  expect(chooseForCopy(upstreams, running, demand, context)?.info.upstreamId)
    .toBe("c1");
  expect(chooseForCopy(upstreams.slice(0, 2), running, demand, context))
    .toBeUndefined();
});

test("a call is placed at the upstream with the lowest ratio of used slots", () => {
  const reported = {
    load: {
      runningCount: 6,
      waitingCount: 4,
      maxRunning: 6,
      slowness: undefined,
    },
    atMs: 990,
  };
  const upstreams = [
    createUpstream("a1", "a", { reported }),
    createUpstream("b1", "b", { inFlightCount: 1 }),
  ];
  expect(chooseForCall(upstreams, context)?.info.upstreamId).toBe("b1");
  const failing = [
    createUpstream("a1", "a", { failureRatio: 0.4 }),
    createUpstream("b1", "b", { inFlightCount: 1 }),
  ];
  expect(chooseForCall(failing, context)?.info.upstreamId).toBe("b1");
});
