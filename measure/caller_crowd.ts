/**
 * A crowd of callers that don't keep to the limits: each connection sends as
 * fast as it is read, reads no response, and is replaced when it is closed.
 */
import { Buffer } from "node:buffer";
import net from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

export interface CallerCrowd {
  /** Sent once on each connection. */
  readonly head?: string;
  /** Sent again and again after the head. */
  readonly block: Buffer;
}

export interface CrowdTarget {
  readonly host: string;
  readonly port: number;
}

const reconnectMs = 50;
const blockBytes = 64 * 1024;

/** Requests that are sent ahead, as many as a large block holds. */
export function createPipelinedCrowd(request: string): CallerCrowd {
  const count = Math.ceil(blockBytes / request.length);
  return { block: Buffer.from(request.repeat(count)) };
}

/** A body that is announced with the length. */
export function createAnnouncedCrowd(
  requestHead: string,
  lengthBytes: number,
): CallerCrowd {
  return {
    head: `${requestHead}Content-Length: ${lengthBytes}\r\n\r\n`,
    block: Buffer.alloc(blockBytes, "x"),
  };
}

/** A chunked body without an end. */
export function createEndlessCrowd(requestHead: string): CallerCrowd {
  const size = blockBytes.toString(16);
  return {
    head: `${requestHead}Transfer-Encoding: chunked\r\n\r\n`,
    block: Buffer.from(`${size}\r\n${"x".repeat(blockBytes)}\r\n`),
  };
}

/** Sends on the number of connections for the time, and closes them. */
export async function runCrowd(
  target: CrowdTarget,
  crowd: CallerCrowd,
  { connectionCount, durationMs }: {
    readonly connectionCount: number;
    readonly durationMs: number;
  },
): Promise<void> {
  const sockets = new Set<net.Socket>();
  let isDone = false;
  for (let index = 0; index < connectionCount; index++) connect();
  await sleep(durationMs);
  isDone = true;
  for (const socket of sockets) socket.destroy();

  function connect(): void {
    if (isDone) return;
    // Without a data listener the socket is not read.
    const socket = net.connect({ ...target, allowHalfOpen: true });
    sockets.add(socket);
    const send = () => {
      while (!isDone && socket.writable && socket.write(crowd.block));
    };
    socket.on("drain", send);
    socket.on("error", () => {});
    socket.once("connect", () => {
      if (crowd.head) socket.write(crowd.head);
      send();
    });
    socket.once("close", () => {
      sockets.delete(socket);
      setTimeout(connect, reconnectMs);
    });
  }
}
