/**
 * Version moves of a service whose instances each see few answers: entry
 * instances count, control compares and decides, on simulated time.
 */
import { expect, test } from "vitest";
import {
  createAnswerCountAggregator,
  subtractTotals,
} from "../control/moves/answer_count_aggregator.ts";
import { compareLatencies } from "../control/moves/latency_comparison.ts";
import {
  decideMove,
  type MoveDecision,
} from "../control/moves/move_decisions.ts";
import { isRunning, MovePhase } from "../control/moves/move_types.ts";
import { createRandom } from "../core/random.ts";
import type { ListedUpstream } from "../upstreams/upstream_view.ts";
import { createPaceMeter } from "./pace_meter.ts";
import {
  createVersionAnswerCounter,
  type VersionAnswerCounter,
  WaitEnd,
} from "./version_answers.ts";

function createListed(version: string, versionShare: number): ListedUpstream {
  return {
    upstreamId: `i-${version}`,
    service: "app",
    host: "10.0.0.1",
    port: 80,
    domainId: "domain-a",
    version,
    maxRunning: 6,
    isLeaving: false,
    isCold: false,
    versionShare,
  };
}

function compareCounted(counter: VersionAnswerCounter) {
  const aggregator = createAnswerCountAggregator({ getNowMs: () => 0 });
  const report = counter.getReport();
  if (report) aggregator.record({ instanceId: "i", incarnation: 1 }, report);
  return {
    failures: aggregator.getTotal("app", ["v2"]),
    comparisons: compareLatencies({
      stable: aggregator.getTotal("app", ["v1"]),
      target: aggregator.getTotal("app", ["v2"]),
      typical: aggregator.getTypical("app"),
    }),
  };
}

test("answers that fail or take much longer than is typical count as bad", () => {
  const counter = createVersionAnswerCounter({
    clock: { nowMs: () => 0 },
    hasSeveralVersions: () => true,
  });
  const stable = createListed("v1", 1);
  const target = createListed("v2", 0.1);
  const answer = { isFailure: false, durationMs: 20 };
  for (let count = 0; count < 50; count++) counter.record(stable, answer);
  counter.record(target, { ...answer, durationMs: 25 });
  counter.record(target, { ...answer, durationMs: 200 });
  counter.record(target, { isFailure: true, durationMs: undefined });
  const { failures, comparisons } = compareCounted(counter);
  expect(failures).toMatchObject({ answeredCount: 3, badCount: 1 });
  expect(comparisons).toMatchObject([{
    stable: { answeredCount: 50, badCount: 0 },
    target: { answeredCount: 3, badCount: 2 },
  }]);
});

test("a stream that waits too long counts before its first event", () => {
  let nowMs = 0;
  const counter = createVersionAnswerCounter({
    clock: { nowMs: () => nowMs },
    hasSeveralVersions: () => true,
  });
  const target = createListed("v2", 0.1);
  for (let count = 0; count < 20; count++) {
    counter.record(createListed("v1", 1), {
      isFailure: false,
      durationMs: 1_000,
    });
  }
  const waits = [0, 1, 2, 3].map(() => counter.trackWait(target));
  const getBadCount = () =>
    compareCounted(counter).comparisons[0]!.target.badCount;
  nowMs = 1_400;
  expect(getBadCount()).toBe(0);
  nowMs = 5_000;
  expect(getBadCount()).toBe(4);
  waits[0]!.end(WaitEnd.Abandoned);
  waits[1]!.end(WaitEnd.Cancelled);
  waits[2]!.end(WaitEnd.Answered);
  // The wait that was answered is counted by its answer.
  expect(getBadCount()).toBe(2);
});

test("the candidate does not change what is typical, also with all requests", () => {
  let hasSeveral = false;
  const counter = createVersionAnswerCounter({
    clock: { nowMs: () => 0 },
    hasSeveralVersions: () => hasSeveral,
  });
  const record = (upstream: ListedUpstream, durationMs: number) => {
    for (let count = 0; count < 100; count++) {
      counter.record(upstream, { isFailure: false, durationMs });
    }
  };
  record(createListed("v1", 1), 100);
  hasSeveral = true;
  record(createListed("v2", 0.1), 900);
  record(createListed("v2", 1), 900);
  expect(counter.getReport()!.typical[0]!.durationMs).toBeCloseTo(100);
});

test("the pace of a run is measured once, at its beginning", () => {
  const paces: number[] = [];
  const fast = createPaceMeter((paceMs) => paces.push(paceMs));
  for (let event = 0; event < 100; event++) fast.recordEvent(event * 30);
  const slow = createPaceMeter((paceMs) => paces.push(paceMs));
  for (let event = 0; event < 6; event++) slow.recordEvent(event * 500);
  const silent = createPaceMeter((paceMs) => paces.push(paceMs));
  silent.recordSilence(100);
  silent.recordEvent(1_000);
  silent.recordSilence(1_450);
  silent.recordSilence(9_000);
  expect(paces).toEqual([30, 500, 450]);
});

interface Move {
  /** Time to the first event, and between events, of the two versions. */
  readonly stableMs: readonly [first: number, pace: number];
  readonly targetMs: readonly [first: number, pace: number];
  /** Part of the target's answers that are slow; the others are as stable. */
  readonly slowRatio?: number;
  readonly requestsPerS?: number;
  readonly seed: number;
}

const instanceCount = 7;
const durationMs = 15_000;
const stepMs = 100;
const orderedAtMs = 4_000;
/** Two heartbeats, a tick and a read of the upstream list. */
const orderDelayMs = 1_200;
const waitLimitMs = 18_000;

