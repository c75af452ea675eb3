/** Time until a group has a leader again. */
import { expect, test } from "vitest";
import { createSimulatedGroup } from "../../../measure/simulated_log_group.ts";

const stepMs = 10;
/**
 * Operators ask for the configuration for 3 s after a final fault; starting a
 * process takes about 0.5 s of these.
 */
const limitMs = 2_500;

// Guards against elections that split votes until operators stop asking.
test("a restarted group has a leader in time although messages are slow", () => {
  const late: string[] = [];
  for (const delayMs of [0, 20, 50]) {
    for (let seed = 1; seed <= 300; seed++) {
      const waitedMs = measureRestartMs({ seed, delayMs });
      if (waitedMs > limitMs) late.push(`seed ${seed}, ${delayMs} ms`);
    }
  }
  expect(late).toEqual([]);
});

// Guards against rounds that end with the one message that was lost.
test("a restarted group has a leader in time although messages are lost", () => {
  const late: string[] = [];
  for (let seed = 1; seed <= 300; seed++) {
    const waitedMs = measureRestartMs({ seed, delayMs: 20, lossRatio: 0.1 });
    if (waitedMs > limitMs) late.push(`seed ${seed}`);
  }
  expect(late).toEqual([]);
});

/**
 * Restarts a whole group of which one voter has lost its disk, so that both
 * others are needed for a majority. Returns the time until one leads.
 */
function measureRestartMs(
  { seed, delayMs, lossRatio = 0 }: {
    seed: number;
    delayMs: number;
    lossRatio?: number;
  },
): number {
  const group = createSimulatedGroup({
    size: 4,
    voterCount: 3,
    seed,
    electionTimeoutMs: 600,
    replaceVoterAfterMs: 2_500,
  });
  while (!group.getLeader()) group.run(50);
  for (const { instanceId } of group.nodes) group.delay(instanceId, delayMs);
  group.loseDisk(group.getLeader()!);
  group.nodes.forEach(group.kill);
  group.run(200);
  group.nodes.forEach(group.start);
  let waitedMs = 0;
  for (; !group.getLeader() && waitedMs < 10_000; waitedMs += stepMs) {
    group.run(stepMs, lossRatio);
  }
  return waitedMs;
}
