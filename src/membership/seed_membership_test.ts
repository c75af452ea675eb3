import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { expect, test } from "vitest";
import type { Clock } from "../core/clock.ts";
import { createError, ErrorKind, type SystemError } from "../core/errors.ts";
import { createSilentLogger } from "../core/logger.ts";
import { InstanceState } from "../core/types.ts";
import type { Heartbeat } from "../peer/messages.ts";
import type { PeerClient } from "../peer/peer_client.ts";
import {
  createSeedMembership,
  type SeedMembership,
} from "./seed_membership.ts";

/** Instances whose heartbeats are function calls; each one can be isolated. */
function createNetwork() {
  let nowMs = 0;
  const instances = new Map<string, SeedMembership>();
  const isolatedIds = new Set<string>();
  const received: { from: string; load: number }[] = [];
  /** Included in heartbeats, as the load of placed streams is. */
  const loads = new Map<string, number>();
  let held: Promise<void> | undefined;
  const dropped: string[] = [];
  const sleepers: { atMs: number; wake: () => void }[] = [];
  const clock: Clock = {
    nowMs: () => nowMs,
    wallMs: () => nowMs,
    sleep: (delayMs) =>
      new Promise((wake) => sleepers.push({ atMs: nowMs + delayMs, wake })),
  };
  return {
    add,
    advance,
    isolatedIds,
    instances,
    dropped,
    received,
    loads,
    /** Replies to heartbeats are held until the returned function is called. */
    holdReplies: () => {
      let release = () => {};
      held = new Promise((resolve) => {
        release = () => {
          held = undefined;
          resolve();
        };
      });
      return () => release();
    },
  };

  function add(
    instanceId: string,
    { seedIds, isControl = false, domainId = "a" }: {
      seedIds: readonly string[];
      isControl?: boolean;
      domainId?: string;
    },
  ): SeedMembership {
    const peers = {
      call: (to: string, _kind: unknown, { body }: { body: Heartbeat }) =>
        deliver(instanceId, to, body),
      dropConnection: (to: string) => dropped.push(`${instanceId}>${to}`),
    } as unknown as Pick<PeerClient, "call" | "dropConnection">;
    const membership = createSeedMembership({
      self: {
        instanceId,
        domainId,
        host: instanceId,
        peerPort: 1,
        state: InstanceState.Live,
        incarnation: 1,
        isControl,
      },
      seedIds,
      clock,
      logger: createSilentLogger(),
      heartbeatIntervalMs: 500,
      startupHeartbeatIntervalMs: 500,
      isStartupFinished: () => true,
      lostAfterMs: 1_200,
      removeAfterMs: 30_000,
      getPeers: () => peers,
      getRevision: () => loads.get(instanceId) ?? 0,
      getUpstreams: () => ({ revision: 0, ageMs: 0 }),
      onHeartbeat: () => {},
      getEngineLoadSummary: () => undefined,
      getAnswerReport: () => undefined,
      getQuarantineFields: () => ({}),
      onEngineLoadSummary: () => {},
    });
    instances.set(instanceId, membership);
    for (const task of membership.tasks) {
      void task.run(new AbortController().signal);
    }
    return membership;
  }

  function deliver(
    from: string,
    to: string,
    heartbeat: Heartbeat,
  ): ResultAsync<Heartbeat, SystemError> {
    const receiver = instances.get(to);
    if (!receiver || isolatedIds.has(from) || isolatedIds.has(to)) {
      return errAsync(createError(ErrorKind.PeerUnreachable, "isolated"));
    }
    received.push({ from, load: heartbeat.revision });
    const reply = receiver.handleHeartbeat(heartbeat);
    return held
      ? ResultAsync.fromSafePromise(held.then(() => reply))
      : okAsync(reply);
  }

  async function advance(durationMs: number): Promise<void> {
    const untilMs = nowMs + durationMs;
    while (true) {
      sleepers.sort((left, right) => left.atMs - right.atMs);
      const next = sleepers[0];
      if (!next || next.atMs > untilMs) break;
      sleepers.shift();
      nowMs = Math.max(nowMs, next.atMs);
      next.wake();
      await new Promise((resolve) => setImmediate(resolve));
    }
    nowMs = untilMs;
    await new Promise((resolve) => setImmediate(resolve));
  }
}

const seedIds = ["c1", "c2", "c3"];

