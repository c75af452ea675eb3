/**
 * A version is bad under load: most of its responses are failures while it gets
 * most of the traffic of its service. With TROUBLE=0 the version is good.
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
const zones = ["khangai-a", "khangai-b", "khangai-c", "khangai-d"];
/** Requests a second of both plain kinds together, from the sheet. */
const perS = 58;
const durationS = 12;
/** The version fails while it gets more than this part of the traffic. */
const loadShare = 0.7;
const loadWindowMs = 400;
/** Share of the responses under load that are failures. */
const badShare = 0.8;

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
  const listRuns = (version) =>
    platform.workers.filter((worker) => worker.version === version)
      .flatMap(({ runs }) => runs);
  const isUnderLoad = () => {
    const oldestMs = performance.now() - loadWindowMs;
    const count = listRuns("v2").filter(({ atMs }) => atMs >= oldestMs).length;
    return count > loadShare * perS * loadWindowMs / 1_000;
  };
  const addVersion = async (version, isBad) => {
    for (const zone of zones) {
      await platform.addWorker({
        service,
        zone,
        version,
        run: () => ({
          status: isBad && isUnderLoad() && Math.random() < badShare
            ? 500
            : 200,
          afterMs: 30 + Math.random() * 25,
        }),
      });
    }
  };
  await addVersion("v1", false);
  const accepted = await operator.call(
    "PUT",
    "/config",
    createDocument({ version: 3, service }),
    { forMs: 10_000 },
  );
  if (accepted.status !== 200) throw new Error("no configuration accepted");
  await deployment.waitUntilReady();
  const callers = startCallers({
    addresses: deployment.entries.map(deployment.getFrontAddress),
    perS,
    record,
  });
  await sleep(3_000);

  await addVersion("v2", hasTrouble);
  const orderedAtMs = performance.now();
  await operator.call("POST", "/rollouts", {
    service,
    target: "v2",
    duration_s: durationS,
  });
  const limitAtMs = orderedAtMs + durationS * 1_000;
  let state = "running";
  while (state === "running" && performance.now() < limitAtMs + 2_000) {
    await sleep(100);
    const { body } = await operator.call("GET", `/rollouts/${service}`);
    state = JSON.parse(body).state ?? state;
  }
  const endedAtMs = performance.now();
  record(
    `v2 is ${state} after ${((endedAtMs - orderedAtMs) / 1_000).toFixed(2)} s`,
    { isShown: true },
  );
  if (state === "complete") {
    // "At `complete`, the old workers stop immediately, without draining."
    for (const worker of [...platform.workers]) {
      if (worker.version === "v1") platform.removeWorker(worker);
    }
  }
  await sleep(Math.max(0, limitAtMs - performance.now()) + 8_000);
  callers.stop();
  await sleep(2_700);

  // EXPOSURE, as it is written.
  const isInTime = ({ atMs }) => atMs >= orderedAtMs && atMs <= limitAtMs;
  const all = [...listRuns("v1"), ...listRuns("v2")].filter(isInTime);
  const exposed = listRuns("v2").filter(isInTime);
  const bad = listRuns("v2").filter(({ status }) => status === 500)
    .sort((left, right) => left.atMs - right.atMs);
  const fiftiethAtMs = bad[49]?.atMs ?? Infinity;
  const late = listRuns("v2").filter(({ atMs }) =>
    atMs > fiftiethAtMs + bounds.rollbackMs
  );
  const allowed = bounds.exposeShare * all.length + bounds.exposeSlack;
  const beforeCount = listRuns("v2").filter(({ atMs }) =>
    atMs >= orderedAtMs && atMs < endedAtMs
  ).length;
  const lost = callers.requests.filter(({ isUnsafe, answer }) =>
    isUnsafe && answer?.status === 500
  );
  record(
    `${beforeCount} requests reached v2 before it was ${state}; until the time ` +
      `limit ${exposed.length} of ${all.length}, allowed ${allowed.toFixed(1)}`,
    { isShown: true },
  );
  record(
    `${bad.length} bad answers of v2; ${late.length} requests reached it later ` +
      `than rollback_ms after its 50th bad answer`,
    { isShown: true },
  );
  record(`${lost.length} consignments were answered 500`, { isShown: true });
  const isBad = hasTrouble;
  return !isBad || (exposed.length <= allowed && late.length === 0);
});
