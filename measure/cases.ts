/**
 * The failure cases: their load, the failures, and the bounds that apply. The
 * bounds are those of section 2 of the design page.
 */
import { parseAnswerId } from "../src/answers/answer_id.ts";
import process from "node:process";
import type { CaseContext, CaseSpec } from "./case_run.ts";
import { readJson } from "./statistics.ts";

const common = { answers: 100, maxTokens: 300, concurrency: 20 };
const lossBoundMs = 5_000;
const leavingBoundMs = 3_000;

export const cases: Readonly<Record<string, CaseSpec>> = {
  "engine-kill": {
    ...common,
    plain: "engines",
    maxResumeP99Ms: 1_000,
    maxExtraTokensRatio: 0.02,
    run: async (context) => {
      await waitForLoad(context);
      await killEngine(context, context.random.nextInt(6));
      return {};
    },
  },
  "engine-freeze": {
    ...common,
    plain: "engines",
    maxResumeP99Ms: 2_000,
    maxExtraTokensRatio: 0.02,
    run: async (context) => {
      await waitForLoad(context);
      const engine = pick(context, context.cluster.engines);
      await freeze(context, engine.process.pid!);
      return {};
    },
  },
  "entry-kill": {
    ...common,
    answers: 60,
    plain: "entry",
    maxResumeP99Ms: lossBoundMs,
    run: async (context) => {
      await waitForLoad(context);
      context.markFault();
      pick(context, context.entries).process.kill("SIGKILL");
      return {};
    },
  },
  "entry-freeze": {
    ...common,
    answers: 60,
    plain: "entry",
    maxResumeP99Ms: lossBoundMs,
    run: async (context) => {
      await waitForLoad(context);
      await freeze(context, pick(context, context.entries).process.pid!);
      return {};
    },
  },
  "entry-drain": {
    ...common,
    answers: 40,
    maxTokens: 800,
    bookings: 30,
    plain: "entry",
    maxResumeP99Ms: 1_000,
    run: async ({ sleep, markFault, client, ...context }) => {
      await sleep(1_500 + context.random.nextInt(1_000));
      const entry = pick(context, context.entries);
      markFault();
      process.kill(entry.process.pid!, "SIGTERM");
      // The load balancer sees after a second that it is not ready.
      await sleep(1_000);
      client.hiddenIds.add(entry.instanceId);
      await waitUntil(() => entry.process.exitCode !== null, 20_000);
      return { endedByItself: entry.process.exitCode === 0 };
    },
  },
  "domain-cut": {
    ...common,
    answers: 60,
    hasRelays: true,
    plain: "entry",
    maxResumeP99Ms: lossBoundMs,
    mayReset: true,
    run: cutDomain,
  },
  "duplicate-call": {
    answers: 6,
    maxTokens: 300,
    concurrency: 3,
    bookings: 120,
    plain: "engines",
    maxResumeP99Ms: lossBoundMs,
    run: async ({ sleep, markFault, calls, ...context }) => {
      const order = context.random.nextInt(context.entries.length);
      for (const step of [0, 1]) {
        await sleep(1_500 + context.random.nextInt(1_000));
        markFault();
        const entry = context.entries[(order + step) % context.entries.length]!;
        entry.process.kill("SIGKILL");
      }
      await sleep(4_000);
      return { mostAnswered: calls.some((call) => call.status === 200) };
    },
  },
  "leaving-upstream": {
    answers: 240,
    maxTokens: 100,
    concurrency: 20,
    plain: "engines",
    maxResumeP99Ms: 1_000,
    run: async ({ sleep, cluster, ...context }) => {
      await sleep(1_500);
      const first = context.random.nextInt(cluster.engines.length);
      const listed = cluster.engines[first]!;
      const reported = cluster.engines[(first + 1) % cluster.engines.length]!;
      cluster.listedStates.set(listed.upstreamId, "leaving");
      await fetch(`${reported.baseUrl}/faults`, {
        method: "POST",
        body: '{"isLeaving":true}',
      });
      await sleep(leavingBoundMs);
      const before = await Promise.all([listed, reported].map(getRequests));
      const openAfter = context.getOpenAnswers();
      await sleep(4_000);
      const after = await Promise.all([listed, reported].map(getRequests));
      return {
        hadLoad: openAfter > 0,
        noNewWorkByList: before[0]! > 0 && after[0] === before[0],
        noNewWorkByReport: before[1]! > 0 && after[1] === before[1],
      };
    },
  },
  "two-losses": {
    ...common,
    plain: "entry",
    maxResumeP99Ms: lossBoundMs,
    run: loseTwo,
  },
};

