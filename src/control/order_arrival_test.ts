import { setImmediate as nextTurn } from "node:timers/promises";
import { ok, type Result, ResultAsync } from "neverthrow";
import { expect, test } from "vitest";
import type { SystemError } from "../core/errors.ts";
import { createTestTable } from "../../measure/forwarding_fakes.ts";
import { createSilentLogger } from "../core/logger.ts";
import { forwardingTableName } from "../forwarding/forwarding_table.ts";
import { type Command, CommandKind } from "./commands.ts";
import { getEmptyConfiguration } from "./configuration.ts";
import { MovePhase } from "./moves/move_types.ts";
import { createOperatorService } from "./operator_service.ts";
import { createStateMachine } from "./state_machine.ts";
import type { TicketRecord } from "./ticket_table.ts";

/**
 * Steps of three orders. The operator sends each one to a first instance, goes
 * on to a second one without a response, and gives the next order when the move
 * is complete. The first instance reads its copy and proposes it at any time
 * after it was sent.
 */
enum StepKind {
  ReadCopy = "readCopy",
  ProposeCopy = "proposeCopy",
  CarryOut = "carryOut",
}

interface Step {
  readonly kind: StepKind;
  readonly order: number;
}

/** Why a copy that is read after its order was carried out came late. */
type Delay = "closed" | "paused" | "noMajority";

const targets = ["v2", "v3", "v2"];
const steps = targets.flatMap((_, order): Step[] =>
  Object.values(StepKind).map((kind) => ({ kind, order }))
);

function* listArrivals(done: readonly Step[] = []): Generator<Step[]> {
  if (done.length === steps.length) yield [...done];
  for (const step of steps) {
    if (!done.includes(step) && isPossible(step, done)) {
      yield* listArrivals([...done, step]);
    }
  }
}

function isPossible({ kind, order }: Step, done: readonly Step[]): boolean {
  const isDone = (needed: StepKind, of: number) =>
    done.some((step) => step.kind === needed && step.order === of);
  if (kind === StepKind.ProposeCopy) return isDone(StepKind.ReadCopy, order);
  return order === 0 || isDone(StepKind.CarryOut, order - 1);
}

interface Pending {
  readonly command: Command;
  readonly resolve: (result: Result<unknown, SystemError>) => void;
}

/** Replays the arrivals and returns the targets of the moves that started. */
async function replay(
  arrivals: readonly Step[],
  delay: Delay,
  { restores }: { restores: boolean },
): Promise<string[]> {
  let state = createStateMachine();
  const started: string[] = [];
  let pending: Pending[] = [];
  let nowMs = 10_000;
  let isPaused = false;
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
      propose: (command) =>
        new ResultAsync(
          new Promise((resolve) => pending.push({ command, resolve })),
        ),
    },
    clock: { nowMs: () => nowMs, wallMs: () => nowMs },
    logger: createSilentLogger(),
    pauses: { hasPausedSince: () => isPaused },
    listUpstreams: () => [],
    getConfiguration: getEmptyConfiguration,
  });
  const waitingCopies = new Map<number, Pending>();
  const carriedOut = new Set<number>();
  for (const step of arrivals) {
    await take(step);
    if (restores) {
      const snapshot = state.getSnapshot();
      state = createStateMachine();
      state.restore(structuredClone(snapshot));
    }
  }
  return started;

  async function take({ kind, order }: Step): Promise<void> {
    switch (kind) {
      case StepKind.ReadCopy:
        return await readCopy(order);
      case StepKind.ProposeCopy: {
        const copy = waitingCopies.get(order);
        if (!copy) return; // refused when it was read
        // A proposal whose reply was lost is made twice.
        apply(copy.command);
        copy.resolve(ok(apply(copy.command)));
        return await nextTurn();
      }
      case StepKind.CarryOut:
        return await carryOut(order);
    }
  }

  async function readCopy(order: number): Promise<void> {
    const isLate = carriedOut.has(order);
    isPaused = isLate && delay === "paused";
    const readAtMs = nowMs;
    void send(order, {
      readAtMs,
      isClosed: () => isLate && delay === "closed",
    });
    if (isLate && delay === "noMajority") nowMs += 4_900;
    await answerReads();
    nowMs = readAtMs;
    isPaused = false;
    const [copy] = pending.splice(0);
    if (copy) waitingCopies.set(order, copy);
  }

  async function carryOut(order: number): Promise<void> {
    const reply = send(order, { readAtMs: nowMs, isClosed: () => false });
    await answerReads();
    for (const { command, resolve } of pending.splice(0)) {
      resolve(ok(apply(command)));
    }
    const { status } = (await reply)._unsafeUnwrap();
    expect(["started", "repeated"]).toContain(status);
    carriedOut.add(order);
    const { number } = state.moves.get("app")!;
    state.apply({
      kind: CommandKind.AdvanceMove,
      progress: {
        service: "app",
        target: targets[order]!,
        number,
        phase: MovePhase.Complete,
        share: 1,
        elapsedMs: 1_000,
        reason: "",
      },
    });
  }

  function send(
    order: number,
    origin: { readAtMs: number; isClosed: () => boolean },
  ) {
    const target = targets[order]!;
    return operators.startMove(
      { service: "app", target, durationMs: 2_000 },
      origin,
    );
  }

  async function answerReads(): Promise<void> {
    await nextTurn();
    const reads = pending.filter(({ command }) =>
      command.kind === CommandKind.ReadMove
    );
    pending = pending.filter((entry) => !reads.includes(entry));
    for (const { command, resolve } of reads) resolve(ok(apply(command)));
    await nextTurn();
  }

  function apply(command: Command): unknown {
    const result = state.apply(command) as { status?: string };
    if (command.kind === CommandKind.StartMove && result.status === "started") {
      started.push(command.order.target);
    }
    return result;
  }
}

