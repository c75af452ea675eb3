/**
 * Decides what may enter a response that the caller already receives. An engine
 * that is to resume the stream may answer with an error instead, also in a
 * response that succeeds and is attested; no part of one belongs to the stream.
 */
import { getMediaType } from "./response_framing.ts";
import type { RawHeaders } from "./forwarding_protocol.ts";
import type { StreamEvent } from "./event_splitter.ts";

export interface ResponseHead {
  readonly status: number;
  readonly headers: RawHeaders;
}

/** Returns why a response cannot continue the one with the first head. */
export function findForeignHead(
  first: ResponseHead,
  { status, headers }: ResponseHead,
): string | undefined {
  if (status !== first.status) return `status ${status}`;
  const mediaType = getMediaType(headers);
  return mediaType === getMediaType(first.headers)
    ? undefined
    : `content type "${mediaType}"`;
}

export type EventDecision =
  | { readonly kind: "relay" }
  /** The caller already has the event. */
  | { readonly kind: "skip" }
  | { readonly kind: "break"; readonly reason: string };

export function decideOnEvent(
  { eventId, hasField, isForeign }: StreamEvent,
  { hasEvents, lastEventId, isResumed }: {
    /** The caller received events. */
    readonly hasEvents: boolean;
    readonly lastEventId: number | undefined;
    /** The caller received events of an earlier attempt. */
    readonly isResumed: boolean;
  },
): EventDecision {
  if (isForeign && hasEvents) {
    return { kind: "break", reason: "bytes that are no event" };
  }
  if (!hasField || lastEventId === undefined) return { kind: "relay" };
  if (eventId === undefined) {
    // It may be an error, or the caller may already have it.
    return isResumed
      ? { kind: "break", reason: "an event of a resumed stream has no id" }
      : { kind: "relay" };
  }
  if (eventId <= lastEventId) return { kind: "skip" };
  return eventId === lastEventId + 1 ? { kind: "relay" } : {
    kind: "break",
    reason: `event ${eventId} arrived after event ${lastEventId}`,
  };
}

/** How a response ended whose framing shows no break. */
export interface StreamEnd {
  readonly isResumed: boolean;
  /** Whether the attempt sent events, also ones that the caller had. */
  readonly hasSentEvents: boolean;
  readonly hasAddedEvents: boolean;
  /** Another engine ended the stream after the same event. */
  readonly isConfirmed: boolean;
}

export type EndDecision =
  | { readonly kind: "complete" }
  /** The stream is complete if another engine ends it here as well. */
  | { readonly kind: "unconfirmed"; readonly reason: string }
  | { readonly kind: "break"; readonly reason: string };

/**
 * No event is marked as the last one. If an engine that resumes a stream adds
 * nothing, either the first one broke off after the last event, or this one
 * failed, and only a second engine can show which.
 */
export function decideOnEnd(
  { isResumed, hasSentEvents, hasAddedEvents, isConfirmed }: StreamEnd,
): EndDecision {
  if (hasAddedEvents) return { kind: "complete" };
  if (hasSentEvents) {
    return { kind: "break", reason: "the engine only sent earlier events" };
  }
  return !isResumed || isConfirmed ? { kind: "complete" } : {
    kind: "unconfirmed",
    reason: "the engine ended the stream without a further event",
  };
}
