/**
 * Reads the HTTP/1.1 responses on one connection byte by byte, without trusting
 * the server: every response is recorded with how far it came, and bytes that
 * belong to no response are recorded as such.
 */
import { Buffer } from "node:buffer";

export interface ReadResponse {
  readonly status: number;
  /** Names are in lower case; the last value counts. */
  readonly headers: ReadonlyMap<string, string>;
  readonly startedAtMs: number;
  bodyBytes: number;
  readonly bodyChunks: Buffer[];
  isComplete: boolean;
  endedAtMs: number | undefined;
}

export interface ResponseReader {
  /** Interim responses (1xx) are left out. */
  readonly responses: readonly ReadResponse[];
  push(bytes: Buffer): void;
  /** The server ended the connection, which completes an unframed response. */
  finish(): void;
  /** Describes the first bytes that are no response, if there were any. */
  getViolation(): string | undefined;
}

type BodyState =
  | { readonly kind: "none" }
  | { readonly kind: "length"; remainingBytes: number }
  | { readonly kind: "chunkHead" }
  | { readonly kind: "chunkData"; remainingBytes: number }
  | { readonly kind: "chunkEnd" }
  | { readonly kind: "trailers" }
  | { readonly kind: "untilEnd" };

const headEnd = "\r\n\r\n";
const lineEnd = "\r\n";

export function createResponseReader(): ResponseReader {
  const responses: ReadResponse[] = [];
  let pending: Buffer = Buffer.alloc(0);
  let current: ReadResponse | undefined;
  let body: BodyState = { kind: "none" };
  let violation: string | undefined;
  return {
    responses,
    push: (bytes) => {
      pending = pending.length === 0 ? bytes : Buffer.concat([pending, bytes]);
      while (violation === undefined && readNext());
    },
    finish: () => {
      if (current && body.kind === "untilEnd") complete();
    },
    getViolation: () => violation,
  };

  /** Returns false if more bytes are needed. */
  function readNext(): boolean {
    if (pending.length === 0) return false;
    if (!current) return readHead();
    switch (body.kind) {
      case "none":
        throw new Error("a response without a body is complete at its head");
      case "length":
      case "chunkData":
        return readData(body);
      case "untilEnd":
        addData(pending.length);
        return false;
      case "chunkHead":
        return readLine((line) => {
          const sizeBytes = parseInt(line, 16);
          if (!/^[0-9a-f]+(;.*)?$/i.test(line)) {
            fail("a malformed chunk size", line);
          } else if (sizeBytes === 0) body = { kind: "trailers" };
          else body = { kind: "chunkData", remainingBytes: sizeBytes };
        });
      case "chunkEnd":
        return readLine((line) => {
          if (line !== "") fail("a malformed end of a chunk", line);
          else body = { kind: "chunkHead" };
        });
      case "trailers":
        return readLine((line) => {
          if (line === "") complete();
        });
    }
  }

  function readHead(): boolean {
    const end = pending.indexOf(headEnd);
    if (end < 0) {
      const start = pending.subarray(0, 5).toString("latin1");
      if (!"HTTP/".startsWith(start)) fail("bytes that are no response", start);
      return false;
    }
    const [statusLine, ...lines] = pending.subarray(0, end).toString("latin1")
      .split(lineEnd);
    pending = pending.subarray(end + headEnd.length);
    const status = /^HTTP\/1\.1 (\d{3})( |$)/.exec(statusLine!)?.[1];
    if (status === undefined) {
      fail("a malformed status line", statusLine!);
      return false;
    }
    if (status.startsWith("1")) return true;
    current = {
      status: Number(status),
      headers: new Map(lines.map((line) => {
        const colon = line.indexOf(":");
        return [
          line.slice(0, colon).toLowerCase(),
          line.slice(colon + 1).trim(),
        ];
      })),
      startedAtMs: performance.now(),
      bodyBytes: 0,
      bodyChunks: [],
      isComplete: false,
      endedAtMs: undefined,
    };
    responses.push(current);
    body = getBodyState(current);
    const isEmpty = body.kind === "none" ||
      (body.kind === "length" && body.remainingBytes === 0);
    if (isEmpty) complete();
    return true;
  }

  function readData(state: { kind: string; remainingBytes: number }): boolean {
    const sizeBytes = Math.min(state.remainingBytes, pending.length);
    addData(sizeBytes);
    state.remainingBytes -= sizeBytes;
    if (state.remainingBytes > 0) return false;
    if (state.kind === "length") complete();
    else body = { kind: "chunkEnd" };
    return true;
  }

  function addData(sizeBytes: number): void {
    current!.bodyChunks.push(pending.subarray(0, sizeBytes));
    current!.bodyBytes += sizeBytes;
    pending = pending.subarray(sizeBytes);
  }

  function readLine(use: (line: string) => void): boolean {
    const end = pending.indexOf(lineEnd);
    if (end < 0) return false;
    const line = pending.subarray(0, end).toString("latin1");
    pending = pending.subarray(end + lineEnd.length);
    use(line);
    return true;
  }

  function complete(): void {
    current!.isComplete = true;
    current!.endedAtMs = performance.now();
    current = undefined;
  }

  function fail(what: string, text: string): void {
    violation = `${what}: ${JSON.stringify(text.slice(0, 40))}`;
  }
}

function getBodyState({ status, headers }: ReadResponse): BodyState {
  if (status === 204 || status === 304) return { kind: "none" };
  if (headers.get("transfer-encoding")?.toLowerCase() === "chunked") {
    return { kind: "chunkHead" };
  }
  const length = headers.get("content-length");
  return length === undefined
    ? { kind: "untilEnd" }
    : { kind: "length", remainingBytes: Number(length) };
}

export function getBodyText({ bodyChunks }: ReadResponse): string {
  return Buffer.concat(bodyChunks).toString();
}
