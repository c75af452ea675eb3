/**
 * Failure cases of control: tickets while control instances are killed,
 * isolated, restarted or lose their disks. Bounds come from section 2 of the
 * design page.
 */
import { rmSync } from "node:fs";
import type { CaseContext, CaseSpec } from "./case_run.ts";
import type { InstanceHandle } from "./launcher.ts";
import { createTicketClient, type TicketClient } from "./ticket_client.ts";

/** An accepted configuration is in force everywhere within this time. */
const inForceBoundMs = 4_000;
const pollMs = 50;
const lossBoundMs = 5_000;
const load = {
  answers: 12,
  maxTokens: 300,
  concurrency: 4,
  plain: "entry",
  maxResumeP99Ms: lossBoundMs,
} as const;

export const controlCases: Readonly<Record<string, CaseSpec>> = {
  "control-kill": { ...load, run: killLeaders },
  "control-isolated": {
    ...load,
    hasRelays: true,
    mayReset: true,
    run: isolate,
  },
  "lost-disk": { ...load, run: loseDisks },
  "ticket-race": { ...load, run: race },
  "restart-after-500": { ...load, answers: 4, run: restartLate },
};

/** Submits tickets in order while `cause` runs, and checks them afterwards. */
async function submitDuring(
  context: CaseContext,
  cause: (tickets: TicketClient) => Promise<void>,
) {
  const tickets = createTicketClient(context.cluster);
  const revisions: number[] = [];
  let isDone = false;
  let slowestMs = 0;
  const submitting = (async () => {
    for (let number = 1; !isDone; number++) {
      const reply = await tickets.submitUntilDecided(number, number);
      if (reply.status !== 200) break;
      revisions.push(reply.revision);
      slowestMs = Math.max(
        slowestMs,
        await waitInForce(tickets, reply.revision),
      );
      await context.sleep(pollMs);
    }
  })();
  const watching = watchRevisions(context, tickets, () => isDone);
  await cause(tickets);
  isDone = true;
  await submitting;
  const isMonotonic = await watching;
  const weights = await Promise.all(
    tickets.listLive().map((instance) => tickets.getWeight(instance)),
  );
  return {
    ticketsAccepted: revisions.length > 10,
    everyRevisionOnce: new Set(revisions).size === revisions.length &&
      revisions.every((revision, index) => revision === index + 1),
    lastTicketEverywhere: weights.every((weight) =>
      weight === revisions.length
    ),
    inForceWithin4S: slowestMs <= inForceBoundMs,
    neverLowerRevision: isMonotonic,
  };
}

/** Time until the revision is in force on all live instances. */
async function waitInForce(
  tickets: TicketClient,
  revision: number,
): Promise<number> {
  const startedAtMs = performance.now();
  while (performance.now() - startedAtMs < 2 * inForceBoundMs) {
    const revisions = await Promise.all(
      tickets.listLive().map((instance) => tickets.getRevision(instance)),
    );
    // An instance that does not answer yet is starting, and is not ready.
    if (revisions.every((one) => one === -1 || one >= revision)) break;
    await pause(pollMs);
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
    await pause(pollMs);
  }
  return isMonotonic;
}

function killLeaders(context: CaseContext) {
  const { cluster, sleep, markFault } = context;
  return submitDuring(context, async (tickets) => {
    await sleep(2_000);
    for (let round = 0; round < 2; round++) {
      const leader = await findLeader(cluster.instances, tickets);
      markFault();
      leader.process.kill("SIGKILL");
      await sleep(4_000);
      cluster.startInstance(leader.instanceId);
      await sleep(3_000);
    }
  });
}

/** The leader's domain is cut off; the others elect a leader and go on. */
async function isolate(context: CaseContext) {
  const { cluster, sleep, markFault } = context;
  const tickets = createTicketClient(cluster);
  await sleep(2_000);
  const before = await tickets.submitUntilDecided(1, 1);
  const leader = await findLeader(cluster.instances, tickets);
  const outside = cluster.instances.filter((instance) =>
    instance.domainId !== leader.domainId
  );
  markFault();
  cluster.setCut(leader.domainId, true);
  await sleep(2_000);
  const [isolated, majority] = await Promise.all([
    tickets.submit(leader, 2, 20),
    tickets.submit(outside[0]!, 2, 2),
  ]);
  const isolatedRevision = await tickets.getRevision(leader);
  cluster.setCut(leader.domainId, false);
  markFault();
  const healMs = await waitInForce(tickets, majority.revision);
  const weights = await Promise.all(
    cluster.instances.map((instance) => tickets.getWeight(instance)),
  );
  return {
    acceptedBefore: before.status === 200,
    isolatedLeaderAcceptsNothing: isolated.status !== 200,
    isolatedKeepsRevision: isolatedRevision === before.revision,
    majorityAccepts: majority.status === 200,
    inForceAfterHeal: healMs <= inForceBoundMs,
    sameEverywhere: weights.every((weight) => weight === 2),
  };
}

/** A disk is lost and replaced, then a second instance loses its disk. */
function loseDisks(context: CaseContext) {
  const { cluster, sleep, markFault } = context;
  return submitDuring(context, async (tickets) => {
    await sleep(2_000);
    const control = cluster.instances.filter(({ instanceId }) =>
      instanceId.endsWith("-0")
    );
    const leader = await findLeader(cluster.instances, tickets);
    const followers = control.filter((instance) => instance !== leader);
    for (const follower of followers) {
      markFault();
      follower.process.kill("SIGKILL");
      await sleep(500);
      rmSync(follower.dataFolder, { recursive: true, force: true });
      cluster.startInstance(follower.instanceId);
      await sleep(5_000);
    }
  });
}

/** Operators race with equal numbers and resend what was decided. */
async function race({ cluster, sleep, random }: CaseContext) {
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
    oneWinnerPerNumber: outcomes.every((one) => one.hasOneWinner),
    othersRefused: outcomes.every((one) => one.areOthersRefused),
    resendGetsSameReply: outcomes.every((one) => one.isResendSame),
  };
}

/** An instance that missed 500 changes has them before it is ready. */
async function restartLate({ cluster, sleep, markFault }: CaseContext) {
  const tickets = createTicketClient(cluster);
  await sleep(1_000);
  const stopped = cluster.instances.find(({ instanceId }) =>
    instanceId === "andina-b-0"
  )!;
  markFault();
  stopped.process.kill("SIGKILL");
  let accepted = 0;
  for (let number = 1; number <= 500; number++) {
    const reply = await tickets.submitUntilDecided(number, number % 900 + 1);
    if (reply.status === 200) accepted += 1;
  }
  cluster.startInstance(stopped.instanceId);
  const startedAtMs = performance.now();
  while (await tickets.getRevision(stopped) < 0) await pause(pollMs);
  const upAfterMs = performance.now() - startedAtMs;
  const inForceMs = await waitInForce(tickets, 500);
  return {
    all500Accepted: accepted === 500,
    restartedInstanceIsUp: upAfterMs < lossBoundMs,
    inForceWithin4S: inForceMs <= inForceBoundMs,
  };
}

async function findLeader(
  instances: readonly InstanceHandle[],
  tickets: TicketClient,
): Promise<InstanceHandle> {
  for (let tries = 0; tries < 100; tries++) {
    for (const instance of tickets.listLive()) {
      const leaderId = await tickets.getLeaderId(instance);
      const leader = instances.find((one) => one.instanceId === leaderId);
      if (leader) return leader;
    }
    await pause(pollMs);
  }
  throw new Error("no control leader was found");
}

function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
