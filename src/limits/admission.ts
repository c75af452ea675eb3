/**
 * Admission control of an instance. A request is admitted at once while the
 * instance has capacity and its customer is within its share. Otherwise it
 * waits in the queue, or is refused when the expected wait would exceed its
 * deadline. A refused request has not been executed.
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
  /** Monotonic time, comparable with `Clock.nowMs`. */
  readonly deadlineAtMs: number;
  /** Aborted when the caller disconnects. */
  readonly signal?: AbortSignal | undefined;
}

export interface AdmissionGrant {
  /** If the customer is over its share, engines prefer requests of others. */
  readonly isOverShare: boolean;
}

export interface Admission {
  /** Admits or refuses; an admitted answer is open until `recordClosed`. */
  admit(
    request: AdmissionRequest,
  ): Promise<Result<AdmissionGrant, SystemError>>;
  /** Counts an answer that a takeover opened without admission. */
  recordOpened(customerId: CustomerId): void;
  recordClosed(customerId: CustomerId): void;
  recordTokens(customerId: CustomerId, count: number): void;
  /** Refuses queued requests past their deadline and admits those that fit. */
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

interface WaitingEntry extends QueueEntry {
  readonly resolve: (result: Result<AdmissionGrant, SystemError>) => void;
}

/** One customer fills at most half of the queue; the rest is for the others. */
const maxCustomerRatio = 0.5;
const minRetryAfterMs = 100;
const maxRetryAfterMs = 60_000;
/** Assumed duration of an answer until the first answers have closed. */
const initialAnswerDurationS = 10;
const rateWindowMs = 10_000;

export function createAdmission(options: AdmissionOptions): Admission {
  const { clock, logger, shares, window } = options;
  const queue = createAdmissionQueue<WaitingEntry>({
    maxLength: options.maxQueueLength,
    maxCustomerRatio,
  });
  const counts = { admitted: 0, refused: 0 };
  const closeRate = createRateMeter(clock);
  /**
   * Rate of admissions from the queue. Requests that are admitted at once are
   * not counted, because they do not delay the queue.
   */
  const dequeueRate = createRateMeter(clock);
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
  ): Promise<Result<AdmissionGrant, SystemError>> {
    const { customerId, deadlineAtMs } = request;
    const nowMs = clock.nowMs();
    if (deadlineAtMs <= nowMs) {
      return refuse(request, getRetryAfterMs(request));
    }
    const tokenWaitMs = shares.getTokenWaitMs(customerId);
    const isFirst =
      queue.countAhead(request, shares.getWeightedOpenCount) === 0;
    const canAdmit = tokenWaitMs === 0 &&
      shares.canOpen(customerId, window.getSize());
    if (canAdmit && isFirst) return Promise.resolve(ok(openAnswer(customerId)));
    const waitMs = Math.max(tokenWaitMs, getExpectedWaitMs(request));
    const isWaitTooLong = waitMs > options.maxQueueWaitMs ||
      nowMs + waitMs > deadlineAtMs;
    if (!isWaitTooLong) return enqueue(request);
    return refuse(request, Math.max(tokenWaitMs, getRetryAfterMs(request)));
  }

  function openAnswer(customerId: CustomerId): AdmissionGrant {
    const isOverShare = shares.isOverShare(customerId, window.getSize());
    shares.open(customerId);
    counts.admitted += 1;
    return { isOverShare };
  }

  function enqueue(
    request: AdmissionRequest,
  ): Promise<Result<AdmissionGrant, SystemError>> {
    const { customerId, priority, signal } = request;
    const latestMs = clock.nowMs() + options.maxQueueWaitMs;
    return new Promise((resolve) => {
      const entry: WaitingEntry = {
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
        entry.resolve(err(createRefusal(customerId, getRetryAfterMs(entry))));
      }
    });
  }

  function refuse(
    { customerId }: AdmissionRequest,
    waitMs: number,
  ): Promise<Result<AdmissionGrant, SystemError>> {
    return Promise.resolve(err(createRefusal(customerId, waitMs)));
  }

  function createRefusal(customerId: CustomerId, waitMs: number): SystemError {
    counts.refused += 1;
    const isCustomerLimited = shares.getTokenWaitMs(customerId) > 0 ||
      shares.isOverShare(customerId, window.getSize());
    const retryAfterMs = Math.round(
      Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs)),
    );
    logger.log(logEvents.admissionRefused, {
      customer: customerId,
      isOverShare: isCustomerLimited,
      retryAfterMs,
      queueLength: queue.getLength(),
      openCount: shares.getOpenCount(),
    });
    return isCustomerLimited
      ? createError(
        ErrorKind.CustomerLimit,
        "the customer is over its share of this instance's capacity",
        { retryAfterMs },
      )
      : createError(
        ErrorKind.Overloaded,
        "no capacity is expected before the deadline of the request",
        { retryAfterMs },
      );
  }

  /** Expected time until the requests ahead of this one have been admitted. */
  function getExpectedWaitMs(request: QueueEntry): number {
    const canAdmitNow = queue.getLength() === 0 &&
      shares.canOpen(request.customerId, window.getSize());
    if (canAdmitNow) return 0;
    const openCount = shares.getOpenCount();
    const dequeuesPerS = dequeueRate.getEventsPerS() ??
      closeRate.getEventsPerS() ??
      Math.max(1, openCount) / initialAnswerDurationS;
    const excessCount = Math.max(0, openCount - window.getSize());
    const ahead = queue.countAhead(request, shares.getWeightedOpenCount);
    return (ahead + 1 + excessCount) / Math.max(0.01, dequeuesPerS) * 1_000;
  }

  /** Expected wait of a retry, which is queued behind those that wait now. */
  function getRetryAfterMs(request: QueueEntry): number {
    return getExpectedWaitMs({ ...request, deadlineAtMs: Infinity });
  }

  function recordClosed(customerId: CustomerId): void {
    shares.close(customerId);
    closeRate.add();
    admitWaiting();
  }

  function tick(): void {
    for (const entry of queue.takeExpired(clock.nowMs())) {
      const retryAfterMs = getRetryAfterMs(entry);
      entry.resolve(err(createRefusal(entry.customerId, retryAfterMs)));
    }
    admitWaiting();
  }

  function admitWaiting(): void {
    while (queue.getLength() > 0) {
      const entry = queue.takeNext({
        nowMs: clock.nowMs(),
        getWeightedOpenCount: shares.getWeightedOpenCount,
        canAdmit: (customerId) =>
          shares.canOpen(customerId, window.getSize()) &&
          shares.getTokenWaitMs(customerId) === 0,
      });
      if (!entry) return;
      dequeueRate.add();
      entry.resolve(ok(openAnswer(entry.customerId)));
    }
  }
}

/** Exponentially weighted rate of events; undefined until it is known. */
function createRateMeter(clock: Clock) {
  const startedAtMs = clock.nowMs();
  let weight = 0;
  let atMs = startedAtMs;
  return {
    add: () => {
      decay();
      weight += 1;
    },
    getEventsPerS: (): number | undefined => {
      decay();
      const observedMs = clock.nowMs() - startedAtMs;
      if (weight < 1) return undefined;
      const windowMs = rateWindowMs *
        (1 - Math.exp(-observedMs / rateWindowMs));
      return weight / Math.max(100, windowMs) * 1_000;
    },
  };

  function decay(): void {
    const nowMs = clock.nowMs();
    weight *= Math.exp(-(nowMs - atMs) / rateWindowMs);
    atMs = nowMs;
  }
}
