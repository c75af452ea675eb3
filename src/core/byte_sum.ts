/**
 * Sums what many holders have, at a constant cost of each change. Counting over
 * all connections at each read cost time quadratic in their number.
 */
export interface ByteSum<Holder> {
  /** Replaces what the holder has; holders without bytes are not kept. */
  set(holder: Holder, bytes: number): void;
  getTotalBytes(): number;
  /** Visits all holders. */
  findLargest(): Holder | undefined;
}

export function createByteSum<Holder>(): ByteSum<Holder> {
  const bytesByHolder = new Map<Holder, number>();
  let totalBytes = 0;
  return {
    set: (holder, bytes) => {
      totalBytes += bytes - (bytesByHolder.get(holder) ?? 0);
      if (bytes > 0) bytesByHolder.set(holder, bytes);
      else bytesByHolder.delete(holder);
    },
    getTotalBytes: () => totalBytes,
    findLargest: () => {
      let largest: Holder | undefined;
      let largestBytes = 0;
      for (const [holder, bytes] of bytesByHolder) {
        if (bytes <= largestBytes) continue;
        largest = holder;
        largestBytes = bytes;
      }
      return largest;
    },
  };
}
