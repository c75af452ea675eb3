/**
 * The failure cases of entry instances and engines: their load, the injected
 * faults, and the bounds that apply. The bounds are those of section 2 of the
 * design page.
 */
import process from "node:process";
import { parseAnswerId } from "../src/answers/answer_id.ts";
import type { CaseContext, CaseSpec } from "./case_run.ts";
import { submitTicket } from "./ticket_client.ts";
import type { UpstreamHandle } from "./launcher.ts";
import { readJson } from "./statistics.ts";

const maxLossResumeMs = 5_000;
const maxLeavingMs = 3_000;
/**
 * Load of the engine cases. At most two engines are lost per 200 answers, since
 * the bound on extra tokens is stated for one loss per 100 answers.
 */
const engineLoss = {
  answers: 200,
  maxTokens: 120,
  concurrency: 14,
  enginesPerDomain: 3,
  baseline: "engines",
  maxResumeP99Ms: 1_000,
  maxExtraTokensRatio: 0.02,
} as const;
const entryLoss = {
  answers: 60,
  maxTokens: 300,
  concurrency: 20,
  baseline: "entry",
  maxResumeP99Ms: maxLossResumeMs,
} as const;

export const cases: Readonly<Record<string, CaseSpec>> = {
  "engine-kill": {
    ...engineLoss,
    run: async (context) => {
      const first = context.random.nextInt(9);
      for (const step of [0, 1]) {
        await waitForLoad(context);
        await killEngine(context, (first + step) % 9);
      }
    },
  },
  "engine-freeze": {
    ...engineLoss,
    maxResumeP99Ms: 2_000,
    run: async (context) => {
      await pauseProcess(context, pickRandom(context, context.cluster.engines));
      await pauseProcess(context, pickRandom(context, context.cluster.engines));
    },
  },
  "entry-kill": {
    ...entryLoss,
    run: async (context) => {
      await waitForLoad(context);
      killInstance(
        context,
        pickRandom(context, context.cluster.instances).instanceId,
      );
    },
  },
  "entry-freeze": {
    ...entryLoss,
    run: (context) =>
      pauseProcess(context, pickRandom(context, context.cluster.instances)),
  },
  "entry-drain": {
    ...entryLoss,
    answers: 40,
    maxTokens: 800,
    bookings: 30,
    maxResumeP99Ms: 1_000,
    run: drainEntry,
  },
  "domain-cut": {
    ...entryLoss,
    hasRelays: true,
    allowsResets: true,
    run: cutDomain,
  },
  "duplicate-call": {
    ...entryLoss,
    answers: 6,
    concurrency: 3,
    bookings: 120,
    baseline: "engines",
    run: async (context) => {
      const first = context.random.nextInt(6);
      for (const step of [0, 1]) {
        await waitForLoad(context);
        // Of two adjacent instances at most one is a control voter, so that the
        // control group keeps its majority.
        const index = (first + step) % 6;
        killInstance(context, context.cluster.instances[index]!.instanceId);
      }
      await context.sleep(3_000);
      return { mostAnswered: areMostBookingsAnswered(context) };
    },
  },
  "leaving-upstream": {
    ...engineLoss,
    enginesPerDomain: 2,
    run: markEnginesLeaving,
  },
  "two-losses": { ...entryLoss, answers: 100, run: killEnginesAndInstances },
};

async function drainEntry({ cluster, client, sleep, ...context }: CaseContext) {
  await sleep(1_500 + context.random.nextInt(1_000));
  const { instanceId, process: child } = pickRandom(context, cluster.instances);
  context.recordFault();
  process.kill(child.pid!, "SIGTERM");
  // The load balancer notices after 1 s that the instance is not ready.
  await sleep(1_000);
  client.excludedInstanceIds.add(instanceId);
  for (let polls = 0; child.exitCode === null && polls < 200; polls++) {
    await sleep(100);
  }
  return {
    endedByItself: child.exitCode === 0,
    allBookingsAnswered: context.calls.every((call) => call.status === 200),
  };
}

