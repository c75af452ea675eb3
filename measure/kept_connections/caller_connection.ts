/**
 * A caller's TCP connection. Requests are written byte by byte as the test
 * wants, and the end of the connection is seen as it is on the wire: a FIN and
 * a reset are told apart.
 */
import type { Buffer } from "node:buffer";
import net from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { createResponseReader, type ReadResponse } from "./response_reader.ts";

export enum ConnectionEnd {
  /** The server has not ended the connection. */
  None = "open",
  Finished = "finished",
  Reset = "reset",
}

export interface CallerConnection {
  readonly responses: readonly ReadResponse[];
  send(bytes: string | Buffer): void;
  /** Sends a FIN; responses can still be received. */
  finishSending(): void;
  /** Stops reading, so that the receive window fills. */
  pauseReading(): void;
  resumeReading(): void;
  /** Closes the connection as a caller that gives up does. */
  leave(): void;
  getEnd(): ConnectionEnd;
  getEndedAtMs(): number | undefined;
  getViolation(): string | undefined;
  /** Waits for so many complete responses; false if that is not reached. */
  waitForComplete(count: number, timeoutMs: number): Promise<boolean>;
  /** Waits until the server ends the connection. */
  waitForEnd(timeoutMs: number): Promise<ConnectionEnd>;
}

const pollIntervalMs = 5;

export async function openCallerConnection(
  port: number,
  host = "127.0.0.1",
): Promise<CallerConnection> {
  const reader = createResponseReader();
  const socket = net.connect({
    host,
    port,
    noDelay: true,
    allowHalfOpen: true,
  });
  let end = ConnectionEnd.None;
  let endedAtMs: number | undefined;
  let hasLeft = false;
  socket.on("data", (chunk) => reader.push(chunk));
  socket.on("end", () => {
    reader.finish();
    recordEnd(ConnectionEnd.Finished);
  });
  socket.on("error", () => recordEnd(ConnectionEnd.Reset));
  await new Promise<void>((resolve) => {
    socket.once("connect", resolve);
    socket.once("error", () => resolve());
  });
  return {
    responses: reader.responses,
    send: (bytes) => {
      if (!socket.destroyed) socket.write(bytes);
    },
    finishSending: () => void socket.end(),
    pauseReading: () => void socket.pause(),
    resumeReading: () => void socket.resume(),
    leave: () => {
      hasLeft = true;
      socket.destroy();
    },
    getEnd: () => end,
    getEndedAtMs: () => endedAtMs,
    getViolation: reader.getViolation,
    waitForComplete: (count, timeoutMs) =>
      waitUntil(
        () =>
          reader.responses.filter(({ isComplete }) => isComplete).length >=
            count,
        timeoutMs,
      ),
    waitForEnd: async (timeoutMs) => {
      await waitUntil(() => end !== ConnectionEnd.None, timeoutMs);
      return end;
    },
  };

  function recordEnd(next: ConnectionEnd): void {
    if (hasLeft || end !== ConnectionEnd.None) return;
    end = next;
    endedAtMs = performance.now();
  }
}

async function waitUntil(
  condition: () => boolean,
  timeoutMs: number,
): Promise<boolean> {
  const untilMs = performance.now() + timeoutMs;
  while (!condition()) {
    if (performance.now() >= untilMs) return false;
    await sleep(pollIntervalMs);
  }
  return true;
}

export interface RequestText {
  readonly requestId: string;
  readonly host?: string;
  readonly method?: string;
  readonly path?: string;
  readonly deadlineMs?: number;
  readonly apiKey?: string;
  readonly headers?: readonly string[];
  /** Sent with its length unless `isChunked`. */
  readonly body?: string;
  readonly isChunked?: boolean;
}

export function formatRequest(request: RequestText): string {
  const { body, isChunked = false } = request;
  const framing = body === undefined
    ? []
    : isChunked
    ? ["Transfer-Encoding: chunked"]
    : [`Content-Length: ${body.length}`];
  const head = [
    `${request.method ?? (body === undefined ? "GET" : "POST")} ${
      request.path ?? "/app/item"
    } HTTP/1.1`,
    `Host: ${request.host ?? "app.example"}`,
    `Request-Id: ${request.requestId}`,
    `Deadline-Ms: ${request.deadlineMs ?? 10_000}`,
    `Api-Key: ${request.apiKey ?? "key-1"}`,
    ...framing,
    ...(request.headers ?? []),
  ].join("\r\n");
  const bodyText = body === undefined
    ? ""
    : isChunked
    ? `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`
    : body;
  return `${head}\r\n\r\n${bodyText}`;
}
