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
}

const errorStatusLines: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};
const defaultErrorStatusLine = "400 Bad Request";
/** Bounds the memory of one connection; requests behind these are dropped. */
const maxWaitingCount = 100;

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
    });
    socket.once("close", () => connections.delete(socket));
  });
  server.on("clientError", handleClientError);
  return { add };

  function add(
    request: IncomingMessage,
    response: ServerResponse,
    start: () => void,
  ): void {
    const { socket } = request;
    const connection = connections.get(socket);
    if (!connection || connection.isBroken) return;
    response.once("close", () => startNext(socket, response));
    const exchange = { request, response, start };
    if (!connection.current) {
      connection.current = exchange;
      start();
    } else if (connection.waiting.length < maxWaitingCount) {
      connection.waiting.push(exchange);
    } else connection.isBroken = true;
  }

  function startNext(socket: Duplex, response: ServerResponse): void {
    const connection = connections.get(socket);
    if (!connection) return;
    connection.current = undefined;
    // Node.js closes the connection after this response.
    if (socket.destroyed || !response.shouldKeepAlive) return;
    connection.current = connection.waiting.shift();
    if (connection.current) connection.current.start();
    else if (connection.isBroken) socket.end();
  }

  /**
   * Replaces the handling of Node.js, which destroys the connection also under
   * a response in progress.
   */
  function handleClientError(
    failure: NodeJS.ErrnoException,
    socket: Duplex,
  ): void {
    if (!socket.writable || failure.code === "ECONNRESET") {
      socket.destroy(failure);
      return;
    }
    const connection = connections.get(socket);
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
    socket.end(
      `HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`,
      () => socket.destroy(failure),
    );
  }
}
