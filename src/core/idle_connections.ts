/**
 * Closes the idle connections of an HTTP server without losing a response.
 *
 * `closeIdleConnections` of Node.js counts a connection as idle from the moment
 * at which its response was ended, and destroys it with the bytes that have not
 * been sent yet. `Server.close` calls it too.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

interface ConnectionState {
  readonly acceptedAtMs: number;
  /** Requests that are not read and responses that are not sent. */
  openCount: number;
  /** Bytes that had been read when the last exchange ended. */
  idleAtBytes: number;
}

/** The first request of a new connection may be on its way. */
const minUnusedMs = 1_000;

/**
 * Replaces the server's `closeIdleConnections`. A connection is idle if all its
 * responses were sent, all its requests were read and no byte has arrived since;
 * a new connection counts as idle after a while, and one that was ended here is
 * left to its owner. Must be called before the server accepts connections.
 */
export function closeOnlyIdleConnections(server: Server): void {
  const connections = new Map<Socket, ConnectionState>();
  server.on("connection", (socket: Socket) => {
    connections.set(socket, {
      acceptedAtMs: performance.now(),
      openCount: 0,
      idleAtBytes: 0,
    });
    socket.once("close", () => connections.delete(socket));
  });
  server.on("request", (request: IncomingMessage, response: ServerResponse) => {
    const { socket } = request;
    const state = connections.get(socket);
    if (!state) return;
    const handleEnd = () => {
      state.openCount -= 1;
      state.idleAtBytes = socket.bytesRead;
    };
    state.openCount += 2;
    request.once("close", handleEnd);
    response.once("close", handleEnd);
  });
  server.closeIdleConnections = () => {
    const nowMs = performance.now();
    for (const [socket, state] of connections) {
      const { acceptedAtMs, openCount, idleAtBytes } = state;
      const isNew = idleAtBytes === 0 && nowMs - acceptedAtMs < minUnusedMs;
      const isIdle = openCount === 0 && socket.bytesRead === idleAtBytes &&
        socket.writableLength === 0 && !socket.writableEnded;
      if (isIdle && !isNew) socket.destroy();
    }
  };
}