// An order that waited unread at a stopped instance was carried out after a
// newer one, whose completed move was lost.
test.each<[Delay, string]>([
  ["closed", "whose connection is closed"],
  ["paused", "that waited while its instance was paused"],
  ["noMajority", "whose instance reached no majority for seconds"],
])(
  "no order %s is carried out after it was overtaken: %s",
  async (delay) => {
    let count = 0;
    for (const arrivals of listArrivals()) {
      const restores = count % 2 === 1;
      const started = await replay(arrivals, delay, { restores });
      expect(started, JSON.stringify({ arrivals, restores })).toEqual(targets);
      count += 1;
    }
    expect(count).toBeGreaterThan(100);
  },
);

// Configurations, with their keys and limits, have numbers, which make them
// safe: an older one is acknowledged and changes nothing.
test("in every order of arrival the newest of three configurations is in force", () => {
  const numbers = [3, 5, 9];
  for (const arrivals of listPermutations([...numbers, ...numbers])) {
    let state = createStateMachine();
    let newest = 0;
    for (const number of arrivals) {
      newest = Math.max(newest, number);
      const { status } = state.apply({
        kind: CommandKind.SubmitTicket,
        ticket: {
          number,
          source: `document ${number}`,
          forwarding: { [forwardingTableName]: createTestTable() },
        },
        initial: getEmptyConfiguration(),
        atWallMs: 0,
      }) as { status: string };
      expect(["accepted", "outdated"]).toContain(status);
      const snapshot = state.getSnapshot();
      state = createStateMachine();
      state.restore(structuredClone(snapshot));
      const { records } = state.apply({
        kind: CommandKind.ReadTickets,
        objectPath: `forwarding.${forwardingTableName}`,
        beforeNumber: Number.MAX_SAFE_INTEGER,
        limit: 1,
      }) as { records: TicketRecord[] };
      expect(records[0]?.number).toBe(newest);
      expect(records[0]?.ticket.source).toBe(`document ${newest}`);
    }
  }
});

function listPermutations(items: readonly number[]): number[][] {
  if (items.length === 0) return [[]];
  return [...new Set(items)].flatMap((item) => {
    const rest = [...items];
    rest.splice(rest.indexOf(item), 1);
    return listPermutations(rest).map((others) => [item, ...others]);
  });
}
