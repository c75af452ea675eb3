import { Buffer } from "node:buffer";
import { once } from "node:events";
import net from "node:net";
import { Worker } from "node:worker_threads";
import { afterEach, expect, test } from "vitest";
import {
  createUpstreamConnections,
  type ExchangeFailure,
} from "./upstream_connections.ts";

type Outcome =
  | {
    readonly kind: "answered";
    readonly status: number;
    readonly body: string;
  }
  | ({ readonly kind: "failed" } & ExchangeFailure);

const servers: net.Server[] = [];
const connections = createUpstreamConnections();

afterEach(() => {
  for (const server of servers.splice(0)) server.close();
});

/** Starts a TCP server; `answer` writes the raw response to each request. */
function startServer(
  answer: (socket: net.Socket, requestNumber: number) => void,
): Promise<number> {
  let requestNumber = 0;
  const server = net.createServer((socket) => {
    socket.on("error", () => {});
    socket.on("data", () => answer(socket, ++requestNumber));
  });
  servers.push(server);
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      resolve((server.address() as net.AddressInfo).port);
    });
  });
}

function send(
  port: number,
  mayReuseConnection = true,
  headers: readonly string[] = ["Host", "test"],
): Promise<Outcome> {
  return new Promise((resolve) => {
    let status = 0;
    const chunks: Buffer[] = [];
    connections.send({
      host: "127.0.0.1",
      port,
      method: "GET",
      path: "/",
      headers,
      body: Buffer.alloc(0),
      mayReuseConnection,
    }, {
      onHead: (value) => status = value,
      onData: (chunk) => chunks.push(chunk),
      onEnd: () => {
        const body = Buffer.concat(chunks).toString();
        resolve({ kind: "answered", status, body });
      },
      onFailure: (failure) => resolve({ kind: "failed", ...failure }),
    });
  });
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
const withoutLength = "HTTP/1.1 200 OK\r\n\r\nbody";

test("a response with a length is received completely", async () => {
  const port = await startServer((socket) => socket.write(whole));
  expect(await send(port)).toEqual({
    kind: "answered",
    status: 200,
    body: "body",
  });
});

test("a response that is shorter than its length is a failure", async () => {
  const port = await startServer((socket) => {
    socket.end(whole.slice(0, -1));
  });
  expect(await send(port)).toMatchObject({ kind: "failed", wasSent: true });
});

test("a response without a length is complete when the upstream closes", async () => {
  const port = await startServer((socket) => socket.end(withoutLength));
  expect(await send(port)).toMatchObject({ kind: "answered", body: "body" });
});

test.each([true, false])(
  "a response without a length is a failure if its connection is reset (reuse: %s)",
  async (mayReuse) => {
    const port = await startServer((socket) => {
      socket.write(withoutLength, () => {
        setTimeout(() => socket.resetAndDestroy(), 20);
      });
    });
    expect(await send(port, mayReuse)).toMatchObject({
      kind: "failed",
      wasSent: true,
    });
  },
);

test.each(["identity", "gzip", "chunked, identity"])(
  "a reset that arrives together with data does not complete a response with the transfer coding %s",
  async (coding) => {
    const port = await startServer((socket) => {
      socket.write(
        `HTTP/1.1 200 OK\r\nTransfer-Encoding: ${coding}\r\n\r\nbody`,
      );
      socket.resetAndDestroy();
    });
    expect(await send(port)).toMatchObject({ kind: "failed" });
  },
);

test("a response whose last transfer coding is chunked ends with its last chunk", async () => {
  const port = await startServer((socket) => {
    socket.write(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, Chunked\r\n\r\n" +
        "4\r\nbody\r\n0\r\n\r\n",
    );
  });
  expect(await send(port)).toMatchObject({ kind: "answered", body: "body" });
});

test("a reset that arrives together with data does not complete the response", async () => {
  const port = await startServer((socket) => {
    socket.write(withoutLength);
    socket.resetAndDestroy();
  });
  expect(await send(port)).toMatchObject({ kind: "failed" });
});

test("no bytes count as sent on a refused connection", async () => {
  const port = await startServer(() => {});
  await new Promise((resolve) => servers.pop()!.close(resolve));
  expect(await send(port)).toMatchObject({ kind: "failed", wasSent: false });
});

test("bytes on an idle connection are not the response to the next request", async () => {
  const port = await startServer((socket, requestNumber) => {
    socket.write(whole);
    if (requestNumber > 1) return;
    setTimeout(() => socket.write(whole.replace("body", "late")), 10);
  });
  await send(port);
  await new Promise((resolve) => setTimeout(resolve, 50));
  expect(await send(port)).toMatchObject({ body: "body" });
});

test("a malformed response fails the request", async () => {
  const port = await startServer((socket) => socket.write("garbage\r\n\r\n"));
  expect(await send(port)).toMatchObject({ kind: "failed", wasSent: true });
});

const wholeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

test("a request on a connection that was closed while idle is sent again over a new one", async () => {
  const port = await startServer((socket, requestNumber) => {
    if (requestNumber === 2) socket.resetAndDestroy();
    else socket.write(wholeResponse);
  });
  expect(await send(port)).toMatchObject({ kind: "answered", body: "ok" });
  const openedCount = connections.getOpenedCount();
  expect(await send(port)).toMatchObject({ kind: "answered", body: "ok" });
  expect(connections.getOpenedCount()).toBe(openedCount + 1);
});

test("a request is not sent again after a part of its response", async () => {
  let count = 0;
  const port = await startServer((socket, requestNumber) => {
    count = requestNumber;
    if (requestNumber === 1) socket.write(wholeResponse);
    else socket.write("HTTP/1.1 200", () => socket.resetAndDestroy());
  });
  await send(port);
  expect(await send(port)).toMatchObject({ kind: "failed", wasSent: true });
  expect(count).toBe(2);
});

test("a request whose connection was closed counts as sent although the upstream is gone", async () => {
  const port = await startServer((socket, requestNumber) => {
    if (requestNumber === 1) {
      socket.write(wholeResponse);
      return;
    }
    servers[0]!.close();
    socket.resetAndDestroy();
  });
  await send(port);
  expect(await send(port)).toMatchObject({ kind: "failed", wasSent: true });
});

// An exception would end the process if it came from a timer or a socket event.
test.each([true, false])(
  "a request that Node can't write fails as not sent (reuse: %s)",
  async (mayReuse) => {
    const port = await startServer((socket) => socket.write(wholeResponse));
    for (const invalidPort of [65_536, 99_999, -1, NaN]) {
      expect(await send(invalidPort, mayReuse))
        .toMatchObject({ kind: "failed", wasSent: false });
    }
    for (const value of ["\ufffd", "a\r\nb", "\ud800"]) {
      expect(await send(port, mayReuse, ["Host", "test", "Id", value]))
        .toMatchObject({ kind: "failed", wasSent: false });
    }
    expect(await send(port, mayReuse)).toMatchObject({ body: "ok" });
  },
);

test("a cancelled request that Node can't write calls no handler", async () => {
  connections.send({
    host: "127.0.0.1",
    port: 99_999,
    method: "GET",
    path: "/",
    headers: ["Host", "test"],
    body: Buffer.alloc(0),
    mayReuseConnection: true,
  }, {
    onHead: () => expect.unreachable(),
    onData: () => expect.unreachable(),
    onEnd: () => expect.unreachable(),
    onFailure: () => expect.unreachable(),
  }).cancel();
  await new Promise((resolve) => setTimeout(resolve, 20));
});

/** Sends a body of `workerData` bytes to each connection. */
const floodServer = `
  const { parentPort, workerData } = require("node:worker_threads");
  const server = require("node:net").createServer((socket) => {
    socket.on("error", () => {});
    socket.write("HTTP/1.1 200 OK\\r\\n");
    socket.write("Content-Length: " + workerData + "\\r\\n\\r\\n");
    socket.write(Buffer.alloc(workerData, "a"));
  });
  server.listen(0, "127.0.0.1", () => {
    parentPort.postMessage(server.address().port);
  });
`;

// Without read pacing, Node reads 2 MiB of each connection in a turn, and other
// requests and timers wait for all of them.
test("all upstreams together deliver a bounded number of bytes in one turn", async () => {
  const maxBytesPerTurn = 256 * 1024;
  /** Node reads buffers of at most this size. */
  const bufferBytes = 64 * 1024;
  const bodyBytes = 32 * 1024 * 1024;
  // In a thread of its own it fills the connections while they are read.
  const server = new Worker(floodServer, { eval: true, workerData: bodyBytes });
  const [port] = await once(server, "message") as [number];
  let turnBytes = 0;
  let mostBytesPerTurn = 0;
  const receive = () =>
    new Promise<number>((resolve, reject) => {
      let readBytes = 0;
      connections.send({
        host: "127.0.0.1",
        port,
        method: "GET",
        path: "/",
        headers: ["Host", "test"],
        body: Buffer.alloc(0),
        mayReuseConnection: false,
      }, {
        onHead: () => {},
        onData: (chunk) => {
          readBytes += chunk.length;
          if (turnBytes === 0) setImmediate(() => turnBytes = 0);
          turnBytes += chunk.length;
          mostBytesPerTurn = Math.max(mostBytesPerTurn, turnBytes);
        },
        onEnd: () => resolve(readBytes),
        onFailure: ({ reason }) => reject(new Error(reason)),
      });
    });
  expect(await Promise.all([receive(), receive(), receive()]))
    .toEqual([bodyBytes, bodyBytes, bodyBytes]);
  await server.terminate();
  // Each socket may deliver one buffer once the limit is reached.
  expect(mostBytesPerTurn)
    .toBeLessThanOrEqual(maxBytesPerTurn + 3 * bufferBytes);
});
