/**
 * Replays load on instances whose event loop works off a backlog, without a
 * network. Guards against an instance that keeps requests which it can't carry
 * in time, and against refusals that help nobody.
 */
import fc from "fast-check";
import { expect, test } from "vitest";
import type { InstanceFigures } from "../core/instance_figures.ts";
import { createRandom } from "../core/random.ts";
import { CallerStanding } from "./call_returns.ts";
import {
  applyFigures,
  createOverloadState,
  decideAdmission,
  figuresIntervalMs,
  getNeedMs,
  getOverloadRetryAfterMs,
  type OverloadLimits,
  type OverloadState,
} from "./overload_decisions.ts";

const limits: OverloadLimits = {
  objectiveRatio: 0.5,
  maxRefusedRatio: 0.5,
  maxHeapRatio: 0.85,
  maxHeldRatio: 0.75,
  linkBytesPerS: 875_000,
};
const calm: InstanceFigures = {
  eventLoopDelayMs: 1,
  heapUsedBytes: 30e6,
  heapLimitBytes: 100e6,
  heldBytes: 1e6,
  heldLimitBytes: 40e6,
  unsentBytes: 0,
  sentBytesPerS: 400_000,
  processorUse: 0.2,
};
const route = { objectiveMs: 200, maxEventGapMs: null };
const objectiveMs = 200;
const deadlineMs = 1_200;
/** Time of a call at its upstream. */
const upstreamMs = 43;
const tickMs = 10;
/** Work of an instance of usual speed on a call, and on a refusal. */
const callMs = 4;
const refusalMs = 1;

interface ReplayOptions {
  readonly speeds: readonly number[];
  /** Calls of all callers per second. */
  readonly getRatePerS: (atMs: number) => number;
  readonly isOn?: boolean;
  readonly seed?: number;
  readonly durationMs?: number;
}

interface Replay {
  readonly onTimeRatio: number;
  readonly instances: readonly {
    readonly arrivals: number[];
    readonly refusals: number[];
    /** Refusals while the instance could carry the request in time. */
    readonly needlessCount: number;
  }[];
}

/** Callers of two priorities; one that is refused returns once, elsewhere. */
function replay(
  { speeds, getRatePerS, isOn = true, seed = 1, durationMs = 20_000 }:
    ReplayOptions,
): Replay {
  const random = createRandom(seed);
  const instances = speeds.map((speed) => ({
    speed,
    backlogMs: 0,
    state: createOverloadState(),
    arrivals: [0, 0],
    refusals: [0, 0],
    shortAtMs: -Infinity,
    needlessCount: 0,
  }));
  interface Call {
    readonly priority: number;
    readonly arrivedAtMs: number;
    readonly refusedBy: number | undefined;
  }
  const due = new Map<number, Call[]>();
  let callCount = 0;
  let onTimeCount = 0;
  for (let atMs = 0; atMs < durationMs; atMs += tickMs) {
    const calls = due.get(atMs) ?? [];
    due.delete(atMs);
    let expected = getRatePerS(atMs) * tickMs / 1_000;
    for (; expected > random.next(); expected -= 1) {
      const priority = random.nextInt(2);
      calls.push({ priority, arrivedAtMs: atMs, refusedBy: undefined });
      callCount += 1;
    }
    for (const call of calls) arrive(call, atMs);
    for (const instance of instances) {
      if (isOn && atMs % figuresIntervalMs === 0) {
        const eventLoopDelayMs = instance.backlogMs;
        const figures = { ...calm, eventLoopDelayMs, processorUse: 0.9 };
        instance.state = applyFigures(
          instance.state,
          {
            figures,
            hasPaused: eventLoopDelayMs > figuresIntervalMs,
          },
          limits,
          atMs,
        );
      }
      if (2 * instance.backlogMs > limits.objectiveRatio * objectiveMs) {
        instance.shortAtMs = atMs;
      }
      instance.backlogMs = Math.max(0, instance.backlogMs - tickMs);
    }
  }
  return { onTimeRatio: onTimeCount / callCount, instances };

  function arrive(call: Call, atMs: number): void {
    let index = random.nextInt(instances.length);
    if (index === call.refusedBy) index = (index + 1) % instances.length;
    const instance = instances[index]!;
    const { priority } = call;
    instance.arrivals[priority]! += 1;
    const remainingMs = call.arrivedAtMs + deadlineMs - atMs;
    const decision = decideAdmission(
      instance.state,
      {
        priority,
        needMs: getNeedMs(route, limits),
        remainingMs,
        standing: CallerStanding.New,
        draw: random.next(),
      },
      limits,
      atMs,
    );
    instance.state = decision.state;
    const workMs = decision.refusal === undefined ? callMs : refusalMs;
    instance.backlogMs += workMs / instance.speed;
    if (decision.refusal === undefined) {
      // The backlog is passed once by the request and once by the response.
      const endsAtMs = atMs + 2 * instance.backlogMs + upstreamMs;
      if (endsAtMs - call.arrivedAtMs <= objectiveMs) onTimeCount += 1;
      return;
    }
    instance.refusals[priority]! += 1;
    // The figures are one interval old at most.
    const isShort = atMs - instance.shortAtMs <= figuresIntervalMs;
    if (!isShort) instance.needlessCount += 1;
    if (call.refusedBy !== undefined) return;
    const retryAfterMs = getOverloadRetryAfterMs({
      objectiveMs,
      remainingMs,
      random,
    });
    const returnAtMs = Math.ceil((atMs + retryAfterMs) / tickMs) * tickMs;
    const returned = due.get(returnAtMs) ?? [];
    due.set(returnAtMs, [...returned, { ...call, refusedBy: index }]);
  }
}

