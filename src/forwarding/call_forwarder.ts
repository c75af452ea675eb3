/**
 * Forwards a non-streaming call: tries one upstream after another until one
 * responds, the deadline passes or the caller disconnects.
 */
import { assertNever } from "../core/assert_never.ts";
import { ErrorKind } from "../core/errors.ts";
import { logEvents } from "../core/log_events.ts";
import {
  type AttemptOutcome,
  type CallAttempt,
  startCallAttempt,
} from "./call_attempt.ts";
import { createCallCrashGuard } from "./call_crash_guard.ts";
import { decideAfterAttempt } from "./call_decisions.ts";
import type { QueuedCall } from "./call_queue.ts";
import { CallRefusal } from "./call_scheduling.ts";
import type {
  AdmittedRequest,
  ForwardingContext,
} from "./forwarding_context.ts";
import {
  createPlacementContext,
  failRequest,
  limitReason,
} from "./forwarding_steps.ts";
import { RequestKind } from "./forwarding_table.ts";
import {
  chooseForCall,
  listReachable,
  type PlacementContext,
} from "./placement.ts";
import { getRequestDigest } from "./request_digest.ts";
import type { Upstream } from "./upstream_types.ts";

interface StartedAttempt {
  /** Undefined if the call ended while it waited. */
  readonly upstream: Upstream | undefined;
  readonly started: Promise<AttemptOutcome> | undefined;
}

/** An attempt takes about this part of the route's objective. */
const attemptTimeRatio = 0.5;

const refusalReasons: Readonly<Record<CallRefusal, string>> = {
  [CallRefusal.Deadline]: "no upstream would complete the call in time",
  [CallRefusal.NoUpstream]: "no upstream is available",
  [CallRefusal.StatedLimit]: limitReason,
  [CallRefusal.QueueFull]: "too many calls wait for the service",
};

