/**
 * Checks change tickets on real instances, mostly with the command-line tool:
 * submission at every instance, resends, conflicts, invalid and outdated
 * tickets, exit codes, and the revision after restarts.
 *
 *     npm run build && node dist/measure/tickets.js
 */
import { spawn } from "node:child_process";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { modelService, startCluster } from "./launcher.ts";
import { getPercentile } from "./statistics.ts";

const ticketCount = 30;
const cliPath = fileURLToPath(new URL("../src/cli/main.js", import.meta.url));

const cluster = await startCluster({
  domainIds: ["andina-a", "andina-b", "andina-c"],
  instancesPerDomain: 2,
  enginesPerDomain: 1,
  workersPerDomain: 1,
  seed: 1,
});
const failures: string[] = [];
try {
  await cluster.waitUntilReady();
  await run();
} finally {
  await cluster.stop();
}
for (const failure of failures) process.stdout.write(`FAILED ${failure}\n`);
process.exit(failures.length === 0 ? 0 : 1);

async function run(): Promise<void> {
  const [first, second, third] = cluster.instances;
  const inForceMs: number[] = [];
  for (let number = 1; number <= ticketCount; number++) {
    const { callerUrl } = cluster.instances[number % 6]!;
    const ticket = { number, limits: { "bench-a": { weight: number } } };
    const startedAtMs = performance.now();
    const body = await postTicket(callerUrl, ticket);
    checkEqual(`ticket ${number}`, body.status, "accepted");
    checkEqual(`revision ${number}`, body.revision, number);
    await waitForRevision(number);
    inForceMs.push(performance.now() - startedAtMs);
  }
  const file = writeTicket({ number: 100, limits: { "bench-b": {} } });
  await expectExit("submit", first!.callerUrl, ["ticket", "submit", file], 0);
  const reply = await expectExit("resend", second!.callerUrl, [
    "ticket",
    "submit",
    file,
    "--json",
  ], 0);
  checkEqual("resent revision", JSON.parse(reply).revision, ticketCount + 1);
  const other = writeTicket({ number: 100, limits: { "bench-c": {} } });
  await expectExit(
    "conflict",
    third!.callerUrl,
    ["ticket", "submit", other],
    4,
  );
  const outdated = writeTicket({ number: 50, limits: { "bench-b": {} } });
  await expectExit(
    "outdated",
    third!.callerUrl,
    ["ticket", "submit", outdated],
    4,
  );
  const invalid = writeTicket({ number: 101, limit: {} });
  await expectExit(
    "invalid",
    third!.callerUrl,
    ["ticket", "submit", invalid],
    3,
  );
  await expectExit("wait", third!.callerUrl, ["ticket", "wait", "100"], 0);
  await expectExit("show", third!.callerUrl, ["ticket", "show", "100"], 0);
  await expectExit("missing", third!.callerUrl, ["ticket", "show", "99"], 5);
  await expectExit("list", third!.callerUrl, ["ticket", "list"], 0);
  await expectExit("no diff", first!.callerUrl, ["ticket", "diff", file], 0);
  const versions = writeTicket({
    number: 102,
    versions: { [modelService]: { kind: "stable", stableVersion: "v9" } },
    leavingUpstreams: { "worker-andina-a-0": { reason: "disk" } },
  });
  await expectExit("diff", first!.callerUrl, ["ticket", "diff", versions], 9);
  await expectExit(
    "versions",
    first!.callerUrl,
    ["ticket", "submit", versions],
    0,
  );
  await waitForRevision(ticketCount + 2);
  const upstreams = await expectExit("upstreams", third!.callerUrl, [
    "upstreams",
  ], 0);
  checkEqual("leaving", /worker-andina-a-0 .*leaving/.test(upstreams), true);
  for (const command of [["config", "show"], ["instances"], ["status"]]) {
    await expectExit(command.join(" "), second!.callerUrl, command, 0);
  }
  await expectExit("top", second!.callerUrl, ["top", "--rounds", "1"], 0);
  await expectExit("token", second!.callerUrl, [
    "status",
    "--token",
    "wrong",
  ], 6);
  await expectExit("unreachable", "http://127.0.0.1:1", ["status"], 7);
  await restartAndCheckRevision(second!.instanceId);
  await restartAndCheckRevision(third!.instanceId);
  print({
    tickets: ticketCount,
    instances: cluster.instances.length,
    inForceEverywhereP50Ms: Math.round(getPercentile(inForceMs, 0.5)),
    inForceEverywhereMaxMs: Math.round(getPercentile(inForceMs, 1)),
    failures: failures.length,
  });
}

