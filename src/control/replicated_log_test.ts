/** Runs control logs on real data folders, connected within one process. */
import { closeSync, readdirSync, readlinkSync, statSync } from "node:fs";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { okAsync } from "neverthrow";
import { afterEach, beforeEach, expect, test } from "vitest";
import { createSystemClock } from "../core/clock.ts";
import { createError, ErrorKind } from "../core/errors.ts";
import { createSilentLogger } from "../core/logger.ts";
import { createRandom } from "../core/random.ts";
import type { LogEnvelope } from "../peer/control_log_messages.ts";
import type { PeerClient } from "../peer/peer_client.ts";
import { ClaimStatus, type Command, CommandKind } from "./commands.ts";
import { getEmptyConfiguration } from "./configuration.ts";
import {
  createConsensusOptions,
  createReplicatedLog,
  type ReplicatedLogService,
} from "./replicated_log.ts";
import { createStateMachine } from "./state_machine.ts";

interface Instance {
  readonly log: ReplicatedLogService;
  readonly stop: AbortController;
  readonly finished: Promise<unknown>;
}

const clock = createSystemClock();
const ids = ["c0", "c1", "c2"];
const running = new Map<string, Instance>();
const isolatedIds = new Set<string>();
let folder: string;
let seed = 1;

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), "replicated-log-"));
});
afterEach(async () => {
  await Promise.all(ids.map(stop));
  isolatedIds.clear();
  await rm(folder, { recursive: true });
});

function start(id: string): void {
  const call = (toId: string, _: unknown, { body }: { body: LogEnvelope }) => {
    const isIsolated = isolatedIds.has(id) || isolatedIds.has(toId);
    if (!isIsolated) running.get(toId)?.log.receive(body);
    return okAsync({});
  };
  const log = createReplicatedLog({
    clock,
    logger: createSilentLogger(),
    random: createRandom(seed++),
    peers: { call, close: () => {} } as unknown as PeerClient,
    instanceId: id,
    dataFolder: join(folder, id),
    consensus: createConsensusOptions({
      founderIds: ids,
      listControlIds: () => ids,
      voterCount: 3,
      electionTimeoutMs: 200,
      replaceVoterAfterMs: 600,
    }),
    stateMachine: createStateMachine(),
    minSnapshotIntervalBytes: 2_000,
  });
  const controller = new AbortController();
  const finished = Promise.all(
    log.tasks.map((task) => task.run(controller.signal)),
  );
  running.set(id, { log, stop: controller, finished });
}

async function stop(id: string): Promise<void> {
  const instance = running.get(id);
  running.delete(id);
  instance?.stop.abort();
  await instance?.finished;
}

async function getLeaderId(): Promise<string> {
  while (true) {
    for (const [id, { log }] of running) {
      if (!isolatedIds.has(id) && log.isLeader()) return id;
    }
    await clock.sleep(10);
  }
}

function createClaim(key: number, claimId: string): Command {
  return {
    kind: CommandKind.Claim,
    key: { customerId: "a", service: "s", idempotencyKey: `${key}` },
    bodySha256: "0".repeat(64),
    claimId,
    atWallMs: 1_000,
  };
}

/** Proposes at the leader and retries, as the control client does. */
async function propose(command: Command, blockMs = 0): Promise<unknown> {
  const { log } = running.get(await getLeaderId())!;
  const pending = log.propose(command);
  blockProcess(blockMs);
  const result = await pending;
  if (result.isOk()) return result.value;
  expect(result.error.kind).toBe(ErrorKind.NotLeader);
  return propose(command);
}

/** Blocks this process, so that elections begin. */
function blockProcess(durationMs: number): void {
  const endsAtMs = performance.now() + durationMs;
  while (performance.now() < endsAtMs);
}

// Guards against losing applied commands over restarts and snapshots, and
// against granting a key again to a retry that reaches another leader.
test("claims survive the loss of the leader, a disk and all processes", async () => {
  ids.forEach(start);
  for (let key = 0; key < 50; key++) {
    expect(await propose(createClaim(key, "first")))
      .toEqual({ status: ClaimStatus.Granted });
  }
  const leaderId = await getLeaderId();
  await stop(leaderId);
  expect(await propose(createClaim(49, "first")))
    .toEqual({ status: ClaimStatus.Granted });
  expect(await propose(createClaim(3, "other")))
    .toEqual({ status: ClaimStatus.Pending });
  await rm(join(folder, leaderId), { recursive: true });
  start(leaderId);
  expect(await propose(createClaim(50, "first")))
    .toEqual({ status: ClaimStatus.Granted });
  // The new identity has to become a voter before another disk may be lost.
  await clock.sleep(1_500);
  await Promise.all(ids.map(stop));
  await rm(join(folder, ids.find((id) => id !== leaderId)!), {
    recursive: true,
  });
  ids.forEach(start);
  for (const key of [0, 25, 50]) {
    expect(await propose(createClaim(key, "other")))
      .toEqual({ status: ClaimStatus.Pending });
  }
});

