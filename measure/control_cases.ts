/**
 * Failure cases of control: tickets are submitted while control instances are
 * killed, isolated, restarted or lose their disks. The bounds are those of
 * section 2 of the design page.
 */
import { rmSync } from "node:fs";
import type { CaseContext, CaseSpec } from "./case_run.ts";
import type { InstanceHandle } from "./launcher.ts";
import { createTicketClient, type TicketClient } from "./ticket_client.ts";

/** An accepted configuration is in force everywhere within this time. */
const maxInForceDelayMs = 4_000;
const pollIntervalMs = 50;
const maxLossResumeMs = 5_000;
const load = {
  answers: 12,
  maxTokens: 300,
  concurrency: 4,
  baseline: "entry",
  maxResumeP99Ms: maxLossResumeMs,
} as const;

export const controlCases: Readonly<Record<string, CaseSpec>> = {
  "control-kill": { ...load, run: killLeaders },
  "control-isolated": {
    ...load,
    hasRelays: true,
    allowsResets: true,
    run: isolateLeader,
  },
  "lost-disk": { ...load, run: loseDisks },
  "ticket-race": { ...load, run: raceOperators },
  "restart-after-500": { ...load, answers: 4, run: restartAfter500Changes },
};

/**
 * Submits tickets in order while `cause` injects faults. Checks the replies,
 * the time until each ticket is in force, that no instance gets a lower
 * revision, and afterwards that the last ticket is in force everywhere.
 */
async function submitDuring(
  context: CaseContext,
  cause: (tickets: TicketClient) => Promise<void>,
) {
  const tickets = createTicketClient(context.cluster);
  const revisions: number[] = [];
  let isDone = false;
  let maxInForceMs = 0;
  const submitting = (async () => {
    for (let number = 1; !isDone; number++) {
      const reply = await tickets.submitUntilDecided(number, number);
      if (reply.status !== 200) break;
      revisions.push(reply.revision);
      maxInForceMs = Math.max(
        maxInForceMs,
        await waitUntilInForce(tickets, reply.revision),
      );
      await context.sleep(pollIntervalMs);
    }
  })();
  const watching = watchRevisions(context, tickets, () => isDone);
  await cause(tickets);
  isDone = true;
  await submitting;
  const isMonotonic = await watching;
  const weights = await Promise.all(
    tickets.listRunning().map((instance) => tickets.getWeight(instance)),
  );
  return {
    ticketsAccepted: revisions.length > 10,
    everyRevisionOnce: new Set(revisions).size === revisions.length &&
      revisions.every((revision, index) => revision === index + 1),
    lastTicketEverywhere: weights.every((weight) =>
      weight === revisions.length
    ),
    inForceWithin4S: maxInForceMs <= maxInForceDelayMs,
    neverLowerRevision: isMonotonic,
  };
}

/** Returns the time until the revision is in force on all running instances. */
async function waitUntilInForce(
  tickets: TicketClient,
  revision: number,
): Promise<number> {
  const startedAtMs = performance.now();
  while (performance.now() - startedAtMs < 2 * maxInForceDelayMs) {
    const revisions = await Promise.all(
      tickets.listRunning().map((instance) => tickets.getRevision(instance)),
    );
    // -1: the instance does not answer yet; it is starting and not ready.
    if (revisions.every((value) => value === -1 || value >= revision)) break;
    await delay(pollIntervalMs);
  }
  return performance.now() - startedAtMs;
}

async function watchRevisions(
  { cluster }: CaseContext,
  tickets: TicketClient,
  isDone: () => boolean,
): Promise<boolean> {
  const highest = new Map<string, number>();
  let isMonotonic = true;
  while (!isDone()) {
    await Promise.all(cluster.instances.map(async (instance) => {
      const revision = await tickets.getRevision(instance);
      if (revision < 0) return;
      const { instanceId } = instance;
      isMonotonic &&= revision >= (highest.get(instanceId) ?? 0);
      highest.set(instanceId, revision);
    }));
    await delay(pollIntervalMs);
  }
  return isMonotonic;
}

function killLeaders(context: CaseContext) {
  const { cluster, sleep, recordFault } = context;
  return submitDuring(context, async (tickets) => {
    await sleep(2_000);
    for (let round = 0; round < 2; round++) {
      const leader = await findLeader(cluster.instances, tickets);
      recordFault();
      leader.process.kill("SIGKILL");
      await sleep(4_000);
      cluster.startInstance(leader.instanceId);
      await sleep(3_000);
    }
  });
}

