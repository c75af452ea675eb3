/** Guards against a peer that stops the process by sending without end. */
import { Buffer } from "node:buffer";
import net from "node:net";
import { afterEach, expect, test } from "vitest";
import { createReadPacer } from "./read_pacing.ts";

const maxBytesPerTurn = 256 * 1024;
/** Node.js reads buffers of at most this size. */
const bufferBytes = 64 * 1024;
const floodBytes = 64 * 1024 * 1024;
const closers: (() => void)[] = [];

afterEach(() => {
  for (const close of closers.splice(0)) close();
});

/** Connects to a server that sends as much as it can. */
async function connectToFlood(): Promise<net.Socket> {
  const block = Buffer.alloc(1024 * 1024, "a");
  const server = net.createServer((socket) => {
    socket.on("error", () => {});
    for (let sent = 0; sent < floodBytes; sent += block.length) {
      socket.write(block);
    }
    socket.end();
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as net.AddressInfo;
  const socket = net.connect({ host: "127.0.0.1", port });
  closers.push(() => {
    socket.destroy();
    server.close();
  });
  return socket;
}

/** Reads everything and returns the most bytes that one turn delivered. */
function readAll(
  sockets: readonly net.Socket[],
): Promise<{ readBytes: number; mostBytesPerTurn: number }> {
  let readBytes = 0;
  let turnBytes = 0;
  let mostBytesPerTurn = 0;
  let openCount = sockets.length;
  return new Promise((resolve) => {
    for (const socket of sockets) {
      socket.on("data", (chunk) => {
        readBytes += chunk.length;
        if (turnBytes === 0) setImmediate(() => turnBytes = 0);
        turnBytes += chunk.length;
        mostBytesPerTurn = Math.max(mostBytesPerTurn, turnBytes);
      });
      socket.on("close", () => {
        openCount -= 1;
        if (openCount === 0) resolve({ readBytes, mostBytesPerTurn });
      });
    }
  });
}

test("sockets that receive without end share each turn of the event loop", async () => {
  const pacer = createReadPacer({ maxBytesPerTurn, maxMsPerTurn: Infinity });
  const sockets = await Promise.all([connectToFlood(), connectToFlood()]);
  for (const socket of sockets) pacer.pace(socket, () => {});
  const { readBytes, mostBytesPerTurn } = await readAll(sockets);
  expect(readBytes).toBe(sockets.length * floodBytes);
  expect(mostBytesPerTurn)
    .toBeLessThanOrEqual(maxBytesPerTurn + sockets.length * bufferBytes);
});

test("a turn ends after its time, however few bytes it took", async () => {
  const pacer = createReadPacer({ maxBytesPerTurn: Infinity, maxMsPerTurn: 0 });
  const sockets = [await connectToFlood()];
  pacer.pace(sockets[0]!, () => {});
  const { readBytes, mostBytesPerTurn } = await readAll(sockets);
  expect(readBytes).toBe(floodBytes);
  expect(mostBytesPerTurn).toBeLessThanOrEqual(bufferBytes);
});

test("a socket that its reader pauses stays paused", async () => {
  const pacer = createReadPacer({ maxBytesPerTurn: 1, maxMsPerTurn: Infinity });
  const socket = await connectToFlood();
  pacer.pace(socket, () => {});
  let readBytes = 0;
  await new Promise<void>((resolve) => {
    socket.once("data", (chunk) => {
      readBytes += chunk.length;
      socket.pause();
      resolve();
    });
  });
  const pausedBytes = readBytes;
  await new Promise((resolve) => setTimeout(resolve, 50));
  expect(readBytes).toBe(pausedBytes);
  expect(socket.bytesRead).toBeLessThan(pausedBytes + 3 * bufferBytes);
  const rest = readAll([socket]);
  socket.resume();
  expect((await rest).readBytes).toBe(floodBytes - pausedBytes);
});
