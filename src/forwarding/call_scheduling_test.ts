import { expect, test } from "vitest";
import { CallerStanding, createCallReturns } from "./call_returns.ts";
import { type CallForecast, decideCall } from "./call_scheduling.ts";
import { getCapacityRetryAfterMs } from "./retry_after.ts";

const full: CallForecast<string> = {
  upstream: "full",
  waitMs: 170,
  serviceMs: 43,
  slots: 6,
  freeSlots: 0,
  reportAgeMs: 10,
};
const free = { ...full, upstream: "free", waitMs: 0, freeSlots: 6 };

function decide(
  forecasts: readonly CallForecast<string>[],
  {
    objectiveAtMs = 150,
    deadlineAtMs = 2_500,
    aheadCount = 0,
    isOutage = false,
    hasTurn = true,
  } = {},
) {
  return decideCall({ objectiveAtMs, deadlineAtMs }, {
    nowMs: 0,
    forecasts,
    availableInMs: 100,
    isOutage,
    share: 1 / 78,
    hasTurn,
  }, { aheadCount, waitingCount: aheadCount, jitter: 0.5 });
}

test("a call goes to free slots, and waits if all queues are long", () => {
  expect(decide([full, free])).toEqual({ kind: "send", upstreams: ["free"] });
  expect(decide([full])).toEqual({ kind: "wait" });
  // Figures that are older than the queue don't hold a call back.
  expect(decide([{ ...full, reportAgeMs: 200 }]).kind).toBe("send");
  expect(decide([{ ...full, reportAgeMs: 200 }], { hasTurn: false }).kind)
    .toBe("wait");
});

test("a call that can't be complete before its deadline is refused", () => {
  expect(decide([full], { deadlineAtMs: 200 }).kind).toBe("refuse");
  expect(decide([full], { aheadCount: 50 }).kind).toBe("refuse");
});

test("no call is refused while half of the slots are free", () => {
  expect(decide([full, free], { deadlineAtMs: 30, objectiveAtMs: 20 }).kind)
    .toBe("send");
});

test("a call waits for full upstreams but not for lost ones", () => {
  expect(decide([]).kind).toBe("wait");
  expect(decide([], { isOutage: true }).kind).toBe("refuse");
});

test("a delay is spread within what the caller honours", () => {
  const getDelayMs = (draw: number) =>
    getCapacityRetryAfterMs({
      freeInMs: 100,
      spreadMs: 5_000,
      remainingMs: 1_500,
      random: { next: () => draw, nextInt: () => 0 },
    });
  expect(getDelayMs(0)).toBe(100);
  expect(getDelayMs(1)).toBeLessThanOrEqual(500);
});

test("a caller that repeats early goes last, one that waits as told goes first", () => {
  let nowMs = 0;
  const returns = createCallReturns({ clock: { nowMs: () => nowMs } });
  expect(returns.takeStanding("a")).toBe(CallerStanding.New);
  returns.recordRefusal("a", 400);
  nowMs = 100;
  expect(returns.takeStanding("a")).toBe(CallerStanding.ReturnedEarly);
  nowMs = 400;
  expect(returns.takeStanding("a")).toBe(CallerStanding.ReturnedAsTold);
  expect(returns.takeStanding("a")).toBe(CallerStanding.New);
  for (let index = 0; index < 3_000; index++) {
    returns.recordRefusal(`b${index}`, 400);
  }
  expect(returns.takeStanding("b0")).toBe(CallerStanding.New);
});
