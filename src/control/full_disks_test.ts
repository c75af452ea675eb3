/**
 * Control logs of five instances whose disks are full one after another, never
 * two at once: changes are acknowledged while the others have room, and by every
 * instance once all have.
 */
import { okAsync } from "neverthrow";
import { afterEach, expect, test } from "vitest";
import {
  createSimulatedDisk,
  type SimulatedDisk,
} from "../../measure/simulated_disk.ts";
import { createSystemClock } from "../core/clock.ts";
import { createSilentLogger } from "../core/logger.ts";
import { createRandom, type Random } from "../core/random.ts";
import type { LogEnvelope } from "../peer/control_log_messages.ts";
import { PeerCallKind } from "../peer/messages.ts";
import type { PeerClient } from "../peer/peer_client.ts";
import { createProposeHandler } from "../daemon/peer_handlers.ts";
import { ClaimStatus, type Command, CommandKind } from "./commands.ts";
import { type ControlClient, createControlClient } from "./control_client.ts";
import {
  createConsensusOptions,
  createReplicatedLog,
  type ReplicatedLogService,
} from "./replicated_log.ts";
import { createStateMachine, type StateMachine } from "./state_machine.ts";

interface Instance {
  readonly id: string;
  readonly disk: SimulatedDisk;
  readonly log: ReplicatedLogService;
  readonly control: ControlClient;
  readonly state: StateMachine;
  readonly stop: AbortController;
  readonly finished: Promise<unknown>;
}

const ids = ["c0", "c1", "c2", "c3", "c4"];
const clock = createSystemClock();
const linkDelayMs = 1;
/** Time within which operators expect an acknowledgement. */
const ackMs = 4_000;
/** An instance counts as lost for this long after its disk has room again. */
const catchUpMs = 1_000;
const turnCount = 4;
const instances = new Map<string, Instance>();

afterEach(async () => {
  await Promise.all(ids.map(stop));
});

function start(id: string, disk: SimulatedDisk, random: Random): void {
  const state = createStateMachine();
  const peers = {
    call: (toId: string, kind: PeerCallKind, { body }: { body: unknown }) => {
      const target = instances.get(toId);
      if (kind === PeerCallKind.Propose) {
        return createProposeHandler({ selfId: toId, log: target?.log })(
          body as { command: unknown },
        );
      }
      setTimeout(
        () => instances.get(toId)?.log.receive(body as LogEnvelope),
        linkDelayMs,
      );
      return okAsync({});
    },
    close: () => {},
  } as unknown as PeerClient;
  const log = createReplicatedLog({
    clock,
    logger: createSilentLogger(),
    random,
    peers,
    instanceId: id,
    dataFolder: `/data/${id}`,
    consensus: {
      ...createConsensusOptions({
        founderIds: ids.slice(0, 3),
        listControlIds: () => ids,
        voterCount: 3,
        electionTimeoutMs: 150,
        replaceVoterAfterMs: 400,
      }),
      // Small, so that replicas that were away get a snapshot in many parts.
      trailingEntries: 20,
      trailingBytes: 4_000,
      maxMessageBytes: 1_000,
    },
    stateMachine: state,
    minSnapshotIntervalBytes: 3_000,
    files: disk.files,
  });
  const controller = new AbortController();
  instances.set(id, {
    id,
    disk,
    log,
    state,
    control: createControlClient({
      clock,
      peers,
      selfId: id,
      listControlIds: () => ids,
      log,
    }),
    stop: controller,
    finished: Promise.all(log.tasks.map((task) => task.run(controller.signal))),
  });
}

async function stop(id: string): Promise<void> {
  const instance = instances.get(id);
  instances.delete(id);
  instance?.stop.abort();
  await instance?.finished;
}

function createClaim(key: string): Command {
  return {
    kind: CommandKind.Claim,
    key: { customerId: "a", service: "s", idempotencyKey: key },
    bodySha256: "0".repeat(64),
    claimId: "first",
    atWallMs: 1_000,
  };
}

function getLeader(): Instance | undefined {
  return [...instances.values()].find(({ log }) => log.isLeader());
}

type Role = "leader" | "follower" | "any";

// Guards against changes that stay refused or unanswered after the disks of
// counted instances were full one after another.
test.each<[string, Role, number]>([
  ["always the leader's", "leader", 1],
  ["those that follow", "follower", 3],
  ["in turn and slowly", "any", 4],
])(
  "changes are acknowledged while disks are full one after another: %s",
  async (name, role, seed) => {
    const random = createRandom(seed);
    const isSlow = name.includes("slowly");
    const disks = ids.map((_, index) =>
      createSimulatedDisk(createRandom(seed * 100 + index))
    );
    // The very first start meets a full disk, too.
    disks[random.nextInt(3)]!.setFull(true);
    // Other identities than in other tests, whose last messages may still arrive.
    ids.forEach((id, index) =>
      start(id, disks[index]!, createRandom(seed * 100 + index))
    );
    await clock.sleep(600);
    for (const disk of disks) disk.setFull(false);

    const outcomes: { key: string; at: string; durationMs: number }[] = [];
    const failures: string[] = [];
    let isDone = false;
    const changes = ids.map(async (id) => {
      for (let number = 0; !isDone; number++) {
        const key = `${id}-${number}`;
        const startedAtMs = clock.nowMs();
        const result = await instances.get(id)!.control
          .propose(createClaim(key), ackMs);
        const durationMs = clock.nowMs() - startedAtMs;
        if (result.isOk()) outcomes.push({ key, at: id, durationMs });
        else failures.push(`${key}: ${result.error.message}`);
        await clock.sleep(10);
      }
    });
    for (let turn = 0; turn < turnCount; turn++) {
      const full = choose(role, turn, random);
      if (isSlow) full.disk.setWriteDelayMs(60);
      full.disk.setFull(true);
      await clock.sleep(200 + random.nextInt(700));
      full.disk.setFull(false);
      full.disk.setWriteDelayMs(0);
      await clock.sleep(catchUpMs + random.nextInt(300));
    }
    isDone = true;
    await Promise.all(changes);
    expect(failures).toEqual([]);
    expect(outcomes.length).toBeGreaterThan(100);

    // Every instance accepts changes again, and knows all earlier ones.
    for (const id of ids) {
      const result = await instances.get(id)!.control
        .propose(createClaim(`last-${id}`), ackMs);
      expect(result._unsafeUnwrap()).toEqual({ status: ClaimStatus.Granted });
    }
    const getClaims = ({ state }: Instance) => state.getSnapshot().claims;
    const leader = getLeader()!;
    for (const id of ids) {
      await expect.poll(() => getClaims(instances.get(id)!), {
        timeout: ackMs,
      }).toEqual(getClaims(leader));
    }
    const known = JSON.stringify(getClaims(leader));
    for (const { key } of outcomes) expect(known).toContain(`,\\"${key}\\"`);
    for (const { disk } of instances.values()) {
      expect(disk.getOpenFileCount()).toBe(1);
    }
  },
  40_000,
);

function choose(role: Role, turn: number, random: Random): Instance {
  const all = ids.map((id) => instances.get(id)!);
  const leader = getLeader();
  switch (role) {
    case "leader":
      return leader ?? all[0]!;
    case "follower": {
      const others = all.filter((instance) => instance !== leader);
      return others[random.nextInt(others.length)]!;
    }
    default:
      return all[turn % all.length]!;
  }
}
