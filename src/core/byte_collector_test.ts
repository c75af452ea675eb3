/** Guards against memory that grows with the number of pieces of a message. */
import { Buffer } from "node:buffer";
import * as fc from "fast-check";
import { expect, test } from "vitest";
import { createByteCollector } from "./byte_collector.ts";

test("pieces of any sizes are returned in order", () => {
  const pieces = fc.array(
    fc.oneof(
      fc.uint8Array({ maxLength: 20 }),
      fc.nat(20_000).map((length) => new Uint8Array(length).fill(length)),
    ),
    { maxLength: 40 },
  );
  fc.assert(fc.property(pieces, (all) => {
    const collector = createByteCollector();
    for (const piece of all) collector.add(piece);
    const expected = Buffer.concat(all);
    expect(collector.getSizeBytes()).toBe(expected.length);
    expect(collector.takeAll().equals(expected)).toBe(true);
    expect(collector.getSizeBytes()).toBe(0);
    collector.add(new Uint8Array([7]));
    expect([...collector.takeAll()]).toEqual([7]);
  }));
});

test("one-byte pieces take little more memory than their bytes", () => {
  const collector = createByteCollector();
  const sizeBytes = 1024 * 1024;
  for (let index = 0; index < sizeBytes; index++) {
    collector.add(new Uint8Array([index & 255]));
  }
  const blocks = collector.takeBlocks();
  const heldBytes = blocks.reduce(
    (sum, block) => sum + block.buffer.byteLength,
    0,
  );
  expect(heldBytes).toBeLessThan(1.1 * sizeBytes);
  expect(blocks.length).toBeLessThan(sizeBytes / 4_000);
  expect(Buffer.concat(blocks)[300]).toBe(300 & 255);
});
