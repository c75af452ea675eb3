/**
 * A model worker answers a few requests with interim responses without end: bytes
 * that are no answer, in a head, until the caller closes the channel. With
 * TROUBLE=0 it answers all requests soundly.
 */
import net from "node:net";
import process from "node:process";
import {
  createDocument,
  createOperator,
  listen,
  openRecord,
  runCase,
  send,
  sleep,
  startCallers,
  startDeployment,
  startPlatform,
} from "../lib/deployment.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const record = openRecord(import.meta.url);
const zones = ["khangai-a", "khangai-b", "khangai-c"];
/** Requests a second of the plain kinds, and streams a second. */
const perS = 58;
const streamsPerS = 6.5;
const runMs = 40_000;
/** Requests that the bad worker spoils, of about 260 streams. */
const spoiledCount = 3;
/** A machine's link has 1,000 Mbit/s; the worker sends at most 800 of them. */
const floodBytesPerMs = 100_000;
const floodIntervalMs = 5;
const eventCount = 130;
const eventIntervalMs = 20;
const prefillMs = 1_000;
/** The time-out of the routes of the plain kinds. */
const timeoutMs = 1_200;

runCase(async () => {
  const platform = await startPlatform({ record });
  let remainingCount = hasTrouble ? spoiledCount : 0;
  for (const zone of zones) {
    await platform.addWorker({
      service: "sack-ledger",
      zone,
      run: () => ({ status: 200, afterMs: 30 + Math.random() * 25 }),
    });
    for (let count = 0; count < 3; count++) await addEngine(zone);
  }
  const badId = platform.workers.find(({ isEngine }) => isEngine).id;
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
  const accepted = await operator.call("PUT", "/config", createTable(), {
    forMs: 10_000,
  });
  if (accepted.status !== 200) throw new Error("no configuration accepted");
  await deployment.waitUntilReady();
  const addresses = deployment.entries.map(deployment.getFrontAddress);
  const callers = startCallers({ addresses, perS, record });
  let streamNumber = 0;
  const streams = [];
  const streamTimer = setInterval(
    () => streams.push(requestStream()),
    1_000 / streamsPerS,
  );
  await sleep(runMs);
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
      `sent, ${hasTrouble ? spoiledCount - remainingCount : 0} spoiled`,
    { isShown: true },
  );
  for (const machine of [...deployment.controls, ...deployment.entries]) {
    if (machine.ends.length > 0) throw new Error(`${machine.name} ended`);
  }
  return without.length * 2 <= unanswered.length;

  async function requestStream() {
    streamNumber += 1;
    const id = `s${String(streamNumber).padStart(5, "0")}`;
    const answer = await send(addresses[streamNumber % addresses.length], {
      method: "POST",
      path: "/letter/2f",
      headers: {
        Host: "sacks.example",
        "Request-Id": id,
        "Deadline-Ms": "25000",
        "Api-Key": "key-guild-1",
        Model: "m",
        "Token-Count": "8200,1200",
        "Prompt-Prefix": `5c1e${streamNumber}:200,91bd${streamNumber}:8000`,
        "Content-Length": 2,
      },
      body: "{}",
      timeoutMs: 25_500,
    });
    record(`caller ${id} letter: ${answer.status} ${answer.isComplete}`);
  }

  async function addEngine(zone) {
    const worker = {
      id: `e-${platform.workers.length + 1}`,
      service: "sack-scribe",
      zone,
      version: "v1",
      slots: 12,
      port: 0,
      isListed: true,
      isDraining: false,
      isEngine: true,
      runs: [],
    };
    platform.workers.push(worker);
    worker.port = await listen(
      net.createServer((socket) => serve(worker, socket)),
      "127.0.0.1",
    );
  }

  function serve(worker, socket) {
    let text = "";
    socket.on("error", () => {});
    socket.on("data", (chunk) => {
      text += chunk.toString("latin1");
      while (true) {
        const end = text.indexOf("\r\n\r\n");
        if (end < 0) return;
        const head = text.slice(0, end);
        const bodyBytes = Number(getField(head, "Content-Length") ?? 0);
        if (text.length < end + 4 + bodyBytes) return;
        text = text.slice(end + 4 + bodyBytes);
        answer(worker, socket, head);
      }
    });
  }

  function answer(worker, socket, head) {
    const id = getField(head, "Request-Id") ?? "";
    if (head.startsWith("GET /report")) {
      writeWhole(socket, "200 OK", [], {
        stage: "both",
        models: [{ name: "m", version: 1, adapters: [] }],
        busy: false,
        seq: 1,
        waiting: 0,
        running: 0,
        kv_used: 0,
        kv_total: 88_000,
        handles: 0,
      });
      return;
    }
    if (getField(head, "Target-Instance") !== worker.id) {
      writeWhole(socket, "421 Misdirected Request", [
        `Request-Id: ${id}`,
        "Not-Executed: 1",
        `Instance-Id: ${worker.id}`,
      ], {});
      return;
    }
    if (worker.id === badId && remainingCount > 0 && streamNumber > 40) {
      remainingCount -= 1;
      flood(socket, id);
      return;
    }
    writeEvents(worker, socket, id, getField(head, "Last-Event-Id"));
  }

  function writeEvents(worker, socket, id, lastEventId) {
    record(`worker ${worker.id} runs ${id} after ${lastEventId ?? 0}`);
    let eventId = Number(lastEventId ?? 0);
    let timer = setTimeout(() => {
      socket.write(
        "HTTP/1.1 200 OK\r\n" +
          `Request-Id: ${id}\r\nResponse-Seal: seal.${worker.id}.${id}\r\n` +
          "Content-Type: text/event-stream\r\n" +
          "Transfer-Encoding: chunked\r\n\r\n",
      );
      timer = setInterval(writeEvent, eventIntervalMs);
    }, prefillMs);
    socket.once("close", () => clearInterval(timer));

    function writeEvent() {
      if (eventId >= eventCount) {
        clearInterval(timer);
        if (!socket.destroyed) socket.write("0\r\n\r\n");
        return;
      }
      eventId += 1;
      const event = `id: ${eventId}\ndata: token ${eventId}\n\n`;
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
    }
  }

  function flood(socket, id) {
    record(`worker ${badId} sends interim responses to ${id}`, {
      isShown: true,
    });
    const interim = "HTTP/1.1 102 Processing\r\n\r\n";
    const bytes = Buffer.from(
      interim.repeat(floodBytesPerMs * floodIntervalMs / interim.length),
    );
    const timer = setInterval(() => {
      if (socket.writableLength < bytes.length) socket.write(bytes);
    }, floodIntervalMs);
    socket.once("close", () => {
      clearInterval(timer);
      record(`the channel of ${id} is closed`, { isShown: true });
    });
  }
});

