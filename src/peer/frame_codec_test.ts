import { Buffer } from "node:buffer";
import process from "node:process";
import { deflateRawSync } from "node:zlib";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  createFrameDecoder,
  encodeFrame,
  maxFrameBytes,
} from "./frame_codec.ts";

describe("frame decoder", () => {
  it("never throws on bytes that are not a frame", () => {
    fc.assert(fc.property(
      fc.array(fc.uint8Array({ maxLength: 64 }), { maxLength: 8 }),
      fc.boolean(),
      (chunks, hasLength) => {
        const decoder = createFrameDecoder();
        for (const chunk of chunks) {
          const frame = Buffer.alloc(4 + chunk.length);
          frame.writeUInt32BE(chunk.length);
          frame.set(chunk, 4);
          if (decoder.push(hasLength ? frame : Buffer.from(chunk)).isErr()) {
            return;
          }
        }
      },
    ));
  });

  it("returns the same values for any split of the bytes into chunks", () => {
    fc.assert(fc.property(
      fc.array(fc.jsonValue(), { maxLength: 5 }),
      fc.infiniteStream(fc.integer({ min: 1, max: 40 })),
      (values, sizes) => {
        const bytes = Buffer.concat(
          values.map((value) => encodeFrame(value)._unsafeUnwrap()),
        );
        const decoder = createFrameDecoder();
        const decoded: unknown[] = [];
        let offset = 0;
        while (offset < bytes.length) {
          const size = sizes.next().value!;
          const part = bytes.subarray(offset, offset + size);
          decoded.push(...decoder.push(part)._unsafeUnwrap());
          offset += size;
        }
        const whole = createFrameDecoder().push(bytes)._unsafeUnwrap();
        expect(whole).toHaveLength(values.length);
        expect(decoded).toEqual(whole);
      },
    ));
  });

  it("rejects a length beyond the limit before the body arrives", () => {
    const header = Buffer.alloc(4);
    header.writeUInt32BE(maxFrameBytes + 1);
    expect(createFrameDecoder().push(header).isErr()).toBe(true);
  });

  it("guards against large allocations for a short frame that declares millions of elements", () => {
    const body = Buffer.from([0x9a, 0x01, 0xff, 0xff, 0xff]);
    const frame = Buffer.concat([Buffer.from([0, 0, 0, 5]), body]);
    const usedBefore = process.memoryUsage().rss;
    expect(createFrameDecoder().push(frame).isErr()).toBe(true);
    expect(process.memoryUsage().rss - usedBefore).toBeLessThan(64 << 20);
  });

  it("reads compressed and plain frames in any mixture", () => {
    const routes = Array.from({ length: 1_400 }, (_, index) => ({
      name: `route-${index}`,
      host: `host-${index}.example`,
      pathPrefix: `/path-${index}/`,
      timeoutMs: 25_000,
    }));
    const plain = encodeFrame({ routes })._unsafeUnwrap();
    const compressed = encodeFrame({ routes }, { mayCompress: true })
      ._unsafeUnwrap();
    expect(compressed.length).toBeLessThan(plain.length / 5);
    const small = encodeFrame({ small: true }, { mayCompress: true })
      ._unsafeUnwrap();
    expect(small).toEqual(encodeFrame({ small: true })._unsafeUnwrap());
    const bytes = Buffer.concat([compressed, small, plain, compressed]);
    const decoder = createFrameDecoder();
    const values = [];
    for (let at = 0; at < bytes.length; at += 1_000) {
      const chunk = bytes.subarray(at, at + 1_000);
      values.push(...decoder.push(chunk)._unsafeUnwrap());
    }
    expect(values).toEqual([
      { routes },
      { small: true },
      { routes },
      { routes },
    ]);
  });

  it("rejects a compressed body that would inflate beyond the limit", () => {
    const bomb = deflateRawSync(Buffer.alloc(maxFrameBytes + 1));
    const frame = Buffer.alloc(4 + bomb.length);
    frame.writeUInt32BE(0x8000_0000 + bomb.length);
    frame.set(bomb, 4);
    expect(createFrameDecoder().push(frame).isErr()).toBe(true);
  });
});
