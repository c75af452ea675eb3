/**
 * One attempt to run a stream on an engine: its state, and what can be told from
 * it.
 */
import type { ByteCollector } from "../core/byte_collector.ts";
import type { CopyManager } from "./copy_manager.ts";
import type { EventSplitter } from "./event_splitter.ts";
import type { PromptPart } from "./forwarding_protocol.ts";
import type { PaceMeter } from "./pace_meter.ts";
import { isCloseDelimited } from "./response_framing.ts";
import type { ResponseHead } from "./stream_continuation.ts";
import type { MonitoredStream } from "./stream_monitor.ts";
import type { Exchange } from "./upstream_connections.ts";
import type { RequestLoad } from "./upstream_types.ts";
import type { AnswerWait } from "./version_answers.ts";

/** The state of one attempt. */
export interface StreamAttempt extends MonitoredStream {
  firstEventAtMs: number | undefined;
  isPastStart: boolean;
  lastEventAtMs: number | undefined;
  /** Whether its events wait until the caller has read earlier ones. */
  isPaused: boolean;
  resumedAtMs: number;
  /** Whether the caller received events of the attempt. */
  hasAddedEvents: boolean;
  /** Whether the current silence of the engine was logged. */
  isSilenceLogged: boolean;
  /** 0 if the attempt resumes from a copy. */
  readonly prefillTokens: number;
  readonly requestLoad: RequestLoad;
  readonly copyManager: CopyManager;
  readonly wait: AnswerWait;
  readonly pace: PaceMeter;
  readonly splitter: EventSplitter;
  exchange: Exchange | undefined;
  head: ResponseHead | undefined;
  /** Body of a response that is not a stream. */
  readonly errorBody: ByteCollector;
}

/** Callers may send many parts; the first ones are the shared ones. */
const maxLoggedParts = 16;

export function isStream({ head }: StreamAttempt): boolean {
  return head !== undefined && head.status >= 200 && head.status < 300;
}

/** Returns why a stream that ended is not complete, if it is not. */
export function findBreak(
  { splitter, head, firstEventAtMs }: StreamAttempt,
): string | undefined {
  if (splitter.getPendingBytes() > 0) return "the stream ended inside an event";
  return firstEventAtMs === undefined && isCloseDelimited(head!.headers)
    ? "the stream ended before its first event"
    : undefined;
}

/** Time since the attempt's first event; undefined before it. */
export function getWritingMs(
  { firstEventAtMs }: StreamAttempt,
  nowMs: number,
): number | undefined {
  return firstEventAtMs === undefined
    ? undefined
    : Math.round(nowMs - firstEventAtMs);
}

/** Describes the engine as it was known when the attempt was placed on it. */
export function describePlacement(
  { upstream }: StreamAttempt,
  { nowMs, promptParts }: {
    readonly nowMs: number;
    readonly promptParts: readonly PromptPart[];
  },
) {
  const { info, inFlightCount, unreadTokens, others, memoryTokens, reported } =
    upstream;
  return {
    engine: info.upstreamId,
    domain: info.domainId,
    running: inFlightCount,
    unreadTokens,
    others,
    memoryTokens,
    reported: reported && {
      running: reported.load.runningCount,
      waiting: reported.load.waitingCount,
      ageMs: Math.round(nowMs - reported.atMs),
    },
    parts: promptParts.slice(0, maxLoggedParts).map(({ partId }) => partId),
  };
}