async function cutDomain(context: CaseContext) {
  const { cluster, client, sleep, recordFault } = context;
  await waitForLoad(context);
  const { domainId } = pickRandom(context, cluster.instances);
  const inside = cluster.instances.find((instance) =>
    instance.domainId === domainId
  )!;
  const outside = cluster.instances.find((instance) =>
    instance.domainId !== domainId
  )!;
  const sides = [inside, outside].map((instance) => instance.instanceId);
  cluster.setCut(domainId, true);
  recordFault();
  await sleep(2_000);
  const [generations, lookUps, bookings] = await Promise.all([
    Promise.all(
      sides.map((instanceId) =>
        client.generate({ maxTokens: 200, instanceId })
      ),
    ),
    Promise.all(sides.map((instanceId) => client.lookUp(instanceId))),
    Promise.all(sides.map((id) => client.book(`cut-${id}`, id))),
  ]);
  await sleep(2_000);
  cluster.setCut(domainId, false);
  recordFault();
  await sleep(3_000);
  const resent = await client.book(`cut-${sides[0]}`, sides[0]);
  return {
    bothSidesGenerate: generations.every((answer) => answer.isWhole),
    bothSidesCall: lookUps.every((call) => call.status === 200),
    minorityBookingNotRun: bookings[0]!.execution === "notRun",
    majorityBookingRuns: bookings[1]!.status === 200,
    resentBookingRuns: resent.status === 200,
  };
}

/**
 * Marks three engines as leaving: one in the platform list, one in its own load
 * report, one by a ticket. None may get new requests after `maxLeavingMs`.
 */
async function markEnginesLeaving({ sleep, cluster, ...context }: CaseContext) {
  await sleep(1_500);
  const first = context.random.nextInt(6);
  const engines = [0, 1, 2].map((step) =>
    cluster.engines[(first + step) % cluster.engines.length]!
  );
  cluster.listedStates.set(engines[0]!.upstreamId, "leaving");
  await fetch(`${engines[1]!.baseUrl}/faults`, {
    method: "POST",
    body: '{"isLeaving":true}',
  });
  await submitTicket(cluster, {
    number: 1,
    leavingUpstreams: { [engines[2]!.upstreamId]: { reason: "repair" } },
  });
  await sleep(maxLeavingMs);
  const before = await Promise.all(engines.map(getRequestCount));
  const hasLoad = context.getOpenAnswerCount() > 0;
  await sleep(4_000);
  const after = await Promise.all(engines.map(getRequestCount));
  return {
    hasLoad,
    noNewWorkByList: before[0]! > 0 && after[0] === before[0],
    noNewWorkByReport: before[1]! > 0 && after[1] === before[1],
    noNewWorkByTicket: before[2]! > 0 && after[2] === before[2],
  };

  async function getRequestCount({ baseUrl }: { baseUrl: string }) {
    return (await readJson(`${baseUrl}/totals`, { requests: 0 })).requests;
  }
}

/**
 * Kills two engines at once, then the instance that opened the newest answer
 * and the first replica of that answer, one after the other.
 */
async function killEnginesAndInstances(context: CaseContext) {
  await waitForLoad(context);
  const first = context.random.nextInt(6);
  await Promise.all(
    [first, (first + 1) % 6].map((index) => killEngine(context, index)),
  );
  await context.sleep(3_000);
  const { openerId, firstReplicaId } = parseAnswerId(
    context.answerIds.at(-1)!,
  ).unwrapOr({ openerId: "", firstReplicaId: undefined! });
  for (const instanceId of [openerId, firstReplicaId.unwrapOr("")]) {
    killInstance(context, instanceId);
    await context.sleep(1_500);
  }
}

async function waitForLoad({ sleep, random }: CaseContext): Promise<void> {
  await sleep(2_000 + random.nextInt(2_000));
}

function killInstance({ cluster, recordFault }: CaseContext, id: string): void {
  recordFault();
  cluster.instances.find((instance) => instance.instanceId === id)!
    .process.kill("SIGKILL");
}

async function killEngine(
  { cluster, recordFault }: CaseContext,
  index: number,
): Promise<void> {
  const { baseUrl, upstreamId, process: child } = cluster.engines[index]!;
  const empty = { generatedTokens: 0 };
  const { generatedTokens } = await readJson(`${baseUrl}/totals`, empty);
  cluster.generatedTokensByKilledEngine.set(upstreamId, generatedTokens);
  recordFault();
  child.kill("SIGKILL");
}

/** Pauses the process for longer than any time limit, then resumes it. */
async function pauseProcess(
  context: CaseContext,
  { process: { pid } }: Pick<UpstreamHandle, "process">,
): Promise<void> {
  await waitForLoad(context);
  context.recordFault();
  process.kill(pid!, "SIGSTOP");
  await context.sleep(4_000);
  context.recordFault();
  process.kill(pid!, "SIGCONT");
}

function pickRandom<T>(
  { random }: Pick<CaseContext, "random">,
  items: readonly T[],
): T {
  return items[random.nextInt(items.length)]!;
}

/**
 * Only bookings sent through a killed instance may have an unknown outcome; more
 * than 90 % of all must have been answered.
 */
function areMostBookingsAnswered({ calls }: CaseContext): boolean {
  const answered = calls.filter((call) => call.status === 200);
  return answered.length > 0.9 * calls.length;
}
