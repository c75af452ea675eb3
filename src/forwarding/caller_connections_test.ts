/**
 * Guards against connections that stay open for good after their last response.
 */
import { createServer } from "node:http";
import net from "node:net";
import { afterEach, expect, test } from "vitest";
import { createCallerConnections } from "./caller_connections.ts";

const closers: (() => void)[] = [];

afterEach(() => {
  for (const close of closers.splice(0)) close();
});

test("a closed connection is destroyed after a while if its caller goes on sending", async () => {
  const server = createServer((request, response) =>
    connections.add(request, response, () => {
      response.shouldKeepAlive = false;
      response.end("ok");
    })
  );
  const connections = createCallerConnections(server, {
    logger: { log: () => {}, with: () => ({}) as never, flush: () => {} },
  });
  closers.push(() => server.closeAllConnections());
  closers.push(() => server.close());
  const port = await new Promise<number>((resolve) =>
    server.listen(
      0,
      "127.0.0.1",
      () => resolve((server.address() as net.AddressInfo).port),
    )
  );
  const socket = net.connect({ port, host: "127.0.0.1", allowHalfOpen: true });
  closers.push(() => socket.destroy());
  socket.resume();
  let isReset = false;
  socket.on("error", () => isReset = true);
  socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  await new Promise((resolve) => socket.once("end", resolve));
  const sending = setInterval(() => socket.write("GET / HTTP/1.1\r\n"), 20);
  closers.push(() => clearInterval(sending));
  expect(connections.getClosingCount()).toBe(1);
  await expect.poll(() => isReset, { timeout: 2_500 }).toBe(true);
  expect(connections.getClosingCount()).toBe(0);
});
