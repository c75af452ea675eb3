/**
 * Orders of version moves that reach a control instance while it stands still,
 * on separate processes.
 */
import { rmSync } from "node:fs";
import net from "node:net";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import { createRandom } from "../src/core/random.ts";
import { forwardingPorts } from "./forwarding_settings.ts";
import { startSoakDeployment } from "./soak/soak_deployment.ts";
import { createSoakOperator } from "./soak/soak_operator.ts";
import { appService, type SoakRecord } from "./soak/soak_types.ts";
import { startSoakUpstreams } from "./soak/soak_upstreams.ts";

const domainIds = ["domain-a", "domain-b", "domain-c"];
const firstNetwork = 20;
const networkCount = 200;
const moveDurationS = 1;
/** Time for an order that was read late to be carried out. */
const settleMs = 2_000;
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
  const random = createRandom(5);
  const networkPrefix = `127.${firstNetwork + process.pid % networkCount}`;
  const upstreams = await startSoakUpstreams({
    host: `${networkPrefix}.250.1`,
    domainIds,
    random,
    record,
  });
  closers.push(upstreams.close);
  for (const version of ["v2", "v3"]) {
    await upstreams.addVersion(version, false);
  }
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
  return { record, random, deployment };
}

/** Sends an order on a connection of its own and doesn't wait for a response. */
function sendOrder(host: string, target: string): net.Socket {
  const body = JSON.stringify({
    service: appService,
    target,
    duration_s: moveDurationS,
  });
  const socket = net.connect(forwardingPorts.operators, host);
  socket.on("error", () => {}).resume();
  socket.write(
    `POST /rollouts HTTP/1.1\r\nHost: control\r\n` +
      `Content-Length: ${body.length}\r\n\r\n${body}`,
  );
  return socket;
}

// The late copy of an order was carried out after a newer order, whether its
// operator had closed the connection or not.
test(
  "an order that waited at a paused instance is not carried out after a newer one",
  async () => {
    const { record, random, deployment } = await start();
    const createOperator = (hosts: readonly string[]) =>
      createSoakOperator({
        random,
        record,
        operatorUrls: hosts.map((host) =>
          `http://${host}:${forwardingPorts.operators}`
        ),
      });
    const hosts = deployment.control.map(({ host }) => host);
    await createOperator(hosts).submitConfiguration();
    // One of the three is the leader.
    for (const paused of deployment.control) {
      const operator = createOperator(hosts.filter((it) => it !== paused.host));
      deployment.pause(paused);
      const open = sendOrder(paused.host, "v2");
      const closed = sendOrder(paused.host, "v2");
      await sleep(1_000);
      closed.end();
      for (const target of ["v2", "v3"]) {
        await operator.move(target, moveDurationS);
        // Without traffic there is no evidence for a version: it is rolled back.
        await expect.poll(operator.readMove, { timeout: 10_000 })
          .toBe("rolled_back");
      }
      deployment.resume(paused);
      await sleep(settleMs);
      open.destroy();
      const url = `http://${hosts[0]}:${forwardingPorts.operators}`;
      const read = await fetch(`${url}/rollouts/${appService}`);
      expect(await read.json(), paused.name)
        .toEqual({ state: "rolled_back", target: "v3" });
    }
    expect(record.unexpectedExits).toEqual([]);
  },
  60_000,
);
