/**
 * Shares the turns of the event loop among sockets that receive faster than this
 * process handles their bytes.
 *
 * Node.js reads up to 32 buffers of one socket before it serves the next one,
 * and a timer waits for all of them. A buffer may contain thousands of small
 * messages, so one peer could stop the process for seconds.
 */
import type { Readable } from "node:stream";

export interface ReadPacer {
  /**
   * Limits the reads of the socket. `onRead` is called after the listeners of
   * the socket have handled a buffer.
   */
  pace(socket: Readable, onRead: () => void): void;
}

export interface ReadPacerOptions {
  /**
   * Limits of what all sockets together take in one turn. A socket that has
   * been read beyond them is read again in the next turn.
   */
  readonly maxBytesPerTurn: number;
  readonly maxMsPerTurn: number;
}

export function createReadPacer(
  { maxBytesPerTurn, maxMsPerTurn }: ReadPacerOptions,
): ReadPacer {
  let turnBytes = 0;
  let turnMs = 0;
  let deferredReads: (() => void)[] = [];
  let isTurnEndScheduled = false;
  return { pace };

  function pace(socket: Readable, onRead: () => void): void {
    const push = socket.push.bind(socket);
    const read = socket._read.bind(socket);
    let isHeld = false;
    let isReadWanted = false;
    socket.push = (chunk: Uint8Array | null, encoding?: BufferEncoding) => {
      const startedAtMs = performance.now();
      const mayContinue = push(chunk, encoding);
      if (chunk === null) return mayContinue;
      onRead();
      turnBytes += chunk.length;
      turnMs += performance.now() - startedAtMs;
      scheduleTurnEnd();
      if (turnBytes < maxBytesPerTurn && turnMs < maxMsPerTurn) {
        return mayContinue;
      }
      hold();
      return false; // makes Node.js stop reading until `_read` is called
    };
    socket._read = (sizeBytes: number) => {
      if (isHeld) isReadWanted = true;
      else read(sizeBytes);
    };

    function hold(): void {
      if (isHeld) return;
      isHeld = true;
      deferredReads.push(() => {
        isHeld = false;
        if (!isReadWanted) return;
        isReadWanted = false;
        read(socket.readableHighWaterMark);
      });
    }
  }

  function scheduleTurnEnd(): void {
    if (isTurnEndScheduled) return;
    isTurnEndScheduled = true;
    setImmediate(() => {
      isTurnEndScheduled = false;
      turnBytes = 0;
      turnMs = 0;
      const reads = deferredReads;
      deferredReads = [];
      for (const resume of reads) resume();
    });
  }
}
