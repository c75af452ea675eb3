/**
 * Sequential tests on Bernoulli outcomes that stay valid however often they are
 * evaluated.
 *
 * The fault test is a mixture, over effect sizes and start times, of likelihood
 * ratios against the highest normal rate. Each term is a non-negative
 * supermartingale and the weights sum to at most one, so the probability that
 * the statistic ever reaches 1/alpha without a fault is at most alpha (Ville's
 * inequality). The start times let the test react to a late fault: a ratio that
 * starts at the beginning would first have to offset all good outcomes before
 * the fault.
 */

/** Odds of the bad outcome relative to the highest normal odds. */
export const oddsRatios = [2.5, 8, 40, 400] as const;
/**
 * Half of the weight over start times belongs to the beginning of a rollout.
 */
const firstStartWeight = 0.5;

export interface FaultDetector {
  /** One term per odds ratio. */
  readonly terms: number[];
  lastStartAtMs: number | undefined;
  currentLog: number;
  highestLog: number;
}

export function createFaultDetector(): FaultDetector {
  return {
    terms: oddsRatios.map(() => 0),
    lastStartAtMs: undefined,
    currentLog: 0,
    highestLog: 0,
  };
}

/** Log likelihood ratios of one block of outcomes, one per odds ratio. */
export type LogRatios = number[];

export function createLogRatios(): LogRatios {
  return oddsRatios.map(() => 0);
}

/**
 * Adds outcomes whose normal bad rate is at most `normalRate` to each block.
 */
export function addOutcomes(
  blocks: readonly LogRatios[],
  { normalRate, count, badCount }: {
    readonly normalRate: number;
    readonly count: number;
    readonly badCount: number;
  },
): void {
  const odds = normalRate / (1 - normalRate);
  for (let index = 0; index < oddsRatios.length; index++) {
    const badOdds = odds * oddsRatios[index]!;
    const badRate = badOdds / (1 + badOdds);
    const log = badCount * Math.log(badRate / normalRate) +
      (count - badCount) * Math.log((1 - badRate) / (1 - normalRate));
    for (const block of blocks) block[index]! += log;
  }
}

/**
 * Adds events of a Poisson process that normally has at most `normalCount`
 * expected events.
 */
export function addPoissonEvents(
  block: LogRatios,
  { normalCount, count }: {
    readonly normalCount: number;
    readonly count: number;
  },
): void {
  for (let index = 0; index < oddsRatios.length; index++) {
    const factor = oddsRatios[index]!;
    block[index]! += count * Math.log(factor) - (factor - 1) * normalCount;
  }
}

/** Applies one block of outcomes and returns the logarithm of the statistic. */
export function updateDetector(
  detector: FaultDetector,
  block: LogRatios,
  { nowMs, horizonMs }: { readonly nowMs: number; readonly horizonMs: number },
): number {
  const { lastStartAtMs } = detector;
  const weight = lastStartAtMs === undefined
    ? firstStartWeight
    : (1 - firstStartWeight) * Math.max(0, nowMs - lastStartAtMs) / horizonMs;
  detector.lastStartAtMs = Math.max(nowMs, lastStartAtMs ?? nowMs);
  let total = 0;
  for (let index = 0; index < detector.terms.length; index++) {
    const product = (detector.terms[index]! + weight) * Math.exp(block[index]!);
    // Infinity would be lost in a snapshot and would invalidate the next
    // product.
    detector.terms[index] = Math.min(product, 1e200);
    total += detector.terms[index]! / oddsRatios.length;
  }
  const log = Math.log(total);
  detector.currentLog = log;
  detector.highestLog = Math.max(detector.highestLog, log);
  return log;
}

/**
 * Log likelihood ratio for a normal version against the lowest rate that counts
 * as bad. It reaches ln(1/beta) on a bad version with probability at most beta.
 */
export function getAcceptanceLog(
  { normalRate, badRate, count, badCount }: {
    readonly normalRate: number;
    readonly badRate: number;
    readonly count: number;
    readonly badCount: number;
  },
): number {
  return badCount * Math.log(normalRate / badRate) +
    (count - badCount) * Math.log((1 - normalRate) / (1 - badRate));
}

/** Upper bound of the Wilson score interval of a rate. */
export function getWilsonUpperBound(
  badCount: number,
  count: number,
  deviations: number,
): number {
  return getWilsonInterval(badCount, count, deviations).upper;
}

/** Lower bound of the Wilson score interval of a rate. */
export function getWilsonLowerBound(
  badCount: number,
  count: number,
  deviations: number,
): number {
  return getWilsonInterval(badCount, count, deviations).lower;
}

function getWilsonInterval(
  badCount: number,
  count: number,
  deviations: number,
) {
  if (count <= 0) return { lower: 0, upper: 1 };
  const square = deviations ** 2;
  const rate = badCount / count;
  const center = (rate + square / (2 * count)) / (1 + square / count);
  const half = deviations / (1 + square / count) *
    Math.sqrt(rate * (1 - rate) / count + square / (4 * count ** 2));
  return {
    lower: Math.max(0, center - half),
    upper: Math.min(1, center + half),
  };
}
