/**
 * The connections of callers to an entry instance.
 *
 * Responses leave a connection in the order of its requests, so a request that
 * arrives behind another one (HTTP pipelining) is not started before the
 * response ahead of it was sent: if that one breaks off or closes the
 * connection, no response to the later request could be delivered.
 *
 * A connection is closed in two steps, because bytes of the caller that are not
 * read when it is destroyed reset it, and a reset can destroy the last response
 * on its way.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";
import { getErrorMessage } from "../core/errors.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";

export interface CallerConnections {
  /** Starts the request now, or after those ahead of it on its connection. */
  add(
    request: IncomingMessage,
    response: ServerResponse,
    start: () => void,
  ): void;
  /** Whether a request waits behind the current one of the connection. */
  hasWaiting(socket: Duplex): boolean;
  /** Connections that were ended here and are still read. */
  getClosingCount(): number;
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
  /** No further request is answered on the connection. */
  isBroken: boolean;
  /** The last response was sent; bytes are read and thrown away. */
  isClosing: boolean;
}

const errorStatusLines: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};
const defaultErrorStatusLine = "400 Bad Request";
/** Bounds the memory of one connection; requests behind these are dropped. */
const maxWaitingCount = 100;
/** Time for which a connection is read after its last response. */
const maxClosingMs = 1_000;

export function createCallerConnections(
  server: Server,
  { logger }: { readonly logger: Logger },
): CallerConnections {
  const connections = new Map<Duplex, Connection>();
  server.on("connection", (socket) => {
    connections.set(socket, {
      current: undefined,
      waiting: [],
      isBroken: false,
      isClosing: false,
    });
    // Node.js calls this after a response that closes the connection.
    socket.destroySoon = () => close(socket);
    socket.once("close", () => connections.delete(socket));
  });
  server.on("clientError", handleClientError);
  return {
    add,
    hasWaiting: (socket) => (connections.get(socket)?.waiting.length ?? 0) > 0,
    getClosingCount: () =>
      [...connections.values()].filter(({ isClosing }) => isClosing).length,
  };

  function add(
    request: IncomingMessage,
    response: ServerResponse,
    start: () => void,
  ): void {
    const { socket } = request;
    const connection = connections.get(socket);
    if (!connection) return;
    const isFull = connection.waiting.length >= maxWaitingCount;
    if (connection.isBroken || connection.isClosing || isFull) {
      connection.isBroken = true;
      request.resume();
      return;
    }
    response.once("close", () => startNext(socket, response));
    const exchange = { request, response, start };
    if (connection.current) connection.waiting.push(exchange);
    else {
      connection.current = exchange;
      start();
    }
  }

  function startNext(socket: Duplex, response: ServerResponse): void {
    const connection = connections.get(socket);
    if (!connection) return;
    connection.current = undefined;
    // Node.js closes the connection after this response.
    if (socket.destroyed || !response.shouldKeepAlive) return;
    connection.current = connection.waiting.shift();
    if (connection.current) connection.current.start();
    else if (connection.isBroken) close(socket);
  }

  /** Ends the connection, and reads on until the caller ends it too. */
  function close(socket: Duplex, lastBytes = ""): void {
    const connection = connections.get(socket);
    if (!connection || connection.isClosing) return;
    connection.isClosing = true;
    for (const { request } of connection.waiting.splice(0)) request.resume();
    socket.end(lastBytes);
    const timer = setTimeout(() => socket.destroy(), maxClosingMs);
    socket.once("close", () => clearTimeout(timer));
  }

  /**
   * Replaces the handling of Node.js, which destroys the connection also under
   * a response in progress.
   */
  function handleClientError(
    failure: NodeJS.ErrnoException,
    socket: Duplex,
  ): void {
    const connection = connections.get(socket);
    const isReset = failure.code === "ECONNRESET" || failure.code === "EPIPE";
    if (connection?.isClosing && !isReset) return;
    if (!socket.writable || isReset) {
      socket.destroy(failure);
      return;
    }
    logger.log(logEvents.callerConnectionFailed, {
      reason: getErrorMessage(failure),
      hasOpenRequest: connection?.current !== undefined,
    });
    if (connection?.current?.request.complete) {
      connection.isBroken = true;
      connection.waiting = connection.waiting.filter(({ request }) =>
        request.complete
      );
      return;
    }
    if (connection?.current?.response.headersSent) {
      socket.destroy(failure);
      return;
    }
    const status = errorStatusLines[failure.code ?? ""] ??
      defaultErrorStatusLine;
    close(socket, `HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
  }
}
