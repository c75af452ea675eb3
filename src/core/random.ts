/**
 * Seeded pseudorandom numbers, so that tests can reproduce decisions.
 */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";

export interface Random {
  /** A number in [0, 1). */
  next(): number;
  /** An integer in [0, bound). */
  nextInt(bound: number): number;
}

export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed | 0);
  return {
    next: () => uniformFloat64(generator),
    nextInt: (bound) => uniformInt(generator, 0, bound - 1),
  };
}
