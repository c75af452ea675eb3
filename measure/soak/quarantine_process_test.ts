/**
 * The quarantine on separate processes: it is learned, kept over a restart of
 * all processes, and lifted by an operator.
 */
import { rmSync } from "node:fs";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import { createRandom } from "../../src/core/random.ts";
import { callEntry, type CallerResponse } from "../forwarding_fakes.ts";
import { forwardingPorts, waitUntilOk } from "../forwarding_settings.ts";
import { type SoakDeployment, startSoakDeployment } from "./soak_deployment.ts";
import { createSoakOperator, soakApiKey, soakHost } from "./soak_operator.ts";
import type { SoakRecord } from "./soak_types.ts";
import {
  crashingCall,
  crashingPart,
  startSoakUpstreams,
} from "./soak_upstreams.ts";

const domainIds = ["domain-a", "domain-b", "domain-c"];
const firstNetwork = 20;
const networkCount = 200;
const startTimeoutMs = 20_000;
const streamCount = 12;
const eventCount = 16;
const maxCallCount = 60;
/** Three crashes, and what is sent until all instances know of each. */
const maxBadAttempts = 5;
const closers: (() => void | Promise<void>)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

async function start() {
  const record: SoakRecord = {
    attempts: [],
    answers: [],
    submissions: [],
    reads: [],
    moves: [],
    unexpectedExits: [],
    settledAtMs: Infinity,
  };
  const random = createRandom(7);
  const networkPrefix = `127.${firstNetwork + process.pid % networkCount}`;
  const upstreams = await startSoakUpstreams({
    host: `${networkPrefix}.250.1`,
    domainIds,
    random,
    record,
  });
  closers.push(upstreams.close);
  const deployment = await startSoakDeployment({
    networkPrefix,
    domainIds,
    entriesPerDomain: 1,
    upstreamList: `${networkPrefix}.250.1:${upstreams.listPort}`,
    onUnexpectedExit: (exit) => record.unexpectedExits.push(exit),
  });
  closers.push(async () => {
    await deployment.end();
    rmSync(deployment.folder, { recursive: true, force: true });
  });
  const operatorUrls = deployment.control.map(({ host }) =>
    `http://${host}:${forwardingPorts.operators}`
  );
  await createSoakOperator({ random, record, operatorUrls })
    .submitConfiguration();
  await waitUntilReady(deployment);
  return { record, deployment, operatorUrls };
}

async function waitUntilReady({ entries }: SoakDeployment): Promise<void> {
  for (const { host } of entries) {
    const url = `http://${host}:${forwardingPorts.readiness}/ready`;
    await waitUntilOk(url, startTimeoutMs);
  }
}

let nextSession = 1;

function stream(
  deployment: SoakDeployment,
  entry: number,
  parts: readonly string[],
): Promise<CallerResponse> {
  const prompt = [...parts, `session${nextSession++}`];
  return callEntry(deployment.entries[entry % 3]!.relay!.port, {
    host: soakHost,
    path: `/gen/key/${eventCount}`,
    headers: {
      "Api-Key": soakApiKey,
      "Token-Count": "30,60",
      "Prompt-Prefix": prompt.map((part) => `${part}:10`).join(","),
      "Deadline-Ms": "12000",
    },
  });
}

async function restartAll(deployment: SoakDeployment): Promise<void> {
  const processes = [...deployment.control, ...deployment.entries];
  await Promise.all(processes.map(deployment.kill));
  for (const target of processes) deployment.start(target);
  await waitUntilReady(deployment);
  await sleep(1_000);
}

function call(
  deployment: SoakDeployment,
  entry: number,
  path: string,
): Promise<CallerResponse> {
  return callEntry(deployment.entries[entry % 3]!.relay!.port, {
    host: soakHost,
    method: "POST",
    path,
    body: "order",
    headers: { "Api-Key": soakApiKey, "Deadline-Ms": "3000" },
  });
}

test(
  "a call that crashes upstreams stays refused when all processes restart",
  async () => {
    const { record, deployment } = await start();
    const badPath = `/unsafe/${crashingCall}`;
    const answers: CallerResponse[] = [];
    while (answers.length < maxCallCount && answers.at(-1)?.status !== 422) {
      answers.push(await call(deployment, answers.length, badPath));
      await sleep(300);
    }
    const isRefusedEverywhere = async () => {
      const attemptCount = record.attempts.length;
      for (let entry = 0; entry < 3; entry++) {
        expect(await call(deployment, entry, badPath))
          .toMatchObject({ status: 422, isComplete: true });
      }
      expect(record.attempts.length).toBe(attemptCount);
    };
    await sleep(1_000);
    await isRefusedEverywhere();
    expect(record.attempts.length).toBeLessThanOrEqual(maxBadAttempts);
    await restartAll(deployment);
    await isRefusedEverywhere();
    // Upstreams lose a response now and then.
    const sound = await Promise.all(
      Array.from(
        { length: 10 },
        (_, index) => call(deployment, index, `/unsafe/${index}`),
      ),
    );
    expect(sound.filter(({ status }) => status === 200).length)
      .toBeGreaterThan(5);
    expect(record.unexpectedExits).toEqual([]);
  },
  60_000,
);

test(
  "a prompt part that crashes engines stays refused when all processes restart, until it is lifted",
  async () => {
    const { record, deployment, operatorUrls } = await start();
    const answers: Promise<CallerResponse>[] = [];
    for (let index = 0; index < streamCount; index++) {
      answers.push(stream(deployment, index, ["shared", crashingPart]));
      answers.push(stream(deployment, index + 1, ["shared"]));
      await sleep(400);
    }
    await Promise.all(answers);
    const isRefusedEverywhere = async () => {
      const attemptCount = record.attempts.length;
      for (let entry = 0; entry < 3; entry++) {
        const answer = await stream(deployment, entry, ["x", crashingPart]);
        expect(answer).toMatchObject({ status: 422, isComplete: true });
      }
      expect(record.attempts.length).toBe(attemptCount);
    };
    await isRefusedEverywhere();
    await restartAll(deployment);
    await isRefusedEverywhere();
    expect(await stream(deployment, 0, ["shared"]))
      .toMatchObject({ status: 200, isComplete: true });

    const url = `${operatorUrls[0]}/quarantine`;
    const { parts } = await (await fetch(url)).json() as {
      parts: { service: string; partId: string }[];
    };
    const found = parts.find(({ partId }) => partId === crashingPart)!;
    const lifted = await fetch(
      `${url}/${encodeURIComponent(found.service)}/${found.partId}`,
      { method: "DELETE" },
    );
    expect(lifted.status).toBe(200);
    await sleep(2_000);
    const attemptCount = record.attempts.length;
    await stream(deployment, 1, ["shared", crashingPart]);
    expect(record.attempts.length).toBeGreaterThan(attemptCount);
    expect(record.unexpectedExits).toEqual([]);
  },
  60_000,
);
