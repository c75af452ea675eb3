/**
 * Ways in which an entry instance ended a connection without a complete response
 * to a request that it had read whole. Each test reproduces one of them.
 */
import { Buffer } from "node:buffer";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, beforeEach, describe, expect, test } from "vitest";
import {
  createTestTable,
  engineTraits,
  type FakeUpstream,
  type FakeUpstreamHandler,
  formatEvent,
  sendCompleteResponse,
  startEventStream,
  startFakeUpstream,
  startTestEntry,
  type TestEntry,
} from "../forwarding_fakes.ts";
import {
  type CallerLimits,
  type ForwardingRoute,
  RequestKind,
} from "../../src/forwarding/forwarding_table.ts";
import type { ListedUpstream } from "../../src/upstreams/upstream_view.ts";
import {
  type CallerConnection,
  ConnectionEnd,
  formatRequest,
  openCallerConnection,
  type RequestText,
} from "./caller_connection.ts";
import { getBodyText } from "./response_reader.ts";

const upstreams: FakeUpstream[] = [];

afterEach(async () => {
  await Promise.all(upstreams.splice(0).map((upstream) => upstream.close()));
});

const streaming: Partial<ForwardingRoute> = {
  kind: RequestKind.Streaming,
  isResumable: true,
  maxAttempts: 5,
  timeoutMs: 10_000,
};
const notResumable = { ...streaming, isResumable: false };
const patientCall = { timeoutMs: 10_000 };

async function start(
  handlers: readonly FakeUpstreamHandler[],
  route: Partial<ForwardingRoute> = {},
  listed: Partial<ListedUpstream> = {},
): Promise<TestEntry> {
  for (const handler of handlers) {
    upstreams.push(await startFakeUpstream(handler, listed));
  }
  const engine = route.kind === RequestKind.Streaming ? engineTraits : null;
  return startTestEntry(upstreams, createTestTable(route, engine));
}

/** Sends one request and waits for its response or the connection's end. */
async function exchange(
  { port }: TestEntry,
  request: RequestText,
  timeoutMs = 8_000,
): Promise<CallerConnection> {
  const connection = await openCallerConnection(port);
  connection.send(formatRequest(request));
  await waitForResponses(connection, 1, timeoutMs);
  return connection;
}

async function waitForResponses(
  connection: CallerConnection,
  count: number,
  timeoutMs = 8_000,
): Promise<void> {
  await Promise.race([
    connection.waitForComplete(count, timeoutMs),
    connection.waitForEnd(timeoutMs),
  ]);
}

function describeResponses({ responses }: CallerConnection) {
  return responses.map(({ status, isComplete }) => ({ status, isComplete }));
}

const completed = { status: 200, isComplete: true };

function answerAfter(delayMs: number): FakeUpstreamHandler {
  return (request, response) =>
    void setTimeout(() => sendCompleteResponse(request, response), delayMs);
}

/** Remaining time of a silence that starts after `startMs`; 0 outside it. */
function createSilence(startMs: number, durationMs: number): () => number {
  const startsAtMs = performance.now() + startMs;
  return () => {
    const elapsedMs = performance.now() - startsAtMs;
    return elapsedMs >= 0 && elapsedMs < durationMs
      ? durationMs - elapsedMs
      : 0;
  };
}

const eventIntervalMs = 40;
const eventCount = 20;

/** A sound engine that sends nothing on any connection during the silence. */
function createSilentEngine(getSilenceMs: () => number): FakeUpstreamHandler {
  return (request, response) => {
    if (request.path === "/report") {
      setTimeout(
        () => response.end(JSON.stringify({ born: 1 })),
        getSilenceMs(),
      );
      return;
    }
    let eventId = Number(request.headers["last-event-id"] ?? 0);
    let hasHead = false;
    writeNext();

    function writeNext(): void {
      const silenceMs = getSilenceMs();
      if (silenceMs > 0) {
        setTimeout(writeNext, silenceMs);
        return;
      }
      if (response.destroyed) return;
      if (!hasHead) startEventStream(request, response);
      hasHead = true;
      if (eventId >= eventCount) {
        response.end();
        return;
      }
      eventId += 1;
      response.write(formatEvent(eventId));
      setTimeout(writeNext, eventIntervalMs);
    }
  };
}

