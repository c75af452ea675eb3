/** Replacement of a voter that is lost for good, while leaders change. */
import { expect, test } from "vitest";
import {
  createSimulatedGroup,
  expectProgress,
  type SimulatedGroup,
  type SimulatedNode,
} from "../../../measure/simulated_log_group.ts";
import {
  logConfigurationSchema,
  LogMessageKind,
} from "../../peer/control_log_messages.ts";
import { ConsensusEventKind } from "./log_types.ts";

const stepMs = 10;
/**
 * A machine that is lost stops counting as lost after this time, and then
 * another disk may be lost.
 */
const catchUpMs = 4_000;

/** Timeouts as on the users' platform, with four machines of the core. */
function startGroup(seed: number): SimulatedGroup {
  const group = createSimulatedGroup({
    size: 4,
    voterCount: 3,
    seed,
    electionTimeoutMs: 600,
    replaceVoterAfterMs: 2_500,
  });
  expectProgress(group, 10_000);
  return group;
}

function waitForLeader(group: SimulatedGroup): SimulatedNode {
  for (let waitedMs = 0; waitedMs < 20_000; waitedMs += stepMs) {
    const leader = group.getLeader();
    if (leader) return leader;
    group.run(stepMs);
  }
  throw new Error("no leader in 20 s");
}

function isReplaced(leader: SimulatedNode, lostId: string): boolean {
  const { configuration, configurationIndex, commitIndex } = leader.state!;
  const { voters } = configuration;
  return commitIndex >= configurationIndex && voters.length === 3 &&
    !voters.includes(lostId);
}

// Guards against a group without a majority: a lost voter counted until the next loss.
test("a lost voter is replaced in time although leaders are killed", () => {
  const kills = [[1, 800], [1, 2_000], [2, 800], [2, 1_500], [3, 800], [
    3,
    2_400,
  ]] as const;
  for (const [killCount, killAfterMs] of kills) {
    for (let seed = 1; seed <= 5; seed++) {
      replaceWhileLeadersAreKilled({ seed, killCount, killAfterMs });
    }
  }
});

/** Kills leaders some time after their election; they are back after 1 s. */
function replaceWhileLeadersAreKilled(
  { seed, killCount, killAfterMs }: {
    seed: number;
    killCount: number;
    killAfterMs: number;
  },
): void {
  const group = startGroup(seed);
  const lost = group.getLeader()!;
  const lostId = lost.replicaId;
  group.loseDisk(lost);
  let killed: SimulatedNode | undefined;
  let kills = 0;
  let servedMs = 0; // time with a leader, since only a leader can replace
  let ledMs = 0;
  let downMs = 0;
  for (let passedMs = 0; passedMs < 60_000; passedMs += stepMs) {
    group.run(stepMs);
    if (killed && (downMs += stepMs) >= 1_000) {
      group.start(killed);
      killed = undefined;
    }
    const leader = group.getLeader();
    if (!leader) continue;
    if (isReplaced(leader, lostId)) break;
    servedMs += stepMs;
    ledMs += stepMs;
    if (kills >= killCount || ledMs < killAfterMs) continue;
    group.kill(leader);
    killed = leader;
    [kills, ledMs, downMs] = [kills + 1, 0, 0];
  }
  expect(servedMs).toBeLessThan(catchUpMs);
  if (killed) group.start(killed);
  group.run(500);
  const leader = waitForLeader(group);
  const second = group.nodes.find((node) =>
    node !== leader &&
    leader.state!.configuration.voters.includes(node.replicaId)
  )!;
  group.loseDisk(second);
  expectProgress(group, 20_000);
}

// Guards against the removal of a healthy voter in place of the lost one.
test("a leader that finds one voter too many removes the lost one", () => {
  for (let seed = 1; seed <= 20; seed++) {
    const group = startGroup(seed);
    const lost = group.nodes.find((node) =>
      node !== group.getLeader() &&
      group.getLeader()!.state!.configuration.voters.includes(node.replicaId)
    )!;
    const lostId = lost.replicaId;
    group.loseDisk(lost);
    const first = waitForLeader(group);
    while (first.state!.configuration.voters.length === 3) group.run(5);
    group.kill(first);
    group.run(50);
    group.start(first);
    const removed = new Set<string>();
    const before = [...waitForLeader(group).state!.configuration.voters];
    for (let passedMs = 0; passedMs < catchUpMs; passedMs += stepMs) {
      group.run(stepMs);
      const { voters } = waitForLeader(group).state!.configuration;
      for (const id of before) if (!voters.includes(id)) removed.add(id);
    }
    expect([...removed].filter((id) => id !== lostId)).toEqual([]);
    expect(isReplaced(waitForLeader(group), lostId)).toBe(true);
  }
});

// Guards against a configuration that followers reject because it grows for good.
test("replaced learners are forgotten", () => {
  const group = startGroup(1);
  const leader = group.getLeader()!;
  for (let count = 0; count < 40; count++) {
    const instanceId = `spare${count}`;
    (group.options.founderIds as string[]).push(instanceId);
    group.step(leader, [{
      kind: ConsensusEventKind.Receive,
      envelope: {
        groupId: "",
        fromId: `${instanceId}/0`,
        toId: "",
        message: { kind: LogMessageKind.Hello, founderIds: [] },
      },
    }]);
    group.run(3_000);
    const { configuration } = group.getLeader()!.state!;
    expect(logConfigurationSchema.safeParse(configuration).success).toBe(true);
  }
  group.run(30_000);
  expect(group.getLeader()!.state!.configuration.learners).toHaveLength(1);
  expectProgress(group, 5_000);
});

// Guards against a voter that counts because it asks for votes, though it hears nothing.
test("a voter that the leader does not reach is replaced", () => {
  const group = startGroup(1);
  const leader = group.getLeader()!;
  const voter = group.nodes.find((node) =>
    node !== leader &&
    leader.state!.configuration.voters.includes(node.replicaId)
  )!;
  group.cutLink(leader.instanceId, voter.instanceId);
  group.run(catchUpMs);
  expect(group.getLeader()).toBe(leader);
  expect(isReplaced(leader, voter.replicaId)).toBe(true);
});
