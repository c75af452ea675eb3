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

/** A crashed upstream has closed its listener by then, and is not back yet. */
const listenCheckDelayMs = 50;

export function createCallCrashGuard(
  { clock, connections, quarantine }: ForwardingContext,
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
    recordOutcome: ({ upstreamId, domainId, host, port }, outcome) => {
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
          });
          void checkListening({ upstreamId, host, port });
          return;
        case "notRun":
          return;
      }
    },
  };

  /** An upstream that accepts connections has only reset one. */
  async function checkListening(
    { upstreamId, host, port }: Pick<
      ListedUpstream,
      "upstreamId" | "host" | "port"
    >,
  ): Promise<void> {
    await clock.sleep(listenCheckDelayMs);
    if (await connections.isListening(host, port)) {
      quarantine.recordResponse(service, upstreamId);
    }
  }
}
