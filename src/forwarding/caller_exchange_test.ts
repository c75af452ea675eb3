/**
 * Guards against a connection that ends before its response is complete and of
 * which the log does not say who ended it.
 */
import { createServer } from "node:http";
import net from "node:net";
import process from "node:process";
import { afterEach, expect, test } from "vitest";
import { createBodyStore } from "../core/body_store.ts";
import { createForwardingProtocol } from "../../platform/forwarding_protocol.ts";
import {
  type CallerExchange,
  createCallerExchange,
  IncompleteEnd,
  type IncompleteResponse,
} from "./caller_exchange.ts";

const closers: (() => void)[] = [];

afterEach(() => {
  for (const close of closers.splice(0)) close();
});

/** Sends one request and returns how its connection ended. */
async function endConnection(
  act: (exchange: CallerExchange, socket: net.Socket) => void,
  requestText = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n",
): Promise<IncompleteResponse> {
  const server = createServer();
  closers.push(() => server.closeAllConnections());
  closers.push(() => server.close());
  const port = await new Promise<number>((resolve) =>
    server.listen(
      0,
      "127.0.0.1",
      () => resolve((server.address() as net.AddressInfo).port),
    )
  );
  const socket = net.connect(port, "127.0.0.1");
  socket.on("error", () => {});
  closers.push(() => socket.destroy());
  const ended = new Promise<IncompleteResponse>((resolve) => {
    server.on("request", (request, response) => {
      const exchange = createCallerExchange({
        request,
        response,
        protocol: createForwardingProtocol(),
        arrivedAtMs: 0,
        bodies: createBodyStore(1_000),
        shouldCloseConnection: () => false,
        onFinished: () => {},
        onIncomplete: (_exchange, details) => resolve(details),
      });
      void exchange.readBody(1_000);
      setImmediate(() => act(exchange, socket));
    });
  });
  socket.write(requestText);
  return await ended;
}

test("an aborted response names the reason", async () => {
  expect(await endConnection((exchange) => exchange.abort("no engine")))
    .toEqual({
      end: IncompleteEnd.Aborted,
      reason: "no engine",
      wasStarted: false,
      wasRequestRead: true,
    });
});

test.each([
  // Without chunks, a connection that is closed ends the response.
  { version: "1.0", received: "event", end: "ECONNRESET" },
  { version: "1.1", received: "5\r\nevent\r\n", end: "closed" },
])(
  "an aborted response does not look complete to an HTTP/$version caller",
  async ({ version, received, end }) => {
    let text = "";
    let callerEnd: string | undefined;
    await endConnection((exchange, socket) => {
      socket.on("data", (chunk) => {
        text += chunk.toString();
        if (text.endsWith(received)) exchange.abort("no engine");
      });
      socket.on("end", () => callerEnd ??= "closed");
      socket.on("error", (cause) => {
        callerEnd ??= (cause as NodeJS.ErrnoException).code;
      });
      exchange.startResponse(200, []);
      exchange.write(Buffer.from("event"));
    }, `GET /a HTTP/${version}\r\nHost: a\r\n\r\n`);
    await expect.poll(() => callerEnd).toBe(end);
    expect(text.endsWith(`\r\n\r\n${received}`)).toBe(true);
  },
);

test("a caller that closes its connection is named", async () => {
  const ended = await endConnection((exchange, socket) => {
    exchange.startResponse(200, []);
    exchange.write(Buffer.from("event"));
    socket.end();
  });
  expect(ended).toMatchObject({
    end: IncompleteEnd.CallerClosed,
    wasStarted: true,
  });
});

test("a caller that resets its connection is named", async () => {
  const ended = await endConnection((_exchange, socket) =>
    socket.resetAndDestroy()
  );
  expect(ended.end).toBe(IncompleteEnd.CallerReset);
});

test("bytes after a request that are no request are named", async () => {
  const ended = await endConnection((_exchange, socket) =>
    socket.write("no request\r\n\r\n")
  );
  expect(ended.end).toBe(IncompleteEnd.ConnectionFailed);
  expect(ended.reason).toContain("Parse Error");
});

test("a request of which the body is missing is told apart", async () => {
  const ended = await endConnection(
    (_exchange, socket) => socket.end(),
    "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf",
  );
  expect(ended.wasRequestRead).toBe(false);
});

// Node.js warns of more than ten listeners as of a leak.
test("each callback for a drained response is called once, by one listener", async () => {
  const warnings: string[] = [];
  const handleWarning = ({ message }: Error) => warnings.push(message);
  process.on("warning", handleWarning);
  closers.push(() => process.off("warning", handleWarning));
  let count = 0;
  await endConnection((exchange, socket) => {
    socket.resume();
    exchange.startResponse(200, []);
    const resume = () => {
      count += 1;
    };
    for (let index = 0; index < 40; index++) {
      exchange.write(Buffer.alloc(16 * 1024));
      exchange.onDrain(resume);
    }
    exchange.onDrain(() => exchange.abort("drained"));
  });
  expect(count).toBe(1);
  await new Promise((resolve) => setImmediate(resolve));
  expect(warnings).toEqual([]);
});