function getField(head, name) {
  return new RegExp(`^${name}:(.*)$`, "im").exec(head)?.[1]?.trim();
}

function writeWhole(socket, status, fields, document) {
  const body = JSON.stringify(document);
  socket.write(
    [
      `HTTP/1.1 ${status}`,
      ...fields,
      "Content-Type: application/json",
      `Content-Length: ${body.length}`,
      "",
      body,
    ].join("\r\n"),
  );
}

/** The plain routes, and one of streams. */
function createTable() {
  const table = createDocument({ version: 3, service: "sack-ledger" });
  table.routes.push({
    name: "r-letter",
    host: "sacks.example",
    path_prefix: "/letter/",
    kind: "streaming",
    timeout_ms: 25_000,
    slo_ms: 4_500,
    priority: 1,
    service: "sack-scribe",
    attempts: 5,
    public: false,
    sticky: true,
    resumable: true,
    gap_target_ms: 700,
  });
  table.services.push({
    name: "sack-scribe",
    health_path: "/healthz",
    max_conns: 150,
    protocol: "h1",
    tls: false,
    engine: {
      slots: 12,
      kv_tokens: 88_000,
      kv_token_bytes: 163_840,
      link_mbps: 260_000,
      moves: false,
      backups: false,
      stride: 9,
      most: 12,
      pin_ms: 4_000,
      hold_ms: 2_000,
      handle_s: 4,
      models: [{ name: "m" }],
    },
  });
  return table;
}
