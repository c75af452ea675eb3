/**
 * A small deployment for the cases of this review: the project's own programs
 * as separate processes on loopback addresses, with the commands of the deploy
 * file and the settings that the platform renders from the project's template.
 */
import { spawn } from "node:child_process";
import {
  appendFileSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

export { sleep };

const repository = fileURLToPath(new URL("../..", import.meta.url));
const keyHex = "9f2c6b1d4e8a7053c1f6d29b8e4a7c30";
/** `DEPLOY.md`: a process that ends is started again after a short delay. */
const restartDelayMs = 300;

/** The bounds of the small site `tuul-sackhall`. */
export const bounds = {
  contactMs: 3_000,
  ackMs: 4_000,
  drainMs: 3_000,
  graceS: 8,
  configMs: 2_000,
  exposeShare: 0.1,
  exposeSlack: 50,
  rollbackMs: 5_000,
  recoveryS: 12,
};

/** Ends the run when `run.sh` is interrupted or takes too long. */
export function runCase(main, { maxMs = 115_000 } = {}) {
  const timer = setTimeout(() => {
    console.error("the case took too long");
    process.exit(2);
  }, maxMs);
  for (const name of ["SIGINT", "SIGTERM"]) {
    process.once(name, () => process.exit(2));
  }
  // The status of Node.js is 1 otherwise, as if the rule was broken.
  process.once("uncaughtException", (cause) => {
    console.error(cause);
    process.exit(2);
  });
  main().then(
    (isHeld) => process.exit(isHeld ? 0 : 1),
    (cause) => {
      console.error(cause);
      process.exit(2);
    },
  ).finally(() => clearTimeout(timer));
}

/** Writes lines to `record.txt` in the folder of the case. */
export function openRecord(caseUrl) {
  const path = fileURLToPath(new URL("record.txt", caseUrl));
  const startedAtMs = performance.now();
  writeFileSync(path, "");
  return (text, { isShown = false } = {}) => {
    const atS = ((performance.now() - startedAtMs) / 1_000).toFixed(3);
    appendFileSync(path, `${atS.padStart(8)} ${text}\n`);
    if (isShown) console.log(`${atS.padStart(8)} ${text}`);
  };
}

export function listen(server, host, port = 0) {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => resolve(server.address().port));
  });
}

async function arePortsFree(hosts, ports) {
  for (const host of hosts) {
    for (const port of ports) {
      const server = net.createServer();
      try {
        await listen(server, host, port);
      } catch {
        return false;
      } finally {
        server.close();
      }
    }
  }
  return true;
}

function getCommand(role) {
  const text = readFileSync(join(repository, "deploy/system.toml"), "utf8");
  const section = text.split(`[roles.${role}]`)[1] ?? "";
  const command = /^run = "(.*)"$/m.exec(section)?.[1];
  if (!command) throw new Error(`the deploy file has no command for ${role}`);
  return command.split(" ");
}

/**
 * Starts control and entry instances in the given zones. `upstreamList` is the
 * address of the platform's list.
 */
