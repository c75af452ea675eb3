/**
 * The bad model worker, in a thread of its own, so that the callers and the other
 * stand-ins don't slow it down.
 */
import { parentPort, workerData } from "node:worker_threads";
import { createEngines } from "../lib/engines.mjs";

/** A machine's link has 1,000 Mbit/s; the worker sends at most 800 of them. */
const floodBytesPerMs = 100_000;
const floodIntervalMs = 5;
const { zone, spoiledCount } = workerData;
const platform = { workers: [] };
let remainingCount = 0;
const record = (text) => parentPort.postMessage({ text });
const { addEngine } = createEngines({
  platform,
  record,
  spoil: ({ socket, id }) => {
    if (remainingCount === 0) return false;
    remainingCount -= 1;
    flood(socket, id);
    return true;
  },
});
await addEngine(zone);
const [{ id, service, version, slots, port }] = platform.workers;
parentPort.postMessage({ listed: { id, service, version, slots, port, zone } });
parentPort.on("message", () => remainingCount = spoiledCount);

function flood(socket, requestId) {
  parentPort.postMessage({
    text: `worker ${id} sends interim responses to ${requestId}`,
    isSpoiled: true,
  });
  const interim = "HTTP/1.1 102 Processing\r\n\r\n";
  const bytes = Buffer.from(
    interim.repeat(floodBytesPerMs * floodIntervalMs / interim.length),
  );
  const timer = setInterval(() => {
    if (socket.writableLength < 4 * bytes.length) socket.write(bytes);
  }, floodIntervalMs);
  socket.once("close", () => {
    clearInterval(timer);
    record(`the channel of ${requestId} is closed`);
  });
}
