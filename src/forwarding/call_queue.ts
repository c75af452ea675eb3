/**
 * The calls that wait at this instance until an upstream can start them soon.
 * They share the queue, and its order, with the requests that wait for stated
 * limits. Whether a call is sent, waits or is refused is decided in
 * `call_scheduling.ts`, again with each check of the queue.
 */
import type { Clock } from "../core/clock.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import type { DemandShare } from "../limits/demand_share.ts";
import {
  type LimitQueue,
  WaitEnd,
  type WaitingRequest,
} from "../limits/limit_queue.ts";
import { type CallPace, createCallPace } from "./call_pace.ts";
import { CallerStanding, createCallReturns } from "./call_returns.ts";
import {
  type CallForecast,
  CallRefusal,
  type CapacityState,
  decideCall,
  getServiceMs,
  getStartMs,
  getStartsPerMs,
} from "./call_scheduling.ts";
import { estimateCall, getSlots } from "./expected_time.ts";
import type { ForwardingMetrics } from "./forwarding_metrics.ts";
import { getAvailableAtMs, listReachable } from "./placement.ts";
import { getRoutePriority } from "./request_priority.ts";
import {
  getCapacityRetryAfterMs,
  getHonouredDelayMs,
  getRetryAfterMs,
} from "./retry_after.ts";
import type { UpstreamDirectory } from "./upstream_directory.ts";
import type { Upstream } from "./upstream_types.ts";

export interface QueuedCall {
  readonly requestId: string;
  readonly service: string;
  readonly customerId: string | undefined;
  /** Lower ones go first; see `combinePriorities`. */
  readonly priority: number;
  readonly objectiveAtMs: number;
  readonly deadlineAtMs: number;
  /** Identifies the repetitions of a call. */
  getCallerKey(): string;
}

export interface CallHandlers {
  /** Sends the call to one of the upstreams; false if none takes it after all. */
  send(upstreams: readonly Upstream[]): boolean;
  /** `backlogMs` is the time until the stated limits allow the call. */
  refuse(refusal: CallRefusal, backlogMs: number): void;
}

export interface CallQueue {
  /**
   * Sends or refuses the call at once, or lets it wait. Returns a function that
   * removes it.
   */
  add(call: QueuedCall, handlers: CallHandlers): () => void;
  /** Chooses when a refused caller should return, and remembers it. */
  getReturnDelayMs(call: QueuedCall, backlogMs: number): number;
  /** Calls that wait here. */
  count(): number;
}

export interface CallQueueOptions {
  readonly clock: Pick<Clock, "nowMs">;
  readonly random: Random;
  readonly logger: Logger;
  readonly limitQueue: LimitQueue;
  readonly directory: Pick<UpstreamDirectory, "listUsable">;
  readonly demand: Pick<DemandShare, "getShare">;
  readonly metrics: Pick<ForwardingMetrics, "callWaitTime" | "refusedCalls">;
}

/**
 * A call that waits takes up to the size of its body. An instance starts some
 * six calls a second at the limit of its share, so more would not be sent within
 * a timeout of a few seconds.
 */
const maxWaitingCalls = 64;
/** A call with less time left would be cut off by its deadline. */
const minServiceMs = 20;
/**
 * Part of this instance's capacity up to which it also starts calls that can't
 * be on time; the rest is left to those that can. With 0.5 and more, calls that
 * could have been on time were late behind them in the replayed crests.
 */
const turnRatio = 0.3;
/** A call that is sent still waits a little in the queue of its upstream. */
const onTimeMargin = 1.5;
/** A full upstream is tried again after 100 ms, a lost one after 600 or more. */
const maxFullMs = 150;

