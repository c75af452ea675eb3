import { okAsync } from "neverthrow";
import { expect, test } from "vitest";
import { createTestTable } from "../../measure/forwarding_fakes.ts";
import { createSilentLogger } from "../core/logger.ts";
import { getEmptyConfiguration } from "./configuration.ts";
import { createOperatorService } from "./operator_service.ts";

test("an invalid table is rejected, even if its number is outdated", async () => {
  const operators = createOperatorService({
    tickets: {
      submit: () =>
        okAsync({ status: "outdated", inForce: null, lastNumber: 9 }),
      findInForce: () => okAsync(undefined),
    },
    control: { propose: () => okAsync({}) },
    clock: { nowMs: () => 0, wallMs: () => 0 },
    logger: createSilentLogger(),
    pauses: { hasPausedSince: () => false },
    listUpstreams: () => [],
    getConfiguration: getEmptyConfiguration,
  });
  const targets = [{ service: "unknown", weight: 1 }];
  const replace = (table: ReturnType<typeof createTestTable>) =>
    operators.replaceTable({ number: 4, table, source: "{}" });
  expect((await replace(createTestTable({ targets })))._unsafeUnwrap())
    .toMatchObject({ status: "invalid" });
  expect((await replace(createTestTable()))._unsafeUnwrap())
    .toMatchObject({ status: "outdated" });
});