const wholeStream = Array.from(
  { length: eventCount },
  (_, index) => formatEvent(index + 1),
).join("");

describe("a sound upstream that is silent for about a second and goes on", () => {
  test("does not end a stream that cannot be resumed", async () => {
    const silence = createSilence(300, 600);
    const entry = await start([createSilentEngine(silence)], notResumable);
    const caller = await exchange(entry, { requestId: "silent" });
    expect(describeResponses(caller)).toEqual([completed]);
    expect(getBodyText(caller.responses[0]!)).toBe(wholeStream);
  });

  test("does not end a stream whose attempts are used up while all are silent", async () => {
    const silence = createSilence(300, 1_000);
    const engines = Array.from(
      { length: 3 },
      () => createSilentEngine(silence),
    );
    const entry = await start(engines, { ...streaming, maxAttempts: 2 });
    const caller = await exchange(entry, { requestId: "all-silent" });
    expect(describeResponses(caller)).toEqual([completed]);
    expect(getBodyText(caller.responses[0]!)).toBe(wholeStream);
  });

  test("does not fail a stream that cannot be resumed before its first event", async () => {
    const silence = createSilence(0, 1_500);
    const entry = await start([createSilentEngine(silence)], notResumable);
    const caller = await exchange(entry, { requestId: "late-head" });
    expect(describeResponses(caller)).toEqual([completed]);
  });
});

describe("pipelined requests", () => {
  test("a drain does not close the connection before the second response", async () => {
    const entry = await start([answerAfter(100)]);
    const caller = await openCallerConnection(entry.port);
    void entry.server.drain(2_000);
    caller.send(
      formatRequest({ requestId: "first" }) +
        formatRequest({ requestId: "second" }),
    );
    await waitForResponses(caller, 2);
    const passedOnCount = upstreams[0]!.received.length;
    expect(describeResponses(caller)).toEqual(
      Array.from({ length: passedOnCount }, () => completed),
    );
  });

  test("a request behind a body that is too large gets its response", async () => {
    const entry = await start([answerAfter(50)]);
    const caller = await openCallerConnection(entry.port);
    caller.send(
      formatRequest({ requestId: "large", body: "b".repeat(600_000) }) +
        formatRequest({ requestId: "behind" }),
    );
    await waitForResponses(caller, 2, 2_000);
    expect(describeResponses(caller)).toEqual([
      { status: 413, isComplete: true },
      completed,
    ]);
  });

  test("requests that wait at the start of a drain get their responses", async () => {
    const entry = await start([answerAfter(300)]);
    const caller = await openCallerConnection(entry.port);
    caller.send(
      ["first", "second", "third"].map((requestId) =>
        formatRequest({ requestId })
      ).join(""),
    );
    await sleep(100);
    void entry.server.drain(4_000);
    await waitForResponses(caller, 3, 2_500);
    expect(describeResponses(caller)).toEqual([
      completed,
      completed,
      completed,
    ]);
    expect(
      caller.responses.map(({ headers }) => headers.get("connection")),
    ).toEqual(["keep-alive", "keep-alive", "close"]);
  });

  test("a partial next head that times out does not end the response before it", async () => {
    const entry = await start([answerAfter(3_000)], patientCall);
    const caller = await openCallerConnection(entry.port);
    caller.send(formatRequest({ requestId: "first" }) + "GET /app/next HT");
    await sleep(50);
    setLimits(entry, { headerTimeoutMs: 500, idleTimeoutMs: 500 });
    await waitForResponses(caller, 1);
    expect(describeResponses(caller)).toEqual([completed]);
  });

  test("a response that breaks off does not lose the request behind it", async () => {
    const entry = await start([(request, response) => {
      startEventStream(request, response);
      response.write(formatEvent(1));
      if (request.headers["request-id"] === "second") response.end();
      else setTimeout(() => response.socket!.resetAndDestroy(), 200);
    }], notResumable);
    const caller = await openCallerConnection(entry.port);
    caller.send(
      formatRequest({ requestId: "first" }) +
        formatRequest({ requestId: "second" }),
    );
    await caller.waitForEnd(2_000);
    const passedOnIds = upstreams[0]!.received
      .map(({ headers }) => headers["request-id"]);
    expect(passedOnIds).toEqual(["first"]);
  });

  test("a caller that leaves cancels the requests that wait behind the first", async () => {
    const entry = await start([answerAfter(1_500)], patientCall);
    const caller = await openCallerConnection(entry.port);
    caller.send(
      formatRequest({ requestId: "first" }) +
        formatRequest({ requestId: "second" }),
    );
    await sleep(200);
    const passedOnIds = upstreams[0]!.received
      .map(({ headers }) => headers["request-id"]);
    caller.leave();
    await sleep(400);
    expect(upstreams[0]!.cancelled).toEqual(passedOnIds);
    expect(entry.server.getOpenCount()).toBe(0);
  });
});

