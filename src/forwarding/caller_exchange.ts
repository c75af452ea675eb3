/**
 * One request of a caller and the answer to it: reads the body within the
 * limits, notices when the caller leaves, and writes the answer.
 */
import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { ErrorKind, type SystemError } from "../core/errors.ts";
import type {
  ForwardingProtocol,
  RawHeaders,
  RequestDescription,
} from "./forwarding_protocol.ts";

export enum CallerState {
  /** No byte of an answer was written. */
  Waiting = "waiting",
  /** The head of the answer was written. */
  Answering = "answering",
  /** The answer is complete. */
  Answered = "answered",
  /** The caller left, or the answer was broken off. */
  Closed = "closed",
}

export interface CallerExchange {
  readonly description: RequestDescription;
  readonly method: string;
  readonly path: string;
  readonly host: string;
  readonly rawHeaders: RawHeaders;
  readonly arrivedAtMs: number;
  getState(): CallerState;
  /** Calls back once, when the caller leaves before the answer is complete. */
  onGone(callback: () => void): void;
  /**
   * Reads the whole body; undefined when it exceeds the limit or the caller
   * left.
   */
  readBody(maxBytes: number): Promise<Buffer | undefined>;
  startAnswer(status: number, headers: RawHeaders): void;
  /** Returns false when the caller reads more slowly than it is sent to. */
  write(bytes: Buffer): boolean;
  onDrain(callback: () => void): void;
  endAnswer(bytes?: Buffer): void;
  /** Ends with an answer of this instance's own, if none was started. */
  fail(error: SystemError): void;
  /** Closes the connection so that the answer does not look complete. */
  breakOff(): void;
}

export interface CallerExchangeOptions {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly protocol: ForwardingProtocol;
  readonly arrivedAtMs: number;
  /** The connection ends with this answer. */
  mustClose(): boolean;
  onFinished(exchange: CallerExchange, status: number): void;
}

export function createCallerExchange(
  options: CallerExchangeOptions,
): CallerExchange {
  const { request, response, protocol } = options;
  const description = protocol.describeRequest(request.headers);
  let state = CallerState.Waiting;
  let status = 0;
  let goneCallback: (() => void) | undefined;
  response.on("finish", () => finish(CallerState.Answered));
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
    onGone: (callback) => {
      if (state === CallerState.Closed) callback();
      else goneCallback = callback;
    },
    readBody,
    startAnswer,
    write: (bytes) => response.write(bytes),
    onDrain: (callback) => response.once("drain", callback),
    endAnswer: (bytes) => {
      if (state === CallerState.Closed) return;
      if (bytes) response.end(bytes);
      else response.end();
    },
    fail,
    breakOff: () => {
      if (state !== CallerState.Answered) response.destroy();
    },
  };
  return exchange;

  function finish(next: CallerState.Answered | CallerState.Closed): void {
    if (state === CallerState.Answered || state === CallerState.Closed) return;
    state = next;
    options.onFinished(exchange, next === CallerState.Answered ? status : 0);
    if (next === CallerState.Closed) goneCallback?.();
  }

  function readBody(maxBytes: number): Promise<Buffer | undefined> {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    return new Promise((resolve) => {
      request.on("data", (chunk: Buffer) => {
        sizeBytes += chunk.length;
        if (sizeBytes <= maxBytes) chunks.push(chunk);
        else resolve(undefined);
      });
      request.on("end", () => {
        resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks));
      });
      request.on("error", () => resolve(undefined));
      request.on("close", () => resolve(undefined));
    });
  }

  function startAnswer(nextStatus: number, headers: RawHeaders): void {
    if (state !== CallerState.Waiting) return;
    state = CallerState.Answering;
    status = nextStatus;
    if (options.mustClose()) response.shouldKeepAlive = false;
    response.writeHead(status, [...headers]);
  }

  function fail(error: SystemError): void {
    if (state !== CallerState.Waiting) return;
    const answer = protocol.encodeOwnAnswer({
      error,
      requestId: description.requestId,
    });
    // Reading on for the next request would take all of a huge body.
    const isHuge = error.kind === ErrorKind.PayloadTooLarge;
    const closing = isHuge ? ["Connection", "close"] : [];
    startAnswer(answer.status, [...answer.headers, ...closing]);
    response.end(answer.body);
  }
}
