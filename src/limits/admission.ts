/**
 * Admits requests: at once while the instance has capacity and the customer is
 * within its share, else after a wait in the queue, or not at all when the wait
 * would exceed the deadline. A refused request has not run.
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../core/clock.ts";
import { createError, ErrorKind, type SystemError } from "../core/errors.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import type { CustomerId } from "../core/types.ts";
import { createAdmissionQueue, type QueueEntry } from "./admission_queue.ts";
import type { ConcurrencyWindow } from "./concurrency_window.ts";
import type { FairShare } from "./fair_share.ts";

export interface AdmissionRequest {
  readonly customerId: CustomerId;
  readonly priority: number;
  /** On the clock of `nowMs`. */
  readonly deadlineAtMs: number;
  /** Aborted when the caller is gone. */
  readonly signal?: AbortSignal | undefined;
}

export interface Admitted {
  /** Above its share the customer's work yields to others at the engines. */
  readonly isOverShare: boolean;
}

export interface Admission {
  /** Counts the answer as open when it is admitted. */
  admit(request: AdmissionRequest): Promise<Result<Admitted, SystemError>>;
  /** An answer that was opened without admission, by a takeover. */
  recordOpened(customerId: CustomerId): void;
  recordClosed(customerId: CustomerId): void;
  recordTokens(customerId: CustomerId, count: number): void;
  /** Ends waits whose deadline has passed and starts what has capacity. */
  tick(): void;
  getStats(): AdmissionStats;
}

export interface AdmissionStats {
  readonly openCount: number;
  readonly queueLength: number;
  readonly windowSize: number;
  readonly admittedCount: number;
  readonly refusedCount: number;
}

export interface AdmissionOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly shares: FairShare;
  readonly window: ConcurrencyWindow;
  readonly maxQueueLength: number;
  readonly maxQueueWaitMs: number;
}

interface Waiting extends QueueEntry {
  readonly resolve: (result: Result<Admitted, SystemError>) => void;
}

/** Half the queue stays open to the other customers. */
const maxCustomerRatio = 0.5;
const minRetryAfterMs = 100;
const maxRetryAfterMs = 60_000;
/** Assumed length of an answer until the first ones have closed. */
const assumedAnswerS = 10;
const rateWindowMs = 10_000;

