/**
 * Tests the decisions about runs whose engine may have been lost. The failures
 * behind them: engines that restart at their address, wrong starts in reports,
 * and a retry budget without room while an engine is silent.
 */
import { expect, test } from "vitest";
import {
  decideOnRun,
  mayEndLostRun,
  newRun,
  type RunEvent,
  updateRun,
} from "./run_health.ts";

const idle = {
  lastEventAtMs: undefined,
  isPaused: false,
  resumedAtMs: -Infinity,
  engineActivityAtMs: -Infinity,
};

function replay(...events: readonly RunEvent[]) {
  return events.reduce((run, event) => updateRun(run, event, 1_000), newRun);
}

function report(startedAtWallMs: number | undefined, address = "a:1") {
  return { kind: "reportArrived", address, startedAtWallMs } as const;
}

const missing: RunEvent = { kind: "reportMissing", reason: "no report" };

// Guards against the loss of sound runs to a first, missing, equal or earlier
// start, or to that of another address, and against restarts that are not seen
// after a wrong start.
test.each<[string, readonly RunEvent[], string]>([
  ["a first start", [report(7)], "sound"],
  ["the same start", [report(7), report(7)], "sound"],
  ["no start", [report(7), report(undefined)], "sound"],
  ["another address", [report(7), report(9, "b:1")], "sound"],
  ["earlier starts", [report(7), report(6), report(5)], "sound"],
  ["a later start", [report(7), report(undefined), report(8)], "lost"],
  [
    "a restart after an earlier start",
    [report(7), report(5), report(6)],
    "lost",
  ],
  ["an answer after a missing report", [missing, report(undefined)], "sound"],
  ["a restart after a missing report", [report(7), missing, report(8)], "lost"],
  ["an answer after a loss", [report(7), report(8), report(8)], "lost"],
  ["a missing report", [missing, missing], "suspected"],
])("%s", (_name, events, kind) => {
  expect(replay(...events).health.kind).toBe(kind);
});

// Guards against ending a run that works, such as after a wrong start.
test("a run that sends events is not left", () => {
  const suspected = replay(missing).health;
  const lost = replay(report(7), report(1e15)).health;
  const decide = (health: typeof lost, activity: Partial<typeof idle>) =>
    decideOnRun(health, { ...idle, ...activity }, 1_300).kind;
  expect(decide(suspected, {})).toBe("leaveSuspected");
  expect(decide(suspected, { lastEventAtMs: 1_001 } as object)).toBe("clear");
  expect(decide(suspected, { engineActivityAtMs: 1_200 })).toBe("stay");
  expect(decide(suspected, { isPaused: true })).toBe("stay");
  expect(decide(lost, {})).toBe("leaveLost");
  expect(decide(lost, { lastEventAtMs: 1_200 } as object)).toBe("stay");
  expect(decide(lost, { lastEventAtMs: 1_010 } as object)).toBe("leaveLost");
  expect(decide(lost, { resumedAtMs: 1_290 })).toBe("stay");
});

// Guards against ending a run while its stream can't go on elsewhere.
test("a lost run is ended only if the stream may run again", () => {
  const run = {
    hasBudget: () => true,
    remainingMs: 5_000,
    isResumable: true,
    ranCount: 2,
    maxAttempts: 3,
  };
  expect(mayEndLostRun(run)).toBe(true);
  expect(mayEndLostRun({ ...run, hasBudget: () => false })).toBe(false);
  expect(mayEndLostRun({ ...run, ranCount: 3 })).toBe(false);
  expect(mayEndLostRun({ ...run, isResumable: false })).toBe(false);
  expect(mayEndLostRun({ ...run, remainingMs: 20 })).toBe(false);
});
