/** Guards against limits that lose, reorder or never end what callers are owed. */
import { once } from "node:events";
import {
  createServer,
  type RequestListener,
  type ServerResponse,
} from "node:http";
import net from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import {
  callerLimitsSchema,
  chooseBodyBytes,
  createCallerGuard,
} from "./caller_limits.ts";
import { createSilentLogger } from "./logger.ts";
import { createMetricsRegistry } from "./metrics_registry.ts";

const closers: (() => void)[] = [];
const mebibyte = 1024 * 1024;
let readMetrics: () => Promise<string>;

afterEach(() => {
  for (const close of closers.splice(0)) close();
});

async function connect(
  limits: Record<string, number>,
  listener: RequestListener,
): Promise<net.Socket> {
  const server = createServer(listener);
  const registry = createMetricsRegistry();
  const guard = createCallerGuard({
    limits: callerLimitsSchema.parse(limits),
    logger: createSilentLogger(),
    registry,
  });
  guard.protect(server, { maxConnections: 2, mayPipeline: true });
  readMetrics = registry.getText;
  closers.push(() => server.close(), () => server.closeAllConnections());
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as net.AddressInfo;
  const socket = net.connect(port, "127.0.0.1");
  socket.on("error", () => {});
  closers.push(() => socket.destroy());
  return socket;
}

test(
  "requests sent ahead are answered in order, with few open at a time",
  async () => {
    let openCount = 0;
    let maxOpenCount = 0;
    const socket = await connect(
      { maxWaitingRequests: 2 },
      (request, response) => {
        maxOpenCount = Math.max(maxOpenCount, ++openCount);
        let body = "";
        request.on("data", (chunk) => body += chunk);
        request.on("end", () =>
          setImmediate(() => {
            openCount -= 1;
            response.end(`<${request.url} ${body}>`);
          }));
      },
    );
    const numbers = Array.from({ length: 500 }, (_, number) => number);
    const text = numbers.map((number) => {
      const body = "\r\n\r\n".repeat(number % 40);
      return `PUT /${number} HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
    }).join("");
    let received = "";
    socket.on("data", (chunk) => received += chunk);
    // Pieces end at any place of a request.
    for (let offset = 0; offset < text.length; offset += 7_001) {
      socket.write(text.slice(offset, offset + 7_001));
      await sleep(1);
    }
    await expect.poll(() => received, { timeout: 10_000 }).toContain("</499 ");
    const answered = [...received.matchAll(/<\/(\d+) (\s*)>/g)];
    expect(answered.map(([, number]) => Number(number))).toEqual(numbers);
    expect(
      answered.every(([, number, body]) =>
        body!.length === Number(number) % 40 * 4
      ),
    ).toBe(true);
    expect(maxOpenCount).toBeLessThanOrEqual(4);
  },
  20_000,
);

test(
  "a response that nobody reads is closed, one that is read slowly is not",
  async () => {
    let closedCount = 0;
    const listener: RequestListener = (request, response) => {
      request.socket.once("close", () => closedCount += 1);
      response.end("x".repeat(30_000_000));
    };
    const limits = { unreadTimeoutMs: 1_500, maxUnreadBytes: 100_000_000 };
    const unread = await connect(limits, listener);
    unread.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    await expect.poll(() => closedCount, { timeout: 10_000 }).toBe(1);
    const slow = await connect(limits, listener);
    let receivedBytes = 0;
    slow.on("data", (chunk) => {
      receivedBytes += chunk.length;
      slow.pause();
    });
    const reading = setInterval(() => slow.resume(), 100);
    closers.push(() => clearInterval(reading));
    slow.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    await sleep(5_000);
    expect(closedCount).toBe(1);
    expect(receivedBytes).toBeLessThan(30_000_000);
    clearInterval(reading);
    slow.removeAllListeners("data");
    slow.on("data", (chunk) => receivedBytes += chunk.length);
    slow.resume();
    await expect.poll(() => receivedBytes, { timeout: 10_000 })
      .toBeGreaterThan(30_000_000);
  },
  40_000,
);

test("limits that are no positive numbers are rejected", () => {
  for (const value of [0, -1, 0.5, "many", null]) {
    expect(callerLimitsSchema.safeParse({ maxBodyBytes: value }).success)
      .toBe(false);
  }
});

test("requests sent ahead count until they are read or their connection is closed", async () => {
  const readUnparsedBytes = async () =>
    Number(
      /^apricotyoke_caller_unparsed_bytes (\d+)$/m.exec(
        await readMetrics(),
      )![1],
    );
  const responses: ServerResponse[] = [];
  const socket = await connect(
    { maxWaitingRequests: 1 },
    (_request, response) => void responses.push(response),
  );
  socket.resume();
  const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  socket.write(request.repeat(50));
  await expect.poll(readUnparsedBytes).toBeGreaterThan(0);
  const answering = setInterval(() => {
    for (const response of responses.splice(0)) response.end();
  }, 5);
  closers.push(() => clearInterval(answering));
  await expect.poll(readUnparsedBytes, { timeout: 5_000 }).toBe(0);
  clearInterval(answering);
  socket.write(request.repeat(50));
  await expect.poll(readUnparsedBytes).toBeGreaterThan(0);
  responses[0]!.socket!.destroy();
  await expect.poll(readUnparsedBytes).toBe(0);
});

// Guards against refusing bodies that the memory has room for, and against
// filling the smallest machines.
test("the room for bodies follows the memory, and is 16 MiB at least", () => {
  const choose = (heap: number, memory: number) =>
    chooseBodyBytes({
      heapBytes: heap * mebibyte,
      memoryBytes: memory * mebibyte,
    }) / mebibyte;
  expect(choose(108, 178)).toBe(16);
  expect(choose(108, 250)).toBe(25.5);
  expect(choose(108, 490)).toBe(27);
  expect(choose(4_144, 32_168)).toBe(1_036);
  for (const absurd of [0, -1, NaN]) {
    expect(choose(absurd, 490)).toBe(16);
    expect(choose(108, absurd)).toBe(16);
  }
});
