/**
 * The wait of one stream in the queue of this instance, as it is logged and
 * measured.
 */
import { logEvents } from "../core/log_events.ts";
import type { WaitingOrder, WaitReason } from "./stream_scheduling.ts";
import type { StreamState } from "./stream_state.ts";

export interface StreamWait {
  /** Waits until the next check of the queue, and then goes on. */
  begin(
    reason: WaitReason,
    goOn: () => void,
    details: Readonly<Record<string, number>>,
  ): void;
  end(): void;
}

export interface StreamWaitOptions {
  readonly stream: StreamState;
  getOrder(): WaitingOrder;
}

export function createStreamWait(
  { stream, getOrder }: StreamWaitOptions,
): StreamWait {
  const { clock, logger, metrics, streamQueue } = stream.context;
  const { caller, service } = stream.admitted;
  const { requestId } = caller.description;
  const rankLabel = String(stream.rank ?? 0);
  let current:
    | { readonly reason: WaitReason; readonly sinceMs: number }
    | undefined;
  let leaveQueue: (() => void) | undefined;
  return { begin, end };

  function begin(
    reason: WaitReason,
    goOn: () => void,
    details: Readonly<Record<string, number>>,
  ): void {
    if (current?.reason !== reason) {
      end();
      current = { reason, sinceMs: clock.nowMs() };
      logger.log(logEvents.streamWaits, {
        request: requestId,
        rank: stream.rank,
        reason,
        ...details,
      });
    }
    leaveQueue?.();
    leaveQueue = streamQueue.add({
      service: service.name,
      getOrder,
      goOn: () => {
        leaveQueue = undefined;
        goOn();
      },
    });
  }

  function end(): void {
    leaveQueue?.();
    leaveQueue = undefined;
    if (!current) return;
    const { reason, sinceMs } = current;
    current = undefined;
    const waitMs = clock.nowMs() - sinceMs;
    metrics.streamWaitTime.observeMs(waitMs, { rank: rankLabel, reason });
    logger.log(logEvents.streamWaitEnded, {
      request: requestId,
      rank: stream.rank,
      reason,
      waitMs: Math.round(waitMs),
    });
  }
}