describe("a connection that is closed after a response", () => {
  const sendText = async (
    caller: CallerConnection,
    text: string,
    pieceBytes: number,
  ) => {
    for (let from = 0; from < text.length; from += pieceBytes) {
      caller.send(text.slice(from, from + pieceBytes));
      await sleep(50);
    }
  };

  // Bytes that are not read when the connection is destroyed reset it, and the
  // caller's next write then fails before it has read the response.
  test("is not reset by the requests behind it", async () => {
    const entry = await start([createSilentEngine(() => 0)], streaming);
    void entry.server.drain(4_000);
    const caller = await openCallerConnection(entry.port);
    caller.pauseReading();
    caller.send(formatRequest({ requestId: "refused" }));
    await sleep(50);
    const body = "b".repeat(120_000);
    await sendText(caller, formatRequest({ requestId: "late", body }), 30_000);
    caller.resumeReading();
    await caller.waitForEnd(500);
    expect(describeResponses(caller)).toEqual([
      { status: 503, isComplete: true },
    ]);
    expect(caller.getEnd()).toBe(ConnectionEnd.Finished);
  });

  test("is not reset by bytes behind those that are no request", async () => {
    const entry = await start([answerAfter(0)]);
    const caller = await openCallerConnection(entry.port);
    caller.pauseReading();
    await sendText(caller, "no request\r\n".repeat(400), 1_000);
    caller.resumeReading();
    await caller.waitForEnd(500);
    expect(caller.responses.map(({ status }) => status)).toEqual([400]);
    expect(caller.getEnd()).toBe(ConnectionEnd.Finished);
  });

  test("passes no later request on", async () => {
    const entry = await start([answerAfter(0)]);
    const caller = await openCallerConnection(entry.port);
    caller.send(
      formatRequest({ requestId: "last", headers: ["Connection: close"] }) +
        formatRequest({ requestId: "behind" }),
    );
    await sleep(20);
    caller.send(formatRequest({ requestId: "late" }));
    await sleep(200);
    expect(upstreams[0]!.received.map(({ headers }) => headers["request-id"]))
      .toEqual(["last"]);
    expect(describeResponses(caller)).toEqual([completed]);
  });

  test("gets the responses to the requests that may wait", async () => {
    const entry = await start([answerAfter(0)]);
    const caller = await openCallerConnection(entry.port);
    caller.send(
      Array.from(
        { length: 150 },
        (_, index) => formatRequest({ requestId: `request-${index}` }),
      ).join(""),
    );
    await caller.waitForEnd(4_000);
    const passedOnCount = upstreams[0]!.received.length;
    expect(passedOnCount).toBeGreaterThan(100);
    expect(describeResponses(caller)).toEqual(
      Array.from({ length: passedOnCount }, () => completed),
    );
  });
});

function setLimits(entry: TestEntry, limits: Partial<CallerLimits>): void {
  entry.server.setLimits({ ...createTestTable().limits, ...limits });
}