export function createAdmission(options: AdmissionOptions): Admission {
  const { clock, logger, shares, window } = options;
  const queue = createAdmissionQueue<Waiting>({
    maxLength: options.maxQueueLength,
    maxCustomerRatio,
  });
  const counts = { admitted: 0, refused: 0 };
  const closes = createRate(clock);
  /** Starts from the queue, which others that start at once do not slow. */
  const queueStarts = createRate(clock);
  return {
    admit,
    recordOpened: (customerId) => shares.open(customerId),
    recordClosed,
    recordTokens: (customerId, count) => shares.recordTokens(customerId, count),
    tick,
    getStats: () => ({
      openCount: shares.getOpenCount(),
      queueLength: queue.getLength(),
      windowSize: window.getSize(),
      admittedCount: counts.admitted,
      refusedCount: counts.refused,
    }),
  };

  function admit(
    request: AdmissionRequest,
  ): Promise<Result<Admitted, SystemError>> {
    const { customerId, deadlineAtMs } = request;
    const nowMs = clock.nowMs();
    if (deadlineAtMs <= nowMs) {
      return refuse(request, getRetryAfterMs(request));
    }
    const tokenWaitMs = shares.getTokenWaitMs(customerId);
    const isFirst = queue.countAhead(request, shares.getUse) === 0;
    const canStart = tokenWaitMs === 0 &&
      shares.canOpen(customerId, window.getSize());
    if (canStart && isFirst) return Promise.resolve(ok(start(customerId)));
    const waitMs = Math.max(tokenWaitMs, getExpectedWaitMs(request));
    const isLate = waitMs > options.maxQueueWaitMs ||
      nowMs + waitMs > deadlineAtMs;
    if (!isLate) return enqueue(request);
    return refuse(request, Math.max(tokenWaitMs, getRetryAfterMs(request)));
  }

  function start(customerId: CustomerId): Admitted {
    const isOverShare = shares.isOverShare(customerId, window.getSize());
    shares.open(customerId);
    counts.admitted += 1;
    return { isOverShare };
  }

  function enqueue(
    request: AdmissionRequest,
  ): Promise<Result<Admitted, SystemError>> {
    const { customerId, priority, signal } = request;
    const latestMs = clock.nowMs() + options.maxQueueWaitMs;
    return new Promise((resolve) => {
      const entry: Waiting = {
        customerId,
        priority,
        deadlineAtMs: Math.min(request.deadlineAtMs, latestMs),
        resolve: (result) => {
          signal?.removeEventListener("abort", onAbort);
          resolve(result);
        },
      };
      if (signal?.aborted || !queue.tryAdd(entry)) {
        resolve(refuse(request, getRetryAfterMs(request)));
        return;
      }
      signal?.addEventListener("abort", onAbort);

      function onAbort(): void {
        if (!queue.remove(entry)) return;
        entry.resolve(err(getRefusal(customerId, getRetryAfterMs(entry))));
      }
    });
  }

  function refuse(
    { customerId }: AdmissionRequest,
    waitMs: number,
  ): Promise<Result<Admitted, SystemError>> {
    return Promise.resolve(err(getRefusal(customerId, waitMs)));
  }

  function getRefusal(customerId: CustomerId, waitMs: number): SystemError {
    counts.refused += 1;
    const isOwnFault = shares.getTokenWaitMs(customerId) > 0 ||
      shares.isOverShare(customerId, window.getSize());
    const retryAfterMs = Math.round(
      Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs)),
    );
    logger.log(logEvents.admissionRefused, {
      customer: customerId,
      isOverShare: isOwnFault,
      retryAfterMs,
      queueLength: queue.getLength(),
      openCount: shares.getOpenCount(),
    });
    return isOwnFault
      ? createError(
        ErrorKind.CustomerLimit,
        "the customer is above its share of this instance",
        { retryAfterMs },
      )
      : createError(
        ErrorKind.Overloaded,
        "no capacity before the deadline of the request",
        { retryAfterMs },
      );
  }

  /** Time until the requests that go before this one have started. */
  function getExpectedWaitMs(request: QueueEntry): number {
    const isFree = queue.getLength() === 0 &&
      shares.canOpen(request.customerId, window.getSize());
    if (isFree) return 0;
    const openCount = shares.getOpenCount();
    const startsPerS = queueStarts.getPerS() ?? closes.getPerS() ??
      Math.max(1, openCount) / assumedAnswerS;
    const excessCount = Math.max(0, openCount - window.getSize());
    const ahead = queue.countAhead(request, shares.getUse);
    return (ahead + 1 + excessCount) / Math.max(0.01, startsPerS) * 1_000;
  }

  /** The same request sent again goes behind those that wait now. */
  function getRetryAfterMs(request: QueueEntry): number {
    return getExpectedWaitMs({ ...request, deadlineAtMs: Infinity });
  }

  function recordClosed(customerId: CustomerId): void {
    shares.close(customerId);
    closes.add();
    startWaiting();
  }

  function tick(): void {
    for (const entry of queue.takeExpired(clock.nowMs())) {
      const retryAfterMs = getRetryAfterMs(entry);
      entry.resolve(err(getRefusal(entry.customerId, retryAfterMs)));
    }
    startWaiting();
  }

  function startWaiting(): void {
    while (queue.getLength() > 0) {
      const entry = queue.takeNext({
        nowMs: clock.nowMs(),
        getUse: shares.getUse,
        canStart: (customerId) =>
          shares.canOpen(customerId, window.getSize()) &&
          shares.getTokenWaitMs(customerId) === 0,
      });
      if (!entry) return;
      queueStarts.add();
      entry.resolve(ok(start(entry.customerId)));
    }
  }
}

/** Exponentially weighted rate of events; undefined before it is known. */
function createRate(clock: Clock) {
  const startedAtMs = clock.nowMs();
  let weight = 0;
  let atMs = startedAtMs;
  return {
    add: () => {
      decay();
      weight += 1;
    },
    getPerS: (): number | undefined => {
      decay();
      const seenMs = clock.nowMs() - startedAtMs;
      if (weight < 1) return undefined;
      const windowMs = rateWindowMs * (1 - Math.exp(-seenMs / rateWindowMs));
      return weight / Math.max(100, windowMs) * 1_000;
    },
  };

  function decay(): void {
    const nowMs = clock.nowMs();
    weight *= Math.exp(-(nowMs - atMs) / rateWindowMs);
    atMs = nowMs;
  }
}
