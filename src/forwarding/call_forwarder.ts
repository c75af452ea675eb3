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
import { decideAfterAttempt } from "./call_decisions.ts";
import type {
  AdmittedRequest,
  ForwardingContext,
} from "./forwarding_context.ts";
import { createPlacementContext, failRequest } from "./forwarding_steps.ts";
import { RequestKind } from "./forwarding_table.ts";
import { chooseForCall } from "./placement.ts";
import type { Upstream } from "./upstream_types.ts";

export async function forwardCall(
  context: ForwardingContext,
  admitted: AdmittedRequest,
): Promise<void> {
  const { clock, logger, protocol, directory, budget, metrics } = context;
  const { caller, route, service, deadlineAtMs } = admitted;
  const { requestId } = caller.description;
  const budgetKey = { service: service.name, customerId: "" };
  const triedIds = new Set<string>();
  let ranCount = 0;
  let notRunCount = 0;
  let currentAttempt: CallAttempt | undefined;
  let isFinished = false;
  caller.onDisconnect(() => {
    stop();
    logger.log(logEvents.callerLeft, { request: requestId, ranCount });
  });
  const timer = setTimeout(
    handleDeadline,
    Math.max(0, deadlineAtMs - clock.nowMs()),
  );
  budget.recordUseful(budgetKey, 1);
  let upstream = chooseUpstream();
  while (!isFinished) {
    if (!upstream) {
      failCall(ErrorKind.NoUpstream, "no upstream is available");
      break;
    }
    const outcome = await startAttempt(upstream);
    if (isFinished) break;
    if (outcome.kind === "notRun") notRunCount += 1;
    else ranCount += 1;
    const next = isFailure(outcome) ? chooseUpstream() : undefined;
    const decision = decideAfterAttempt(outcome, {
      kind: route.kind,
      ranCount,
      notRunCount,
      maxAttempts: route.maxAttempts,
      remainingMs: deadlineAtMs - clock.nowMs(),
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
        failCall(decision.error, getReason(outcome));
        break;
      default:
        assertNever(decision);
    }
  }

  function chooseUpstream(): Upstream | undefined {
    const placement = createPlacementContext(context, {
      service: service.name,
      triedIds,
      unreportedPlacementCount: 0,
    });
    return chooseForCall(directory.listUsable(service.name), placement);
  }

  function startAttempt({ info }: Upstream): Promise<AttemptOutcome> {
    triedIds.add(info.upstreamId);
    const requestLoad = directory.trackRequest(info.upstreamId);
    currentAttempt = startCallAttempt(context, admitted, requestLoad, {
      mayReuseConnection: route.kind !== RequestKind.Unsafe,
    });
    return currentAttempt.outcome;
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

  function failCall(kind: ErrorKind, reason: string): void {
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
    failRequest(context, admitted, { kind, reason, backlogMs: 0 });
  }

  function stop(): void {
    if (isFinished) return;
    isFinished = true;
    clearTimeout(timer);
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