function sum(counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}

test.each([1, 2, 3])(
  "a slow instance beside fast ones passes callers on, the least urgent first (seed %d)",
  (seed) => {
    const options = {
      speeds: [0.3, 1, 1, 1, 1, 1, 1, 1],
      getRatePerS: () => 8 * 100,
      seed,
    };
    const on = replay(options);
    const off = replay({ ...options, isOn: false });
    // A fast instance is 0.4 busy, the slow one would be 1.33.
    expect(on.onTimeRatio).toBeGreaterThan(off.onTimeRatio + 0.05);
    const [slow, ...fast] = on.instances;
    expect(slow!.needlessCount).toBe(0);
    for (const { refusals } of fast) expect(sum(refusals)).toBe(0);
    const [urgent, other] = slow!.refusals.map((count, priority) =>
      count / slow!.arrivals[priority]!
    );
    expect(other).toBeGreaterThan(urgent! + 0.2);
  },
);

test.each([1, 2, 3])(
  "a burst that the instances carry in time causes no refusal (seed %d)",
  (seed) => {
    const isBurst = (atMs: number) => atMs >= 5_000 && atMs < 10_200;
    const { instances, onTimeRatio } = replay({
      speeds: [1, 1, 1, 1],
      getRatePerS: (atMs) => 4 * 80 * (isBurst(atMs) ? 2.3 : 1),
      seed,
    });
    expect(instances.map(({ refusals }) => sum(refusals)))
      .toEqual([0, 0, 0, 0]);
    expect(onTimeRatio).toBe(1);
  },
);

test("refusals end with the shortage that a burst has caused", () => {
  const { instances } = replay({
    speeds: [1, 1, 1, 1],
    getRatePerS: (atMs) => 4 * 150 * (atMs >= 5_000 && atMs < 10_200 ? 2.3 : 1),
  });
  for (const { refusals, needlessCount } of instances) {
    expect(sum(refusals)).toBeGreaterThan(0);
    expect(needlessCount).toBe(0);
  }
});

test.each([1, 2, 3])(
  "instances that are all overloaded serve half of all and a quarter of each kind (seed %d)",
  (seed) => {
    const { instances } = replay({
      speeds: [1, 1, 1, 1],
      getRatePerS: () => 4 * 900,
      seed,
      durationMs: 15_000,
    });
    for (const { arrivals, refusals } of instances) {
      const refusedRatio = sum(refusals) / sum(arrivals);
      expect(refusedRatio).toBeGreaterThan(0.3);
      expect(sum(refusals)).toBeLessThanOrEqual(0.5 * sum(arrivals) + 5);
      for (const priority of [0, 1]) {
        const served = 1 - refusals[priority]! / arrivals[priority]!;
        expect(served).toBeGreaterThan((1 - refusedRatio) / 4);
      }
    }
  },
);

const arrivalsPerInterval = 4;

/** Applies the figures, one in each interval, with arrivals after each. */
function repeatFigures(
  list: readonly Partial<InstanceFigures>[],
  hasPaused = false,
  initial = createOverloadState(),
): { state: OverloadState; refusedCount: number; ratios: number[] } {
  let state = initial;
  let refusedCount = 0;
  const ratios: number[] = [];
  for (const [index, changes] of list.entries()) {
    const nowMs = index * figuresIntervalMs;
    const figures = { ...calm, ...changes };
    state = applyFigures(state, { figures, hasPaused }, limits, nowMs);
    ratios.push(state.refusedRatio);
    for (let count = 0; count < arrivalsPerInterval; count++) {
      const decision = decideAdmission(
        state,
        {
          priority: 1,
          needMs: getNeedMs(route, limits),
          remainingMs: deadlineMs,
          standing: CallerStanding.New,
          draw: 0,
        },
        limits,
        nowMs,
      );
      state = decision.state;
      if (decision.refusal !== undefined) refusedCount += 1;
    }
  }
  return { state, refusedCount, ratios };
}

