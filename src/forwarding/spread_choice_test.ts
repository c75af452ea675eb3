/**
 * Tests the choice by costs that are known with a delay. The load pattern is
 * many instances that choose at once by the same costs, as after a crash of most
 * engines of a failure domain.
 */
import fc from "fast-check";
import { expect, test } from "vitest";
import { createRandom } from "../core/random.ts";
import {
  chooseSpread,
  chooseUnevenSpread,
  getFillLevel,
  getUnevenFillLevel,
} from "./spread_choice.ts";

const costsArbitrary = fc.array(fc.nat(5_000), { minLength: 1, maxLength: 40 });

test("the fill level adds exactly the amount to the costs below it", () => {
  fc.assert(fc.property(costsArbitrary, fc.nat(100_000), (costs, amount) => {
    const level = getFillLevel(costs, amount);
    const added = costs.reduce(
      (sum, cost) => sum + Math.max(0, level - cost),
      0,
    );
    expect(added).toBeCloseTo(amount, 3);
  }));
});

test("without unseen choices only the cheapest alternatives are chosen", () => {
  fc.assert(fc.property(costsArbitrary, fc.nat(1_000), (costs, seed) => {
    const options = { unseenChoiceCount: 0, costPerChoice: 1, tolerance: 40 };
    const chosen = chooseSpread(
      costs,
      (cost) => cost,
      options,
      createRandom(seed),
    )!;
    expect(chosen).toBeLessThan(Math.min(...costs) + 40);
  }));
});

/** Returns the highest cost after all choosers chose by the same costs. */
function simulateBurst(unseenChoiceCount: number, seed: number): number {
  const random = createRandom(seed);
  const chooserCount = 40;
  const costPerChoice = 1_400;
  // A quarter of the engines is idle, the others run one or two streams.
  const known = Array.from({ length: 40 }, (_, index) => ({
    costMs: index % 4 * 700,
    addedCount: 0,
  }));
  for (let chooser = 0; chooser < chooserCount; chooser++) {
    chooseSpread(
      known,
      ({ costMs }) => costMs,
      { unseenChoiceCount, costPerChoice, tolerance: 40 },
      random,
    )!.addedCount += 1;
  }
  return Math.max(
    ...known.map(({ costMs, addedCount }) =>
      costMs + addedCount * costPerChoice
    ),
  );
}

test("instances that choose at once do not meet at the engines that were idle", () => {
  const seeds = Array.from({ length: 50 }, (_, index) => index + 1);
  const sumHighest = (unseenChoiceCount: number) =>
    seeds.reduce(
      (sum, seed) => sum + simulateBurst(unseenChoiceCount, seed),
      0,
    );
  expect(sumHighest(39)).toBeLessThan(sumHighest(0) * 0.8);
});

test("no alternative gives no choice", () => {
  const options = { unseenChoiceCount: 1, costPerChoice: 1, tolerance: 1 };
  expect(chooseSpread([], () => 0, options, createRandom(1))).toBeUndefined();
});

const unevenArbitrary = fc.array(
  fc.record({
    cost: fc.nat(5_000),
    costPerChoice: fc.integer({ min: 1, max: 90 }),
  }),
  { minLength: 1, maxLength: 40 },
);

// Guards against a level that leaves choices over, or that rises more with slow
// alternatives than the choices they take.
test("the uneven fill level takes exactly the choices", () => {
  fc.assert(fc.property(unevenArbitrary, fc.nat(2_000), (all, choiceCount) => {
    const level = getUnevenFillLevel(all, choiceCount);
    const taken = all.reduce(
      (sum, { cost, costPerChoice }) =>
        sum + Math.max(0, level - cost) / costPerChoice,
      0,
    );
    expect(taken).toBeCloseTo(choiceCount, 3);
  }));
});

// Guards against an even split, which overloads slow alternatives, and against
// choosing one that costs more than the level.
test("choices are spread by how fast the alternatives take them", () => {
  const random = createRandom(1);
  const counts = { fast: 0, slow: 0, costly: 0 };
  for (let choice = 0; choice < 3_000; choice++) {
    const chosen = chooseUnevenSpread<keyof typeof counts>(
      [
        { value: "fast", cost: 30, costPerChoice: 5 },
        { value: "slow", cost: 30, costPerChoice: 15 },
        { value: "costly", cost: 500, costPerChoice: 1 },
      ],
      { unseenChoiceCount: 40, tolerance: 1 },
      random,
    );
    counts[chosen!] += 1;
  }
  expect(counts.costly).toBe(0);
  expect(counts.fast / counts.slow).toBeGreaterThan(2.5);
  expect(counts.fast / counts.slow).toBeLessThan(3.5);
});
