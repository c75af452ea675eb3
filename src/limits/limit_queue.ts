/**
 * Requests that wait until the limits of their upstreams allow another one. The
 * most urgent ones go first, then those with the least time left. A request that
 * cannot be sent in time is refused as soon as that is known.
 */
import type { Clock } from "../core/clock.ts";
import type { UpstreamId } from "../core/types.ts";

export interface WaitingRequest {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Later, the request could not be answered before its deadline. */
  readonly sendBeforeMs: number;
  /** Sends the request; returns false if no upstream takes it after all. */
  send(): boolean;
  /** `backlogMs` is the time until the requests ahead of it are sent. */
  refuse(backlogMs: number): void;
}

export interface LimitQueue {
  /** Returns a function that removes the request. */
  add(service: string, request: WaitingRequest): () => void;
  count(): number;
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
    add: (service, request) => {
      const queue = queues.get(service) ?? [];
      queues.set(service, queue);
      insert(queue, request);
      refuseHopeless(service, queue);
      timer ??= setInterval(check, checkIntervalMs);
      return () => {
        const index = queue.indexOf(request);
        if (index >= 0) queue.splice(index, 1);
        removeIfEmpty(service, queue);
      };
    },
    count: () =>
      [...queues.values()].reduce((sum, queue) => sum + queue.length, 0),
  };

  function check(): void {
    for (const [service, queue] of queues) {
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
    const ratePerS = listUpstreamIds(service).reduce(
      (sum, upstreamId) => sum + (getRatePerS(upstreamId) ?? Infinity),
      0,
    );
    const intervalMs = 1_000 / Math.max(ratePerS, Number.EPSILON);
    const nowMs = clock.nowMs();
    let position = 0;
    while (position < queue.length) {
      // The next request is sent within one interval, half of it on average.
      const waitMs = intervalMs * (position + 0.5);
      if (nowMs + waitMs <= queue[position]!.sendBeforeMs) {
        position += 1;
        continue;
      }
      const [refused] = queue.splice(position, 1);
      refused!.refuse(waitMs);
    }
  }

  function removeIfEmpty(service: string, queue: WaitingRequest[]): void {
    if (queue.length > 0 || queues.get(service) !== queue) return;
    queues.delete(service);
    if (queues.size > 0) return;
    clearInterval(timer);
    timer = undefined;
  }
}

function insert(queue: WaitingRequest[], request: WaitingRequest): void {
  const index = queue.findIndex((other) =>
    other.priority > request.priority ||
    (other.priority === request.priority &&
      other.sendBeforeMs > request.sendBeforeMs)
  );
  if (index < 0) queue.push(request);
  else queue.splice(index, 0, request);
}
