/**
 * Measures fairness between customers. The first trial measures the time to
 * first token of the other customers beside a customer that sends ten times its
 * share, without it, and with it but without admission limits. The second trial
 * compares the shares that the customers get over all instances with the exact
 * shares.
 */
import { createRandom } from "../src/core/random.ts";
import type { CustomerId } from "../src/core/types.ts";
import { getPercentile, sum } from "./statistics.ts";
import { createPromptSource, createTrafficModel } from "./traffic_model.ts";

export interface FairnessFigures {
  readonly othersRequests: number;
  readonly othersRefused: number;
  readonly othersP50Ms: number;
  readonly othersP95Ms: number;
  readonly largeStarted: number;
  readonly largeRefused: number;
  /** Refused requests of the large customer with the error `customerLimit`. */
  readonly largeCustomerLimit: number;
  readonly retryAfterP50Ms: number;
  /**
   * Share of the refusals after which the customer was admitted within the
   * retry-after delay.
   */
  readonly retryAfterKeptRatio: number;
}

export interface FairnessOptions {
  readonly seed: number;
  readonly hasLarge: boolean;
  readonly isUnlimited: boolean;
  readonly maxTokensPerS: number;
  readonly durationMs: number;
}

const instanceCount = 6;
const engineCount = 17;
const largeId: CustomerId = "large";
const otherIds: readonly CustomerId[] = Array.from(
  { length: 9 },
  (_, index) => `other-${index}`,
);
/** Request rate that the engine models sustain with this mix of requests. */
const capacityRequestsPerS = 180;
/**
 * All weights are equal, so each customer's share is a tenth of the capacity.
 */
const shareRequestsPerS = capacityRequestsPerS / (otherIds.length + 1);
/** The other customers use half of their shares. */
const othersRatio = 0.5;
const largeRatio = 10;
const warmUpMs = 15_000;
const requestTimeoutMs = 30_000;

export async function measureFairness(
  options: FairnessOptions,
): Promise<FairnessFigures> {
  const { time, instances } = createTrafficModel({
    seed: options.seed,
    router: "router",
    instanceCount,
    engineCount,
    reportLagMs: 400,
    weights: Object.fromEntries([...otherIds, largeId].map((id) => [id, 1])),
    maxTokensPerS: options.maxTokensPerS,
    isUnlimited: options.isUnlimited,
  });
  const { clock } = time;
  /** Times to first token of the other customers. */
  const othersMs: number[] = [];
  const refusals: {
    instance: unknown;
    atMs: number;
    retryAfterMs: number;
  }[] = [];
  const admissions: { instance: unknown; atMs: number }[] = [];
  const counts = {
    othersRefused: 0,
    largeStarted: 0,
    largeRefused: 0,
    largeCustomerLimit: 0,
  };
  for (const [index, customerId] of otherIds.entries()) {
    startCustomer(customerId, shareRequestsPerS * othersRatio, index);
  }
  if (options.hasLarge) {
    startCustomer(largeId, shareRequestsPerS * largeRatio, otherIds.length);
  }
  await time.run(options.durationMs);
  return {
    othersRequests: othersMs.length,
    ...counts,
    othersP50Ms: Math.round(getPercentile(othersMs, 0.5)),
    othersP95Ms: Math.round(getPercentile(othersMs, 0.95)),
    retryAfterP50Ms: Math.round(
      getPercentile(refusals.map((refusal) => refusal.retryAfterMs), 0.5),
    ),
    retryAfterKeptRatio: getKeptRatio(),
  };

  function getKeptRatio(): number {
    const evaluated = refusals.filter(({ atMs, retryAfterMs }) =>
      atMs + retryAfterMs <= options.durationMs
    );
    const kept = evaluated.filter(({ instance, atMs, retryAfterMs }) =>
      admissions.some((admission) =>
        admission.instance === instance && admission.atMs > atMs &&
        admission.atMs <= atMs + retryAfterMs
      )
    );
    return Math.round(kept.length / Math.max(1, evaluated.length) * 1_000) /
      1_000;
  }

  function startCustomer(
    customerId: CustomerId,
    requestsPerS: number,
    index: number,
  ): void {
    // A separate random generator for each customer keeps the arrivals of the
    // other customers equal in all runs.
    const random = createRandom(options.seed * 100 + index);
    const prompts = createPromptSource(random, 40);
    const prefix = customerId.padEnd(256, "-");
    schedule(0);

    function schedule(atMs: number): void {
      time.scheduleAt(atMs, () => {
        const instance = instances[random.nextInt(instances.length)]!;
        const prompt = prefix + prompts.next();
        const outputTokens = 20 + random.nextInt(360);
        schedule(atMs - Math.log(1 - random.next()) * 1_000 / requestsPerS);
        void request(customerId, { instance, prompt, outputTokens });
      });
    }
  }

  async function request(
    customerId: CustomerId,
    { instance, prompt, outputTokens }: {
      readonly instance: (typeof instances)[number];
      readonly prompt: string;
      readonly outputTokens: number;
    },
  ): Promise<void> {
    const arrivedAtMs = clock.nowMs();
    const isCounted = arrivedAtMs >= warmUpMs;
    const isLarge = customerId === largeId;
    const admitted = await instance.admission.admit({
      customerId,
      priority: 5,
      deadlineAtMs: arrivedAtMs + requestTimeoutMs,
    });
    if (admitted.isErr()) {
      if (!isCounted) return;
      if (!isLarge) counts.othersRefused += 1;
      else {
        counts.largeRefused += 1;
        const isCustomerLimit = admitted.error.kind === "customerLimit";
        counts.largeCustomerLimit += isCustomerLimit ? 1 : 0;
        refusals.push({
          instance,
          atMs: arrivedAtMs,
          retryAfterMs: admitted.error.retryAfterMs.unwrapOr(0),
        });
      }
      return;
    }
    if (isLarge && isCounted) {
      counts.largeStarted += 1;
      admissions.push({ instance, atMs: clock.nowMs() });
    }
    const isLowPriority = admitted.value.isOverShare && !options.isUnlimited;
    const assignment = instance.chooseEngine(prompt);
    assignment.engine.start({
      prompt,
      outputTokens,
      priority: isLowPriority ? 0 : 5,
      onFirstToken: () => {
        assignment.onFirstToken();
        if (isCounted && !isLarge) othersMs.push(clock.nowMs() - arrivedAtMs);
      },
      onEnded: () => {
        assignment.onEnded();
        instance.admission.recordTokens(customerId, outputTokens);
        instance.admission.recordClosed(customerId);
      },
    });
  }
}

