/**
 * A small deployment for the scripts of this review: control and entry instances
 * as separate processes, started with the commands of the deploy file, and
 * stand-ins for the platform's list and for application servers. All addresses
 * are loopback addresses; each instance has one of its own.
 */
import { spawn } from "node:child_process";
import {
  mkdirSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import http from "node:http";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const repository = join(dirname(fileURLToPath(import.meta.url)), "../..");
export const ports = {
  peer: 7200,
  operators: 8748,
  callers: 8740,
  readiness: 8749,
};
export const hostName = "ficu95.example";
export const apiKey = "xd9dnn2ctnfzs989anu6";
const startTimeoutMs = 20_000;

/** Writes lines with the time since the start to `record.txt` of the case. */
export function createRecord(path) {
  const startedAtMs = performance.now();
  const lines = [];
  return {
    add: (text) => {
      const at = ((performance.now() - startedAtMs) / 1_000).toFixed(3);
      lines.push(`${at.padStart(8)} ${text}`);
    },
    save: () => writeFileSync(path, lines.join("\n") + "\n"),
  };
}

/** The command of a role as the deploy file has it. */
function readCommand(role) {
  const text = readFileSync(join(repository, "deploy/system.toml"), "utf8");
  const section = text.split(`[roles.${role}]`)[1].split("[roles.")[0];
  return /^run = "(.*)"$/m.exec(section)[1].split(" ");
}

/**
 * `domains` are the failure domains of the control instances, one each, and
 * `entryDomains` those of the entry instances.
 */
export function createDeployment({ record, domains, entryDomains }) {
  const folder = mkdtempSync(join(tmpdir(), "apricotyoke-review-"));
  const network = `127.${30 + process.pid % 180}.${
    1 + (process.pid >> 8) % 200
  }`;
  const instances = [];
  const closers = [];
  const controlHosts = domains.map((_, index) => `${network}.${10 + index}`);
  const listHost = `${network}.250`;
  const killAll = () => {
    for (const { child } of instances) child?.kill("SIGKILL");
  };
  process.once("exit", killAll);
  for (const signal of ["SIGINT", "SIGTERM"]) {
    process.once(signal, () => process.exit(2));
  }
  let listed = [];
  /** Requests that each server ran. */
  const ranCounts = new Map();
  const list = http.createServer((_request, response) => {
    response.setHeader("Content-Type", "application/json");
    response.end(JSON.stringify({ instances: listed, next: null }));
  });
  return {
    folder,
    network,
    instances,
    start,
    startInstance,
    addServer,
    end,
    getControls: () => instances.filter(({ role }) => role === "control"),
    getEntries: () => instances.filter(({ role }) => role === "entry"),
  };

  async function start() {
    await listen(list, listHost);
    domains.forEach((domain, index) =>
      createInstance("control", domain, controlHosts[index])
    );
    entryDomains.forEach((domain, index) =>
      createInstance("entry", domain, `${network}.${100 + index}`)
    );
    for (const instance of instances) startInstance(instance);
  }

  function createInstance(role, domain, host) {
    const name = `${role}-${domain}-${host.split(".")[3]}`;
    instances.push({
      name,
      role,
      domain,
      host,
      child: undefined,
      startCount: 0,
      exits: [],
    });
  }

  function startInstance(instance) {
    const { name, role, host, domain } = instance;
    const dataFolder = join(folder, `${name}-data`);
    mkdirSync(dataFolder, { recursive: true });
    const isEntry = role === "entry";
    const settingsPath = join(folder, `${name}.json`);
    const settings = {
      role,
      instanceName: name,
      host,
      domainId: domain,
      peerPort: ports.peer,
      peerKeys: [{
        keyId: "deployment",
        keyHex: "9f2c6b1d4e8a7053c1f6d29b8e4a7c30",
      }],
      seeds: controlHosts.slice(0, 3).map((seed) =>
        `${seed}:${ports.operators}`
      ),
      isFirstStart: instance.startCount === 0,
      callers: isEntry ? `${host}:${ports.callers}` : null,
      readiness: isEntry ? `${host}:${ports.readiness}` : null,
      operators: isEntry ? null : `${host}:${ports.operators}`,
      metricsPort: 9464,
      dataFolder: isEntry ? null : dataFolder,
      toleratedLosses: 1,
      upstreamList: { address: `${listHost}:${list.address().port}` },
      bounds: { drainMs: 3_000, graceS: 8, retryRatio: 0.8, retrySlack: 150 },
    };
    writeFileSync(settingsPath, JSON.stringify(settings));
    const log = openSync(join(folder, `${name}.log`), "a");
    const [program, ...words] = readCommand(role);
    const child = spawn(program, words, {
      cwd: repository,
      env: { PATH: process.env.PATH, APRICOTYOKE_CONFIG: settingsPath },
      stdio: ["ignore", log, log],
    });
    instance.child = child;
    instance.startCount += 1;
    child.once("exit", (code, signal) => {
      if (instance.child === child) instance.child = undefined;
      instance.exits.push({ code, signal });
      record.add(`${name} ended: status ${code}, signal ${signal}`);
    });
  }

  /** Starts an application server and lists it. */
  async function addServer({ id, service, domain, handle, slots = 6 }) {
    const host = `${network}.${200 + listed.length}`;
    const server = http.createServer((request, response) => {
      const chunks = [];
      request.on("data", (chunk) => chunks.push(chunk));
      request.on("error", () => {});
      request.on("end", () => {
        const target = request.headers["target-instance"];
        if (target !== undefined && target !== id) {
          response.writeHead(421, { "Instance-Id": id });
          response.end();
          return;
        }
        ranCounts.set(id, ranCounts.get(id) + 1);
        handle({ request, response, body: Buffer.concat(chunks), id });
      });
    });
    await listen(server, host);
    ranCounts.set(id, 0);
    listed = [...listed, {
      id,
      service,
      addr: `${host}:${server.address().port}`,
      zone: domain,
      version: "v1",
      slots,
      state: "ready",
      cold_left_ms: 0,
    }];
    return server;
  }

  async function listen(server, host) {
    await new Promise((resolve) => server.listen(0, host, resolve));
    closers.push(() => {
      server.close();
      server.closeAllConnections();
    });
  }

  async function end() {
    for (const [id, count] of ranCounts) {
      record.add(`server ${id} ran ${count} requests`);
    }
    await Promise.all(instances.map(async ({ child }) => {
      if (!child) return;
      const ended = new Promise((resolve) => child.once("exit", resolve));
      child.kill("SIGCONT");
      child.kill("SIGKILL");
      await ended;
    }));
    for (const close of closers) close();
    if (!process.env.KEEP_FOLDER) {
      rmSync(folder, { recursive: true, force: true });
    }
  }
}

/** Answers a request as a sound application server does. */
export function answerSoundly({ request, response }, body = "whole") {
  response.writeHead(200, {
    "Request-Id": request.headers["request-id"] ?? "",
    "Response-Seal": "3e1b.07.5a2.600.0.c9f2a4d1",
    "Content-Length": Buffer.byteLength(body),
  });
  response.end(body);
}

/** Sends a request; resolves with the status, 0 if there was no answer. */
export function send(
  { host, port, method = "GET", path, headers = {}, body, timeoutMs, agent },
) {
  return new Promise((resolve) => {
    let isSettled = false;
    const settle = (result) => {
      if (isSettled) return;
      isSettled = true;
      clearTimeout(timer);
      resolve(result);
    };
    const request = http.request({
      host,
      port,
      method,
      path,
      headers: body === undefined
        ? headers
        : { ...headers, "Content-Length": Buffer.byteLength(body) },
      agent: agent ?? false,
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => settle({ status: 0, text: "" }));
      response.on("end", () =>
        settle({
          status: response.complete ? response.statusCode : 0,
          text: Buffer.concat(chunks).toString("utf8"),
          headers: response.headers,
        }));
    });
    const timer = setTimeout(() => {
      request.destroy();
      settle({ status: 0, text: "" });
    }, timeoutMs);
    request.on("error", () => settle({ status: 0, text: "" }));
    request.end(body);
  });
}

