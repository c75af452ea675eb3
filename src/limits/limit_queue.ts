/**
 * Requests that wait until the limits of their upstreams allow another one, or
 * until an upstream has capacity. The most urgent ones go first, then those with
 * the least time left. A request that cannot be sent in time is refused as soon
 * as that is known.
 */
import type { Clock } from "../core/clock.ts";
import type { UpstreamId } from "../core/types.ts";

export interface WaitingRequest {
  /** Lower ones go first; may combine those of customer and route. */
  readonly priority: number;
  /** Later, the request could not be answered before its deadline. */
  readonly sendBeforeMs: number;
  /** Later, the request could not be answered within its objective. */
  readonly onTimeBeforeMs?: number;
  /** The caller was told to come back later and didn't wait. */
  readonly isEarlyReturn?: boolean;
  /** The caller was refused before and came back when it was told to. */
  readonly isReturn?: boolean;
  /** Customers have equal shares of the queue within a priority. */
  readonly customerId?: string | undefined;
  /** Expected time until a request at the position finds capacity. */
  getWaitMs?(position: number): number;
  /** Sends the request; returns false if no upstream takes it after all. */
  send(): boolean;
  /** `backlogMs` is the time until the requests ahead of it are sent. */
  refuse(backlogMs: number, reason: WaitEnd): void;
}

/** Why a waiting request is refused. */
export enum WaitEnd {
  NoTimeLeft = "noTimeLeft",
  QueueFull = "queueFull",
}

export interface LimitQueue {
  /**
   * Returns a function that removes the request. If more than `maxCount`
   * requests then wait for the service, the last one is refused.
   */
  add(
    service: string,
    request: WaitingRequest,
    maxCount?: number,
  ): () => void;
  /** Number of requests that would be sent before the given one. */
  countAhead(service: string, request: WaitingRequest): number;
  /** Of all services if none is given. */
  count(service?: string): number;
}

export interface LimitQueueOptions {
  readonly clock: Pick<Clock, "nowMs">;
  listUpstreamIds(service: string): readonly UpstreamId[];
  /**
   * Requests per second that an upstream takes from this instance; undefined
   * without a limit.
   */
  getRatePerS(upstreamId: UpstreamId): number | undefined;
}

const checkIntervalMs = 10;

export function createLimitQueue(
  { clock, listUpstreamIds, getRatePerS }: LimitQueueOptions,
): LimitQueue {
  const queues = new Map<string, WaitingRequest[]>();
  let timer: NodeJS.Timeout | undefined;
  return {
    add: (service, request, maxCount = Infinity) => {
      const queue = queues.get(service) ?? [];
      queues.set(service, queue);
      queue.push(request);
      sortQueue(queue, clock.nowMs());
      refuseHopeless(service, queue);
      if (queue.length > maxCount) {
        const last = queue.pop()!;
        last.refuse(getWaitMs(service, last, queue.length), WaitEnd.QueueFull);
      }
      timer ??= setInterval(check, checkIntervalMs);
      removeIfEmpty(service, queue);
      return () => {
        const index = queue.indexOf(request);
        if (index >= 0) queue.splice(index, 1);
        removeIfEmpty(service, queue);
      };
    },
    countAhead: (service, request) => {
      const sorted = [...queues.get(service) ?? [], request];
      sortQueue(sorted, clock.nowMs());
      return sorted.indexOf(request);
    },
    count: (service) =>
      service === undefined
        ? [...queues.values()].reduce((sum, queue) => sum + queue.length, 0)
        : queues.get(service)?.length ?? 0,
  };

  function check(): void {
    for (const [service, queue] of queues) {
      sortQueue(queue, clock.nowMs());
      while (queue.length > 0) {
        const first = queue.shift()!;
        if (first.send()) continue;
        queue.unshift(first);
        break;
      }
      refuseHopeless(service, queue);
      removeIfEmpty(service, queue);
    }
  }

  function refuseHopeless(service: string, queue: WaitingRequest[]): void {
    const nowMs = clock.nowMs();
    const intervalMs = getIntervalMs(service);
    let position = 0;
    while (position < queue.length) {
      const request = queue[position]!;
      const waitMs = getLongerWaitMs(request, position, intervalMs);
      if (nowMs + waitMs <= request.sendBeforeMs) {
        position += 1;
        continue;
      }
      queue.splice(position, 1);
      request.refuse(waitMs, WaitEnd.NoTimeLeft);
    }
  }

  function getWaitMs(
    service: string,
    request: WaitingRequest,
    position: number,
  ): number {
    return getLongerWaitMs(request, position, getIntervalMs(service));
  }

  function getIntervalMs(service: string): number {
    const ratePerS = listUpstreamIds(service).reduce(
      (sum, upstreamId) => sum + (getRatePerS(upstreamId) ?? Infinity),
      0,
    );
    return 1_000 / Math.max(ratePerS, Number.EPSILON);
  }

  function removeIfEmpty(service: string, queue: WaitingRequest[]): void {
    if (queue.length > 0 || queues.get(service) !== queue) return;
    queues.delete(service);
    if (queues.size > 0) return;
    clearInterval(timer);
    timer = undefined;
  }
}