const many = (figures: Partial<InstanceFigures>, count = 20) =>
  Array.from({ length: count }, () => figures);

test.each<[string, Partial<InstanceFigures>]>([
  ["processor", { eventLoopDelayMs: 100, processorUse: 0.24 }],
  ["heap", { heapUsedBytes: 95e6 }],
  ["held", { heldBytes: 35e6 }],
  ["link", { unsentBytes: 200_000, sentBytesPerS: 800_000 }],
])(
  "a shortage of %s refuses requests, up to the bound",
  (shortage, figures) => {
    const { state, refusedCount } = repeatFigures(many(figures));
    expect(state.shortage).toBe(shortage);
    expect(refusedCount).toBeGreaterThan(0);
    // The bound holds even if each draw is against the request.
    expect(refusedCount).toBeLessThanOrEqual(
      0.5 * 20 * arrivalsPerInterval + 5,
    );
  },
);

test.each<[string, Partial<InstanceFigures>[]]>([
  ["one long turn", [{}, { eventLoopDelayMs: 240 }, {}, {}]],
  [
    "slow readers at an idle link",
    many({ unsentBytes: 12e6, sentBytesPerS: 1 }),
  ],
  ["a full link without a backlog", many({ sentBytesPerS: 875_000 })],
])("%s causes no refusal", (_name, figures) => {
  expect(repeatFigures(figures).refusedCount).toBe(0);
});

test("a frozen process refuses nothing, neither at once nor later", () => {
  const frozen = { eventLoopDelayMs: 3_000, processorUse: 0.01 };
  const { state, refusedCount } = repeatFigures(many(frozen, 4), true);
  expect(refusedCount).toBe(0);
  // It works off what arrived in the pause.
  const backlog = many({ eventLoopDelayMs: 150, processorUse: 1 }, 3);
  expect(repeatFigures(backlog, false, state).refusedCount).toBe(0);
});

test("long turns of a busy process are no pause", () => {
  const busy = { eventLoopDelayMs: 800, processorUse: 0.95 };
  expect(repeatFigures(many(busy), true).refusedCount).toBeGreaterThan(0);
});

test("figures that are missing or absurd cause no refusal", () => {
  const absurd = fc.constantFrom(
    undefined,
    NaN,
    Infinity,
    -Infinity,
    -1,
    1e300,
  );
  fc.assert(fc.property(
    fc.array(
      fc.record({
        eventLoopDelayMs: absurd,
        heapUsedBytes: absurd,
        heapLimitBytes: fc.constantFrom(undefined, NaN, 0, -1, 1e300),
        heldBytes: absurd,
        heldLimitBytes: fc.constantFrom(undefined, NaN, 0, -1, 1e300),
        unsentBytes: absurd,
        sentBytesPerS: absurd,
        processorUse: absurd,
      }),
      { minLength: 10, maxLength: 10 },
    ),
    (figures) => repeatFigures(figures).refusedCount === 0,
  ));
  // Figures that stop while requests are refused state nothing after a while.
  const { state } = repeatFigures(many({ eventLoopDelayMs: 100 }));
  expect(state.refusedRatio).toBeGreaterThan(0);
  const later = decideAdmission(
    { ...state, allowance: 5 },
    {
      priority: 1,
      needMs: getNeedMs(route, limits),
      remainingMs: deadlineMs,
      standing: CallerStanding.New,
      draw: 0,
    },
    limits,
    60_000,
  );
  expect(later.refusal).toBeUndefined();
});

test("figures around the limit don't start and stop refusals", () => {
  const start = many({ eventLoopDelayMs: 100 }, 6);
  const around = Array.from(
    { length: 40 },
    (_, index) => ({ eventLoopDelayMs: index % 4 < 2 ? 54 : 46 }),
  );
  const { ratios } = repeatFigures([...start, ...around]);
  const starts = ratios.filter((ratio, index) =>
    ratio > 0 && (ratios[index - 1] ?? 0) === 0
  );
  expect(starts).toHaveLength(1);
});

test("callers that return as told go before new ones, impatient ones don't", () => {
  const { state } = repeatFigures(many({ eventLoopDelayMs: 100 }));
  const decide = (standing: CallerStanding, draw: number) =>
    decideAdmission(
      { ...state, allowance: 2 },
      {
        priority: 1,
        needMs: getNeedMs(route, limits),
        remainingMs: deadlineMs,
        standing,
        draw,
      },
      limits,
      20 * figuresIntervalMs,
    ).refusal;
  expect(decide(CallerStanding.ReturnedAsTold, 0)).toBeUndefined();
  expect(decide(CallerStanding.New, 0.9)).toBeUndefined();
  expect(decide(CallerStanding.ReturnedEarly, 0.9)).toBe("processor");
});
