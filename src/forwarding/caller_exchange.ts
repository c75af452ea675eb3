/**
 * One request of a caller and the response to it: reads the body within the
 * limit, detects that the caller disconnects, and writes the response.
 */
import type { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Result } from "neverthrow";
import type { BodyStore } from "../core/body_store.ts";
import {
  createError,
  ErrorKind,
  getErrorMessage,
  type SystemError,
} from "../core/errors.ts";
import { getAnnouncedBytes, readRequestBody } from "../core/request_body.ts";
import type {
  ForwardingProtocol,
  RawHeaders,
  RequestDescription,
} from "./forwarding_protocol.ts";

export enum CallerState {
  /** No byte of the response was written. */
  Waiting = "waiting",
  /** The head of the response was written. */
  Responding = "answering",
  /** The response is complete. */
  Completed = "answered",
  /** The caller disconnected, or the response was aborted. */
  Closed = "closed",
}

/** How a connection ended before its response was complete. */
export enum IncompleteEnd {
  /** This instance aborted the response. */
  Aborted = "aborted",
  CallerClosed = "callerClosed",
  CallerReset = "callerReset",
  /** The connection failed, such as by an HTTP parse error or a timeout. */
  ConnectionFailed = "connectionFailed",
  /** This instance closed the connection without aborting the response. */
  ClosedHere = "closedHere",
}

export interface IncompleteResponse {
  readonly end: IncompleteEnd;
  readonly reason: string;
  /** Whether the head of the response was written. */
  readonly wasStarted: boolean;
  readonly wasRequestRead: boolean;
}

export interface CallerExchange {
  readonly description: RequestDescription;
  readonly method: string;
  readonly path: string;
  readonly host: string;
  readonly rawHeaders: RawHeaders;
  readonly arrivedAtMs: number;
  getState(): CallerState;
  /** Calls back once if the caller disconnects before the response ends. */
  onDisconnect(callback: () => void): void;
  /** Calls back once when the exchange has ended, or at once if it has. */
  onEnd(callback: () => void): void;
  /** Calls back once if this instance stops before the response ends. */
  onShutdown(callback: () => void): void;
  /** Ends the exchange because this instance stops. */
  shutDown(): void;
  /**
   * Reads the whole body, which counts as held until the exchange ends. Fails if
   * it exceeds the limit or the room of all bodies, is not complete in time,
   * or the caller disconnects.
   */
  readBody(
    maxBytes: number,
    timeoutMs?: number,
  ): Promise<Result<Buffer, SystemError>>;
  /** Whether the connection is closed after the response. */
  willClose(): boolean;
  /** Reads the body without keeping it, unless it is far over the limit. */
  discardBody(): Promise<void>;
  startResponse(status: number, headers: RawHeaders): void;
  /**
   * Returns false if the caller reads more slowly than data is written; wait
   * for `onDrain` then.
   */
  write(bytes: Buffer): boolean;
  onDrain(callback: () => void): void;
  endResponse(bytes?: Buffer): void;
  /** Sends an error response of this instance, if no response was started. */
  fail(error: SystemError): void;
  /** Destroys the connection so that the response does not look complete. */
  abort(reason: string): void;
}

export interface CallerExchangeOptions {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly protocol: ForwardingProtocol;
  readonly arrivedAtMs: number;
  /** For the bodies of all requests. */
  readonly bodies: BodyStore;
  /** Whether the connection is closed after this response. */
  shouldCloseConnection(): boolean;
  onFinished(exchange: CallerExchange, status: number): void;
  onIncomplete(exchange: CallerExchange, details: IncompleteResponse): void;
}

/** A caller that a stopping instance refuses can reach another one at once. */
const shutdownRetryAfterMs = 20;

/** The error of a request that was not sent to an upstream. */
export function createShutdownError(): SystemError {
  return createError(ErrorKind.ShuttingDown, "this instance is shutting down", {
    retryAfterMs: shutdownRetryAfterMs,
  });
}

