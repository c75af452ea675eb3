/**
 * Keeps a non-streaming call and its repetitions from crashing upstream after
 * upstream: reports the upstreams that ended while they ran it, and tells
 * whether it may be sent.
 */
import {
  decideOnSuspect,
  type SendDecision,
} from "../quarantine/crash_decisions.ts";
import type { RequestQuarantine } from "../quarantine/request_quarantine.ts";
import type { ListedUpstream } from "../upstreams/upstream_view.ts";
import type { AttemptOutcome } from "./call_attempt.ts";
import type { AdmittedRequest } from "./forwarding_context.ts";
import { getRequestDigest } from "./request_digest.ts";

export interface CallCrashGuard {
  decide(): CallGuardDecision;
  /** Records what an attempt shows about the call. */
  recordOutcome(upstream: ListedUpstream, outcome: AttemptOutcome): void;
}

export type CallGuardDecision =
  | SendDecision
  /** The call is quarantined. */
  | { readonly kind: "refuse" };

export function createCallCrashGuard(
  quarantine: RequestQuarantine,
  admitted: AdmittedRequest,
): CallCrashGuard {
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
    recordOutcome: ({ upstreamId, domainId }, outcome) => {
      switch (outcome.kind) {
        case "answered":
        case "passedOn":
          quarantine.recordSoundRequest(service, requestKey);
          return;
        case "unknown":
          if (!outcome.hasUpstreamEnded) return;
          quarantine.recordCrash({ service, upstreamId, domainId }, {
            requestKey,
            partIds: [],
          });
          return;
        case "notRun":
          return;
      }
    },
  };
}
