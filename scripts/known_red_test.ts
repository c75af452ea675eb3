/** Guards against tests that are passed over without being listed. */
import { existsSync, readFileSync } from "node:fs";
import { expect, test } from "vitest";
import { parseKnownRedTests, readKnownRedTests } from "./known_red.ts";

test("only lines that name a file and a test are read", () => {
  expect(parseKnownRedTests(
    "Known failures\ntest: a_test.ts > one > two\n  test: b_test.ts > x\ntest: c",
  )).toEqual([{ file: "a_test.ts", name: "one > two" }]);
});

test("each listed test exists", () => {
  for (const { file, name } of readKnownRedTests()) {
    expect(existsSync(file)).toBe(true);
    expect(readFileSync(file, "utf8")).toContain(name);
  }
});