/** Twice the largest body that callers may send. */
const maxDiscardBytes = 8 * 1024 * 1024;
export function createCallerExchange(
  options: CallerExchangeOptions,
): CallerExchange {
  const { request, response, protocol } = options;
  const { socket } = request;
  const description = protocol.describeRequest(request.headers);
  let state = CallerState.Waiting;
  let status = 0;
  let disconnectCallback: (() => void) | undefined;
  let shutdownCallback: (() => void) | undefined;
  let abortReason: string | undefined;
  /** The rest of the body is not wanted. */
  let isBodyRefused = false;
  const heldBody = options.bodies.open();
  const drainCallbacks = new Set<() => void>();
  const endCallbacks: (() => void)[] = [];
  response.on("finish", () => finish(CallerState.Completed));
  response.on("close", () => {
    if (!response.writableFinished) finish(CallerState.Closed);
  });
  response.on("error", () => finish(CallerState.Closed));
  const exchange: CallerExchange = {
    description,
    method: request.method ?? "GET",
    path: request.url ?? "/",
    host: request.headers.host ?? "",
    rawHeaders: request.rawHeaders,
    arrivedAtMs: options.arrivedAtMs,
    getState: () => state,
    onDisconnect: (callback) => {
      if (state === CallerState.Closed) callback();
      else disconnectCallback = callback;
    },
    onEnd: (callback) => {
      if (hasEnded()) callback();
      else endCallbacks.push(callback);
    },
    onShutdown: (callback) => shutdownCallback = callback,
    shutDown,
    willClose: () =>
      !response.shouldKeepAlive || options.shouldCloseConnection(),
    readBody,
    discardBody,
    startResponse,
    write: (bytes) => response.write(bytes),
    onDrain: (callback) => {
      // An attempt waits after each of its writes, and several may follow each
      // other; a listener for each of them exceeds the limit of Node.js.
      if (drainCallbacks.size === 0) response.once("drain", handleDrain);
      drainCallbacks.add(callback);
    },
    endResponse: (bytes) => {
      if (state === CallerState.Closed) return;
      if (bytes) response.end(bytes);
      else response.end();
    },
    fail,
    abort: (reason) => {
      if (state === CallerState.Completed) return;
      abortReason ??= reason;
      // Without chunks or a length, as for HTTP/1.0, a response that was begun
      // ends when its connection is closed; only a reset shows that it is broken.
      if (response.headersSent && !response.chunkedEncoding) {
        socket.resetAndDestroy();
      } else response.destroy();
    },
  };
  return exchange;

  function finish(next: CallerState.Completed | CallerState.Closed): void {
    if (hasEnded()) return;
    const wasStarted = state === CallerState.Responding;
    state = next;
    heldBody.release();
    for (const callback of endCallbacks.splice(0)) callback();
    options.onFinished(exchange, next === CallerState.Completed ? status : 0);
    if (next === CallerState.Completed) return;
    options.onIncomplete(exchange, {
      ...describeEnd(),
      wasStarted,
      wasRequestRead: request.complete,
    });
    disconnectCallback?.();
  }

  function hasEnded(): boolean {
    return state === CallerState.Completed || state === CallerState.Closed;
  }

  function handleDrain(): void {
    const callbacks = [...drainCallbacks];
    drainCallbacks.clear();
    for (const callback of callbacks) callback();
  }

  function describeEnd(): Pick<IncompleteResponse, "end" | "reason"> {
    if (abortReason !== undefined) {
      return { end: IncompleteEnd.Aborted, reason: abortReason };
    }
    const failure = socket.errored as NodeJS.ErrnoException | null;
    if (failure) {
      const isReset = failure.code === "ECONNRESET" || failure.code === "EPIPE";
      return {
        end: isReset
          ? IncompleteEnd.CallerReset
          : IncompleteEnd.ConnectionFailed,
        reason: getErrorMessage(failure),
      };
    }
    return socket.readableEnded
      ? { end: IncompleteEnd.CallerClosed, reason: "the caller disconnected" }
      : { end: IncompleteEnd.ClosedHere, reason: "the connection was closed" };
  }

  function shutDown(): void {
    if (state === CallerState.Waiting) {
      if (shutdownCallback) shutdownCallback();
      else fail(createShutdownError());
    } else if (!response.writableEnded) {
      exchange.abort("the grace time is over");
    }
  }

  async function readBody(
    maxBytes: number,
    timeoutMs?: number,
  ): Promise<Result<Buffer, SystemError>> {
    const body = await readRequestBody({
      request,
      held: heldBody,
      maxBytes,
      ...(timeoutMs === undefined ? {} : { timeoutMs }),
    });
    isBodyRefused = body.isErr();
    return body;
  }

  function discardBody(): Promise<void> {
    if (request.complete || getAnnouncedBytes(request) > maxDiscardBytes) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      request.on("close", resolve);
      request.resume();
    });
  }

  function startResponse(nextStatus: number, headers: RawHeaders): void {
    if (state !== CallerState.Waiting) return;
    state = CallerState.Responding;
    status = nextStatus;
    if (options.shouldCloseConnection()) response.shouldKeepAlive = false;
    response.writeHead(status, [...headers]);
  }

  function fail(error: SystemError): void {
    if (state !== CallerState.Waiting) return;
    const answer = protocol.encodeLocalResponse({
      error,
      requestId: description.requestId,
    });
    // Keeping the connection open for the next request would require reading
    // the rest of the body.
    if (isBodyRefused && !request.complete) response.shouldKeepAlive = false;
    startResponse(answer.status, answer.headers);
    response.end(answer.body);
  }
}
