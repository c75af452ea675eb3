/**
 * Guards against responses that a graceful shutdown cuts because their bytes
 * were not sent yet.
 */
import { Buffer } from "node:buffer";
import { createServer, type RequestListener, type Server } from "node:http";
import net from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import { closeOnlyIdleConnections } from "./idle_connections.ts";

const closers: (() => void)[] = [];

afterEach(() => {
  for (const close of closers.splice(0)) close();
});

async function startServer(listener: RequestListener) {
  const server: Server = createServer(listener);
  closeOnlyIdleConnections(server);
  closers.push(() => server.closeAllConnections());
  closers.push(() => server.close());
  const port = await new Promise<number>((resolve) =>
    server.listen(
      0,
      "127.0.0.1",
      () => resolve((server.address() as net.AddressInfo).port),
    )
  );
  return { server, port };
}

function connectCaller(port: number) {
  const socket = net.connect(port, "127.0.0.1");
  closers.push(() => socket.destroy());
  const received = { bytes: 0, isEnded: false };
  socket.on("data", (chunk) => received.bytes += chunk.length);
  socket.on("error", () => {});
  socket.on("close", () => received.isEnded = true);
  return { socket, received };
}

const requestText = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

test("a response that its caller reads slowly is not cut by a shutdown", async () => {
  const body = Buffer.alloc(16 * 1024 * 1024);
  const { server, port } = await startServer((_request, response) =>
    response.end(body)
  );
  const { socket, received } = connectCaller(port);
  socket.pause();
  socket.write(requestText);
  await sleep(200);
  server.close();
  server.closeIdleConnections();
  socket.resume();
  await expect.poll(() => received.bytes).toBeGreaterThan(body.length);
});

test("idle connections are closed, those with a request are not", async () => {
  const { server, port } = await startServer((request, response) => {
    request.resume().on("end", () => setTimeout(() => response.end("ok"), 200));
  });
  const idle = connectCaller(port);
  const used = connectCaller(port);
  const running = connectCaller(port);
  const partial = connectCaller(port);
  used.socket.write(requestText);
  await expect.poll(() => used.received.bytes).toBeGreaterThan(0);
  running.socket.write(requestText);
  partial.socket.write("POST / HTTP/1.1\r\nHo");
  await sleep(50);
  server.closeIdleConnections();
  await expect.poll(() => used.received.isEnded).toBe(true);
  await expect.poll(() => running.received.bytes).toBeGreaterThan(0);
  expect(partial.received.isEnded).toBe(false);
  // The first request of a new connection may be on its way.
  expect(idle.received.isEnded).toBe(false);
  await sleep(1_000);
  server.closeIdleConnections();
  await expect.poll(() => idle.received.isEnded).toBe(true);
  partial.socket.write("st: a\r\nContent-Length: 2\r\n\r\nab");
  await expect.poll(() => partial.received.bytes).toBeGreaterThan(0);
});
