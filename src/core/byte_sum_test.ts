/** Guards against a sum that drifts from what the holders have. */
import fc from "fast-check";
import { expect, test } from "vitest";
import { createByteSum } from "./byte_sum.ts";

test("the sum and the largest holder are those of a full count", () => {
  const change = fc.tuple(fc.nat({ max: 9 }), fc.nat({ max: 100 }));
  fc.assert(fc.property(fc.array(change), (changes) => {
    const sum = createByteSum<number>();
    const counted = new Map<number, number>();
    for (const [holder, bytes] of changes) {
      sum.set(holder, bytes);
      counted.set(holder, bytes);
      const all = [...counted.values()];
      expect(sum.getTotalBytes()).toBe(
        all.reduce((left, right) => left + right),
      );
      const largest = sum.findLargest();
      expect(largest === undefined ? 0 : counted.get(largest)).toBe(
        Math.max(...all),
      );
    }
  }));
});
