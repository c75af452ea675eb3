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

export function createByteBudget(maxBytes: number): ByteBudget {
  let heldBytes = 0;
  return {
    getHeldBytes: () => heldBytes,
    open: () => {
      let ownBytes = 0;
      return {
        tryTake: (bytes) => {
          if (heldBytes + bytes > maxBytes) return false;
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
