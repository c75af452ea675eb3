/**
 * Feeds the requests of one connection to the parser of Node.js one by one, so
 * that what a caller sends ahead is not parsed before it can be handled.
 *
 * Node.js parses up to 64 KiB of a connection at once, and creates the objects
 * of each request in it, some kilobytes for as few as 26 bytes. Here a buffer is
 * cut behind each head, and the rest is held while the connection has as many
 * open requests as it may have.
 */
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import type { TurnQueue } from "./turn_queue.ts";

export interface RequestFeed {
  /** Bytes of buffers that are held for later requests. */
  getHeldBytes(): number;
  /** Must be called when a request has ended. */
  resume(): void;
  /**
   * Drops what is held, and reads further bytes slowly without handling them,
   * so that the end of the connection is still seen.
   */
  discard(): void;
}

export interface RequestFeedOptions {
  /** Whether the next request must wait. */
  isBlocked(): boolean;
  /** Whether bytes are no longer handled, since the connection is closing. */
  isClosing(): boolean;
  /** Called with the bytes of each read. */
  onRead(bytes: number): void;
  /** Called with each number of bytes that was given to the parser. */
  onFed(bytes: number): void;
  /** Runs work for requests that were sent ahead. */
  readonly defer: TurnQueue;
  /** Returns the time after which the connection may be read again. */
  getReadDelayMs(bytes: number): number;
  /** Called after bytes were held. */
  onHeld(): void;
  /** Called after held bytes were given to the parser or dropped. */
  onReleased(): void;
}

const headEnd = "\r\n\r\n";
/** Bodies may contain many ends of lines; no head is much shorter. */
const minPieceBytes = 64;
/** Smaller reads are not delayed, which are those of ordinary requests. */
const minPacedBytes = 16 * 1024;
/** Size of the buffers of Node.js; more may be waiting behind a full one. */
const fullBufferBytes = 64 * 1024;

export function createRequestFeed(
  socket: Socket,
  options: RequestFeedOptions,
): RequestFeed {
  const push = socket.push.bind(socket);
  const read = socket._read.bind(socket);
  /** The bytes that are not parsed yet, and the size of their buffer. */
  let held: Uint8Array | undefined;
  let heldBufferBytes = 0;
  let hasEnded = false;
  let isReadWanted = false;
  let isScheduled = false;
  let isDiscarding = false;
  let isDelayed = false;
  // Node.js parses without its streams unless the socket has such a listener.
  socket.on("data", () => {});
  socket.on("resume", schedule);
  socket.push = handleChunk;
  socket._read = () => {
    if (held || isDelayed) isReadWanted = true;
    else read(socket.readableHighWaterMark);
  };
  return {
    getHeldBytes: () => heldBufferBytes,
    resume: schedule,
    discard: () => {
      isDiscarding = true;
      release();
      schedule();
    },
  };

  function handleChunk(chunk: Uint8Array | null): boolean {
    if (chunk === null) {
      if (held) hasEnded = true;
      else push(null);
      return false;
    }
    options.onRead(chunk.length);
    if (isDiscarding || options.isClosing()) return discardChunk(chunk);
    const rest = feed(chunk);
    if (rest) {
      held = rest;
      heldBufferBytes = chunk.length;
      options.onHeld();
      return false;
    }
    return mayReadOn(chunk.length);
  }

  /** Returns what has to wait. */
  function feed(chunk: Uint8Array): Uint8Array | undefined {
    let rest = chunk;
    while (rest.length > 0) {
      if (isDiscarding || options.isClosing()) return undefined;
      if (options.isBlocked() || socket.isPaused()) return rest;
      const piece = rest.subarray(0, findPieceEnd(rest));
      rest = rest.subarray(piece.length);
      push(piece);
      options.onFed(piece.length);
    }
    return undefined;
  }

  function discardChunk(chunk: Uint8Array): boolean {
    if (mayReadOn(chunk.length)) return true;
    // No bytes were pushed, so the stream does not ask for more by itself.
    isReadWanted = true;
    if (!isDelayed) schedule();
    return false;
  }

  function mayReadOn(bytes: number): boolean {
    if (bytes < minPacedBytes) return true;
    const delayMs = options.getReadDelayMs(bytes);
    // Lets other connections be read before the next full buffer of this one.
    if (delayMs === 0) return bytes < fullBufferBytes;
    isDelayed = true;
    setTimeout(() => {
      isDelayed = false;
      schedule();
    }, delayMs);
    return false;
  }

  function schedule(): void {
    if (!held && !hasEnded && !isReadWanted || isScheduled) return;
    isScheduled = true;
    options.defer(() => {
      isScheduled = false;
      if (!socket.destroyed) feedHeld();
    });
  }

  function feedHeld(): void {
    if (held) {
      held = feed(held);
      if (held) return;
      release();
    }
    if (hasEnded) {
      hasEnded = false;
      push(null);
    } else if (isReadWanted && !isDelayed) {
      isReadWanted = false;
      read(socket.readableHighWaterMark);
    }
  }

  function release(): void {
    held = undefined;
    heldBufferBytes = 0;
    options.onReleased();
  }
}

function findPieceEnd(bytes: Uint8Array): number {
  const end = toBuffer(bytes).indexOf(
    headEnd,
    minPieceBytes - headEnd.length,
    "latin1",
  );
  return end < 0 ? bytes.length : end + headEnd.length;
}

function toBuffer({ buffer, byteOffset, byteLength }: Uint8Array): Buffer {
  return Buffer.from(buffer, byteOffset, byteLength);
}
