/**
 * A model worker answers a few requests with interim responses without end: bytes
 * that are no answer, in a head, until the caller closes the channel. With
 * TROUBLE=0 it answers all requests soundly.
 */
import process from "node:process";
import { Worker } from "node:worker_threads";
import {
  createOperator,
  openRecord,
  runCase,
  sleep,
  startCallers,
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
/** Requests a second of the plain kinds, and streams a second. */
const perS = 58;
const streamsPerS = 6.5;
const runMs = 40_000;
/** Requests that the bad worker spoils, of about 260 streams. */
const spoiledCount = 5;
const soundMs = 6_000;
/** The time-out of the routes of the plain kinds. */
const timeoutMs = 1_200;

runCase(async () => {
  const platform = await startPlatform({ record });
  let spoiledSoFar = 0;
  let streamNumber = 0;
  const { addEngine } = createEngines({
    platform,
    record,
    spoil: () => false,
  });
  const badWorker = await startBadWorker();
  for (const zone of zones) {
    await platform.addWorker({
      service: "sack-ledger",
      zone,
      run: () => ({ status: 200, afterMs: 30 + Math.random() * 25 }),
    });
    const ownCount = zone === zones[0] ? 2 : 3;
    for (let count = 0; count < ownCount; count++) await addEngine(zone);
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
  const callers = startCallers({ addresses, perS, record });
  const streamTimer = setInterval(
    () => void startStream(),
    1_000 / streamsPerS,
  );
  await sleep(soundMs);
  if (hasTrouble) badWorker.postMessage("spoil");
  await sleep(runMs - soundMs);
  clearInterval(streamTimer);
  callers.stop();
  await sleep(3_000);

  // CONFIG, as it is written, for the plain requests.
  const unanswered = callers.requests.filter(({ sentAtMs, endedAtMs }) =>
    endedAtMs - sentAtMs >= timeoutMs
  );
  const without = unanswered.filter(({ answer, sentAtMs, endedAtMs }) =>
    answer.status === 0 || endedAtMs - sentAtMs > timeoutMs + 500
  );
  record(
    `${callers.requests.length} plain requests sent; ${unanswered.length} ` +
      `unanswered at timeout_ms, ${without.length} of them half a second later`,
    { isShown: true },
  );
  const silent = callers.requests.filter(({ answer }) => answer.status === 0);
  record(
    `${silent.length} plain requests never answered; ${streamNumber} streams ` +
      `sent, ${spoiledSoFar} spoiled`,
    { isShown: true },
  );
  for (const machine of [...deployment.controls, ...deployment.entries]) {
    if (machine.ends.length > 0) throw new Error(`${machine.name} ended`);
  }
  return without.length * 2 <= unanswered.length;

  async function startStream() {
    streamNumber += 1;
    const number = streamNumber;
    const id = `s${String(number).padStart(5, "0")}`;
    const answer = await requestStream(addresses[number % addresses.length], {
      id,
      promptParts: `5c1e${number}:200,91bd${number}:8000`,
    });
    record(`caller ${id} letter: ${answer.status} ${answer.isComplete}`);
  }

  function startBadWorker() {
    const thread = new Worker(new URL("bad_worker.mjs", import.meta.url), {
      workerData: { zone: zones[0], spoiledCount },
    });
    return new Promise((resolve, reject) => {
      thread.once("error", reject);
      thread.on("message", ({ text, isSpoiled, listed }) => {
        if (text) record(text, { isShown: isSpoiled });
        if (isSpoiled) spoiledSoFar += 1;
        if (!listed) return;
        platform.workers.push({
          ...listed,
          isListed: true,
          isDraining: false,
          runs: [],
        });
        resolve(thread);
      });
    });
  }
});