describe("a drain", () => {
  const slowResponseBytes = 12_000_000;

  test("does not truncate a response that its caller reads slowly", async () => {
    const entry = await start([(request, response) => {
      const body = "x".repeat(slowResponseBytes);
      sendCompleteResponse(request, response, { body });
    }], patientCall);
    const caller = await openCallerConnection(entry.port);
    caller.pauseReading();
    caller.send(formatRequest({ requestId: "slow" }));
    await sleep(500);
    void entry.server.drain(8_000);
    // The instance closes idle connections from 2.8 s after the start.
    await sleep(3_500);
    caller.resumeReading();
    await waitForResponses(caller, 1);
    expect(caller.responses[0]).toMatchObject({
      isComplete: true,
      bodyBytes: slowResponseBytes,
    });
  });

  test("refuses a request that waits for a limit when the grace time ends", async () => {
    const entry = await start([(request, response) => {
      response.setHeader("Server-Limit", "0");
      sendCompleteResponse(request, response);
    }], patientCall);
    await exchange(entry, { requestId: "states-limit" });
    const caller = await openCallerConnection(entry.port);
    caller.send(formatRequest({ requestId: "waits" }));
    await sleep(100);
    expect(entry.context.limitQueue.count()).toBe(1);
    await entry.server.drain(1_200);
    await waitForResponses(caller, 1, 500);
    expect(upstreams[0]!.received.length).toBe(1);
    expect(describeResponses(caller)).toEqual([
      { status: 503, isComplete: true },
    ]);
  });

  test("refuses a stream that no engine has run when the grace time ends", async () => {
    const entry = await start([(_request, response) => {
      response.writeHead(503, { "Not-Executed": "1" });
      response.end();
    }], streaming);
    const caller = await openCallerConnection(entry.port);
    caller.send(formatRequest({ requestId: "refused" }));
    await sleep(100);
    await entry.server.drain(1_200);
    await waitForResponses(caller, 1, 500);
    expect(describeResponses(caller)).toEqual([
      { status: 503, isComplete: true },
    ]);
  });

  test("does not reset a refused request whose body is still being sent", async () => {
    const entry = await start([createSilentEngine(() => 0)], streaming);
    void entry.server.drain(4_000);
    const caller = await openCallerConnection(entry.port);
    // Many callers read the response only when they have sent the body.
    caller.pauseReading();
    const text = formatRequest({
      requestId: "refused",
      body: "b".repeat(90_000),
    });
    for (const [from, to] of [[0, 300], [300, 2_000], [2_000, text.length]]) {
      caller.send(text.slice(from, to));
      await sleep(50);
    }
    caller.resumeReading();
    await waitForResponses(caller, 1, 1_000);
    expect(describeResponses(caller)).toEqual([
      { status: 503, isComplete: true },
    ]);
    expect(caller.getEnd()).not.toBe(ConnectionEnd.Reset);
  });

  test.each([
    ["a new connection", ""],
    ["a partial head", "GET /app/item HTTP/1.1\r\nHost: app.example\r\n"],
  ])(
    "does not leave %s open whose request would be lost at the exit",
    async (_name, firstBytes) => {
      const entry = await start([answerAfter(300)], patientCall);
      const caller = await openCallerConnection(entry.port);
      caller.send(firstBytes);
      await sleep(50);
      await entry.server.drain(8_000);
      // The process exits after the drain.
      caller.send(
        formatRequest({ requestId: "late" }).slice(firstBytes.length),
      );
      await sleep(200);
      expect(upstreams[0]!.received).toEqual([]);
    },
  );
});

describe("a refused request whose body is still being sent", () => {
  // Bytes that are not read when the connection is closed reset it.
  test.each([
    ["is too large", 413, { body: "b".repeat(600_000) }],
    ["has an unknown key and closes the connection", 401, {
      body: "b".repeat(90_000),
      apiKey: "unknown",
      headers: ["Connection: close"],
    }],
  ])("gets its response if it %s", async (_name, status, request) => {
    const entry = await start([answerAfter(0)], patientCall);
    const caller = await openCallerConnection(entry.port);
    // Many callers read the response only when they have sent the body.
    caller.pauseReading();
    const text = formatRequest({ requestId: "refused", ...request });
    const cuts = [0, 300, 2_000, text.length / 2, text.length];
    for (const [index, from] of cuts.slice(0, -1).entries()) {
      caller.send(text.slice(from, cuts[index + 1]));
      await sleep(50);
    }
    caller.resumeReading();
    await waitForResponses(caller, 1, 1_000);
    expect(describeResponses(caller)).toEqual([{ status, isComplete: true }]);
    expect(caller.getEnd()).not.toBe(ConnectionEnd.Reset);
  });
});