/** Cuts off the leader's domain; the others elect a leader and keep serving. */
async function isolateLeader(context: CaseContext) {
  const { cluster, sleep, recordFault } = context;
  const tickets = createTicketClient(cluster);
  await sleep(2_000);
  const before = await tickets.submitUntilDecided(1, 1);
  const leader = await findLeader(cluster.instances, tickets);
  const outside = cluster.instances.filter((instance) =>
    instance.domainId !== leader.domainId
  );
  recordFault();
  cluster.setCut(leader.domainId, true);
  await sleep(2_000);
  const [isolated, majority] = await Promise.all([
    tickets.submit(leader, 2, 20),
    tickets.submit(outside[0]!, 2, 2),
  ]);
  const isolatedRevision = await tickets.getRevision(leader);
  cluster.setCut(leader.domainId, false);
  recordFault();
  const healMs = await waitUntilInForce(tickets, majority.revision);
  const weights = await Promise.all(
    cluster.instances.map((instance) => tickets.getWeight(instance)),
  );
  return {
    acceptedBefore: before.status === 200,
    isolatedLeaderAcceptsNothing: isolated.status !== 200,
    isolatedKeepsRevision: isolatedRevision === before.revision,
    majorityAccepts: majority.status === 200,
    inForceAfterHeal: healMs <= maxInForceDelayMs,
    sameEverywhere: weights.every((weight) => weight === 2),
  };
}

/**
 * One follower loses its disk and restarts with an empty one; 5 s later the
 * other follower does the same.
 */
function loseDisks(context: CaseContext) {
  const { cluster, sleep, recordFault } = context;
  return submitDuring(context, async (tickets) => {
    await sleep(2_000);
    const control = cluster.instances.filter(({ instanceId }) =>
      instanceId.endsWith("-0")
    );
    const leader = await findLeader(cluster.instances, tickets);
    const followers = control.filter((instance) => instance !== leader);
    for (const follower of followers) {
      recordFault();
      follower.process.kill("SIGKILL");
      await sleep(500);
      rmSync(follower.dataFolder, { recursive: true, force: true });
      cluster.startInstance(follower.instanceId);
      await sleep(5_000);
    }
  });
}

/**
 * Operators submit different tickets with one number at the same time, then
 * resend the accepted ticket.
 */
async function raceOperators({ cluster, sleep, random }: CaseContext) {
  const tickets = createTicketClient(cluster);
  await sleep(1_000);
  const outcomes = [];
  for (let number = 1; number <= 30; number++) {
    const order = [...cluster.instances].sort(() => random.next() - 0.5);
    const replies = await Promise.all(
      order.slice(0, 3).map((instance, index) =>
        tickets.submit(instance, number, 10 * number + index)
      ),
    );
    const winner = replies.findIndex((reply) => reply.status === 200);
    const weight = 10 * number + winner;
    const resent = await tickets.submitUntilDecided(number, weight);
    outcomes.push({
      hasOneWinner: replies.filter((reply) =>
        reply.status === 200
      ).length === 1,
      areOthersRefused: replies.every((reply, index) =>
        index === winner || reply.status === 409
      ),
      isResendSame: resent.status === 200 &&
        resent.revision === replies[winner]?.revision,
    });
  }
  return {
    oneWinnerPerNumber: outcomes.every((outcome) => outcome.hasOneWinner),
    othersRefused: outcomes.every((outcome) => outcome.areOthersRefused),
    resendGetsSameReply: outcomes.every((outcome) => outcome.isResendSame),
  };
}

/** An instance that missed 500 changes applies them before it is ready. */
async function restartAfter500Changes(
  { cluster, sleep, recordFault }: CaseContext,
) {
  const tickets = createTicketClient(cluster);
  await sleep(1_000);
  const stopped = cluster.instances.find(({ instanceId }) =>
    instanceId === "andina-b-0"
  )!;
  recordFault();
  stopped.process.kill("SIGKILL");
  let accepted = 0;
  for (let number = 1; number <= 500; number++) {
    const reply = await tickets.submitUntilDecided(number, number % 900 + 1);
    if (reply.status === 200) accepted += 1;
  }
  cluster.startInstance(stopped.instanceId);
  const startedAtMs = performance.now();
  while (await tickets.getRevision(stopped) < 0) await delay(pollIntervalMs);
  const upAfterMs = performance.now() - startedAtMs;
  const inForceMs = await waitUntilInForce(tickets, 500);
  return {
    all500Accepted: accepted === 500,
    restartedInstanceIsUp: upAfterMs < maxLossResumeMs,
    inForceWithin4S: inForceMs <= maxInForceDelayMs,
  };
}

async function findLeader(
  instances: readonly InstanceHandle[],
  tickets: TicketClient,
): Promise<InstanceHandle> {
  for (let polls = 0; polls < 100; polls++) {
    for (const instance of tickets.listRunning()) {
      const leaderId = await tickets.getLeaderId(instance);
      const leader = instances.find((candidate) =>
        candidate.instanceId === leaderId
      );
      if (leader) return leader;
    }
    await delay(pollIntervalMs);
  }
  throw new Error("found no control leader");
}

function delay(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