async function cutDomain(context: CaseContext) {
  const { cluster, client, random, sleep, markFault } = context;
  await waitForLoad(context);
  // The control log has one instance so far; it stays with the majority.
  const domainId = ["andina-b", "andina-c"][random.nextInt(2)]!;
  const inside = cluster.instances.find((one) => one.domainId === domainId)!;
  const outside = cluster.instances[0]!;
  cluster.setCut(domainId, true);
  markFault();
  await sleep(2_000);
  const key = `cut-${domainId}`;
  const [generations, lookUps, minority, majority] = await Promise.all([
    Promise.all(
      [inside, outside].map(({ instanceId }) =>
        client.generate({ maxTokens: 200, instanceId })
      ),
    ),
    Promise.all(
      [inside, outside].map(({ instanceId }) => client.lookUp(instanceId)),
    ),
    client.book(key, inside.instanceId),
    client.book(`${key}-outside`, outside.instanceId),
  ]);
  await sleep(2_000);
  cluster.setCut(domainId, false);
  markFault();
  await sleep(3_000);
  const resent = await client.book(key, inside.instanceId);
  return {
    bothSidesGenerate: generations.every((answer) => answer.isWhole),
    bothSidesCall: lookUps.every((call) => call.status === 200),
    minorityBookingNotRun: minority.execution === "notRun",
    majorityBookingRuns: majority.status === 200,
    resentBookingRuns: resent.status === 200,
  };
}

async function loseTwo(context: CaseContext) {
  const { cluster, answerIds, random, entries, sleep, markFault } = context;
  await waitForLoad(context);
  const first = random.nextInt(cluster.engines.length);
  await Promise.all([
    killEngine(context, first),
    killEngine(context, (first + 1) % cluster.engines.length),
  ]);
  await sleep(3_000);
  const lossable = entries.map((entry) => entry.instanceId);
  const pair = [...answerIds].reverse().flatMap((answerId) =>
    parseAnswerId(answerId).mapOr([] as string[][], (parts) => [
      [parts.openerId, parts.firstReplicaId.unwrapOr("")],
    ])
  ).find((ids) => ids.every((id) => lossable.includes(id)))!;
  for (const instanceId of pair) {
    markFault();
    cluster.instances.find((one) => one.instanceId === instanceId)!
      .process.kill("SIGKILL");
    await sleep(1_500);
  }
  return {};
}

async function waitForLoad({ sleep, random }: CaseContext): Promise<void> {
  await sleep(2_000 + random.nextInt(2_000));
}

async function killEngine(
  { cluster, markFault }: CaseContext,
  index: number,
): Promise<void> {
  const engine = cluster.engines[index]!;
  const totals = await readJson(`${engine.baseUrl}/totals`, {
    generatedTokens: 0,
  });
  cluster.generatedByKilled.set(engine.upstreamId, totals.generatedTokens);
  markFault();
  engine.process.kill("SIGKILL");
}

/** Stops the process for longer than any time limit, then lets it go on. */
async function freeze(
  { sleep, markFault }: Pick<CaseContext, "sleep" | "markFault">,
  pid: number,
): Promise<void> {
  markFault();
  process.kill(pid, "SIGSTOP");
  await sleep(4_000);
  markFault();
  process.kill(pid, "SIGCONT");
}

function pick<T>(
  { random }: Pick<CaseContext, "random">,
  items: readonly T[],
): T {
  return items[random.nextInt(items.length)]!;
}

async function getRequests({ baseUrl }: { baseUrl: string }): Promise<number> {
  return (await readJson(`${baseUrl}/totals`, { requests: 0 })).requests;
}

async function waitUntil(isDone: () => boolean, limitMs: number) {
  const giveUpAtMs = performance.now() + limitMs;
  while (!isDone() && performance.now() < giveUpAtMs) {
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
}
