/**
 * Replays the crests of demand of a small service: 78 instances send calls to 3
 * upstreams with 6 slots and a queue of 24, whose loads they learn only from the
 * responses to their own calls. At the crests the calls were late in waves, and
 * upstreams with a full queue refused them.
 */
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createSilentLogger } from "../core/logger.ts";
import { createMetricsRegistry } from "../core/metrics_registry.ts";
import { createRandom } from "../core/random.ts";
import { createLimitQueue } from "../limits/limit_queue.ts";
import { createCallQueue, type QueuedCall } from "./call_queue.ts";
import { createForwardingMetrics } from "./forwarding_metrics.ts";
import { chooseForCall, listReachable } from "./placement.ts";
import { getRetryAfterMs } from "./retry_after.ts";
import { unknownSpeed, type Upstream } from "./upstream_types.ts";

interface Scenario {
  readonly isScheduled: boolean;
  /** Lowest and highest demand, in parts of the capacity. */
  readonly demand: readonly [number, number];
  readonly lostAtMs?: number;
  /** Part of the callers that repeat a refused call three times at once. */
  readonly impatientRatio?: number;
  readonly seed: number;
}

const factors = [0.7, 0.7, 1.7];
const workMs = 43;
const slots = 6;
const maxQueued = 24;
const instanceCount = 78;
const linkMs = 3;
const durationMs = 17_000;
const timeoutMs = 2_500;
/** 15 in 100 upstreams are 2.5 times slower, drawn again every 600 ms. */
const meanSlowness = 1 + 0.15 * 1.5;
const capacityPerMs = factors.reduce(
  (sum, factor) => sum + slots / (workMs * factor * meanSlowness),
  0,
);

beforeEach(() => {
  vi.useFakeTimers({ now: 0 });
});
afterEach(() => {
  vi.useRealTimers();
});

type Mutable<T> = { -readonly [K in keyof T]: T[K] };
interface Job {
  run(): void;
}