describe("a caller that reads slowly", () => {
  const eventBytes = 100_000;
  const largeEventCount = 200;
  const readBytes = largeEventCount * eventBytes;

  test("gets the whole stream after a pause of reading", async () => {
    const entry = await start([(request, response) => {
      if (request.path === "/report") {
        response.end(JSON.stringify({ born: 1 }));
        return;
      }
      startEventStream(request, response);
      for (let eventId = 1; eventId <= largeEventCount; eventId++) {
        response.write(
          `id: ${eventId}\ndata: ${"x".repeat(eventBytes)}\n\n`,
        );
      }
      response.end();
    }], notResumable);
    const caller = await openCallerConnection(entry.port);
    caller.pauseReading();
    caller.send(formatRequest({ requestId: "pauses" }));
    await sleep(1_500);
    caller.resumeReading();
    await waitForResponses(caller, 1);
    expect(describeResponses(caller)).toEqual([completed]);
    expect(caller.responses[0]!.bodyBytes).toBeGreaterThan(readBytes);
  });

  // Responses that are buffered in the process end it at its memory limit.
  test("stops the reading from the upstream", async () => {
    const chunk = Buffer.alloc(1_000_000, "x");
    const chunkCount = 200;
    let writtenCount = 0;
    const entry = await start([(request, response) => {
      startEventStream(request, response);
      writeNext();

      function writeNext(): void {
        if (writtenCount === chunkCount) {
          response.end();
          return;
        }
        writtenCount += 1;
        response.write(chunk, () => writeNext());
      }
    }], patientCall);
    const caller = await openCallerConnection(entry.port);
    caller.pauseReading();
    caller.send(formatRequest({ requestId: "unread" }));
    await sleep(2_000);
    // The socket buffers of both connections hold 75 MB at most.
    expect(writtenCount).toBeLessThan(chunkCount / 2);
  });
});

describe("an exception", () => {
  const uncaught: string[] = [];
  let listeners: NodeJS.UncaughtExceptionListener[] = [];

  // The daemon has no handler, so an uncaught exception ends its process and
  // with it all connections.
  beforeEach(() => {
    uncaught.length = 0;
    listeners = process.listeners("uncaughtException");
    process.removeAllListeners("uncaughtException");
    process.on("uncaughtException", (cause) => uncaught.push(String(cause)));
  });

  afterEach(() => {
    process.removeAllListeners("uncaughtException");
    for (const listener of listeners) {
      process.on("uncaughtException", listener);
    }
  });

  const never: FakeUpstreamHandler = () => {};

  test.each([
    ["a call", patientCall],
    ["a stream", streaming],
  ])(
    "a tab in the path of %s does not end the process",
    async (_name, route) => {
      const entry = await start([never], route);
      const caller = await exchange(entry, {
        requestId: "tab",
        path: "/app/a\tb",
      });
      expect(describeResponses(caller)).toMatchObject([{ isComplete: true }]);
      // An engine that does not answer the probe after 450 ms is suspended for
      // 600 ms; then its streams would be sent again.
      await sleep(2_000);
      expect(uncaught).toEqual([]);
      const [upstream] = entry.context.directory.listUsable("service");
      expect(upstream!.inFlightCount).toBe(0);
    },
  );

  test.each([
    ["a call", patientCall],
    ["a stream", streaming],
  ])(
    "an invalid port in the list does not end the process at %s",
    async (_name, route) => {
      const entry = await start([never], route, { port: 65_536 });
      const caller = await exchange(entry, { requestId: "port" });
      expect(describeResponses(caller)).toMatchObject([{ isComplete: true }]);
      // An engine that is silent for 450 ms is probed.
      await sleep(1_000);
      expect(uncaught).toEqual([]);
    },
  );

  test.each([
    ["a call", "000", patientCall],
    ["a call", "099", patientCall],
    ["a stream", "000", notResumable],
    ["a stream", "099", notResumable],
  ])(
    "a response to %s with the status %s neither ends the process nor loses the request",
    async (_name, status, route) => {
      const entry = await start([({ headers }, response) => {
        const head = [
          `HTTP/1.1 ${status} None`,
          `Request-Id: ${headers["request-id"]}`,
          "Response-Seal: seal",
          "Content-Length: 2",
        ].join("\r\n");
        response.socket!.end(`${head}\r\n\r\nno`);
      }], route);
      const caller = await exchange(entry, { requestId: "status" }, 2_000);
      expect(uncaught).toEqual([]);
      expect(describeResponses(caller)).toMatchObject([{ isComplete: true }]);
      expect(caller.responses[0]!.status).toBeGreaterThanOrEqual(500);
    },
  );
});