export function createCallQueue(
  { clock, random, logger, limitQueue, directory, demand, metrics }:
    CallQueueOptions,
): CallQueue {
  const returns = createCallReturns({ clock });
  /** By service; there are as many as services in the configuration. */
  const paces = new Map<string, CallPace>();
  let waitingCount = 0;
  return { add, getReturnDelayMs, count: () => waitingCount };

  function add(call: QueuedCall, handlers: CallHandlers): () => void {
    const { service, priority, customerId } = call;
    const standing = returns.isEmpty()
      ? CallerStanding.New
      : returns.takeStanding(call.getCallerKey());
    const addedAtMs = clock.nowMs();
    const jitter = random.next();
    const initial = getState(service);
    const serviceMs = Math.max(
      minServiceMs,
      getServiceMs(initial) ?? minServiceMs,
    );
    let isWaiting = false;
    let isHeldByLimit = false;
    const request: WaitingRequest = {
      priority,
      customerId,
      isEarlyReturn: standing === CallerStanding.ReturnedEarly,
      isReturn: standing === CallerStanding.ReturnedAsTold,
      onTimeBeforeMs: call.objectiveAtMs - serviceMs * onTimeMargin,
      sendBeforeMs: call.deadlineAtMs - serviceMs,
      getWaitMs: (position) => getStartMs(getState(service), position),
      send: () => attempt(getState(service), 0) !== "wait",
      refuse: (backlogMs, reason) => {
        end();
        if (reason === WaitEnd.QueueFull) refuse(CallRefusal.QueueFull);
        else if (isHeldByLimit) refuse(CallRefusal.StatedLimit, backlogMs);
        else refuse(CallRefusal.Deadline);
      },
    };
    const aheadCount = limitQueue.countAhead(service, request);
    if (attempt(initial, aheadCount) !== "wait") return () => {};
    isWaiting = true;
    waitingCount += 1;
    const remove = limitQueue.add(service, request, maxWaitingCalls);
    return () => {
      end();
      remove();
    };

    function attempt(state: CapacityState<Upstream>, ahead: number) {
      const schedule = decideCall(call, state, {
        aheadCount: ahead,
        // A call that waits is taken from the queue while it is decided upon.
        waitingCount: limitQueue.count(service),
        jitter,
      });
      switch (schedule.kind) {
        case "wait":
          isHeldByLimit = false;
          return schedule.kind;
        case "send":
          isHeldByLimit = !handlers.send(schedule.upstreams);
          if (isHeldByLimit) return "wait";
          recordSent();
          return schedule.kind;
        case "refuse":
          end();
          refuse(schedule.refusal);
          return schedule.kind;
      }
    }

    function recordSent(): void {
      getPace(service).recordStart();
      const waitMs = clock.nowMs() - addedAtMs;
      if (isWaiting) {
        logger.log(logEvents.callWaited, {
          request: call.requestId,
          service,
          priority: getRoutePriority(priority),
          waitMs: Math.round(waitMs),
          standing,
        });
      }
      end();
      metrics.callWaitTime.observeMs(waitMs, {
        priority: getLabel(getRoutePriority(priority)),
      });
    }

    function refuse(refusal: CallRefusal, backlogMs = 0): void {
      metrics.refusedCalls.add({ reason: refusal });
      logger.log(logEvents.callRefused, {
        request: call.requestId,
        service,
        priority: getRoutePriority(priority),
        refusal,
        standing,
        waitingCount,
        startMs: Math.round(getStartMs(getState(service), 0)),
        remainingMs: Math.round(call.deadlineAtMs - clock.nowMs()),
      });
      handlers.refuse(refusal, backlogMs);
    }

    function end(): void {
      if (isWaiting) waitingCount -= 1;
      isWaiting = false;
    }
  }

  function getReturnDelayMs(call: QueuedCall, backlogMs: number): number {
    const { service } = call;
    const state = getState(service);
    const remainingMs = call.deadlineAtMs - state.nowMs;
    const delayMs = state.forecasts.length === 0
      ? getRetryAfterMs(directory.listUsable(service), {
        nowMs: state.nowMs,
        random,
        backlogMs,
      })
      : getCapacityRetryAfterMs({
        freeInMs: Math.max(backlogMs, getStartMs(state, 0)),
        spreadMs: getStartMs(state, limitQueue.count(service)) -
          getStartMs(state, 0) + (getServiceMs(state) ?? 0),
        remainingMs,
        random,
      });
    returns.recordRefusal(
      call.getCallerKey(),
      getHonouredDelayMs(delayMs, remainingMs),
    );
    return delayMs;
  }

  function getState(service: string): CapacityState<Upstream> {
    const nowMs = clock.nowMs();
    const usable = directory.listUsable(service);
    const reachable = listReachable(usable, { nowMs, triedIds: noneTried });
    const forecasts = reachable.map((upstream) => forecast(upstream, nowMs));
    const share = demand.getShare(service);
    return {
      nowMs,
      forecasts,
      availableInMs: Math.max(
        0,
        Math.min(...usable.map(getAvailableAtMs)) - nowMs,
      ),
      isOutage: usable.every(({ suspendedUntilMs }) =>
        suspendedUntilMs - nowMs > maxFullMs
      ),
      share,
      hasTurn: getPace(service).hasTurn(
        turnRatio * getStartsPerMs({ forecasts, share }),
      ),
    };
  }

  function getPace(service: string): CallPace {
    let pace = paces.get(service);
    if (!pace) {
      pace = createCallPace({ clock });
      paces.set(service, pace);
    }
    return pace;
  }
}

const noneTried: ReadonlySet<string> = new Set();

function forecast(upstream: Upstream, nowMs: number): CallForecast<Upstream> {
  const { inFlightCount, reported } = upstream;
  const slots = getSlots(upstream);
  const usedCount = Math.max(inFlightCount, reported?.load.runningCount ?? 0);
  return {
    upstream,
    ...estimateCall(upstream, nowMs),
    slots,
    freeSlots: Math.max(0, slots - usedCount),
    reportAgeMs: getKnowledgeAgeMs(upstream, nowMs),
  };
}

/** This instance knows its own calls without delay. */
function getKnowledgeAgeMs(upstream: Upstream, nowMs: number): number {
  const { inFlightCount, reported } = upstream;
  if (inFlightCount >= getSlots(upstream)) return 0;
  return reported ? nowMs - reported.atMs : Infinity;
}

/** Configured priorities are bounded, but metrics keep a series for each. */
function getLabel(priority: number): string {
  return priority < 10 ? String(priority) : "10+";
}