test("instances that know only seeds find all control instances", async () => {
  const network = createNetwork();
  for (const id of seedIds) network.add(id, { seedIds, isControl: true });
  network.add("c4", { seedIds: ["c2"], isControl: true });
  const entry = network.add("f1", { seedIds: ["c1"] });
  await network.advance(2_000);
  expect(entry.listReachableControlIds().sort()).toEqual([
    "c1",
    "c2",
    "c3",
    "c4",
  ]);
  for (const id of [...seedIds, "c4"]) {
    expect(network.instances.get(id)!.listControlIds()).toHaveLength(4);
    expect(network.instances.get(id)!.getEntryCount()).toBe(1);
  }
});

test("lost seeds have no effect once another control instance is known", async () => {
  const network = createNetwork();
  network.add("c3", { seedIds, isControl: true });
  const entry = network.add("f1", { seedIds });
  await network.advance(2_000);
  expect(entry.listReachableControlIds()).toEqual(["c3"]);
  // A replacement at another address sends heartbeats to the remaining one.
  network.add("c5", { seedIds: ["c3"], isControl: true });
  await network.advance(2_000);
  expect(entry.listReachableControlIds().sort()).toEqual(["c3", "c5"]);
});

test("a silent instance is lost, its connection dropped, and later it is reachable again", async () => {
  const network = createNetwork();
  for (const id of seedIds) network.add(id, { seedIds, isControl: true });
  const entry = network.add("f1", { seedIds });
  await network.advance(2_000);
  network.isolatedIds.add("c2");
  await network.advance(2_000);
  expect(entry.isReachable("c2")).toBe(false);
  expect(network.dropped).toContain("f1>c2");
  network.isolatedIds.delete("c2");
  await network.advance(1_000);
  expect(entry.isReachable("c2")).toBe(true);
});

test("control instances of the same failure domain are listed first", async () => {
  const network = createNetwork();
  network.add("c1", { seedIds, isControl: true, domainId: "a" });
  network.add("c2", { seedIds, isControl: true, domainId: "b" });
  const entry = network.add("f1", { seedIds, domainId: "b" });
  await network.advance(1_000);
  expect(entry.listReachableControlIds()).toEqual(["c2", "c1"]);
});

test("a control instance that is lost permanently is removed", async () => {
  const network = createNetwork();
  network.add("c1", { seedIds: ["c1"], isControl: true });
  network.add("c9", { seedIds: ["c1"], isControl: true });
  const entry = network.add("f1", { seedIds: ["c1"] });
  await network.advance(1_500);
  expect(entry.listControlIds().sort()).toEqual(["c1", "c9"]);
  network.isolatedIds.add("c9");
  await network.advance(35_000);
  expect(entry.listControlIds()).toEqual(["c1"]);
});

test("an instance learns the news of others at once when it asks", async () => {
  // Guards against placements by loads that are as old as the last heartbeat.
  const network = createNetwork();
  network.add("c1", { seedIds, isControl: true });
  const entry = network.add("e1", { seedIds });
  await network.advance(500);
  network.add("e2", { seedIds });
  await network.advance(1);
  expect(await entry.exchangeHeartbeat(100, { hasChanges: true })).toBe(true);
  expect(entry.getEntryCount()).toBe(2);
});

test("an exchange with an isolated control instance ends without a reply", async () => {
  // Guards against streams that wait for control during a partition.
  const network = createNetwork();
  network.add("c1", { seedIds, isControl: true });
  const entry = network.add("e1", { seedIds });
  await network.advance(500);
  network.isolatedIds.add("c1");
  expect(await entry.exchangeHeartbeat(100, { hasChanges: true })).toBe(false);
});

test("an announcement during a heartbeat in flight is sent as soon as that one ends", async () => {
  // Guards against placements that the others learn of only with the next
  // regular heartbeat.
  const network = createNetwork();
  network.add("c1", { seedIds: ["c1"], isControl: true });
  const entry = network.add("e1", { seedIds: ["c1"] });
  await network.advance(500);
  const release = network.holdReplies();
  const first = entry.exchangeHeartbeat(100, { hasChanges: true });
  network.received.length = 0;
  network.loads.set("e1", 7);
  const announcements = [1, 2, 3].map(() =>
    entry.exchangeHeartbeat(100, { hasChanges: true })
  );
  expect(network.received).toEqual([]);
  release();
  expect(await Promise.all([first, ...announcements])).toEqual(
    Array(4).fill(true),
  );
  await network.advance(0);
  expect(network.received).toEqual([{ from: "e1", load: 7 }]);
});
