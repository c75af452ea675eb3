/** Limits the bytes that many holders keep at the same time. */

export interface ByteBudget {
  /** Returns a holder without bytes. */
  open(): ByteHolder;
  getHeldBytes(): number;
}

export interface ByteHolder {
  /** Returns false, and takes nothing, if the budget does not allow it. */
  tryTake(bytes: number): boolean;
  /** Returns all bytes of this holder; may be called more than once. */
  release(): void;
}

/** Holders of more leave the reserved part of a budget to others. */
const maxSmallBytes = 64 * 1024;

export function createByteBudget(
  maxBytes: number,
  { smallReservedRatio = 0 }: {
    /** Part of the room that is left to small holders. */
    readonly smallReservedRatio?: number;
  } = {},
): ByteBudget {
  const maxLargeBytes = maxBytes * (1 - smallReservedRatio);
  let heldBytes = 0;
  return {
    getHeldBytes: () => heldBytes,
    open: () => {
      let ownBytes = 0;
      return {
        tryTake: (bytes) => {
          const isLarge = ownBytes + bytes > maxSmallBytes;
          const limitBytes = isLarge ? maxLargeBytes : maxBytes;
          if (heldBytes + bytes > limitBytes) return false;
          heldBytes += bytes;
          ownBytes += bytes;
          return true;
        },
        release: () => {
          heldBytes -= ownBytes;
          ownBytes = 0;
        },
      };
    },
  };
}
