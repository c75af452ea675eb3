/**
 * An order of a rollout reaches a control instance that stands still. The
 * operator gets no response, sends the order to another one, and later orders
 * the next version. When the instance goes on, it applies the first order once
 * more. With TROUBLE=0 no instance stands still.
 */
import process from "node:process";
import {
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
const perS = 58;
const durationS = 3;
/** The longest freeze of a core machine in the site file. */
const freezeMs = 7_500;

runCase(async () => {
  const platform = await startPlatform({ record });
  const deployment = await startDeployment({
    controlZones: zones,
    entryZones: zones,
    upstreamList: platform.address,
    record,
  });
  const addresses = deployment.controls.map(deployment.getControlAddress);
  const operator = createOperator({ addresses, record });
  const addVersion = async (version) => {
    for (const zone of zones) {
      await platform.addWorker({
        service,
        zone,
        version,
        run: () => ({ status: 200, afterMs: 30 + Math.random() * 25 }),
      });
    }
  };
  /** At `complete` the old workers stop. */
  const removeOthers = (kept) => {
    for (const worker of platform.workers) {
      if (worker.isListed && worker.version !== kept) {
        platform.removeWorker(worker);
      }
    }
  };
  await addVersion("v1");
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

  // The fourth machine is no seed and never leads before it has caught up.
  const frozen = deployment.controls.at(-1);
  const running = createOperator({ addresses: addresses.slice(0, -1), record });
  const order = (target) => ({ service, target, duration_s: durationS });
  await addVersion("v2");
  const frozenAtMs = performance.now();
  if (hasTrouble) deployment.signal(frozen, "SIGSTOP");
  const firstTry = await operator.callOnce(
    addresses.at(-1),
    "POST",
    "/rollouts",
    order("v2"),
  );
  if (firstTry.status !== 200) {
    await running.call("POST", "/rollouts", order("v2"));
  }
  await waitForEnd("v2");
  removeOthers("v2");
  await addVersion("v3");
  const second = await running.call("POST", "/rollouts", order("v3"));
  if (second.status !== 200) throw new Error("the second order was refused");
  await waitForEnd("v3");
  removeOthers("v3");
  const restMs = freezeMs - (performance.now() - frozenAtMs);
  record(`v3 is complete ${Math.round(restMs)} ms before the freeze ends`, {
    isShown: true,
  });
  if (restMs < 0) throw new Error("the moves took longer than the freeze");
  await sleep(restMs);
  if (hasTrouble) deployment.signal(frozen, "SIGCONT");
  await sleep(4_000);

  // The final fault: all processes are killed and are back within a second.
  for (const machine of [...deployment.controls, ...deployment.entries]) {
    deployment.signal(machine, "SIGKILL");
  }
  await sleep(4_000);
  const read = await operator.call("GET", `/rollouts/${service}`, undefined, {
    forMs: 10_000,
  });
  callers.stop();
  await sleep(2_700);
  record(`acknowledged last: v3, complete; read at the end: ${read.body}`, {
    isShown: true,
  });
  if (read.status !== 200) throw new Error("no response at the end");
  const { state, target } = JSON.parse(read.body);
  return target === "v3" && state === "complete";

  async function waitForEnd(target) {
    while (true) {
      const { body } = await running.call("GET", `/rollouts/${service}`);
      const got = JSON.parse(body);
      if (got.target === target && got.state === "complete") return;
      if (got.state === "rolled_back") throw new Error(`${target} rolled back`);
      await sleep(100);
    }
  }
});
