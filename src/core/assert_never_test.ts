import { expect, test } from "vitest";
import { assertNever } from "./assert_never.ts";

test("an unhandled variant is reported with its value", () => {
  expect(() => assertNever("surprise" as never)).toThrow("surprise");
});
