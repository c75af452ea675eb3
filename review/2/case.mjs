/**
 * The configuration has grown by many routes, and changes of it follow one
 * another. With TROUBLE=0 the same changes come without the growth.
 */
import process from "node:process";
import {
  bounds,
  createDocument,
  createOperator,
  openRecord,
  runCase,
  sleep,
  startCallers,
  startDeployment,
  startPlatform,
} from "../lib/deployment.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const record = openRecord(import.meta.url);
const service = "sack-ledger";
const zones = ["khangai-a", "khangai-b", "khangai-c"];
/** The largest growth in one step on the pages; there are two steps. */
const stepRouteCount = 1_400;
const changeCount = 140;
const changeIntervalMs = 640;
/** Requests a second of both plain kinds together, from the grown sheet. */
const perS = 184;

runCase(async () => {
  const platform = await startPlatform({ record });
  const deployment = await startDeployment({
    controlZones: zones,
    entryZones: zones,
    upstreamList: platform.address,
    record,
  });
  const operator = createOperator({
    addresses: deployment.controls.map(deployment.getControlAddress),
    record,
  });
  for (const zone of [...zones, ...zones]) {
    await platform.addWorker({
      service,
      zone,
      run: () => ({ status: 200, afterMs: 60 + Math.random() * 27 }),
    });
  }
  const first = createDocument({ version: 3, service });
  const accepted = await operator.call("PUT", "/config", first, {
    forMs: 10_000,
  });
  if (accepted.status !== 200) throw new Error("no configuration accepted");
  await deployment.waitUntilReady();
  const callers = startCallers({
    addresses: deployment.entries.map(deployment.getFrontAddress),
    perS,
    record,
  });
  await sleep(2_000);
  const machines = [...deployment.controls, ...deployment.entries];
  const countEnds = () =>
    machines.reduce((sum, { ends }) => sum + ends.length, 0);
  let acknowledgedCount = 0;
  let refusedCount = 0;
  const startedAtMs = performance.now();
  for (let change = 1; change <= changeCount; change++) {
    const stepCount = Math.min(2, change);
    const routeCount = hasTrouble ? stepCount * stepRouteCount : 0;
    const document = createDocument({
      version: 3 + 4 * change,
      service,
      routeCount,
    });
    // Successive versions change time-outs.
    document.routes[1].timeout_ms = 1_200 + (change % 10);
    const answer = await operator.call("PUT", "/config", document, {
      forMs: bounds.ackMs + 3 * routeCount,
      timeoutMs: 3_000,
    });
    if (answer.status === 200) acknowledgedCount += 1;
    else refusedCount += 1;
    if (countEnds() >= 3) break;
    const dueAtMs = startedAtMs + change * changeIntervalMs;
    await sleep(Math.max(0, dueAtMs - performance.now()));
    if (performance.now() - startedAtMs > 90_000) break;
  }
  await sleep(1_500);
  callers.stop();
  await sleep(2_700);
  const lost = callers.requests.filter(({ id, answer }) =>
    answer?.status === 0 && !answer.isGivenUp &&
    platform.workers.some(({ runs }) => runs.some((run) => run.id === id))
  );
  record(
    `${acknowledgedCount} changes acknowledged, ${refusedCount} not`,
    { isShown: true },
  );
  for (const { name, ends } of machines) {
    for (const { code, name: signal } of ends) {
      record(`${name} ended by itself: status ${code}, signal ${signal}`, {
        isShown: true,
      });
    }
  }
  record(
    `${callers.requests.length} requests sent, ${lost.length} were passed on ` +
      `to a worker and their channel ended without an answer`,
    { isShown: true },
  );
  return lost.length === 0;
});
