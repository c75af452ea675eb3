/**
 * The state of one stream from its arrival to its end, which the modules that
 * place it, run it and handle its losses share.
 */
import type { CrashGuard } from "./crash_guard.ts";
import type {
  AdmittedRequest,
  ForwardingContext,
} from "./forwarding_context.ts";
import type { EngineTraits } from "./forwarding_table.ts";
import type { StreamDemand } from "./placement.ts";
import { createCrashGuard } from "./crash_guard.ts";
import type { StreamAttempt } from "./stream_attempt.ts";
import { getStreamRank } from "./stream_scheduling.ts";

export interface StreamState {
  readonly context: ForwardingContext;
  readonly admitted: AdmittedRequest;
  readonly traits: EngineTraits;
  /** Undefined if the service does not rank its streams. */
  readonly rank: number | undefined;
  readonly budgetKey: { readonly service: string; readonly customerId: string };
  readonly triedIds: Set<string>;
  readonly usedVersions: Set<string>;
  readonly crashGuard: CrashGuard;
  lastEventId: number | undefined;
  eventCount: number;
  ranCount: number;
  attemptCount: number;
  run: StreamAttempt | undefined;
  /** The attempt whose head the caller received. */
  responder: StreamAttempt | undefined;
  /** Where an engine that resumed the stream ended it without adding to it. */
  emptyEnd:
    | { readonly lastEventId: number | undefined; readonly upstreamId: string }
    | undefined;
  isFinished: boolean;
  /** Whether a run was ended because its engine was silent. */
  hasLeftRun: boolean;
  /** A prompt that crashes engines does so at the start of a run. */
  hasRunPastStart: boolean;
  firstEventAtMs: number | undefined;
  lastEventAtMs: number;
  longestGapMs: number;
}

/** Used for services whose engines are not described in the configuration. */
const defaultEngineTraits: EngineTraits = {
  maxRunning: 1_000,
  memoryTokens: Number.MAX_SAFE_INTEGER,
  tokenBytes: 0,
  linkMbps: 0,
  canMove: false,
  canBackUp: false,
  tokensPerEvent: 1,
  copyTtlMs: 0,
};

export function createStreamState(
  context: ForwardingContext,
  admitted: AdmittedRequest,
): StreamState {
  const { caller, service } = admitted;
  return {
    context,
    admitted,
    traits: service.engine ?? defaultEngineTraits,
    rank: getStreamRank(
      context.getStreamPriorities(service.name),
      admitted.priority,
    ),
    budgetKey: { service: service.name, customerId: "" },
    triedIds: new Set(),
    usedVersions: new Set(),
    crashGuard: createCrashGuard(context, admitted),
    lastEventId: caller.description.lastEventId,
    eventCount: 0,
    ranCount: 0,
    attemptCount: 0,
    run: undefined,
    responder: undefined,
    emptyEnd: undefined,
    isFinished: false,
    hasLeftRun: false,
    hasRunPastStart: false,
    firstEventAtMs: undefined,
    lastEventAtMs: 0,
    longestGapMs: 0,
  };
}

export function getStreamDemand(
  { admitted, traits, eventCount }: StreamState,
): StreamDemand {
  const { promptTokens, maxOutputTokens } = admitted.caller.description;
  return {
    traits,
    prefillTokens: promptTokens + eventCount * traits.tokensPerEvent,
    totalTokens: promptTokens + maxOutputTokens,
  };
}

/** A stream that began without ids would be repeated from its start. */
export function isStreamResumable(
  { admitted, eventCount, lastEventId }: StreamState,
): boolean {
  return admitted.route.isResumable &&
    (eventCount === 0 || lastEventId !== undefined);
}
