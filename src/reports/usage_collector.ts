/**
 * Collects the usage of one instance in numbered batches.
 *
 * A batch stays pending until control has committed it. Usage that arrives in
 * the meantime goes into the next batch, so a resent batch always has the same
 * content.
 */
import type {
  Objective,
  ObjectiveUsage,
  TokenCause,
  TokenUsage,
  UsageBatch,
} from "./usage.ts";

export interface UsageCollector {
  addTokens(usage: TokenUsage): void;
  addObjective(event: ObjectiveEvent): void;
  /**
   * Returns the batch to send: the pending one, or a new one if there is usage.
   */
  getBatch(atWallMs: number): UsageBatch | undefined;
  confirm(sequence: number): void;
}

export interface ObjectiveEvent {
  readonly service: string;
  readonly route: string;
  readonly objective: Objective;
  readonly goodCount: number;
  readonly totalCount: number;
}

export interface UsageCollectorOptions {
  readonly instanceId: string;
  readonly incarnation: number;
}

export function createUsageCollector(
  options: UsageCollectorOptions,
): UsageCollector {
  let tokens = new Map<string, TokenUsage>();
  let objectives = new Map<string, ObjectiveUsage>();
  let pending: UsageBatch | undefined;
  let nextSequence = 1;
  return { addTokens, addObjective, getBatch, confirm };

  function addTokens(usage: TokenUsage): void {
    if (usage.tokens === 0) return;
    const key = getTokenKey(usage);
    const sum = (tokens.get(key)?.tokens ?? 0) + usage.tokens;
    tokens.set(key, { ...usage, tokens: sum });
  }

  function addObjective(event: ObjectiveEvent): void {
    if (event.totalCount === 0) return;
    const key = getObjectiveKey(event);
    const existing = objectives.get(key);
    objectives.set(key, {
      ...event,
      goodCount: (existing?.goodCount ?? 0) + event.goodCount,
      totalCount: (existing?.totalCount ?? 0) + event.totalCount,
    });
  }

  function getBatch(atWallMs: number): UsageBatch | undefined {
    if (pending) return pending;
    if (tokens.size === 0 && objectives.size === 0) return undefined;
    pending = {
      instanceId: options.instanceId,
      incarnation: options.incarnation,
      sequence: nextSequence++,
      atWallMs,
      tokens: [...tokens.values()],
      objectives: [...objectives.values()],
    };
    tokens = new Map();
    objectives = new Map();
    return pending;
  }

  function confirm(sequence: number): void {
    if (pending?.sequence === sequence) pending = undefined;
  }
}

export function getTokenKey(
  usage: {
    readonly customerId: string;
    readonly service: string;
    readonly cause: TokenCause;
  },
): string {
  return JSON.stringify([usage.customerId, usage.service, usage.cause]);
}

export function getObjectiveKey(
  usage: {
    readonly service: string;
    readonly route: string;
    readonly objective: Objective;
  },
): string {
  return JSON.stringify([usage.service, usage.route, usage.objective]);
}