// Guards against granting a claim twice when the leader changes during the
// proposal.
test("a claim is granted once when a pause ends the leadership", async () => {
  ids.forEach(start);
  expect(await propose(createClaim(1, "first"), 400))
    .toEqual({ status: ClaimStatus.Granted });
  expect(await propose(createClaim(1, "other")))
    .toEqual({ status: ClaimStatus.Pending });
});

// Guards against a proposal that never ends, and against a leader that
// continues without a majority.
test("a proposal at an isolated leader ends with an error", async () => {
  ids.forEach(start);
  const leaderId = await getLeaderId();
  const { log } = running.get(leaderId)!;
  isolatedIds.add(leaderId);
  const startedAtMs = clock.nowMs();
  const result = await log.propose(createClaim(1, "first"));
  expect(result._unsafeUnwrapErr().kind).toBe(ErrorKind.NotLeader);
  expect(clock.nowMs() - startedAtMs).toBeLessThan(1_000);
  expect(log.isLeader()).toBe(false);
  expect(await propose(createClaim(1, "second")))
    .toEqual({ status: ClaimStatus.Granted });
  isolatedIds.clear();
});

// Guards against acknowledging commands after a write has failed.
test("a log whose data folder is unusable rejects proposals", async () => {
  start("c0");
  await clock.sleep(300);
  await stop("c0");
  await rm(join(folder, "c0", "log-000000000001"));
  start("c0");
  await clock.sleep(300);
  const { log } = running.get("c0")!;
  const result = await log.propose(createClaim(1, "first"));
  expect(result._unsafeUnwrapErr())
    .toEqual(createError(ErrorKind.NotLeader, "not the control leader"));
});

/** Makes the next write to the control log of an instance fail. */
function breakLogFile(id: string): void {
  const prefix = join(folder, id, "log-");
  for (const descriptor of readdirSync("/proc/self/fd")) {
    try {
      const path = readlinkSync(`/proc/self/fd/${descriptor}`);
      if (path.startsWith(prefix)) closeSync(Number(descriptor));
    } catch {
      // The descriptor of the directory listing is closed by now.
    }
  }
}

// Guards against a process that has to be restarted after its disk was full.
test("a log rejoins the group after a failed disk write", async () => {
  ids.forEach(start);
  expect(await propose(createClaim(1, "first")))
    .toEqual({ status: ClaimStatus.Granted });
  const brokenId = await getLeaderId();
  breakLogFile(brokenId);
  await running.get(brokenId)!.log.propose(createClaim(2, "first"));
  expect(await propose(createClaim(3, "first")))
    .toEqual({ status: ClaimStatus.Granted });
  await clock.sleep(1_200);
  // With one instance stopped, the instance whose write failed is needed for a
  // majority.
  await stop(ids.find((id) => id !== brokenId)!);
  expect(await propose(createClaim(1, "other")))
    .toEqual({ status: ClaimStatus.Pending });
  expect(await propose(createClaim(3, "other")))
    .toEqual({ status: ClaimStatus.Pending });
});

function getFolderBytes(id: string): number {
  const path = join(folder, id);
  return readdirSync(path).reduce(
    (sum, name) => sum + statSync(join(path, name)).size,
    0,
  );
}

// Guards against a log that keeps a number of entries whatever their size: it
// filled the disks of all control instances, and nothing was committed again.
test("large changes leave the data folder within its limit", async () => {
  // Segments and trailing entries of 8 MiB each, a snapshot interval and two
  // snapshots: a quarter of a control instance's disk of 128 MB.
  const limitBytes = 32 * 1024 * 1024;
  const changeCount = 80;
  const source = "x".repeat(1024 * 1024);
  const limits = { weight: 1, maxOpenAnswers: null, maxRateTokensPerS: null };
  ids.forEach(start);
  for (let number = 1; number <= changeCount; number++) {
    const ticket = { number, source, limits: { customer: limits } };
    expect(
      await propose({
        kind: CommandKind.SubmitTicket,
        ticket,
        initial: getEmptyConfiguration(),
        atWallMs: 1_000,
      }),
    ).toMatchObject({ status: "accepted" });
    for (const id of ids) {
      expect(getFolderBytes(id)).toBeLessThan(limitBytes);
    }
  }
  await Promise.all(ids.map(stop));
  ids.forEach(start);
  expect(
    await propose({
      kind: CommandKind.ReadTickets,
      objectPath: "limits.customer",
      beforeNumber: changeCount + 1,
      limit: 1,
    }),
  ).toMatchObject({ records: [{ number: changeCount }] });
});