function replay(scenario: Scenario) {
  const { isScheduled, seed, impatientRatio = 0, lostAtMs } = scenario;
  vi.clearAllTimers();
  vi.setSystemTime(0);
  // Both ways of sending get the same arrivals and the same slow machines.
  const random = createRandom(seed);
  const arrivalRandom = createRandom(seed + 100);
  const machineRandom = createRandom(seed + 200);
  const nowMs = () => Date.now();
  const counts = {
    calls: 0,
    late: 0,
    refused: 0,
    patientRefused: 0,
    waited: 0,
  };
  const machines = factors.map((factor) => ({
    factor,
    slowness: 1,
    isLost: false,
    running: 0,
    queue: [] as Job[],
  }));
  const redraw = () => {
    for (const machine of machines) {
      machine.slowness = machineRandom.next() < 0.15 ? 2.5 : 1;
    }
  };
  redraw();
  const timer = setInterval(redraw, 600);
  if (lostAtMs !== undefined) {
    setTimeout(() => machines[0]!.isLost = true, lostAtMs);
  }
  const instances = Array.from({ length: instanceCount }, createInstance);
  const [low, high] = scenario.demand;
  scheduleArrival();
  vi.advanceTimersByTime(durationMs + 2 * timeoutMs);
  clearInterval(timer);
  return counts;

  function scheduleArrival(): void {
    const swing = (1 - Math.cos(nowMs() / 17_000 * 2 * Math.PI)) / 2;
    const ratePerMs = capacityPerMs * (low + (high - low) * swing);
    if (nowMs() >= durationMs) return;
    setTimeout(arrive, -Math.log(1 - arrivalRandom.next()) / ratePerMs);
  }

  function arrive(): void {
    scheduleArrival();
    counts.calls += 1;
    const arrivedAtMs = nowMs();
    const objectiveMs = arrivalRandom.next() < 0.71 ? 200 : 150;
    const isImpatient = arrivalRandom.next() < impatientRatio;
    const id = String(counts.calls);
    let repeats = isImpatient ? 3 : 1;
    submit();

    function submit(): void {
      const call: QueuedCall = {
        requestId: id,
        service: "app",
        customerId: `customer-${counts.calls % 5}`,
        priority: 1,
        objectiveAtMs: nowMs() + objectiveMs,
        deadlineAtMs: arrivedAtMs + timeoutMs,
        getCallerKey: () => id,
      };
      const instance = instances[random.nextInt(instanceCount)]!;
      instance.submit(call, () => {
        if (nowMs() - arrivedAtMs > objectiveMs) counts.late += 1;
      }, handleRefusal);
    }

    function handleRefusal(retryAfterMs: number): void {
      const remainingMs = arrivedAtMs + timeoutMs - nowMs();
      if (repeats-- === 0 || remainingMs <= 0) {
        counts.refused += 1;
        if (!isImpatient) counts.patientRefused += 1;
        return;
      }
      const delayMs = Math.min(retryAfterMs, remainingMs / 3);
      setTimeout(submit, isImpatient ? 1 : delayMs);
    }
  }

  function createInstance() {
    const upstreams = factors.map((factor, index): Mutable<Upstream> => ({
      info: {
        upstreamId: `u${index}`,
        service: "app",
        host: "h",
        port: 1,
        domainId: "a",
        version: "v1",
        maxRunning: slots,
        isLeaving: false,
        isCold: false,
        versionShare: 1,
      },
      inFlightCount: 0,
      memoryTokens: 0,
      unreadTokens: 0,
      reported: undefined,
      speed: {
        ...unknownSpeed,
        callMs: workMs * factor * meanSlowness,
        callFactor: factor,
        meanSlowness,
      },
      others: { runningCount: 0, unreadTokens: 0, memoryTokens: 0 },
      failureRatio: 0,
      suspendedUntilMs: -Infinity,
      waitsUntilMs: -Infinity,
      lostAtMs: -Infinity,
      lastActivityAtMs: -Infinity,
    }));
    const queue = createCallQueue({
      clock: { nowMs },
      random,
      logger: createSilentLogger(),
      limitQueue: createLimitQueue({
        clock: { nowMs },
        listUpstreamIds: () => ["u0"],
        getRatePerS: () => undefined,
      }),
      directory: { listUsable: () => upstreams },
      demand: { getShare: () => 1 / instanceCount },
      metrics: createForwardingMetrics(createMetricsRegistry()),
    });
    return { submit };

    function submit(
      call: QueuedCall,
      answer: () => void,
      refuse: (retryAfterMs: number) => void,
    ): void {
      const tried = new Set<string>();
      let refusalCount = 0;
      schedule();

      function schedule(): void {
        const addedAtMs = nowMs();
        if (!isScheduled) {
          if (!send(upstreams)) fail();
          return;
        }
        tried.clear();
        queue.add(call, {
          send: (candidates) => {
            if (nowMs() > addedAtMs) counts.waited += 1;
            return send(candidates);
          },
          refuse: fail,
        });
      }

      function fail(): void {
        refuse(
          isScheduled ? queue.getReturnDelayMs(call, 0) : getRetryAfterMs(
            upstreams,
            { nowMs: nowMs(), random },
          ),
        );
      }

      function send(candidates: readonly Upstream[]): boolean {
        const context = {
          nowMs: nowMs(),
          triedIds: tried,
          random,
          unreportedPlacementCount: 0,
          isLoadAware: true,
          isDomainSuspected: () => false,
          hasRoom: () => true,
          getDomainCost: () => ({ delayMs: 0, slots: 0 }),
        };
        const chosen = chooseForCall(
          listReachable(candidates, context),
          context,
        );
        if (!chosen) return false;
        const index = upstreams.findIndex(({ info }) => info === chosen.info);
        const upstream = upstreams[index]!;
        tried.add(chosen.info.upstreamId);
        upstream.inFlightCount += 1;
        setTimeout(() => deliver(index, handle), linkMs);
        return true;

        function handle(outcome: "answered" | "full" | "lost"): void {
          const { running, queue, slowness } = machines[index]!;
          setTimeout(() => {
            upstream.inFlightCount -= 1;
            if (outcome !== "lost") {
              const load = {
                runningCount: running,
                waitingCount: queue.length,
                maxRunning: slots,
                slowness,
              };
              upstream.reported = { load, atMs: nowMs() };
            }
            if (outcome === "answered") return answer();
            upstream.suspendedUntilMs = nowMs() +
              (outcome === "full" ? 100 : 600);
            refusalCount += 1;
            if (refusalCount > 4) fail();
            else schedule();
          }, linkMs);
        }
      }
    }
  }

  function deliver(
    index: number,
    handle: (outcome: "answered" | "full" | "lost") => void,
  ): void {
    const machine = machines[index]!;
    if (machine.isLost) return handle("lost");
    if (machine.queue.length >= maxQueued) return handle("full");
    const job: Job = {
      run: () => {
        machine.running += 1;
        setTimeout(() => {
          machine.running -= 1;
          machine.queue.shift()?.run();
          handle("answered");
        }, workMs * machine.factor * machine.slowness);
      },
    };
    if (machine.running < slots) job.run();
    else machine.queue.push(job);
  }
}

function replayBothWays(scenario: Omit<Scenario, "seed" | "isScheduled">) {
  const [atOnce, scheduled] = [false, true].map((isScheduled) => {
    const all = [1, 2, 3].map((seed) =>
      replay({ ...scenario, isScheduled, seed })
    );
    const sum = (key: keyof (typeof all)[0]) =>
      all.reduce((total, counts) => total + counts[key], 0);
    return {
      late: sum("late"),
      refused: sum("refused"),
      patientRefused: sum("patientRefused"),
      waited: sum("waited"),
    };
  });
  return { atOnce: atOnce!, scheduled: scheduled! };
}

// Guards against calls that wait although an upstream could take them, and
// against late calls that take the place of others.
test.each([
  ["at crests of demand", { demand: [0.6, 0.9] as const }],
  [
    "after the loss of a fast upstream",
    { demand: [0.4, 0.6] as const, lostAtMs: 5_000 },
  ],
  [
    "with less capacity than demand",
    { demand: [0.6, 0.9] as const, lostAtMs: 5_000 },
  ],
  [
    "with callers that repeat at once",
    { demand: [0.8, 1.15] as const, impatientRatio: 0.3 },
  ],
])("no more calls are late or refused than if each is sent at once, %s", (
  _name,
  scenario,
) => {
  const { atOnce, scheduled } = replayBothWays(scenario);
  expect(scheduled.late).toBeLessThanOrEqual(atOnce.late);
  expect(scheduled.refused).toBeLessThanOrEqual(atOnce.refused);
  expect(scheduled.patientRefused).toBeLessThanOrEqual(atOnce.patientRefused);
}, 60_000);

// Guards against needless waits on outdated figures.
test("no call waits or is refused at normal load", () => {
  const { scheduled } = replayBothWays({ demand: [0.2, 0.3] });
  expect(scheduled).toMatchObject({ waited: 0, refused: 0 });
}, 60_000);