export async function startDeployment(
  {
    controlZones,
    entryZones,
    upstreamList,
    record,
    tolerated = 1,
    drainMs = bounds.drainMs,
  },
) {
  const folder = mkdtempSync(join(tmpdir(), "apricotyoke-review-"));
  const block = 20 + Math.floor(Math.random() * 200);
  const basePort = 20_000 + Math.floor(Math.random() * 10_000);
  const ports = {
    peer: basePort,
    control: basePort + 1,
    front: basePort + 2,
    ready: basePort + 3,
    metrics: 9_464,
  };
  const plan = (role, zones, third) =>
    zones.map((zone, index) => ({
      name: `${role}-${zone}-${index + 1}`,
      role,
      zone,
      host: `127.${block}.${third}.${index + 1}`,
      child: undefined,
      isKept: true,
      startCount: 0,
      ends: [],
    }));
  const controls = plan("control", controlZones, 1);
  const entries = plan("entry", entryZones, 2);
  const machines = [...controls, ...entries];
  const hosts = machines.map(({ host }) => host);
  if (!await arePortsFree(hosts, Object.values(ports))) {
    throw new Error("a port is in use");
  }
  const seeds = controls.slice(0, 3).map(({ host }) =>
    `${host}:${ports.control}`
  );
  let isEnding = false;
  const endAll = () => {
    isEnding = true;
    for (const { child } of machines) child?.kill("SIGKILL");
    rmSync(folder, { recursive: true, force: true });
  };
  process.once("exit", endAll);
  const deployment = {
    folder,
    ports,
    controls,
    entries,
    start,
    signal: (machine, name) => {
      record(`${name} to ${machine.name}`);
      machine.child?.kill(name);
    },
    waitUntilReady,
    getControlAddress: ({ host }) => ({ host, port: ports.control }),
    getFrontAddress: ({ host }) => ({ host, port: ports.front }),
    end: endAll,
  };
  for (const machine of machines) start(machine);
  return deployment;

  function writeSettings(machine) {
    const { name, role, host, zone } = machine;
    const isEntry = role === "entry";
    const dataFolder = join(folder, `${name}-data`);
    if (!isEntry) mkdirSync(dataFolder, { recursive: true });
    const path = join(folder, `${name}.json`);
    writeFileSync(
      path,
      JSON.stringify({
        role,
        instanceName: name,
        host,
        domainId: zone,
        peerPort: ports.peer,
        peerKeys: [{ keyId: "deployment", keyHex }],
        seeds,
        isFirstStart: machine.startCount === 0,
        callers: isEntry ? `${host}:${ports.front}` : null,
        readiness: isEntry ? `${host}:${ports.ready}` : null,
        operators: isEntry ? null : `${host}:${ports.control}`,
        metricsPort: ports.metrics,
        dataFolder: isEntry ? null : dataFolder,
        toleratedLosses: tolerated,
        upstreamList: { address: upstreamList },
        bounds: {
          drainMs,
          graceS: bounds.graceS,
          retryRatio: 0.8,
          retrySlack: 150,
        },
      }),
    );
    return path;
  }

  function start(machine) {
    const path = writeSettings(machine);
    machine.startCount += 1;
    const log = openSync(join(folder, `${machine.name}.log`), "a");
    const [program, ...args] = getCommand(machine.role);
    const child = spawn(program, args, {
      cwd: repository,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        APRICOTYOKE_CONFIG: path,
      },
      stdio: ["ignore", log, log],
    });
    machine.child = child;
    child.once("exit", (code, name) => {
      if (isEnding) return;
      machine.ends.push({ code, name, atMs: performance.now() });
      record(`${machine.name} ended: status ${code}, signal ${name}`);
      if (machine.child !== child || !machine.isKept) return;
      setTimeout(() => {
        if (!isEnding && machine.child === child) start(machine);
      }, restartDelayMs);
    });
  }

  async function waitUntilReady({ timeoutMs = 15_000 } = {}) {
    const endAtMs = performance.now() + timeoutMs;
    for (const { host, name } of entries) {
      while (true) {
        const { status } = await send({ host, port: ports.ready }, {
          path: "/ready",
          timeoutMs: 500,
        });
        if (status === 200) break;
        if (performance.now() > endAtMs) throw new Error(`${name} not ready`);
        await sleep(100);
      }
    }
  }
}

/** Sends one request on a channel of its own; never rejects. */
export function send(
  { host, port },
  {
    method = "GET",
    path,
    headers = {},
    body,
    timeoutMs = 2_000,
    agent = false,
  },
) {
  return new Promise((resolve) => {
    const chunks = [];
    let status = 0;
    let seal;
    let isGivenUp = false;
    const finish = (isComplete) => {
      clearTimeout(timer);
      resolve({
        status,
        seal,
        isComplete,
        isGivenUp,
        body: Buffer.concat(chunks).toString(),
      });
    };
    const request = http.request(
      { host, port, method, path, headers, agent },
      (response) => {
        status = response.statusCode;
        seal = response.headers["response-seal"];
        response.on("data", (chunk) => chunks.push(chunk));
        response.on("end", () => finish(response.complete));
        response.on("error", () => finish(false));
      },
    );
    const timer = setTimeout(() => {
      isGivenUp = true;
      request.destroy();
    }, timeoutMs);
    request.on("error", () => finish(false));
    request.on("close", () => finish(false));
    request.end(body);
  });
}

/**
 * The operator: sends a call to one control address after the other until it
 * gets a clear response, as `PROTOCOL.md` says.
 */
export function createOperator({ addresses, record }) {
  let next = 0;
  return { call, callOnce };

  async function callOnce(address, method, path, document, timeoutMs = 1_000) {
    const body = document === undefined ? undefined : JSON.stringify(document);
    const answer = await send(address, {
      method,
      path,
      headers: body === undefined ? {} : {
        "Content-Type": "application/json",
        "Content-Length": Buffer.byteLength(body),
      },
      body,
      timeoutMs,
    });
    const sent = body === undefined || body.length > 200
      ? `${body?.length ?? 0} bytes`
      : body;
    const got = answer.body.length > 200
      ? `${answer.body.length} bytes`
      : answer.body;
    record(
      `operator ${method} ${path} ${sent} at ${address.host}: ` +
        `${answer.status || "no response"} ${got}`,
    );
    return answer;
  }

  async function call(
    method,
    path,
    document,
    { forMs = bounds.ackMs, timeoutMs = 1_000 } = {},
  ) {
    const endAtMs = performance.now() + forMs;
    let delayMs = 100;
    while (true) {
      const address = addresses[next++ % addresses.length];
      const answer = await callOnce(address, method, path, document, timeoutMs);
      const isClear = answer.status >= 200 && answer.status < 500 &&
        answer.status !== 408 && answer.status !== 429;
      if (isClear || performance.now() > endAtMs) return answer;
      await sleep(delayMs);
      delayMs = Math.min(1_000, delayMs * 2);
    }
  }
}

/**
 * The platform's list of workers, and the workers of a plain service, which
 * behave as `PROTOCOL.md` says.
 */
