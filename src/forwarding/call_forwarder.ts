/**
 * Forwards a plain call: attempts at one upstream after the other until one
 * answers, the time is over or the caller leaves.
 */
import { assertNever } from "../core/assert_never.ts";
import { ErrorKind } from "../core/errors.ts";
import { logEvents } from "../core/log_events.ts";
import {
  type AttemptOutcome,
  type CallAttempt,
  startCallAttempt,
} from "./call_attempt.ts";
import { decideAfterAttempt } from "./call_decisions.ts";
import type {
  AdmittedRequest,
  ForwardingContext,
} from "./forwarding_context.ts";
import { failRequest, getPlacement } from "./forwarding_steps.ts";
import { RequestKind } from "./forwarding_table.ts";
import { chooseForCall } from "./placement.ts";
import type { Upstream } from "./upstream_directory.ts";

export async function forwardCall(
  context: ForwardingContext,
  admitted: AdmittedRequest,
): Promise<void> {
  const { clock, logger, protocol, directory, budget, metrics } = context;
  const { caller, route, service, endsAtMs } = admitted;
  const { requestId } = caller.description;
  const budgetKey = { service: service.name, customerId: "" };
  const triedIds = new Set<string>();
  let ranCount = 0;
  let notRunCount = 0;
  let current: CallAttempt | undefined;
  let isOver = false;
  caller.onGone(() => {
    stop();
    logger.log(logEvents.callerLeft, { request: requestId, ranCount });
  });
  const timer = setTimeout(expire, Math.max(0, endsAtMs - clock.nowMs()));
  budget.recordUseful(budgetKey, 1);
  let upstream = choose();
  while (!isOver) {
    if (!upstream) {
      giveUp(ErrorKind.NoUpstream, "no upstream is available");
      break;
    }
    const outcome = await attempt(upstream);
    if (isOver) break;
    if (outcome.kind === "notRun") notRunCount += 1;
    else ranCount += 1;
    const next = isFailure(outcome) ? choose() : undefined;
    const decision = decideAfterAttempt(outcome, {
      kind: route.kind,
      ranCount,
      notRunCount,
      maxAttempts: route.maxAttempts,
      remainingMs: endsAtMs - clock.nowMs(),
      hasBudget: budget.getAvailable(budgetKey) >= 1,
      hasUpstream: next !== undefined,
    });
    logAttempt(upstream, outcome, decision.kind);
    switch (decision.kind) {
      case "relay":
        relay(outcome);
        break;
      case "retry":
        budget.tryDraw(budgetKey, 1);
        upstream = next;
        break;
      case "fail":
        giveUp(decision.error, getReason(outcome));
        break;
      default:
        assertNever(decision);
    }
  }

  function choose(): Upstream | undefined {
    const placement = getPlacement(context, {
      service: service.name,
      triedIds,
      unseenPlacements: 0,
    });
    return chooseForCall(directory.listUsable(service.name), placement);
  }

  function attempt({ info }: Upstream): Promise<AttemptOutcome> {
    triedIds.add(info.upstreamId);
    const use = directory.use(info.upstreamId);
    current = startCallAttempt(context, admitted, use, {
      mayReuseConnection: route.kind !== RequestKind.Unsafe,
    });
    return current.outcome;
  }

  function relay(outcome: AttemptOutcome): void {
    stop();
    if (outcome.kind !== "answered") return;
    caller.startAnswer(
      outcome.status,
      protocol.buildCallerHeaders(outcome.headers),
    );
    caller.endAnswer(outcome.body);
  }

  /** The time is over; an attempt that is under way may have run. */
  function expire(): void {
    if (isOver) return;
    const isPromise = current === undefined;
    giveUp(
      isPromise ? ErrorKind.Overloaded : ErrorKind.OutcomeUnknown,
      "the time is over",
    );
  }

  function giveUp(kind: ErrorKind, reason: string): void {
    current?.cancel();
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
    failRequest(context, admitted, { kind, reason, backlogMs: 0 });
  }

  function stop(): void {
    if (isOver) return;
    isOver = true;
    clearTimeout(timer);
    current?.cancel();
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
      return "passed on";
    case "notRun":
    case "unknown":
      return outcome.reason;
  }
}
