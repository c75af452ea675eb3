/**
 * Draws the changes and faults of a trial from its seed: changes of the
 * configuration and of the list of upstreams, silences, crashes and limits.
 */
import type { Random } from "../../src/core/random.ts";
import {
  type ForwardingRoute,
  type ForwardingTable,
  RequestKind,
} from "../../src/forwarding/forwarding_table.ts";
import { createTestTable, engineTraits } from "../forwarding_fakes.ts";
import { Feature, TrialRoute } from "./trial_types.ts";

export type TrialChange =
  | { readonly kind: "table"; readonly table: ForwardingTable | undefined }
  | {
    readonly kind: "silence";
    /** Taken modulo the number of upstreams. */
    readonly targets: readonly number[] | "all" | "service";
    readonly target: number;
    readonly durationMs: number;
  }
  | {
    readonly kind: "crash";
    readonly target: number;
    readonly downtimeMs: number;
  }
  | { readonly kind: "limit"; readonly limitPerS: number | undefined }
  | { readonly kind: "leave"; readonly target: number }
  | { readonly kind: "remove"; readonly target: number }
  | { readonly kind: "reuse"; readonly target: number }
  | { readonly kind: "pause"; readonly durationMs: number };

export interface ScheduledChange {
  readonly atMs: number;
  readonly change: TrialChange;
}

export const trialServices = ["app", "app2", "model", "model2"];
const maxGapMs = 60;
const maxTargets = 1_000;
const droppedRatio = 0.05;
const minSilenceMs = 300;
const maxSilenceMs = 1_500;
const maxPauseMs = 250;
const minCrashMs = 100;
const maxCrashMs = 1_000;

export function drawChanges(
  random: Random,
  { durationMs, features }: {
    readonly durationMs: number;
    readonly features: ReadonlySet<Feature>;
  },
): ScheduledChange[] {
  const generators = Object.entries(generatorsByFeature).flatMap((
    [feature, generators],
  ) => features.has(feature as Feature) ? generators : []);
  if (generators.length === 0) return [];
  const changes: ScheduledChange[] = [];
  let atMs = 0;
  while (true) {
    atMs += random.nextInt(maxGapMs);
    if (atMs >= durationMs) return changes;
    const generate = generators[random.nextInt(generators.length)]!;
    changes.push({ atMs, change: generate(random) });
  }
}

const drawTarget = (random: Random) => random.nextInt(maxTargets);
const drawMs = (random: Random, minMs: number, maxMs: number) =>
  minMs + random.nextInt(maxMs - minMs);
const pick = <T>(random: Random, items: readonly T[]): T =>
  items[random.nextInt(items.length)]!;
const repeat = <T>(count: number, item: T): T[] =>
  Array.from({ length: count }, () => item);

type Generator = (random: Random) => TrialChange;

const drawSilence: Generator = (random) => ({
  kind: "silence",
  targets: pick(random, [
    "all",
    "service",
    [drawTarget(random)],
    [drawTarget(random), drawTarget(random)],
  ]),
  target: drawTarget(random),
  durationMs: drawMs(random, minSilenceMs, maxSilenceMs),
});

const drawLeave: Generator = (random) => ({
  kind: "leave",
  target: drawTarget(random),
});

/** How often an item is repeated is its weight. */
const generatorsByFeature: Partial<Record<Feature, readonly Generator[]>> = {
  [Feature.TableChanges]: repeat(
    24,
    (random) => ({ kind: "table", table: drawTable(random) }),
  ),
  [Feature.Silence]: [drawSilence],
  [Feature.Outages]: [(random) => ({
    kind: "crash",
    target: drawTarget(random),
    downtimeMs: drawMs(random, minCrashMs, maxCrashMs),
  })],
  [Feature.StatedLimits]: repeat(2, (random) => ({
    kind: "limit",
    limitPerS: random.next() < 0.6 ? undefined : random.next() * 20,
  })),
  [Feature.ListChanges]: [
    drawLeave,
    drawLeave,
    (random) => ({ kind: "remove", target: drawTarget(random) }),
    (random) => ({ kind: "reuse", target: drawTarget(random) }),
  ],
  [Feature.Pauses]: [(random) => ({
    kind: "pause",
    durationMs: random.nextInt(maxPauseMs),
  })],
};

/** The table in force at the start of a trial. */
export function createFirstTable(): ForwardingTable {
  return createTrialTable(
    Object.values(TrialRoute).map((route) => ({
      route,
      overrides: {},
    })),
  );
}

function drawTable(random: Random): ForwardingTable | undefined {
  if (random.next() < droppedRatio / 5) return undefined;
  const routes = Object.values(TrialRoute).flatMap((route) =>
    random.next() < droppedRatio
      ? []
      : [{ route, overrides: drawOverrides(random, route) }]
  );
  const table = createTrialTable(routes);
  const hasEngines = random.next() < 0.9;
  const hasCustomer = random.next() >= droppedRatio / 3;
  return {
    ...table,
    services: table.services.map((service) => ({
      ...service,
      engine: hasEngines ? service.engine : null,
    })),
    customers: hasCustomer
      ? table.customers
      : [{ customerId: "other", apiKeys: ["key-2"], priority: null }],
    limits: {
      maxHeaderBytes: pick(random, [8_192, 16_384]),
      maxBodyBytes: pick(random, [50_000, 200_000, 200_000]),
      headerTimeoutMs: pick(random, [1_000, 3_000]),
      idleTimeoutMs: pick(random, [500, 1_000, 3_000, 15_000]),
    },
  };
}

function drawOverrides(
  random: Random,
  route: TrialRoute,
): Partial<ForwardingRoute> {
  const services = isStreamRoute(route)
    ? ["model", "model2", "none"]
    : ["app", "app2", "none"];
  const weights = [3, 1, random.next() < 0.1 ? 1 : 0];
  return {
    targets: random.next() < 0.6 ? [{ service: services[0]!, weight: 1 }] : [
      ...services.map((service, index) => ({
        service,
        weight: weights[index]!,
      })),
    ],
    timeoutMs: pick(random, [1_500, 4_000, 10_000, 10_000]),
    maxAttempts: 1 + random.nextInt(5),
    priority: random.nextInt(3),
    isPublic: random.next() < 0.1,
  };
}

function isStreamRoute(route: TrialRoute): boolean {
  return route === TrialRoute.Stream || route === TrialRoute.ResumableStream;
}

function createTrialTable(
  routes: readonly {
    readonly route: TrialRoute;
    readonly overrides: Partial<ForwardingRoute>;
  }[],
): ForwardingTable {
  const base = createTestTable();
  return {
    ...base,
    routes: routes.map(({ route, overrides }) => ({
      ...base.routes[0]!,
      name: route,
      pathPrefix: `/${isStreamRoute(route) ? "stream" : "call"}-${route}/`,
      kind: isStreamRoute(route)
        ? RequestKind.Streaming
        : route === TrialRoute.Unsafe
        ? RequestKind.Unsafe
        : RequestKind.Safe,
      isResumable: route === TrialRoute.ResumableStream,
      timeoutMs: 10_000,
      targets: [{
        service: isStreamRoute(route) ? "model" : "app",
        weight: 1,
      }],
      ...overrides,
    })),
    services: [...trialServices, "none"].map((name) => ({
      ...base.services[0]!,
      name,
      engine: name.startsWith("model") ? engineTraits : null,
    })),
    limits: { ...base.limits, maxBodyBytes: 200_000 },
  };
}
