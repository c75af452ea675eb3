/**
 * Bounded queue of requests that wait for capacity. The customer with the
 * lowest use goes first; its requests are ordered by priority, then by deadline.
 */
import type { CustomerId } from "../core/types.ts";

export interface QueueEntry {
  readonly customerId: CustomerId;
  /** Higher goes first. */
  readonly priority: number;
  readonly deadlineAtMs: number;
}

export interface AdmissionQueue<Entry extends QueueEntry> {
  /** False when the queue is full. */
  tryAdd(entry: Entry): boolean;
  remove(entry: Entry): boolean;
  /** Removes the entries whose deadline has passed. */
  takeExpired(nowMs: number): Entry[];
  /** Removes the next entry whose customer may start. */
  takeNext(options: TakeOptions): Entry | undefined;
  /** Entries that start before a new one of the customer. */
  countAhead(entry: QueueEntry, getUse: (id: CustomerId) => number): number;
  getLength(): number;
  listCustomers(): CustomerId[];
}

export interface TakeOptions {
  readonly nowMs: number;
  getUse(customerId: CustomerId): number;
  canStart(customerId: CustomerId): boolean;
}

export interface AdmissionQueueOptions {
  readonly maxLength: number;
  /** One customer may fill at most this part of the queue. */
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
    entries.splice(findIndex(entries, entry), 0, entry);
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
    const { nowMs, getUse, canStart } = options;
    const ranked = [...byCustomer.keys()]
      .sort((left, right) => getUse(left) - getUse(right));
    for (const customerId of ranked) {
      const entry = byCustomer.get(customerId)!
        .find(({ deadlineAtMs }) => deadlineAtMs > nowMs);
      if (!entry || !canStart(customerId)) continue;
      remove(entry);
      return entry;
    }
    return undefined;
  }

  function countAhead(
    entry: QueueEntry,
    getUse: (id: CustomerId) => number,
  ): number {
    const own = byCustomer.get(entry.customerId) ?? [];
    const ownAhead = findIndex(own, entry);
    const use = getUse(entry.customerId);
    let ahead = ownAhead;
    for (const [customerId, entries] of byCustomer) {
      if (customerId === entry.customerId) continue;
      // Customers take turns as their use evens out.
      if (getUse(customerId) <= use) {
        ahead += entries.length;
      } else ahead += Math.min(entries.length, ownAhead);
    }
    return ahead;
  }
}

/** Where the entry goes; entries that are equal keep their order. */
function findIndex(
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
