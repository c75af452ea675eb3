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

/** An incomplete event grows in place from this capacity. */
const minCapacityBytes = 1024;

export function createEventSplitter(): EventSplitter {
  /** The incomplete event is the first `pendingBytes` of it. */
  let pending: Buffer = Buffer.alloc(0);
  let pendingBytes = 0;
  return { push, getPendingBytes: () => pendingBytes };

  function push(chunk: Buffer): StreamEvent[] {
    const searchedBytes = pendingBytes;
    const bytes = searchedBytes === 0 ? chunk : appendToPending(chunk);
    const events: StreamEvent[] = [];
    let start = 0;
    // An end that begins in the pending bytes ends in the chunk.
    let searchFrom = Math.max(0, searchedBytes - maxEventEndBytes + 1);
    while (true) {
      const end = findEventEnd(bytes, searchFrom);
      if (end < 0) break;
      const textStart = skipEmptyLines(bytes, start);
      const next = Math.max(end, textStart);
      events.push({
        ...describeEvent(bytes.subarray(Math.min(textStart, next), next)),
        bytes: bytes.subarray(start, next),
      });
      start = next;
      searchFrom = next;
    }
    if (start > 0 || searchedBytes === 0) setPending(bytes.subarray(start));
    return events;
  }

  /** Grows by doubling, so that small pieces don't copy all bytes each time. */
  function appendToPending(chunk: Buffer): Buffer {
    const sizeBytes = pendingBytes + chunk.length;
    if (sizeBytes > pending.length) {
      const grown = Buffer.allocUnsafe(
        Math.max(minCapacityBytes, 2 * pending.length, sizeBytes),
      );
      grown.set(pending.subarray(0, pendingBytes));
      pending = grown;
    }
    pending.set(chunk, pendingBytes);
    pendingBytes = sizeBytes;
    return pending.subarray(0, pendingBytes);
  }

  /** Copies the bytes: the events that were returned share their memory. */
  function setPending(bytes: Buffer): void {
    pending = Buffer.from(bytes);
    pendingBytes = bytes.length;
  }
}

/** A line feed, a carriage return and a line feed. */
const maxEventEndBytes = 3;

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

/**
 * Returns the index after the empty lines at the start. Many are one event: a
 * buffer of them would otherwise be 32,000 events.
 */
function skipEmptyLines(bytes: Buffer, start: number): number {
  let end = start;
  while (true) {
    if (bytes[end] === lineFeed) end += 1;
    else if (bytes[end] === carriageReturn && bytes[end + 1] === lineFeed) {
      end += 2;
    } else return end;
  }
}

function describeEvent(bytes: Buffer): Omit<StreamEvent, "bytes"> {
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
  return { eventId, hasField, isForeign };
}
