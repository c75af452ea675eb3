/**
 * Collects the pieces of a message. Small pieces are copied into blocks, since a
 * buffer for each costs about a hundred times its content if that is one byte,
 * and keeps the memory alive from which it was cut.
 */
import { Buffer } from "node:buffer";

export interface ByteCollector {
  add(bytes: Uint8Array): void;
  getSizeBytes(): number;
  /** Returns the content in order and empties the collector. */
  takeBlocks(): Buffer[];
  /** Returns the content as one buffer and empties the collector. */
  takeAll(): Buffer;
}

/** Larger pieces are kept as they are. */
const minOwnBlockBytes = 4 * 1024;
const blockBytes = 16 * 1024;

export function createByteCollector(): ByteCollector {
  let blocks: Buffer[] = [];
  /** A small piece that none has followed yet; most messages are one piece. */
  let single: Uint8Array | undefined;
  /** The block that small pieces are copied into. */
  let block: Buffer | undefined;
  let usedBytes = 0;
  let sizeBytes = 0;
  return {
    add,
    getSizeBytes: () => sizeBytes,
    takeBlocks,
    takeAll: () => {
      const taken = takeBlocks();
      return taken.length === 1 ? taken[0]! : Buffer.concat(taken);
    },
  };

  function add(bytes: Uint8Array): void {
    const isFirst = sizeBytes === 0;
    sizeBytes += bytes.length;
    if (bytes.length >= minOwnBlockBytes) {
      closeBlock();
      blocks.push(toBuffer(bytes));
    } else if (isFirst) single = bytes;
    else {
      if (single) copy(single);
      single = undefined;
      copy(bytes);
    }
  }

  function copy(bytes: Uint8Array): void {
    if (block && usedBytes + bytes.length > block.length) closeBlock();
    block ??= Buffer.allocUnsafe(blockBytes);
    block.set(bytes, usedBytes);
    usedBytes += bytes.length;
  }

  function closeBlock(): void {
    if (single) blocks.push(toBuffer(single));
    if (block && usedBytes > 0) blocks.push(block.subarray(0, usedBytes));
    single = undefined;
    block = undefined;
    usedBytes = 0;
  }

  function takeBlocks(): Buffer[] {
    closeBlock();
    const taken = blocks;
    blocks = [];
    sizeBytes = 0;
    return taken;
  }
}

function toBuffer({ buffer, byteOffset, byteLength }: Uint8Array): Buffer {
  return Buffer.from(buffer, byteOffset, byteLength);
}
