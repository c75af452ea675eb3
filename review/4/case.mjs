/**
 * A stream request crashes each model worker that begins to run it, and comes
 * again. Its prompt has no part that other requests share. With TROUBLE=0 the
 * same requests are sound.
 */
import process from "node:process";
import {
  bounds,
  createOperator,
  openRecord,
  runCase,
  sleep,
  startDeployment,
  startPlatform,
} from "../lib/deployment.mjs";
import {
  createEngines,
  createStreamDocument,
  requestStream,
} from "../lib/engines.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const record = openRecord(import.meta.url);
const zones = ["khangai-a", "khangai-b", "khangai-c"];
const streamsPerS = 6.5;
const startMs = 4_000;
const runMs = 30_000;
/** The request comes again with this interval, at any machine. */
const repeatIntervalMs = 2_000;
/** "The worker is back after some seconds." */
const downMs = 2_000;

runCase(async () => {
  const platform = await startPlatform({ record });
  const crashes = [];
  const arrivals = [];
  const { addEngine, crash } = createEngines({
    platform,
    record,
    spoil: ({ worker, head, id, prefillMs }) => {
      if (!head.startsWith("POST /letter/deadly ")) return false;
      arrivals.push({ id, atMs: performance.now() });
      if (!hasTrouble) return false;
      setTimeout(() => {
        if (worker.isDown) return;
        crashes.push(performance.now());
        record(`worker ${worker.id} crashes on ${id}`);
        crash(worker, downMs);
      }, prefillMs);
      return true;
    },
  });
  for (const zone of zones) {
    for (let count = 0; count < 3; count++) await addEngine(zone);
  }
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
  const accepted = await operator.call(
    "PUT",
    "/config",
    createStreamDocument(),
    { forMs: 10_000 },
  );
  if (accepted.status !== 200) throw new Error("no configuration accepted");
  await deployment.waitUntilReady();
  const addresses = deployment.entries.map(deployment.getFrontAddress);
  let number = 0;
  const sound = { sentCount: 0, wholeCount: 0 };
  const soundTimer = setInterval(
    () => void sendSound(),
    1_000 / streamsPerS,
  );
  await sleep(startMs);
  const deadlyTimer = setInterval(() => void sendDeadly(), repeatIntervalMs);
  await sleep(runMs);
  clearInterval(deadlyTimer);
  clearInterval(soundTimer);
  await sleep(26_000);

  // BUDGET, as it is written.
  const thirdAtMs = crashes[2] ?? Infinity;
  const firstIds = new Set(arrivals.slice(0, 1).map(({ id }) => id));
  const late = new Set(
    arrivals.filter(({ id, atMs }) =>
      !firstIds.has(id) && atMs > thirdAtMs + bounds.contactMs
    ).map(({ id }) => id),
  );
  record(
    `${crashes.length} crashes; ${late.size} retries reached workers later ` +
      "than contact_ms after the third",
    { isShown: true },
  );
  record(
    `${sound.wholeCount} of ${sound.sentCount} sound streams arrived whole`,
    { isShown: true },
  );
  return late.size <= 3;

  async function sendSound() {
    number += 1;
    sound.sentCount += 1;
    const own = number;
    const id = `s${String(own).padStart(5, "0")}`;
    const answer = await requestStream(addresses[own % addresses.length], {
      id,
      promptParts: `5c1e${own}:200,91bd${own}:8000`,
    });
    const isWhole = answer.status === 200 && answer.isComplete;
    if (isWhole) sound.wholeCount += 1;
    record(`caller ${id} letter: ${answer.status} ${answer.isComplete}`);
  }

  async function sendDeadly() {
    number += 1;
    const id = `d${String(number).padStart(5, "0")}`;
    const answer = await requestStream(addresses[number % addresses.length], {
      id,
      path: "/letter/deadly",
      promptParts: "dead01:8200",
    });
    record(`caller ${id} deadly letter: ${answer.status}`);
  }
});
