/**
 * The connections of callers to an entry instance.
 *
 * Responses leave a connection in the order of its requests, so a request that
 * arrives behind another one (HTTP pipelining) is not started before the
 * response ahead of it was sent: if that one breaks off or closes the
 * connection, no response to the later request could be delivered.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

export interface CallerConnections {
  /** Starts the request now, or after those ahead of it on its connection. */
  add(
    request: IncomingMessage,
    response: ServerResponse,
    start: () => void,
  ): void;
}

interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  start(): void;
}

interface Connection {
  /** The request whose response is next. */
  current: Exchange | undefined;
  waiting: Exchange[];
}

/** Requests that one connection may have waiting; more are not answered. */
const maxWaitingCount = 100;

export function createCallerConnections(
  server: Server,
): CallerConnections {
  const connections = new Map<Duplex, Connection>();
  server.on("connection", (socket) => {
    connections.set(socket, {
      current: undefined,
      waiting: [],
    });
    socket.once("close", () => connections.delete(socket));
  });
  return { add };

  function add(
    request: IncomingMessage,
    response: ServerResponse,
    start: () => void,
  ): void {
    const { socket } = request;
    const connection = connections.get(socket);
    if (!connection) return;
    response.once("close", () => startNext(socket, response));
    const exchange = { request, response, start };
    if (!connection.current) {
      connection.current = exchange;
      start();
    } else if (connection.waiting.length < maxWaitingCount) {
      connection.waiting.push(exchange);
    } else socket.destroy();
  }

  function startNext(socket: Duplex, response: ServerResponse): void {
    const connection = connections.get(socket);
    if (!connection) return;
    connection.current = undefined;
    // Node.js closes the connection after this response.
    if (socket.destroyed || !response.shouldKeepAlive) return;
    connection.current = connection.waiting.shift();
    if (connection.current) connection.current.start();
  }
}
