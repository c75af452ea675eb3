/**
 * Usage of all instances, which is part of the replicated state. Tokens are
 * kept per day, and counts of objectives per time slot of the last days.
 */
import type { ObjectiveUsage, TokenUsage, UsageBatch } from "./usage.ts";
import { getObjectiveKey, getTokenKey } from "./usage_collector.ts";

export const dayMs = 24 * 60 * 60 * 1_000;
export const slotMs = 5 * 60 * 1_000;
/** The longest window of the burn report. */
export const slotRetentionMs = 3 * dayMs;
/**
 * Two years of days, so that a forecast can see the same month of the previous
 * year.
 */
export const dayRetentionCount = 730;

export interface DayUsage {
  readonly day: number;
  readonly tokens: readonly TokenUsage[];
}

export interface SlotUsage {
  readonly slot: number;
  readonly objectives: readonly ObjectiveUsage[];
}

export interface LedgerSnapshot {
  readonly days: readonly DayUsage[];
  readonly slots: readonly SlotUsage[];
  readonly sequences: readonly [string, number][];
}

export interface UsageLedger {
  /** Returns false if the batch was already counted. */
  record(batch: UsageBatch): boolean;
  getDays(): DayUsage[];
  getSlots(): SlotUsage[];
  getSnapshot(): LedgerSnapshot;
  restore(snapshot: LedgerSnapshot): void;
}

/**
 * Each restart of an instance leaves an entry; the oldest entries are removed.
 */
const maxSenders = 20_000;

export function createUsageLedger(): UsageLedger {
  const days = new Map<number, Map<string, TokenUsage>>();
  const slots = new Map<number, Map<string, ObjectiveUsage>>();
  const sequences = new Map<string, number>();
  return { record, getDays, getSlots, getSnapshot, restore };

  function record(batch: UsageBatch): boolean {
    const sender = `${batch.instanceId}@${batch.incarnation}`;
    if (batch.sequence <= (sequences.get(sender) ?? 0)) return false;
    sequences.delete(sender);
    sequences.set(sender, batch.sequence);
    const oldestSender = sequences.keys().next().value!;
    if (sequences.size > maxSenders) sequences.delete(oldestSender);
    addTokens(Math.floor(batch.atWallMs / dayMs), batch.tokens);
    addObjectives(Math.floor(batch.atWallMs / slotMs), batch.objectives);
    return true;
  }

  function addTokens(day: number, usages: readonly TokenUsage[]): void {
    const total = days.get(day) ?? new Map<string, TokenUsage>();
    days.set(day, total);
    for (const usage of usages) {
      const key = getTokenKey(usage);
      const sum = (total.get(key)?.tokens ?? 0) + usage.tokens;
      total.set(key, { ...usage, tokens: sum });
    }
    removeBelow(days, day - dayRetentionCount);
  }

  function addObjectives(
    slot: number,
    usages: readonly ObjectiveUsage[],
  ): void {
    const total = slots.get(slot) ?? new Map<string, ObjectiveUsage>();
    slots.set(slot, total);
    for (const usage of usages) {
      const key = getObjectiveKey(usage);
      const existing = total.get(key);
      total.set(key, {
        ...usage,
        goodCount: (existing?.goodCount ?? 0) + usage.goodCount,
        totalCount: (existing?.totalCount ?? 0) + usage.totalCount,
      });
    }
    removeBelow(slots, slot - slotRetentionMs / slotMs);
  }

  function getDays(): DayUsage[] {
    return [...days]
      .sort(([left], [right]) => left - right)
      .map(([day, tokens]) => ({ day, tokens: [...tokens.values()] }));
  }

  function getSlots(): SlotUsage[] {
    return [...slots]
      .sort(([left], [right]) => left - right)
      .map(([slot, usages]) => ({ slot, objectives: [...usages.values()] }));
  }

  function getSnapshot(): LedgerSnapshot {
    return { days: getDays(), slots: getSlots(), sequences: [...sequences] };
  }

  function restore(snapshot: LedgerSnapshot): void {
    days.clear();
    slots.clear();
    sequences.clear();
    for (const { day, tokens } of snapshot.days) addTokens(day, tokens);
    for (const { slot, objectives } of snapshot.slots) {
      addObjectives(slot, objectives);
    }
    for (const [sender, sequence] of snapshot.sequences) {
      sequences.set(sender, sequence);
    }
  }
}

function removeBelow<T>(entries: Map<number, T>, oldest: number): void {
  for (const key of entries.keys()) if (key < oldest) entries.delete(key);
}