export async function forwardCall(
  context: ForwardingContext,
  admitted: AdmittedRequest,
): Promise<void> {
  const { clock, logger, protocol, directory, budget, metrics } = context;
  const { caller, route, service, deadlineAtMs, priority } = admitted;
  const { requestId } = caller.description;
  const budgetKey = { service: service.name, customerId: "" };
  const triedIds = new Set<string>();
  let ranCount = 0;
  let notRunCount = 0;
  let currentAttempt: CallAttempt | undefined;
  let attemptSentAtMs = 0;
  let endWaiting: (() => void) | undefined;
  let isFinished = false;
  caller.onDisconnect(() => {
    stop();
    logger.log(logEvents.callerLeft, { request: requestId, ranCount });
  });
  caller.onShutdown(handleShutdown);
  const timer = setTimeout(
    handleDeadline,
    Math.max(0, deadlineAtMs - clock.nowMs()),
  );
  const crashGuard = createCallCrashGuard(context, admitted);
  if (refuseIfSuspected()) return;
  budget.recordUseful(budgetKey, 1);
  context.demand.recordRequest(service.name);
  const isScheduled = context.isLoadAware(service.name);
  const queuedCall: QueuedCall = {
    requestId,
    service: service.name,
    customerId: admitted.customerId,
    priority,
    objectiveAtMs: clock.nowMs() + route.objectiveMs,
    deadlineAtMs,
    getCallerKey: () => getRequestDigest(admitted),
  };
  let upstream: Upstream | undefined;
  let started: Promise<AttemptOutcome> | undefined;
  if (isScheduled) ({ upstream, started } = await waitForTurn());
  else {
    upstream = chooseUpstream();
    if (!upstream && isAtLimit()) ({ upstream, started } = await waitForRoom());
  }
  while (!isFinished) {
    if (!upstream) {
      failCall(ErrorKind.NoUpstream, "no upstream is available");
      break;
    }
    const outcome = await (started ?? startAttempt(upstream));
    started = undefined;
    crashGuard.recordOutcome(upstream.info, outcome, attemptSentAtMs);
    if (isFinished) break;
    if (outcome.kind === "notRun") {
      notRunCount += 1;
      currentAttempt = undefined;
    } else ranCount += 1;
    const next = isFailure(outcome) ? chooseUpstream() : undefined;
    const decision = decideAfterAttempt(outcome, {
      kind: route.kind,
      ranCount,
      notRunCount,
      maxAttempts: route.maxAttempts,
      remainingMs: deadlineAtMs - clock.nowMs(),
      hasBudget: budget.getAvailable(budgetKey) >= 1,
      hasUpstream: next !== undefined,
      canWait: isScheduled,
    });
    logAttempt(upstream, outcome, decision.kind);
    switch (decision.kind) {
      case "relay":
        relay(outcome);
        break;
      case "retry":
        if (failIfSuspected()) break;
        budget.tryDraw(budgetKey, 1);
        upstream = next;
        break;
      case "schedule":
        if (refuseIfSuspected()) break;
        budget.tryDraw(budgetKey, 1);
        // No upstream ran the call, and one that refused it is suspended.
        triedIds.clear();
        ({ upstream, started } = await waitForTurn());
        break;
      case "fail":
        if (failIfSuspected()) break;
        failCall(decision.error, getReason(outcome));
        break;
      default:
        assertNever(decision);
    }
  }

  function chooseUpstream(): Upstream | undefined {
    return chooseForCall(
      directory.listUsable(service.name),
      getPlacementContext(),
    );
  }

  function getPlacementContext(): PlacementContext {
    return createPlacementContext(context, {
      service: service.name,
      triedIds,
      unreportedPlacementCount: 0,
    });
  }

  /** Whether only the limits of upstreams prevent an attempt. */
  function isAtLimit(): boolean {
    const usable = directory.listUsable(service.name);
    return listReachable(usable, getPlacementContext()).length > 0;
  }

  /** Waits for the call's turn, and starts the attempt in that moment. */
  function waitForTurn(): Promise<StartedAttempt> {
    return new Promise((resolve) => {
      endWaiting = () => resolve({ upstream: undefined, started: undefined });
      const remove = context.callQueue.add(queuedCall, {
        send: (upstreams) => {
          if (refuseIfSuspected()) return true;
          const next = chooseForCall(upstreams, getPlacementContext());
          if (!next) return false;
          resolve({ upstream: next, started: startAttempt(next) });
          return true;
        },
        refuse: (refusal, backlogMs) => {
          const kind = refusal === CallRefusal.NoUpstream
            ? ErrorKind.NoUpstream
            : ErrorKind.Overloaded;
          failCall(kind, refusalReasons[refusal], backlogMs);
        },
      });
      if (isFinished) remove();
      else {
        endWaiting = () => {
          remove();
          resolve({ upstream: undefined, started: undefined });
        };
      }
    });
  }

  /** Waits until a limit has room, and starts the attempt in that moment. */
  function waitForRoom(): Promise<StartedAttempt> {
    return new Promise((resolve) => {
      endWaiting = () => resolve({ upstream: undefined, started: undefined });
      const remove = context.limitQueue.add(service.name, {
        priority,
        sendBeforeMs: deadlineAtMs - route.objectiveMs * attemptTimeRatio,
        send: () => {
          if (refuseIfSuspected()) return true;
          const next = chooseUpstream();
          if (!next) return false;
          resolve({ upstream: next, started: startAttempt(next) });
          return true;
        },
        refuse: (backlogMs) =>
          failCall(ErrorKind.Overloaded, limitReason, backlogMs),
      });
      if (isFinished) remove();
      else {
        endWaiting = () => {
          remove();
          resolve({ upstream: undefined, started: undefined });
        };
      }
    });
  }

  function startAttempt({ info }: Upstream): Promise<AttemptOutcome> {
    triedIds.add(info.upstreamId);
    attemptSentAtMs = clock.nowMs();
    const requestLoad = directory.trackRequest(info.upstreamId);
    currentAttempt = startCallAttempt(context, admitted, requestLoad, {
      mayReuseConnection: route.kind !== RequestKind.Unsafe,
    });
    return currentAttempt.outcome;
  }

  /** Refuses a call that crashes upstreams, or may do so, before it is sent. */
  function refuseIfSuspected(): boolean {
    const decision = crashGuard.decide();
    switch (decision.kind) {
      case "send":
        return false;
      case "hold":
        failCall(
          ErrorKind.NoUpstream,
          "the upstreams that the request may have crashed are not back yet",
          decision.waitMs,
        );
        return true;
      case "refuse":
        failCall(ErrorKind.RequestQuarantined, "the request crashes upstreams");
        return true;
      default:
        assertNever(decision);
    }
  }

  /** Fails a call that may have crashed upstreams instead of sending it again. */
  function failIfSuspected(): boolean {
    if (ranCount === 0) return refuseIfSuspected();
    const decision = crashGuard.decide();
    switch (decision.kind) {
      case "send":
        return false;
      case "hold": {
        const reason = "upstreams ended when they started to run the request";
        const kind = decision.isCrashing
          ? ErrorKind.UpstreamsCrashed
          : ErrorKind.UpstreamFailed;
        failCall(kind, reason);
        return true;
      }
      case "refuse":
        failCall(ErrorKind.UpstreamsCrashed, "the request crashes upstreams");
        return true;
      default:
        assertNever(decision);
    }
  }

  function relay(outcome: AttemptOutcome): void {
    stop();
    if (outcome.kind !== "answered") return;
    caller.startResponse(
      outcome.status,
      protocol.buildCallerHeaders(outcome.headers),
    );
    caller.endResponse(outcome.body);
  }

  /** Fails the call at its deadline; a started attempt may have run. */
  function handleDeadline(): void {
    if (isFinished) return;
    const isNotStarted = currentAttempt === undefined;
    failCall(
      isNotStarted ? ErrorKind.Overloaded : ErrorKind.OutcomeUnknown,
      "the deadline has passed",
    );
  }

  /** A caller of a call that was not started can repeat it elsewhere. */
  function handleShutdown(): void {
    if (isFinished) return;
    failCall(
      currentAttempt === undefined
        ? ErrorKind.ShuttingDown
        : ErrorKind.OutcomeUnknown,
      "the grace time is over",
    );
  }

  function failCall(kind: ErrorKind, reason: string, backlogMs = 0): void {
    currentAttempt?.cancel();
    stop();
    logger.log(logEvents.forwardingFailed, {
      request: requestId,
      route: route.name,
      kind,
      reason,
      ranCount,
      notRunCount,
      revision: admitted.revision,
    });
    failRequest(context, admitted, {
      kind,
      reason,
      backlogMs,
      ...(isScheduled
        ? {
          getRetryAfterMs: () =>
            context.callQueue.getReturnDelayMs(queuedCall, backlogMs),
        }
        : {}),
    });
  }

  function stop(): void {
    if (isFinished) return;
    isFinished = true;
    clearTimeout(timer);
    endWaiting?.();
    currentAttempt?.cancel();
  }

  function logAttempt(
    { info }: Upstream,
    outcome: AttemptOutcome,
    decision: string,
  ): void {
    if (!isFailure(outcome)) return;
    metrics.failedAttempts.add({ outcome: outcome.kind });
    logger.log(logEvents.attemptFailed, {
      request: requestId,
      upstream: info.upstreamId,
      outcome: outcome.kind,
      reason: getReason(outcome),
      ranCount,
      notRunCount,
      decision,
    });
  }
}

function isFailure(outcome: AttemptOutcome): boolean {
  return outcome.kind !== "answered" || outcome.status >= 500;
}

function getReason(outcome: AttemptOutcome): string {
  switch (outcome.kind) {
    case "answered":
      return `status ${outcome.status}`;
    case "passedOn":
      return "relayed as it arrived";
    case "notRun":
    case "unknown":
      return outcome.reason;
  }
}