/** Replays a move of a service with streams; times vary by half. */
function replay(move: Move) {
  const random = createRandom(move.seed);
  const slowRatio = move.slowRatio ?? 1;
  const requestsPerS = move.requestsPerS ?? 4.4;
  let nowMs = 0;
  const clock = { nowMs: () => nowMs };
  const counters = Array.from(
    { length: instanceCount },
    () =>
      createVersionAnswerCounter({
        clock,
        hasSeveralVersions: () => nowMs >= orderedAtMs,
      }),
  );
  const aggregator = createAnswerCountAggregator({
    getNowMs: clock.nowMs,
  });
  const pending: { atMs: number; run(): void }[] = [];
  const shares: { atMs: number; share: number }[] = [{ atMs: 0, share: 0 }];
  const counts = { target: 0, total: 0 };
  let decision: MoveDecision = {
    phase: MovePhase.Watching,
    share: 0,
    reason: "",
  };
  let before: ReturnType<typeof getTotals> | undefined;
  for (; nowMs < orderedAtMs + durationMs; nowMs += stepMs) {
    for (const task of pending.filter(({ atMs }) => atMs <= nowMs)) {
      pending.splice(pending.indexOf(task), 1);
      task.run();
    }
    const expected = requestsPerS * stepMs / 1_000;
    const arrivals = Math.floor(expected) +
      (random.next() < expected % 1 ? 1 : 0);
    for (let request = 0; request < arrivals; request++) startStream();
    if (nowMs < orderedAtMs || nowMs % 500 !== 0) continue;
    for (const [index, counter] of counters.entries()) {
      const report = counter.getReport();
      if (!report) continue;
      aggregator.record({ instanceId: `i-${index}`, incarnation: 1 }, report);
    }
    before ??= getTotals();
    if (isRunning(decision)) decide(before, decision.phase);
  }
  return { ...counts, phase: decision.phase, reason: decision.reason };

  function decide(
    start: ReturnType<typeof getTotals>,
    phase: MovePhase.Watching | MovePhase.Moving,
  ): void {
    const totals = getTotals();
    const counted = {
      stable: subtractTotals(totals.stable, start.stable),
      target: subtractTotals(totals.target, start.target),
    };
    decision = decideMove({
      phase,
      elapsedMs: nowMs - orderedAtMs,
      durationMs,
      ...counted,
      latencies: compareLatencies({
        ...counted,
        typical: aggregator.getTypical("app"),
      }),
    });
    shares.push({ atMs: nowMs + orderDelayMs, share: decision.share });
  }

  function getTotals() {
    return {
      stable: aggregator.getTotal("app", ["v1"]),
      target: aggregator.getTotal("app", ["v2"]),
    };
  }

  function startStream(): void {
    const { share } = shares.findLast(({ atMs }) => atMs <= nowMs)!;
    const isTarget = random.next() < share;
    if (nowMs >= orderedAtMs) {
      counts.total += 1;
      if (isTarget) counts.target += 1;
    }
    const isSlow = isTarget && random.next() < slowRatio;
    const [typicalFirstMs, paceMs] = isSlow ? move.targetMs : move.stableMs;
    const firstMs = typicalFirstMs * (0.5 + random.next());
    const listed = createListed(
      isTarget ? "v2" : "v1",
      isTarget ? Math.min(share, 0.99) : 1,
    );
    const counter = counters[random.nextInt(instanceCount)]!;
    const wait = counter.trackWait(listed);
    if (firstMs > waitLimitMs) {
      schedule(waitLimitMs, () => wait.end(WaitEnd.Abandoned));
      return;
    }
    schedule(firstMs, () => {
      wait.end(WaitEnd.Answered);
      counter.record(listed, { isFailure: false, durationMs: firstMs });
    });
    const measuredMs = Math.min(paceMs * 10, 2_000 + paceMs);
    schedule(
      firstMs + measuredMs,
      () => counter.recordPace(listed, paceMs * (0.8 + 0.4 * random.next())),
    );
  }

  function schedule(delayMs: number, run: () => void): void {
    pending.push({ atMs: nowMs + delayMs, run });
  }
}

const seeds = Array.from({ length: 30 }, (_, index) => index + 1);
const usual = [1_100, 30] as const;

test.each<[string, Omit<Move, "seed">]>([
  ["to the first event", { stableMs: usual, targetMs: [6_000, 30] }],
  ["between events", { stableMs: usual, targetMs: [1_100, 300] }],
  ["in both", { stableMs: usual, targetMs: [6_000, 500] }],
  ["so that nothing is answered in time", {
    stableMs: usual,
    targetMs: [60_000, 500],
  }],
  ["in half of the answers", {
    stableMs: usual,
    targetMs: [6_000, 400],
    slowRatio: 0.5,
  }],
])("a version that is slow %s is rolled back and gets few requests", (
  _name,
  move,
) => {
  for (const seed of seeds) {
    const result = replay({ ...move, seed });
    expect(result).toMatchObject({ phase: MovePhase.RolledBack });
    // Targets of the deployment: a tenth of the requests and 50 more.
    expect(result.target).toBeLessThanOrEqual(0.1 * result.total + 50);
  }
});

test.each([4.4, 40])(
  "a version that is as fast as the stable one is in place in time at %d streams a second",
  (requestsPerS) => {
    for (const seed of seeds) {
      const result = replay({
        stableMs: usual,
        targetMs: usual,
        requestsPerS,
        seed,
      });
      expect(result).toMatchObject({ phase: MovePhase.Complete });
    }
  },
);

test("a version that is slow because all streams are slow is not rolled back", () => {
  for (const seed of seeds) {
    const result = replay({
      stableMs: [6_000, 200],
      targetMs: [6_000, 200],
      seed,
    });
    expect(result).toMatchObject({ phase: MovePhase.Complete });
  }
});