export async function startPlatform({ host = "127.0.0.1", record }) {
  const workers = [];
  let number = 0;
  const list = http.createServer((_request, response) => {
    const instances = workers.filter(({ isListed }) => isListed).map((
      entry,
    ) => ({
      id: entry.id,
      service: entry.service,
      addr: `${host}:${entry.port}`,
      zone: entry.zone,
      version: entry.version,
      slots: entry.slots,
      state: entry.isDraining ? "draining" : "ready",
      cold_left_ms: 0,
    }));
    const body = JSON.stringify({ instances, next: null });
    response.writeHead(200, {
      "Content-Type": "application/json",
      "Content-Length": Buffer.byteLength(body),
    });
    response.end(body);
  });
  const listPort = await listen(list, host);
  return { address: `${host}:${listPort}`, workers, addWorker, removeWorker };

  /** `run` answers a request: `{ status, afterMs }`. */
  async function addWorker({ service, zone, version = "v1", slots = 6, run }) {
    number += 1;
    const worker = {
      id: `i-${number}`,
      service,
      zone,
      version,
      slots,
      port: 0,
      isListed: true,
      isDraining: false,
      running: 0,
      runs: [],
    };
    const server = http.createServer((request, response) => {
      const chunks = [];
      request.on("data", (chunk) => chunks.push(chunk));
      request.on("end", () => answer(worker, request, response, run));
    });
    // Idle channels live longer than the system keeps them.
    server.keepAliveTimeout = 30_000;
    worker.server = server;
    worker.port = await listen(server, host);
    workers.push(worker);
    return worker;
  }

  function answer(worker, request, response, run) {
    const id = String(request.headers["request-id"] ?? "");
    const respond = (status, headers, body = "") => {
      response.writeHead(status, {
        "Request-Id": id,
        "Server-Load": `${worker.running},0,${worker.slots}`,
        "Content-Length": Buffer.byteLength(body),
        ...headers,
      });
      response.end(body);
    };
    if (request.headers["target-instance"] !== worker.id) {
      respond(421, { "Not-Executed": "1", "Instance-Id": worker.id });
      return;
    }
    if (worker.running >= worker.slots * 5) {
      respond(503, { "Not-Executed": "1" });
      return;
    }
    worker.running += 1;
    const entry = { id, atMs: performance.now(), status: 0 };
    worker.runs.push(entry);
    const { status, afterMs, isBad = false, headers = {} } = run(
      request,
      worker,
    );
    entry.isBad = isBad;
    setTimeout(() => {
      worker.running -= 1;
      entry.status = status;
      record(`worker ${worker.id} ${worker.version} ran ${id}: ${status}`);
      const seal = { "Response-Seal": `seal.${worker.id}.${id}` };
      respond(status, { ...seal, ...headers }, "done");
    }, afterMs);
  }

  function removeWorker(worker) {
    worker.isListed = false;
    worker.server.close();
    worker.server.closeAllConnections();
  }
}

/** A configuration document with one plain service and its two routes. */
export function createDocument({ version, service, routeCount = 0 }) {
  const route = (name, prefix, kind, attempts) => ({
    name,
    host: "sacks.example",
    path_prefix: prefix,
    kind,
    timeout_ms: 1_200,
    slo_ms: 150,
    priority: 2,
    service,
    attempts,
    public: false,
    sticky: false,
    resumable: false,
  });
  const more = Array.from(
    { length: routeCount },
    (_, index) => route(`r-${index}`, `/more${index}/`, "safe", 2),
  );
  return {
    version,
    routes: [
      route("r-consign", "/consign/", "unsafe", 1),
      route("r-balance", "/balance/", "safe", 2),
      ...more,
    ],
    services: [{
      name: service,
      health_path: "/healthz",
      max_conns: 96,
      protocol: "h1",
      tls: false,
    }],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: "guild", api_keys: ["key-guild-1"], priority: 1 }],
  };
}

/** Callers of the two plain routes at a steady rate. */
export function startCallers({ addresses, perS, unsafeShare = 0.7, record }) {
  const requests = [];
  let number = 0;
  const timer = setInterval(() => void call(), 1_000 / perS);
  return { requests, stop: () => clearInterval(timer) };

  async function call() {
    number += 1;
    const isUnsafe = Math.random() < unsafeShare;
    const id = `q${String(number).padStart(6, "0")}`;
    const address = addresses[number % addresses.length];
    const entry = { id, isUnsafe, sentAtMs: performance.now(), answer: null };
    requests.push(entry);
    entry.answer = await send(address, {
      method: isUnsafe ? "POST" : "GET",
      path: isUnsafe ? "/consign/2f" : "/balance/2f",
      headers: {
        Host: "sacks.example",
        "Request-Id": id,
        "Deadline-Ms": "2500",
        "Api-Key": "key-guild-1",
        ...(isUnsafe ? { "Content-Length": 4 } : {}),
      },
      body: isUnsafe ? "sack" : undefined,
      timeoutMs: 2_600,
    });
    entry.endedAtMs = performance.now();
    record(
      `caller ${id} ${isUnsafe ? "consign" : "balance"}: ` +
        `${entry.answer.status || "no answer"}`,
    );
  }
}