function getLongerWaitMs(
  request: WaitingRequest,
  position: number,
  intervalMs: number,
): number {
  // The next request is sent within one interval, half of it on average.
  const limitWaitMs = intervalMs * (position + 0.5);
  return Math.max(limitWaitMs, request.getWaitMs?.(position) ?? 0);
}

/**
 * Sorts a queue whose order changes with the time: a request that has missed its
 * objective goes after those of its priority that can still meet theirs.
 */
function sortQueue(queue: WaitingRequest[], nowMs: number): void {
  queue.sort((left, right) => compareRequests(left, right, nowMs));
  const overShare = findOverShare(queue);
  if (overShare.size === 0) return;
  queue.sort((left, right) =>
    compareGroups(left, right) ||
    Number(overShare.has(left)) - Number(overShare.has(right)) ||
    compareRequests(left, right, nowMs)
  );
}

function compareRequests(
  left: WaitingRequest,
  right: WaitingRequest,
  nowMs: number,
): number {
  const leftMs = left.onTimeBeforeMs ?? left.sendBeforeMs;
  const rightMs = right.onTimeBeforeMs ?? right.sendBeforeMs;
  const isLeftLate = left.onTimeBeforeMs !== undefined && leftMs < nowMs;
  const isRightLate = right.onTimeBeforeMs !== undefined && rightMs < nowMs;
  return compareGroups(left, right) ||
    Number(isLeftLate) - Number(isRightLate) ||
    (isLeftLate ? 0 : leftMs - rightMs) ||
    left.sendBeforeMs - right.sendBeforeMs;
}

function compareGroups(left: WaitingRequest, right: WaitingRequest): number {
  return Number(left.isEarlyReturn ?? false) -
      Number(right.isEarlyReturn ?? false) ||
    left.priority - right.priority ||
    Number(right.isReturn ?? false) - Number(left.isReturn ?? false);
}

/**
 * Finds the requests beyond an equal part of the queue for each customer that
 * has requests in it. They go after the others of their priority.
 */
function findOverShare(
  queue: readonly WaitingRequest[],
): ReadonlySet<WaitingRequest> {
  const counts = new Map<string | undefined, number>();
  for (const { customerId } of queue) {
    counts.set(customerId, (counts.get(customerId) ?? 0) + 1);
  }
  const overShare = new Set<WaitingRequest>();
  if (counts.size < 2) return overShare;
  const share = Math.ceil(queue.length / counts.size);
  const seen = new Map<string | undefined, number>();
  for (const request of queue) {
    const count = (seen.get(request.customerId) ?? 0) + 1;
    seen.set(request.customerId, count);
    if (count > share) overShare.add(request);
  }
  return overShare;
}
