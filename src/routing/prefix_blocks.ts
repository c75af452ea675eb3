/**
 * Computes the identifiers of a prompt's blocks as engines use them in their
 * cache events: the first 16 hexadecimal digits of the SHA-256 hash of the
 * prefix up to the end of the block.
 */
import { createHash } from "node:crypto";

export const blockChars = 256;
export const blockTokens = blockChars / 4;
/** 64 blocks are 16,384 characters; hashing them takes well under 1 ms. */
const maxBlocks = 64;

export function getPrefixBlocks(prompt: string): string[] {
  const blocks: string[] = [];
  const hash = createHash("sha256");
  const end = Math.min(prompt.length, maxBlocks * blockChars);
  for (let from = 0; from + blockChars <= end; from += blockChars) {
    hash.update(prompt.slice(from, from + blockChars));
    blocks.push(hash.copy().digest("hex").slice(0, 16));
  }
  return blocks;
}
