import { okAsync } from "neverthrow";
import { expect, test } from "vitest";
import { createTestTable } from "../../measure/forwarding_fakes.ts";
import { createSilentLogger } from "../core/logger.ts";
import { ErrorKind } from "../core/errors.ts";
import { QuarantineChangeKind } from "../quarantine/quarantine_types.ts";
import { CommandKind } from "./commands.ts";
import { getEmptyConfiguration } from "./configuration.ts";
import { createStateMachine, type StateMachine } from "./state_machine.ts";
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

const part = { service: "app", partId: "5c1e07a2", atWallMs: 0, reason: "" };

/**
 * An operator service on a state with a quarantined part. `interfere` runs
 * after the first command, which reads the quarantine.
 */
function createLiftTrial(
  { isPaused = false, losesReply = false, interfere = () => {} }: {
    isPaused?: boolean;
    /** The first reply to the lift is lost, so it is proposed again. */
    losesReply?: boolean;
    interfere?(state: StateMachine): void;
  },
) {
  const state = createStateMachine();
  state.apply({
    kind: CommandKind.ChangeQuarantine,
    change: { ...part, kind: QuarantineChangeKind.Add },
  });
  let count = 0;
  const operators = createOperatorService({
    tickets: {
      submit: () => {
        throw new Error("not used");
      },
      findInForce: () => {
        throw new Error("not used");
      },
    },
    control: {
      propose: (command) => {
        const isLift = command.kind === CommandKind.ChangeQuarantine;
        if (isLift && losesReply) state.apply(command);
        const result = state.apply(command);
        if (count++ === 0) interfere(state);
        return okAsync(result);
      },
    },
    clock: { nowMs: () => 0, wallMs: () => 0 },
    logger: createSilentLogger(),
    pauses: { hasPausedSince: () => isPaused },
    listUpstreams: () => [],
    getConfiguration: getEmptyConfiguration,
  });
  const lift = (isClosed = false) =>
    operators.liftQuarantine([part.service, part.partId], {
      readAtMs: 0,
      isClosed: () => isClosed,
    });
  return { state, lift };
}

test("a quarantined part is lifted, and is then unknown", async () => {
  const { state, lift } = createLiftTrial({});
  expect((await lift())._unsafeUnwrap()).toBe(true);
  expect(state.quarantine.list()).toEqual([]);
  expect((await lift())._unsafeUnwrap()).toBe(false);
});

// A lift that came late released a part that had crashed engines since.
test("a lift has no effect on a part that was quarantined after it was ordered", async () => {
  const { state, lift } = createLiftTrial({
    interfere: ({ apply }) => {
      const kinds = [QuarantineChangeKind.Lift, QuarantineChangeKind.Add];
      for (const kind of kinds) {
        apply({
          kind: CommandKind.ChangeQuarantine,
          change: { ...part, kind },
        });
      }
    },
  });
  expect((await lift())._unsafeUnwrapErr().kind).toBe(ErrorKind.StaleOrder);
  expect(state.quarantine.listQuarantined()).toHaveLength(1);
});

test.each([
  ["that waited while the process was paused", true, false],
  ["whose connection is closed", false, true],
])("a lift %s has no effect", async (_name, isPaused, isClosed) => {
  const { state, lift } = createLiftTrial({ isPaused });
  expect((await lift(isClosed))._unsafeUnwrapErr().kind)
    .toBe(ErrorKind.StaleOrder);
  expect(state.quarantine.listQuarantined()).toHaveLength(1);
});

test("a part is lifted although its quarantine ended since it was read", async () => {
  const { state, lift } = createLiftTrial({
    interfere: ({ apply }) => {
      apply({
        kind: CommandKind.ChangeQuarantine,
        change: { ...part, kind: QuarantineChangeKind.Release },
      });
    },
  });
  expect((await lift())._unsafeUnwrap()).toBe(true);
  expect(state.quarantine.list()).toEqual([]);
});

// Guards against an order that was carried out and is answered with "not run".
test("a lift that is proposed again after a lost reply is confirmed", async () => {
  const { state, lift } = createLiftTrial({ losesReply: true });
  expect((await lift())._unsafeUnwrap()).toBe(true);
  expect(state.quarantine.list()).toEqual([]);
});
