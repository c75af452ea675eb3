/**
 * Chooses among alternatives whose costs are known with a delay, while others
 * choose by the same costs. Pure.
 *
 * Taking the cheapest one would send everybody to the same alternative. Instead,
 * the choices that are not yet visible are assumed to fill up the cheapest
 * alternatives to a common cost level, like water in a vessel, and one is drawn
 * in proportion to what it lacks to this level. If everybody does so, the costs
 * are even in the end.
 */
import type { Random } from "../core/random.ts";

export interface SpreadOptions {
  /** Number of choices that others have made since the costs were known. */
  readonly unseenChoiceCount: number;
  /** How much one choice raises the cost of an alternative. */
  readonly costPerChoice: number;
  /** Costs within this range count as equal. */
  readonly tolerance: number;
}

/** Returns the cost up to which the unseen choices fill the cheapest ones. */
export function getFillLevel(
  costs: readonly number[],
  amount: number,
): number {
  const sorted = [...costs].sort((left, right) => left - right);
  let remaining = amount;
  let level = sorted[0] ?? 0;
  for (const [index, cost] of sorted.entries()) {
    const isLast = index === sorted.length - 1;
    const step = isLast ? Infinity : sorted[index + 1]! - cost;
    const needed = step * (index + 1);
    level = cost;
    if (needed >= remaining) return level + remaining / (index + 1);
    remaining -= needed;
  }
  return level;
}

export function chooseSpread<T>(
  alternatives: readonly T[],
  getCost: (alternative: T) => number,
  { unseenChoiceCount, costPerChoice, tolerance }: SpreadOptions,
  random: Random,
): T | undefined {
  if (alternatives.length === 0) return undefined;
  const costs = alternatives.map(getCost);
  const cheapest = Math.min(...costs);
  const level = Math.max(
    cheapest + tolerance,
    getFillLevel(costs, unseenChoiceCount * costPerChoice),
  );
  const weights = costs.map((cost) => Math.max(0, level - cost));
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let point = random.next() * total;
  for (const [index, weight] of weights.entries()) {
    point -= weight;
    if (point < 0) return alternatives[index];
  }
  // Rounding may leave a rest of the total.
  return alternatives[costs.indexOf(cheapest)];
}

export interface UnevenAlternative<T> {
  readonly value: T;
  readonly cost: number;
  /** How much one choice raises the cost of this alternative. */
  readonly costPerChoice: number;
}

/**
 * Like `chooseSpread` for alternatives whose costs rise unevenly: a fast one
 * takes more choices than a slow one until both cost the same.
 */
export function chooseUnevenSpread<T>(
  alternatives: readonly UnevenAlternative<T>[],
  { unseenChoiceCount, tolerance }: Pick<
    SpreadOptions,
    "unseenChoiceCount" | "tolerance"
  >,
  random: Random,
): T | undefined {
  const cheapest = findCheapest(alternatives);
  if (!cheapest) return undefined;
  const level = Math.max(
    cheapest.cost + tolerance,
    getUnevenFillLevel(alternatives, unseenChoiceCount),
  );
  const getWeight = ({ cost, costPerChoice }: UnevenAlternative<T>) =>
    Math.max(0, level - cost) / costPerChoice;
  let total = 0;
  for (const alternative of alternatives) total += getWeight(alternative);
  let point = random.next() * total;
  for (const alternative of alternatives) {
    point -= getWeight(alternative);
    if (point < 0) return alternative.value;
  }
  // Rounding may leave a rest of the total.
  return cheapest.value;
}

function findCheapest<T>(
  alternatives: readonly UnevenAlternative<T>[],
): UnevenAlternative<T> | undefined {
  let cheapest = alternatives[0];
  for (const alternative of alternatives) {
    if (alternative.cost < cheapest!.cost) cheapest = alternative;
  }
  return cheapest;
}

/**
 * Returns the cost that the cheapest ones reach with so many choices. Assumes
 * first that all are filled, and leaves out those above the level until none
 * is, so it needs no sorting.
 */
export function getUnevenFillLevel(
  alternatives: readonly Omit<UnevenAlternative<unknown>, "value">[],
  choiceCount: number,
): number {
  let level = Infinity;
  for (;;) {
    let choicesPerCost = 0;
    let choicesAtLevel = choiceCount;
    let cheapest = Infinity;
    for (const { cost, costPerChoice } of alternatives) {
      if (cost >= level) continue;
      choicesPerCost += 1 / costPerChoice;
      choicesAtLevel += cost / costPerChoice;
      cheapest = Math.min(cheapest, cost);
    }
    if (choicesPerCost === 0) return level;
    // Rounding must not leave out the cheapest one too.
    const next = Math.max(cheapest, choicesAtLevel / choicesPerCost);
    if (next >= level) return level;
    level = next;
  }
}
