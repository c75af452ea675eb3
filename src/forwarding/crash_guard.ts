/**
 * Keeps one stream from crashing engine after engine: records the engines that
 * ended while the stream may have just started to run on them, and tells whether
 * and when it may be sent again.
 */
import {
  type CrashDecision,
  decideAfterCrash,
} from "../quarantine/crash_decisions.ts";
import type { ListedUpstream } from "../upstreams/upstream_view.ts";
import type {
  AdmittedRequest,
  ForwardingContext,
} from "./forwarding_context.ts";
import { checkListening } from "./listen_check.ts";
import { getRequestDigest } from "./request_digest.ts";

export interface CrashGuard {
  /** The quarantined part of the prompt, or the request itself, if any. */
  findQuarantinedPart(): string | undefined;
  /** Records that the engine ended before the run got past its start. */
  recordCrash(engine: ListedUpstream, sentAtMs: number): CrashDecision;
  /** Records that a run got past its start. */
  recordSoundRun(): void;
  /**
   * Calls back when the request or a part of its prompt is quarantined, until
   * `end`.
   */
  onQuarantined(callback: (partId: string) => void): void;
  end(): void;
}

/**
 * An engine that crashes on a request does so when it generates its first
 * tokens. A run that sends events for this long is past its start.
 */
const startMs = 500;
/** Longer ids are compared by their beginning. */
const maxIdChars = 200;
/**
 * Parts of a prompt that are recorded: with all of a long one, few requests
 * would replace what is known of other callers' parts.
 */
const maxSharedParts = 64;

export function isPastStart(
  { firstEventAtMs }: { readonly firstEventAtMs: number | undefined },
  nowMs: number,
): boolean {
  return firstEventAtMs !== undefined && nowMs - firstEventAtMs >= startMs;
}

export function createCrashGuard(
  context: Pick<ForwardingContext, "clock" | "connections" | "quarantine">,
  admitted: AdmittedRequest,
): CrashGuard {
  const { quarantine } = context;
  const service = admitted.service.name;
  const partIds = admitted.caller.description.promptParts.map(({ partId }) =>
    partId.slice(0, maxIdChars)
  );
  // The last part belongs to the request or to its session alone.
  const sharedIds = partIds.slice(0, -1).slice(-maxSharedParts);
  const requestKey = sharedIds.length > 0
    ? partIds.at(-1)!
    : getRequestDigest({ ...admitted, promptPartIds: partIds });
  const ownIds = sharedIds.length > 0 ? partIds : [requestKey];
  let crashCount = 0;
  let unsubscribe: (() => void) | undefined;
  return {
    findQuarantinedPart,
    recordCrash,
    recordSoundRun: () =>
      quarantine.recordSoundRun(service, [...sharedIds, requestKey]),
    onQuarantined: (callback) => {
      unsubscribe = quarantine.subscribe(() => {
        const partId = findQuarantinedPart();
        if (partId !== undefined) callback(partId);
      });
    },
    end: () => unsubscribe?.(),
  };

  function recordCrash(
    engine: ListedUpstream,
    sentAtMs: number,
  ): CrashDecision {
    const { upstreamId, domainId } = engine;
    crashCount += 1;
    quarantine.recordCrash({ service, upstreamId, domainId }, {
      requestKey,
      partIds: sharedIds,
      sentAtMs,
    });
    if (sharedIds.length === 0) {
      checkListening(context, engine, () => {
        crashCount -= 1;
        quarantine.recordResponse(service, upstreamId);
      });
    }
    return decideAfterCrash({
      crashCount,
      isOfSoundParts: quarantine.areSound(
        service,
        sharedIds.length > 0 ? sharedIds : [requestKey],
      ),
    });
  }

  function findQuarantinedPart(): string | undefined {
    return quarantine.findQuarantined(service, ownIds);
  }
}