/** A restarted instance must not become ready with a lower revision. */
async function restartAndCheckRevision(instanceId: string): Promise<void> {
  const instance = cluster.instances.find((entry) =>
    entry.instanceId === instanceId
  )!;
  const exited = new Promise((resolve) =>
    instance.process.once("exit", resolve)
  );
  instance.process.kill("SIGKILL");
  await exited;
  const startedAtMs = performance.now();
  cluster.startInstance(instanceId);
  while (performance.now() - startedAtMs < 10_000) {
    const ready = await fetch(`${instance.callerUrl}/readyz`)
      .then((response) => response.ok).catch(() => false);
    if (ready) break;
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  const revision = await getRevision(instance.callerUrl);
  checkEqual(`revision of ${instanceId} when ready`, revision, ticketCount + 2);
  print({
    restarted: instanceId,
    readyAfterMs: Math.round(performance.now() - startedAtMs),
    revision,
  });
}

async function waitForRevision(revision: number): Promise<void> {
  const deadlineAtMs = performance.now() + 4_000;
  for (const { callerUrl } of cluster.instances) {
    while (await getRevision(callerUrl) < revision) {
      if (performance.now() > deadlineAtMs) {
        failures.push(`revision ${revision} is not in force after 4 s`);
        return;
      }
    }
  }
}

async function getRevision(callerUrl: string): Promise<number> {
  const response = await fetch(`${callerUrl}/admin/status`, {
    headers: { authorization: `Bearer ${cluster.operatorToken}` },
  });
  const body = await response.json() as {
    configuration: { revision: number };
  };
  return body.configuration.revision;
}

async function postTicket(
  callerUrl: string,
  ticket: unknown,
): Promise<Record<string, unknown>> {
  const response = await fetch(`${callerUrl}/admin/tickets`, {
    method: "POST",
    headers: { authorization: `Bearer ${cluster.operatorToken}` },
    body: JSON.stringify(ticket),
  });
  return await response.json() as Record<string, unknown>;
}

function writeTicket(ticket: Record<string, unknown>): string {
  const path = join(cluster.folder, `ticket-${Math.random()}.json`);
  writeFileSync(path, JSON.stringify(ticket));
  return path;
}

function expectExit(
  name: string,
  callerUrl: string,
  args: readonly string[],
  expected: number,
): Promise<string> {
  const child = spawn(process.execPath, [cliPath, ...args], {
    env: {
      ...process.env,
      APRICOTYOKE_URL: callerUrl,
      APRICOTYOKE_TOKEN: cluster.operatorToken,
    },
    stdio: ["ignore", "pipe", "pipe"],
  });
  let output = "";
  child.stdout.on("data", (chunk) => output += String(chunk));
  child.stderr.on("data", (chunk) => output += String(chunk));
  return new Promise((resolve) => {
    child.once("close", (exitCode) => {
      checkEqual(`${name} (${output.slice(0, 200)})`, exitCode, expected);
      resolve(output);
    });
  });
}

function checkEqual(name: string, actual: unknown, expected: unknown): void {
  if (actual === expected) return;
  failures.push(`${name}: ${String(actual)} instead of ${String(expected)}`);
}

function print(value: unknown): void {
  process.stdout.write(`${JSON.stringify(value)}\n`);
}
