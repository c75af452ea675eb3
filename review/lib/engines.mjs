/**
 * Model workers that write streams of numbered events as `PROTOCOL.md` says,
 * without copies of their memory, and the configuration of their service. A case
 * may spoil an answer with `spoil`, which returns whether it has taken over.
 */
import net from "node:net";
import { createDocument, listen, send } from "./deployment.mjs";

const eventCount = 130;
const eventIntervalMs = 20;
const prefillMs = 1_000;

export function createEngines({ platform, record, spoil }) {
  return { addEngine, crash };

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
      isDown: false,
      bornMs: Date.now(),
      runs: [],
      sockets: new Set(),
    };
    platform.workers.push(worker);
    worker.server = net.createServer((socket) => serve(worker, socket));
    worker.port = await listen(worker.server, "127.0.0.1");
  }

  /** Ends the worker; it starts again under the id that it had. */
  function crash(worker, downMs) {
    if (worker.isDown) return;
    worker.isDown = true;
    worker.server.close();
    for (const socket of worker.sockets) socket.resetAndDestroy();
    setTimeout(() => {
      worker.server.listen(worker.port, "127.0.0.1");
      worker.bornMs = Date.now();
      worker.isDown = false;
    }, downMs);
  }

  function serve(worker, socket) {
    let text = "";
    worker.sockets.add(socket);
    socket.once("close", () => worker.sockets.delete(socket));
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
        running: worker.sockets.size - 1,
        kv_used: 0,
        kv_total: 88_000,
        handles: 0,
        born: worker.bornMs,
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
    if (spoil({ worker, socket, head, id, prefillMs })) return;
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
    const stop = () => clearInterval(timer);
    socket.once("close", stop);

    function writeEvent() {
      if (eventId >= eventCount) {
        stop();
        socket.off("close", stop);
        if (!socket.destroyed) socket.write("0\r\n\r\n");
        return;
      }
      eventId += 1;
      const event = `id: ${eventId}\ndata: token ${eventId}\n\n`;
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
    }
  }
}

/** Sends a stream request on a channel of its own. */
export async function requestStream(
  address,
  { id, path = "/letter/2f", promptParts },
) {
  return await send(address, {
    method: "POST",
    path,
    headers: {
      Host: "sacks.example",
      "Request-Id": id,
      "Deadline-Ms": "25000",
      "Api-Key": "key-guild-1",
      Model: "m",
      "Token-Count": "8200,1200",
      "Prompt-Prefix": promptParts,
      "Content-Length": 2,
    },
    body: "{}",
    timeoutMs: 25_500,
  });
}

/** The plain routes, and one of streams. */
export function createStreamDocument() {
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
