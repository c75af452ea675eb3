import { Buffer } from "node:buffer";
import fc from "fast-check";
import { expect, test } from "vitest";
import { createEventSplitter } from "./event_splitter.ts";

const eventText = fc.record({
  id: fc.option(fc.nat(1_000)),
  lines: fc.array(fc.stringMatching(/^[a-z0-9 ]{1,20}$/), { maxLength: 3 }),
  lineEnd: fc.constantFrom("\n", "\r\n"),
}).map(({ id, lines, lineEnd }) =>
  [
    ...(id === null ? [] : [`id: ${id}`]),
    ...lines.map((line) => `data: ${line}`),
    "event: token",
  ].map((line) => line + lineEnd).join("") + lineEnd
);

test("events are complete and unchanged for every chunking of the bytes", () => {
  fc.assert(fc.property(
    fc.array(eventText, { minLength: 1, maxLength: 10 }),
    fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1 }),
    fc.nat(30),
    (events, sizes, cutBytes) => {
      const whole = Buffer.from(events.join(""));
      const bytes = whole.subarray(0, whole.length - cutBytes);
      const splitter = createEventSplitter();
      const received: string[] = [];
      for (let at = 0, turn = 0; at < bytes.length; turn++) {
        const size = sizes[turn % sizes.length]!;
        for (const event of splitter.push(bytes.subarray(at, at + size))) {
          received.push(event.bytes.toString());
        }
        at += size;
      }
      // Only complete events are returned, in order; the rest is pending.
      expect(received).toEqual(events.slice(0, received.length));
      const passed = received.join("").length;
      expect(splitter.getPendingBytes()).toBe(
        Math.max(0, bytes.length) - passed,
      );
    },
  ));
});

test("the id of an event is an integer or undefined", () => {
  const splitter = createEventSplitter();
  const events = splitter.push(
    Buffer.from("id: 7\ndata: a\n\nid: x\n\ndata: b\n\n"),
  );
  expect(events.map(({ eventId }) => eventId)).toEqual([
    7,
    undefined,
    undefined,
  ]);
});

test("comments and empty lines are relayed but are no progress", () => {
  const splitter = createEventSplitter();
  const events = splitter.push(
    Buffer.from(": alive\n\n\n\ndata: a\n\n: b\r\n\r\n"),
  );
  expect(events.map(({ hasField }) => hasField)).toEqual([
    false,
    false,
    true,
    false,
  ]);
});

// Guards against a process that is occupied by empty lines: each pair of them was
// an event.
test("empty lines that follow each other are one event", () => {
  const splitter = createEventSplitter();
  const blank = "\n\r\n".repeat(10_000);
  const events = splitter.push(Buffer.from(`data: a\n\n${blank}data: b\n\n`));
  expect(events.map(({ bytes }) => bytes.toString())).toEqual([
    "data: a\n\n",
    blank,
    "data: b\n\n",
  ]);
  expect(events.map(({ hasField }) => hasField)).toEqual([true, false, true]);
});

// Guards against copying and searching the whole event for each of its pieces.
test("an event in pieces of one byte takes time in proportion to its size", () => {
  const splitter = createEventSplitter();
  const event = Buffer.from(`id: 1\ndata: ${"a".repeat(300_000)}\r\n\r\n`);
  const startedAtMs = performance.now();
  const received = [...event].flatMap((byte) =>
    splitter.push(Buffer.from([byte]))
  );
  expect(performance.now() - startedAtMs).toBeLessThan(3_000);
  expect(received.map(({ bytes }) => bytes.equals(event))).toEqual([true]);
  expect(splitter.getPendingBytes()).toBe(0);
});

test("returned events keep their bytes when more are pushed", () => {
  const splitter = createEventSplitter();
  splitter.push(Buffer.from("data: a"));
  const [first] = splitter.push(Buffer.from("b\n\ndata: c"));
  const [second] = splitter.push(Buffer.from("d\n\n"));
  splitter.push(Buffer.from("data: overwritten"));
  expect([first, second].map((event) => event!.bytes.toString()))
    .toEqual(["data: ab\n\n", "data: cd\n\n"]);
});

test.each(["", " ", "-1", "1e3", "0x10", "1.0", "1234567890123456"])(
  "the id %j is not a number",
  (id) => {
    const [event] = createEventSplitter().push(
      Buffer.from(`id: ${id}\ndata: a\n\n`),
    );
    expect(event!.eventId).toBeUndefined();
  },
);

test("bytes that are no event are recognized", () => {
  const splitter = createEventSplitter();
  const head = "HTTP/1.1 503 Service Unavailable\r\nServer: a\r\n\r\n";
  const events = splitter.push(Buffer.from(
    "weight-versions: 2\nid: 7\ndata: a\n\n" +
      "data: a\r\nid\r\n\r\nretry: 3\n\n: alive\n\nevent: a\n\r\n" +
      `${head}id: 8\nda${head}{"error": 1}\n\n`,
  ));
  expect(events.map(({ isForeign }) => isForeign)).toEqual([
    ...[false, false, false, false, false],
    ...[true, true, true],
  ]);
});
