/**
 * One attempt to run a stream on an engine: its state, and what can be told from
 * it.
 */
import type { ByteCollector } from "../core/byte_collector.ts";
import type { CopyManager } from "./copy_manager.ts";
import type { EventSplitter, StreamEvent } from "./event_splitter.ts";
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
  /** Highest id of its events, also of those that the caller has. */
  highestEventId: number | undefined;
  /** Bytes since the last event that was new in the attempt. */
  bytesWithoutProgress: number;
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

/** Keeps a connection open for hours; more are bytes that are no response. */
const maxBytesWithoutProgress = 64 * 1024;

export enum EventProgress {
  /** The attempt has sent the event for the first time. */
  New = "new",
  /** A comment, empty lines or an event that the attempt has sent before. */
  None = "none",
  /** The attempt has sent nothing new for too many bytes. */
  Stuck = "stuck",
}

/** Records an event that the attempt sent and tells whether it goes on. */
export function recordProgress(
  attempt: StreamAttempt,
  { bytes, eventId, hasField }: StreamEvent,
): EventProgress {
  const { highestEventId } = attempt;
  const isRepeated = eventId !== undefined && highestEventId !== undefined &&
    eventId <= highestEventId;
  if (hasField && !isRepeated) {
    attempt.highestEventId = eventId ?? highestEventId;
    attempt.bytesWithoutProgress = 0;
    return EventProgress.New;
  }
  attempt.bytesWithoutProgress += bytes.length;
  return attempt.bytesWithoutProgress > maxBytesWithoutProgress
    ? EventProgress.Stuck
    : EventProgress.None;
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
