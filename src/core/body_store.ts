/**
 * Holds the bodies of requests, up to a number of bytes for all together.
 *
 * Bodies are copied into blocks that are used again. The buffers of the sockets
 * would stay in memory until a garbage collection, which Node.js runs only after
 * 64 MB of them.
 */
import { Buffer } from "node:buffer";
import { createByteBudget } from "./byte_budget.ts";

export interface BodyStore {
  open(): HeldBody;
  getHeldBytes(): number;
  /** Frees a part of the blocks that are not in use. */
  trim(): void;
}

export interface HeldBody {
  /** Returns false, and takes nothing, if there is no room. */
  tryAdd(bytes: Buffer): boolean;
  /** Returns the body, which counts as held until `release`. */
  takeAll(): Buffer;
  /** May be called more than once. */
  release(): void;
}

const blockBytes = 16 * 1024;
/** Larger bodies leave a part of the room to smaller ones. */
const maxSmallBytes = 64 * 1024;
const smallBodiesRatio = 0.25;
const trimRatio = 0.1;

export function createBodyStore(maxBytes: number): BodyStore {
  const budget = createByteBudget(maxBytes);
  const largeBudget = createByteBudget(maxBytes * (1 - smallBodiesRatio));
  const freeBlocks: Buffer[] = [];
  return {
    open,
    getHeldBytes: budget.getHeldBytes,
    trim: () => {
      freeBlocks.length -= Math.ceil(freeBlocks.length * trimRatio);
    },
  };

  function open(): HeldBody {
    const share = budget.open();
    const largeShare = largeBudget.open();
    /** The first piece, which is the whole body of most requests. */
    let first: Buffer | undefined;
    let blocks: Buffer[] = [];
    let sizeBytes = 0;
    let copiedBytes = 0;
    return { tryAdd, takeAll, release };

    function tryAdd(bytes: Buffer): boolean {
      if (sizeBytes === 0) {
        if (!tryTake(bytes.length)) return false;
        first = bytes;
        sizeBytes = bytes.length;
        return true;
      }
      sizeBytes += bytes.length;
      // The blocks take the place of the first piece.
      if (first) releaseShares();
      const neededBytes = sizeBytes - blocks.length * blockBytes;
      const neededBlocks = Math.max(0, Math.ceil(neededBytes / blockBytes));
      if (!tryTake(neededBlocks * blockBytes)) return false;
      for (let index = 0; index < neededBlocks; index++) {
        blocks.push(freeBlocks.pop() ?? Buffer.allocUnsafeSlow(blockBytes));
      }
      if (first) copy(first);
      first = undefined;
      copy(bytes);
      return true;
    }

    function tryTake(bytes: number): boolean {
      if (sizeBytes > maxSmallBytes && !largeShare.tryTake(bytes)) return false;
      return share.tryTake(bytes);
    }

    function copy(bytes: Buffer): void {
      let offset = 0;
      while (offset < bytes.length) {
        const block = blocks[Math.floor(copiedBytes / blockBytes)]!;
        const count = bytes.copy(block, copiedBytes % blockBytes, offset);
        offset += count;
        copiedBytes += count;
      }
    }

    function takeAll(): Buffer {
      const body = first ?? Buffer.concat(blocks, sizeBytes);
      freeAll();
      return body;
    }

    function freeAll(): void {
      freeBlocks.push(...blocks);
      blocks = [];
      first = undefined;
    }

    function release(): void {
      freeAll();
      releaseShares();
    }

    function releaseShares(): void {
      share.release();
      largeShare.release();
    }
  }
}
