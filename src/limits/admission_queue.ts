/**
 * Bounded queue of requests that wait for capacity. The customer with the
 * fewest open answers in relation to its weight is served first; its requests
 * are ordered by priority, then by deadline.
 */
import type { CustomerId } from "../core/types.ts";

export interface QueueEntry {
  readonly customerId: CustomerId;
  /** Requests with a higher priority are taken first. */
  readonly priority: number;
  readonly deadlineAtMs: number;
}

export interface AdmissionQueue<Entry extends QueueEntry> {
  /** Returns false when the queue or the customer's part of it is full. */
  tryAdd(entry: Entry): boolean;
  remove(entry: Entry): boolean;
  /** Removes the entries whose deadline has passed. */
  takeExpired(nowMs: number): Entry[];
  /** Removes and returns the next entry whose customer may open an answer. */
  takeNext(options: TakeOptions): Entry | undefined;
  /** Number of entries that would be taken before the given one. */
  countAhead(
    entry: QueueEntry,
    getWeightedOpenCount: (id: CustomerId) => number,
  ): number;
  getLength(): number;
  listCustomers(): CustomerId[];
}

export interface TakeOptions {
  readonly nowMs: number;
  getWeightedOpenCount(customerId: CustomerId): number;
  canAdmit(customerId: CustomerId): boolean;
}

export interface AdmissionQueueOptions {
  readonly maxLength: number;
  /** Largest part of the queue that one customer may fill. */
  readonly maxCustomerRatio: number;
}

export function createAdmissionQueue<Entry extends QueueEntry>(
  { maxLength, maxCustomerRatio }: AdmissionQueueOptions,
): AdmissionQueue<Entry> {
  const byCustomer = new Map<CustomerId, Entry[]>();
  const maxPerCustomer = Math.max(1, Math.floor(maxLength * maxCustomerRatio));
  let length = 0;
  return {
    tryAdd,
    remove,
    takeExpired,
    takeNext,
    countAhead,
    getLength: () => length,
    listCustomers: () => [...byCustomer.keys()],
  };

  function tryAdd(entry: Entry): boolean {
    const entries = byCustomer.get(entry.customerId) ?? [];
    if (length >= maxLength || entries.length >= maxPerCustomer) return false;
    entries.splice(findInsertIndex(entries, entry), 0, entry);
    byCustomer.set(entry.customerId, entries);
    length += 1;
    return true;
  }

  function remove(entry: Entry): boolean {
    const entries = byCustomer.get(entry.customerId);
    const index = entries?.indexOf(entry) ?? -1;
    if (!entries || index < 0) return false;
    entries.splice(index, 1);
    if (entries.length === 0) byCustomer.delete(entry.customerId);
    length -= 1;
    return true;
  }

  function takeExpired(nowMs: number): Entry[] {
    const expired = [...byCustomer.values()].flat()
      .filter((entry) => entry.deadlineAtMs <= nowMs);
    for (const entry of expired) remove(entry);
    return expired;
  }

  function takeNext(options: TakeOptions): Entry | undefined {
    const { nowMs, getWeightedOpenCount, canAdmit } = options;
    const ranked = [...byCustomer.keys()]
      .sort((left, right) =>
        getWeightedOpenCount(left) - getWeightedOpenCount(right)
      );
    for (const customerId of ranked) {
      const entry = byCustomer.get(customerId)!
        .find(({ deadlineAtMs }) => deadlineAtMs > nowMs);
      if (!entry || !canAdmit(customerId)) continue;
      remove(entry);
      return entry;
    }
    return undefined;
  }

  function countAhead(
    entry: QueueEntry,
    getWeightedOpenCount: (id: CustomerId) => number,
  ): number {
    const ownEntries = byCustomer.get(entry.customerId) ?? [];
    const ownAheadCount = findInsertIndex(ownEntries, entry);
    const weightedOpenCount = getWeightedOpenCount(entry.customerId);
    let ahead = ownAheadCount;
    for (const [customerId, entries] of byCustomer) {
      if (customerId === entry.customerId) continue;
      // Once both have equally many open answers in relation to their weights,
      // the two customers are served alternately.
      if (getWeightedOpenCount(customerId) <= weightedOpenCount) {
        ahead += entries.length;
      } else ahead += Math.min(entries.length, ownAheadCount);
    }
    return ahead;
  }
}

/** Position that keeps the order; equal entries stay in order of arrival. */
function findInsertIndex(
  entries: readonly QueueEntry[],
  entry: QueueEntry,
): number {
  const index = entries.findIndex((other) =>
    other.priority < entry.priority ||
    (other.priority === entry.priority &&
      other.deadlineAtMs > entry.deadlineAtMs)
  );
  return index < 0 ? entries.length : index;
}