/** The operator: tries one control instance after another until one is clear. */
export function createOperator({ deployment, record, attemptMs = 1_000 }) {
  let next = 0;
  return { submit, read };

  async function submit(document, limitMs) {
    const { version } = document;
    const body = JSON.stringify(document);
    const sentAtMs = performance.now();
    record.add(
      `config ${version} sent: ${document.routes.length} routes, ` +
        `${body.length} bytes`,
    );
    const result = await tryUntil(limitMs, {
      method: "PUT",
      path: "/config",
      body,
    });
    const tookMs = Math.round(performance.now() - sentAtMs);
    record.add(
      `config ${version} ${
        result.status === 200
          ? `acknowledged after ${tookMs} ms`
          : `without an ack after ${tookMs} ms, last status ${result.status}`
      }`,
    );
    return result.status === 200;
  }

  /** Returns the version that is read, or 0. */
  async function read(limitMs) {
    const { status, text } = await tryUntil(limitMs, {
      method: "GET",
      path: "/config",
    });
    const version = status === 200 ? JSON.parse(text).version : 0;
    record.add(`config read: status ${status}, version ${version}`);
    return version;
  }

  async function tryUntil(limitMs, call) {
    const deadlineAtMs = performance.now() + limitMs;
    let delayMs = 50;
    let result = { status: 0, text: "" };
    while (performance.now() < deadlineAtMs) {
      const controls = deployment.getControls();
      const { host } = controls[next++ % controls.length];
      // Callers wait longer for an answer to a large body.
      const extraMs = (call.body?.length ?? 0) / 1_000;
      result = await send({
        host,
        port: ports.operators,
        ...call,
        timeoutMs: attemptMs + extraMs,
      });
      if (result.status >= 200 && result.status < 300) return result;
      if (result.status >= 400 && result.status < 500) return result;
      await sleep(delayMs);
      delayMs = Math.min(1_000, delayMs * 2);
    }
    return result;
  }
}

export async function waitUntilReady({ host }) {
  const deadlineAtMs = performance.now() + startTimeoutMs;
  while (performance.now() < deadlineAtMs) {
    const { status } = await send({
      host,
      port: ports.readiness,
      path: "/ready",
      timeoutMs: 1_000,
    });
    if (status === 200) return true;
    await sleep(50);
  }
  return false;
}

export function createConfig(version, routes, extra = {}) {
  return {
    version,
    routes,
    services: [{
      name: "wuno96b",
      health_path: "/healthz",
      max_conns: 1_000,
      protocol: "h1",
      tls: false,
    }],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: "huka270", api_keys: [apiKey], priority: 1 }],
    ...extra,
  };
}

export function createRoute(prefix, kind, changes = {}) {
  return {
    name: `r-${prefix}`,
    host: hostName,
    path_prefix: `/${prefix}/`,
    kind,
    timeout_ms: 2_500,
    slo_ms: 150,
    priority: 2,
    service: "wuno96b",
    attempts: kind === "safe" ? 2 : 1,
    public: false,
    sticky: false,
    resumable: false,
    ...changes,
  };
}
