/**
 * Maintains a copy of a stream's KV cache at an engine in another failure
 * domain. If the engines create copies themselves (`canBackUp`), the request
 * names the holder of the initial copy. A lost copy is replaced by asking the
 * engine that runs the stream for a new one.
 */
import { logEvents } from "../core/log_events.ts";
import { decideCopy, isCopyAvailable } from "./copy_decisions.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import type { KvCacheCopy, ProtocolCall } from "./forwarding_protocol.ts";
import type { EngineTraits } from "./forwarding_table.ts";
import { type CallResponse, callUpstream } from "./upstream_call.ts";
import { getAvailableAtMs } from "./placement.ts";
import { getAddress } from "./upstream_directory.ts";
import type { CopyLoad, Upstream } from "./upstream_types.ts";

export interface CopyManager {
  /** The engine that holds a copy from the start of the attempt, if any. */
  getInitialHolder(): Upstream | undefined;
  /** The copy from which the stream can be resumed, if one is known. */
  getUsableCopy(): UsableCopy | undefined;
  /** Replaces or refreshes the copy when that is due. */
  check(hasEvents: boolean): void;
  /** Ends the attempt; `isUsed` if the stream is resumed from the copy. */
  end(isUsed: boolean): void;
}

export interface UsableCopy {
  readonly holder: Upstream;
  readonly source: KvCacheCopy;
}

export interface CopyManagerOptions {
  readonly context: ForwardingContext;
  readonly traits: EngineTraits;
  readonly requestId: string;
  readonly running: Upstream;
  readonly isResumable: boolean;
  readonly totalTokens: number;
  /** Chooses an engine to hold a copy of this stream's KV cache. */
  chooseHolder(): Upstream | undefined;
}

interface TrackedCopy {
  readonly copyLoad: CopyLoad;
  readonly source: KvCacheCopy;
  readonly createdAtMs: number;
  /** The engine that runs the stream sends every update itself. */
  readonly isEngineUpdated: boolean;
  refreshedAtMs: number;
}

/**
 * A copy has a size of some gigabytes, links have 100 Gbit/s or more, and other
 * copies may be queued before this one.
 */
const copyTimeoutMs = 1_500;

export function createCopyManager(options: CopyManagerOptions): CopyManager {
  const { context, traits, requestId, running, totalTokens } = options;
  const { clock, logger, directory, connections, protocol } = context;
  const canCopy = options.isResumable && traits.canMove;
  let copy: TrackedCopy | undefined;
  let isCopying = false;
  let isEnded = false;
  let lastCopyAttemptAtMs = -Infinity;
  const initialHolder = options.isResumable && traits.canBackUp
    ? options.chooseHolder()
    : undefined;
  if (initialHolder) {
    setCopy(initialHolder, {
      source: { address: getAddress(initialHolder), copyId: requestId },
      isEngineUpdated: true,
    });
  }
  return {
    getInitialHolder: () => initialHolder,
    getUsableCopy,
    check,
    end,
  };

  function setCopy(
    holder: Upstream,
    { source, isEngineUpdated }: {
      source: KvCacheCopy;
      isEngineUpdated: boolean;
    },
  ): void {
    const nowMs = clock.nowMs();
    copy = {
      copyLoad: directory.trackCopy(holder.info.upstreamId, totalTokens),
      source,
      createdAtMs: nowMs,
      isEngineUpdated,
      refreshedAtMs: nowMs,
    };
  }

  function getCopyState() {
    const holder = copy &&
      directory.get(copy.copyLoad.upstream.info.upstreamId);
    return {
      createdAtMs: copy?.createdAtMs,
      isEngineUpdated: copy?.isEngineUpdated ?? false,
      refreshedAtMs: copy?.refreshedAtMs ?? 0,
      // A leaving engine gets no more requests.
      holderLostAtMs: holder?.info.isLeaving ? undefined : holder?.lostAtMs,
    };
  }

  function getUsableCopy(): UsableCopy | undefined {
    if (!copy || !isCopyAvailable(getCopyState())) return undefined;
    const { upstream: holder } = copy.copyLoad;
    // Losses of other engines in the holder's failure domain are no reason to
    // give up the copy: trying it costs at most a connection timeout, prefilling
    // the prompt again a second or more.
    if (getAvailableAtMs(holder) > clock.nowMs()) return undefined;
    return { holder, source: copy.source };
  }

  function check(hasEvents: boolean): void {
    const nowMs = clock.nowMs();
    const decision = decideCopy(getCopyState(), {
      nowMs,
      canCopy: canCopy && !isEnded,
      hasEvents,
      isCopying,
      lastCopyAttemptAtMs,
      ttlMs: traits.copyTtlMs,
    });
    if (decision === "none") return;
    lastCopyAttemptAtMs = nowMs;
    if (decision === "refresh") {
      requestCopy(copy!.copyLoad.upstream);
      return;
    }
    copy?.copyLoad.release();
    copy = undefined;
    const holder = options.chooseHolder();
    if (holder) requestCopy(holder);
  }

  function requestCopy(holder: Upstream): void {
    isCopying = true;
    callRunningEngine(
      protocol.buildCopyCall({
        runId: requestId,
        targetAddress: getAddress(holder),
      }),
      ({ status, body }) => {
        isCopying = false;
        const reply = status === 200
          ? protocol.parseCopyReply(body)
          : undefined;
        if (!reply?.isOk()) {
          logCopy(holder, `status ${status}`);
          return;
        }
        const { copyId } = reply.value;
        if (isEnded) freeCopy(copyId);
        else recordCopy(holder, copyId);
      },
    );
  }

  function recordCopy(holder: Upstream, copyId: string): void {
    if (copy?.source.copyId === copyId) {
      copy.refreshedAtMs = clock.nowMs();
      return;
    }
    copy?.copyLoad.release();
    copy = undefined;
    if (!directory.get(holder.info.upstreamId)) return;
    setCopy(holder, {
      source: { address: getAddress(running), copyId },
      isEngineUpdated: false,
    });
    logCopy(holder, "made");
  }

  function logCopy(holder: Upstream, outcome: string): void {
    context.metrics.copies.add({ outcome });
    logger.log(logEvents.copyRequestEnded, {
      request: requestId,
      engine: running.info.upstreamId,
      copyAt: holder.info.upstreamId,
      outcome,
    });
  }

  function end(isUsed: boolean): void {
    isEnded = true;
    if (!copy) return;
    copy.copyLoad.release();
    // Copies that the engines update themselves end with the attempt.
    if (!copy.isEngineUpdated && !isUsed) freeCopy(copy.source.copyId);
  }

  function freeCopy(copyId: string): void {
    callRunningEngine(protocol.buildFreeCopyCall(copyId), () => {});
  }

  function callRunningEngine(
    call: ProtocolCall,
    onResponse: (response: CallResponse) => void,
  ): void {
    const { host, port } = running.info;
    callUpstream(
      connections,
      { ...call, host, port, timeoutMs: copyTimeoutMs },
      onResponse,
    );
  }
}
