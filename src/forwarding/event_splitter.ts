/**
 * Splits a stream of server-sent events into whole events without changing a
 * byte, so that an upstream that stops inside an event leaves nothing of it
 * with the caller.
 */
import { Buffer } from "node:buffer";

export interface StreamEvent {
  readonly bytes: Buffer;
  /** Undefined for an event without a numeric id. */
  readonly eventId: number | undefined;
}

export interface EventSplitter {
  /** Adds received bytes and returns the events that are complete now. */
  push(chunk: Buffer): StreamEvent[];
  /** Bytes of an event that is not complete. */
  getPendingBytes(): number;
}

/** A larger event is treated as a broken stream by the caller of `push`. */
export const maxEventBytes = 1024 * 1024;

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
      events.push({ bytes: event, eventId: findEventId(event) });
      start = end;
    }
    pending = bytes.subarray(start);
    return events;
  }
}

/** Index behind the empty line that ends the event, or -1. */
function findEventEnd(bytes: Buffer, start: number): number {
  let at = bytes.indexOf(lineFeed, start);
  while (at >= 0) {
    let next = at + 1;
    if (bytes[next] === carriageReturn) next += 1;
    if (bytes[next] === lineFeed) return next + 1;
    at = bytes.indexOf(lineFeed, at + 1);
  }
  return -1;
}

function findEventId(event: Buffer): number | undefined {
  for (const line of event.toString("latin1").split(/\r?\n/)) {
    if (!line.startsWith("id:")) continue;
    const value = Number(line.slice(3).trim());
    return Number.isSafeInteger(value) ? value : undefined;
  }
  return undefined;
}
