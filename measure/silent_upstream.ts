/**
 * A sound upstream that stops for a while in the middle of each request: it
 * neither reads nor writes on that connection, and then goes on.
 */
import { Buffer } from "node:buffer";
import http from "node:http";
import net from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

export enum SilencePosition {
  /** After the head of the request, before its body is read. */
  RequestBody = "requestBody",
  /** Before the first byte of the response. */
  FirstByte = "firstByte",
  /** Between two lines of the response's head. */
  Head = "head",
  /** Halfway through a body with a length. */
  Body = "body",
  /** Between two chunks. */
  Chunk = "chunk",
  /** Halfway through a body that ends with its connection. */
  Unframed = "unframed",
}

export interface SilentUpstream {
  readonly port: number;
  /** Number of requests that reached the upstream, by request id. */
  readonly runs: ReadonlyMap<string, number>;
  close(): void;
}

export interface SilentUpstreamOptions {
  readonly upstreamId: string;
  readonly host: string;
  readonly silenceMs: number;
  /** Body of the response to each request. */
  readonly body: string;
}

/** The path of a request names its silence: `/ROUTE/POSITION`. */
export async function startSilentUpstream(
  { upstreamId, host, silenceMs, body }: SilentUpstreamOptions,
): Promise<SilentUpstream> {
  const runs = new Map<string, number>();
  const server = http.createServer((request, response) => {
    const requestId = String(request.headers["request-id"] ?? "");
    if (request.headers["target-instance"] !== upstreamId) {
      response.writeHead(421, { "Request-Id": requestId, "Not-Executed": "1" });
      response.end();
      return;
    }
    runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
    void answer(request, request.socket, requestId);
  });
  await new Promise<void>((resolve) => server.listen(0, host, resolve));
  return {
    port: (server.address() as net.AddressInfo).port,
    runs,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };

  async function answer(
    request: http.IncomingMessage,
    socket: net.Socket,
    requestId: string,
  ): Promise<void> {
    const position = request.url!.split("/")[2] as SilencePosition;
    const pause = (at: SilencePosition) =>
      position === at ? sleep(silenceMs) : undefined;
    await pause(SilencePosition.RequestBody);
    for await (const _chunk of request);
    await pause(SilencePosition.FirstByte);
    const framing = {
      [SilencePosition.Chunk]: "Transfer-Encoding: chunked",
      [SilencePosition.Unframed]: "Connection: close",
    }[position as string] ?? `Content-Length: ${Buffer.byteLength(body)}`;
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\n`);
    await pause(SilencePosition.Head);
    socket.write(`Response-Seal: seal\r\n${framing}\r\n\r\n`);
    const middle = body.length / 2;
    if (position === SilencePosition.Chunk) {
      socket.write(formatChunk(body.slice(0, middle)));
      await pause(SilencePosition.Chunk);
      socket.write(`${formatChunk(body.slice(middle))}0\r\n\r\n`);
    } else {
      socket.write(body.slice(0, middle));
      await pause(SilencePosition.Body);
      await pause(SilencePosition.Unframed);
      socket.write(body.slice(middle));
    }
    // The response was written past the server, so the connection ends here.
    socket.end();
  }
}

function formatChunk(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}
