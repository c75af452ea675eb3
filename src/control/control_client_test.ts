import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { expect, test } from "vitest";
import { createSystemClock } from "../core/clock.ts";
import { createError, ErrorKind } from "../core/errors.ts";
import type { PeerClient } from "../peer/peer_client.ts";
import { type Command, CommandKind } from "./commands.ts";
import { createControlClient } from "./control_client.ts";
import type { ReplicatedLog } from "./replicated_log.ts";

const clock = createSystemClock();
const read: Command = {
  kind: CommandKind.ReadTickets,
  objectPath: "forwarding.main",
} as unknown as Command;
/** An operator tries the next instance after this time. */
const operatorPatienceMs = 1_000;

/**
 * A client at c1. c0 leads until it loses power, which closes no connection;
 * c2 leads from 300 ms on.
 */
function createTrial() {
  const startedAtMs = clock.nowMs();
  const getLeaderId = () => clock.nowMs() - startedAtMs < 300 ? "c0" : "c2";
  const call = (
    toId: string,
    _: unknown,
    { timeoutMs }: { timeoutMs: number },
  ) => {
    if (toId === "c2") {
      return okAsync({ isLeader: true, leaderId: "c2", result: "found" });
    }
    return ResultAsync.fromSafePromise(clock.sleep(timeoutMs)).andThen(() =>
      errAsync(createError(ErrorKind.PeerUnreachable, "no reply"))
    );
  };
  return createControlClient({
    clock,
    peers: { call } as unknown as PeerClient,
    selfId: "c1",
    listControlIds: () => ["c0", "c1", "c2"],
    log: { getLeaderId } as ReplicatedLog,
  });
}

// Guards against reads that wait for a silent leader after another was elected.
test("a read moves on to a new leader while the former one is silent", async () => {
  const startedAtMs = clock.nowMs();
  const result = await createTrial().propose(read, 5_000);
  expect(result._unsafeUnwrap()).toBe("found");
  expect(clock.nowMs() - startedAtMs).toBeLessThan(operatorPatienceMs);
});
