/**
 * Keeps a non-streaming call and its repetitions from crashing upstream after
 * upstream: reports the upstreams that ended while they ran it, and tells
 * whether it may be sent.
 */
import {
  decideOnSuspect,
  type SendDecision,
} from "../quarantine/crash_decisions.ts";
import type { ListedUpstream } from "../upstreams/upstream_view.ts";
import type { AttemptOutcome } from "./call_attempt.ts";
import type {
  AdmittedRequest,
  ForwardingContext,
} from "./forwarding_context.ts";
import { checkListening } from "./listen_check.ts";
import { getRequestDigest } from "./request_digest.ts";

export interface CallCrashGuard {
  decide(): CallGuardDecision;
  /** Records what an attempt that was sent then shows about the call. */
  recordOutcome(
    upstream: ListedUpstream,
    outcome: AttemptOutcome,
    sentAtMs: number,
  ): void;
}

export type CallGuardDecision =
  | SendDecision
  /** The call is quarantined. */
  | { readonly kind: "refuse" };

export function createCallCrashGuard(
  context: Pick<ForwardingContext, "clock" | "connections" | "quarantine">,
  admitted: AdmittedRequest,
): CallCrashGuard {
  const { quarantine } = context;
  const service = admitted.service.name;
  const requestKey = getRequestDigest(admitted);
  return {
    decide: () => {
      if (quarantine.findQuarantined(service, [requestKey]) !== undefined) {
        return { kind: "refuse" };
      }
      const suspicion = quarantine.getSuspicion(service, requestKey);
      return suspicion ? decideOnSuspect(suspicion) : { kind: "send" };
    },
    recordOutcome: (upstream, outcome, sentAtMs) => {
      const { upstreamId, domainId } = upstream;
      switch (outcome.kind) {
        case "answered":
        case "passedOn":
          quarantine.recordSoundRequest(service, requestKey);
          quarantine.recordResponse(service, upstreamId);
          return;
        case "unknown":
          if (!outcome.hasUpstreamEnded) return;
          quarantine.recordCrash({ service, upstreamId, domainId }, {
            requestKey,
            partIds: [],
            sentAtMs,
          });
          checkListening(
            context,
            upstream,
            () => quarantine.recordResponse(service, upstreamId),
          );
          return;
        case "notRun":
          return;
      }
    },
  };
}
