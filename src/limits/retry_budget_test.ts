import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { createRetryBudget, type RetryBudgetKey } from "./retry_budget.ts";

const options = { ratio: 0.1, initialUnits: 20, maxUnits: 200 };

describe("retry budget", () => {
  it("guards against a negative balance and more repeated work than the ratio permits", () => {
    const step = fc.record({
      kind: fc.constantFrom("useful", "draw", "resume"),
      customerId: fc.constantFrom("a", "b"),
      units: fc.integer({ min: 1, max: 300 }),
    });
    fc.assert(fc.property(fc.array(step, { maxLength: 100 }), (steps) => {
      const budget = createRetryBudget(options);
      const useful = new Map<string, number>();
      const drawn = new Map<string, number>();
      for (const { kind, customerId, units } of steps) {
        const key: RetryBudgetKey = { service: "s", customerId };
        if (kind === "useful") {
          budget.recordUseful(key, units);
          useful.set(customerId, (useful.get(customerId) ?? 0) + units);
        } else if (kind === "draw") {
          if (budget.tryDraw(key, units)) {
            drawn.set(customerId, (drawn.get(customerId) ?? 0) + units);
          }
        } else budget.drawForResume(key, units);
        expect(budget.getAvailable(key)).toBeGreaterThanOrEqual(0);
        expect(drawn.get(customerId) ?? 0).toBeLessThanOrEqual(
          20 + 0.1 * (useful.get(customerId) ?? 0) + 1e-6,
        );
      }
    }));
  });

  it("guards against repeats beyond the balance and the reserve", () => {
    const step = fc.record({
      kind: fc.constantFrom("useful", "draw", "repeat"),
      units: fc.integer({ min: 1, max: 30 }),
    });
    fc.assert(fc.property(fc.array(step, { maxLength: 100 }), (steps) => {
      const key: RetryBudgetKey = { service: "s", customerId: "a" };
      const reserveUnits = 40;
      const budget = createRetryBudget({
        ...options,
        getReserveUnits: () => reserveUnits,
      });
      let usefulUnits = 0;
      let drawnUnits = 0;
      for (const { kind, units } of steps) {
        if (kind === "useful") {
          budget.recordUseful(key, units);
          usefulUnits += units;
        } else if (kind === "draw") {
          if (budget.tryDraw(key, units)) drawnUnits += units;
        } else {
          const isPermitted = budget.hasReserve(key, units);
          expect(budget.tryDrawReserve(key, units)).toBe(isPermitted);
          if (isPermitted) drawnUnits += units;
        }
        expect(drawnUnits).toBeLessThanOrEqual(
          options.initialUnits + reserveUnits + options.ratio * usefulUnits +
            1e-6,
        );
      }
    }));
  });

  it("guards against one customer using up the budget of another", () => {
    fc.assert(fc.property(
      fc.array(fc.integer({ min: 1, max: 50 }), { maxLength: 100 }),
      (draws) => {
        const budget = createRetryBudget(options);
        for (const units of draws) {
          budget.tryDraw({ service: "s", customerId: "greedy" }, units);
          budget.drawForResume({ service: "s", customerId: "greedy" }, units);
        }
        expect(budget.tryDraw({ service: "s", customerId: "b" }, 20)).toBe(
          true,
        );
      },
    ));
  });

  it("guards against a resume after a loss that the budget refuses or does not count", () => {
    const budget = createRetryBudget(options);
    const key = { service: "s", customerId: "a" };
    budget.drawForResume(key, 50);
    expect(budget.getAvailable(key)).toBe(0);
    expect(budget.tryDraw(key, 1)).toBe(false);
    expect(budget.getStats()).toEqual({
      drawnUnits: 0,
      refusedDraws: 1,
      resumedUnits: 50,
      overdraftUnits: 30,
    });
  });
});
