/**
 * Keeps one stream from crashing engine after engine: records the engines that
 * ended while the stream may have just started to run on them, and tells whether
 * and when it may be sent again.
 */
import {
  type CrashDecision,
  decideAfterCrash,
} from "../quarantine/crash_decisions.ts";
import type { RequestQuarantine } from "../quarantine/request_quarantine.ts";
import type { ListedUpstream } from "../upstreams/upstream_view.ts";
import type { PromptPart } from "./forwarding_protocol.ts";

export interface CrashGuard {
  /** The quarantined part of the prompt, if there is one. */
  findQuarantinedPart(): string | undefined;
  /** Records that the engine ended before the run got past its start. */
  recordCrash(engine: ListedUpstream): CrashDecision;
  /** Records that a run got past its start. */
  recordSoundRun(): void;
  /** Calls back when a part of the prompt is quarantined, until `end`. */
  onQuarantined(callback: (partId: string) => void): void;
  end(): void;
}

export interface CrashGuardOptions {
  readonly quarantine: RequestQuarantine;
  readonly service: string;
  readonly promptParts: readonly PromptPart[];
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
  { quarantine, service, promptParts }: CrashGuardOptions,
): CrashGuard {
  const partIds = promptParts.map(({ partId }) => partId.slice(0, maxIdChars));
  // The last part belongs to the request or to its session alone.
  const sharedIds = partIds.slice(0, -1).slice(-maxSharedParts);
  const requestKey = partIds.at(-1) ?? "";
  let crashCount = 0;
  let unsubscribe: (() => void) | undefined;
  return {
    findQuarantinedPart,
    recordCrash: ({ upstreamId, domainId }) => {
      // Streams without parts look alike, so their crashes show nothing.
      if (sharedIds.length === 0) return { kind: "resume" };
      crashCount += 1;
      quarantine.recordCrash({ service, upstreamId, domainId }, {
        requestKey,
        partIds: sharedIds,
      });
      return decideAfterCrash({
        crashCount,
        isOfSoundParts: quarantine.areSound(service, sharedIds),
      });
    },
    recordSoundRun: () =>
      quarantine.recordSoundRun(service, [...sharedIds, requestKey]),
    onQuarantined: (callback) => {
      if (sharedIds.length === 0) return;
      unsubscribe = quarantine.subscribe(() => {
        const partId = findQuarantinedPart();
        if (partId !== undefined) callback(partId);
      });
    },
    end: () => unsubscribe?.(),
  };

  function findQuarantinedPart(): string | undefined {
    return sharedIds.length === 0
      ? undefined
      : quarantine.findQuarantined(service, partIds);
  }
}