export interface ShareErrorFigures {
  /** Largest relative error of a customer's share over all instances. */
  readonly maxError: number;
  readonly meanError: number;
}

/**
 * Customers with weights 1, 2 and 4 always send more requests than the capacity
 * admits. Their shares of the engine time over all instances are compared with
 * the exact shares.
 */
export async function measureShareError(
  seed: number,
  reachedInstances: number,
): Promise<ShareErrorFigures> {
  const weights = { one: 1, two: 2, four: 4 };
  const { time, instances } = createTrafficModel({
    seed,
    router: "router",
    instanceCount,
    engineCount,
    reportLagMs: 400,
    weights,
    maxTokensPerS: 6_000,
    isUnlimited: false,
  });
  const { clock } = time;
  const random = createRandom(seed);
  /** Time that each customer's finished answers were open at engines. */
  const held: Record<string, number> = { one: 0, two: 0, four: 0 };
  for (const customerId of Object.keys(weights)) schedule(customerId, 0);
  await time.run(60_000);
  const total = sum(Object.values(held));
  const errors = Object.entries(weights).map(([customerId, weight]) => {
    const exact = weight / sum(Object.values(weights));
    return Math.abs(held[customerId]! / total - exact) / exact;
  });
  return {
    maxError: Math.round(Math.max(...errors) * 1_000) / 1_000,
    meanError: Math.round(sum(errors) / errors.length * 1_000) / 1_000,
  };

  function schedule(customerId: string, atMs: number): void {
    time.scheduleAt(atMs, () => {
      schedule(customerId, atMs - Math.log(1 - random.next()) * 1_000 / 150);
      // The customer with the smallest weight may reach only some instances.
      const reachableCount = customerId === "one"
        ? reachedInstances
        : instanceCount;
      void run(customerId, instances[random.nextInt(reachableCount)]!);
    });
  }

  async function run(
    customerId: string,
    instance: (typeof instances)[number],
  ): Promise<void> {
    const admitted = await instance.admission.admit({
      customerId,
      priority: 5,
      deadlineAtMs: clock.nowMs() + requestTimeoutMs,
    });
    if (admitted.isErr()) return;
    const startedAtMs = clock.nowMs();
    const prompt = `${customerId} ${startedAtMs}`;
    const assignment = instance.chooseEngine(prompt);
    assignment.engine.start({
      prompt,
      outputTokens: 20 + random.nextInt(360),
      priority: admitted.value.isOverShare ? 0 : 5,
      onFirstToken: assignment.onFirstToken,
      onEnded: () => {
        assignment.onEnded();
        instance.admission.recordClosed(customerId);
        if (startedAtMs < warmUpMs) return;
        held[customerId]! += clock.nowMs() - startedAtMs;
      },
    });
  }
}
