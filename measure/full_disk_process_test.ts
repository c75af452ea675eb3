/**
 * Full disks of control instances, one after another, on separate processes. A
 * limit on the size of files stands for the full disk: every write beyond it
 * fails, also those to the log of the process.
 */
import { spawnSync } from "node:child_process";
import { readdirSync, rmSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import { createRandom } from "../src/core/random.ts";
import { forwardingPorts } from "./forwarding_settings.ts";
import {
  type SoakProcess,
  startSoakDeployment,
} from "./soak/soak_deployment.ts";
import { createSoakOperator } from "./soak/soak_operator.ts";
import type { SoakRecord } from "./soak/soak_types.ts";
import { startSoakUpstreams } from "./soak/soak_upstreams.ts";

const domainIds = ["domain-a", "domain-b", "domain-c"];
const firstNetwork = 20;
const networkCount = 200;
const fullMs = 1_500;
/** A machine counts as lost for this long after its disk has room again. */
const catchUpMs = 4_000;
/** Time within which operators expect an acknowledgement. */
const ackMs = 4_000;
const closers: (() => void | Promise<void>)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

function setDiskFull({ child }: SoakProcess, isFull: boolean): void {
  const limit = isFull ? "0:unlimited" : "unlimited:unlimited";
  const { status } = spawnSync("prlimit", [
    `--pid=${child!.pid}`,
    `--fsize=${limit}`,
  ]);
  expect(status).toBe(0);
}

// Guards against changes that are refused or unanswered after the disks of
// control instances were full one after another.
test(
  "changes are acknowledged while the disks of control instances are full in turn",
  async () => {
    const record: SoakRecord = {
      attempts: [],
      answers: [],
      submissions: [],
      reads: [],
      moves: [],
      unexpectedExits: [],
      settledAtMs: Infinity,
    };
    const random = createRandom(3);
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
      entriesPerDomain: 0,
      upstreamList: `${networkPrefix}.250.1:${upstreams.listPort}`,
      onUnexpectedExit: (exit) => record.unexpectedExits.push(exit),
    });
    closers.push(async () => {
      await deployment.end();
      rmSync(deployment.folder, { recursive: true, force: true });
    });
    const operator = createSoakOperator({
      random,
      record,
      operatorUrls: deployment.control.map(({ host }) =>
        `http://${host}:${forwardingPorts.operators}`
      ),
    });
    await operator.submitConfiguration();
    record.submissions.length = 0;
    let isDone = false;
    const changes = (async () => {
      while (!isDone) {
        await operator.submitConfiguration();
        await operator.readConfiguration(false);
        await sleep(50);
      }
    })();
    for (const full of deployment.control) {
      setDiskFull(full, true);
      await sleep(fullMs);
      setDiskFull(full, false);
      await sleep(catchUpMs);
    }
    isDone = true;
    await changes;
    await operator.readConfiguration(true);
    for (const { name } of deployment.control) {
      // The log starts a new segment each time that it is opened again.
      const names = readdirSync(join(deployment.folder, `${name}-data`, "log"));
      expect(names.filter((entry) => entry.startsWith("log-")).sort().at(-1))
        .not.toBe("log-000000000001");
    }
    expect(record.unexpectedExits).toEqual([]);
    expect(record.submissions.length).toBeGreaterThan(50);
    for (const { status, sentAtMs, endedAtMs } of record.submissions) {
      expect(status).toBe(200);
      expect(endedAtMs - sentAtMs).toBeLessThan(ackMs);
    }
    expect(record.reads.at(-1)).toMatchObject({
      status: 200,
      number: record.submissions.at(-1)!.number,
    });
  },
  60_000,
);
