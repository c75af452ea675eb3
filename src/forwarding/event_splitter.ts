/**
 * Splits a stream of server-sent events into complete events without changing a
 * byte. If an upstream stops inside an event, the caller receives no part of
 * that event.
 */
import { Buffer } from "node:buffer";

export interface StreamEvent {
  readonly bytes: Buffer;
  /** Undefined if the event has no decimal id. */
  readonly eventId: number | undefined;
  /**
   * Whether the event has a field. Comments and empty lines have none; they
   * keep a connection open and are no progress of the stream.
   */
  readonly hasField: boolean;
  /**
   * Whether it has fields but none of an event, or lines that end in different
   * ways, as when the head of a response follows inside a stream.
   */
  readonly isForeign: boolean;
}

export interface EventSplitter {
  /** Adds received bytes and returns the events that they complete. */
  push(chunk: Buffer): StreamEvent[];
  /** Buffered bytes of an incomplete event. */
  getPendingBytes(): number;
}

/** The caller of `push` treats a larger event as a broken stream. */
export const maxEventBytes = 1024 * 1024;

const knownField = /^(data|event|id|retry)(:|$)/;
const lineFeed = 10;
const carriageReturn = 13;

export function createEventSplitter(): EventSplitter {
  let pending: Buffer = Buffer.alloc(0);
  return { push, getPendingBytes: () => pending.length };

  function push(chunk: Buffer): StreamEvent[] {
    const bytes = pending.length === 0
      ? chunk
      : Buffer.concat([pending, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    while (true) {
      const end = findEventEnd(bytes, start);
      if (end < 0) break;
      const event = bytes.subarray(start, end);
      events.push(describeEvent(event));
      start = end;
    }
    pending = bytes.subarray(start);
    return events;
  }
}

/** Returns the index after the empty line that ends the event, or -1. */
function findEventEnd(bytes: Buffer, start: number): number {
  let lineFeedIndex = bytes.indexOf(lineFeed, start);
  while (lineFeedIndex >= 0) {
    let next = lineFeedIndex + 1;
    if (bytes[next] === carriageReturn) next += 1;
    if (bytes[next] === lineFeed) return next + 1;
    lineFeedIndex = bytes.indexOf(lineFeed, lineFeedIndex + 1);
  }
  return -1;
}

function describeEvent(bytes: Buffer): StreamEvent {
  let eventId: number | undefined;
  let hasField = false;
  let hasKnownField = false;
  const lineEnds = new Set<string>();
  for (const line of bytes.toString("latin1").split("\n")) {
    const text = line.endsWith("\r") ? line.slice(0, -1) : line;
    if (text === "" || text.startsWith(":")) continue;
    hasField = true;
    lineEnds.add(line.slice(text.length));
    if (knownField.test(text)) hasKnownField = true;
    if (!text.startsWith("id:") || eventId !== undefined) continue;
    const value = text.slice(3).trim();
    if (/^\d{1,15}$/.test(value)) eventId = Number(value);
  }
  const isForeign = hasField && (!hasKnownField || lineEnds.size > 1);
  return { bytes, eventId, hasField, isForeign };
}
