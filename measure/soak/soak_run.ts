/**
 * One run of the soak: starts the processes, injects the faults drawn from the
 * seed, and checks what callers, upstreams and the operator have observed.
 */
import { rmSync } from "node:fs";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { createRandom, type Random } from "../../src/core/random.ts";
import { forwardingPorts, waitUntilOk } from "../forwarding_settings.ts";
import type { LinkFault, Relay } from "../relay.ts";
import { createSoakCallers } from "./soak_callers.ts";
import { findViolations } from "./soak_checks.ts";
import { type SoakProcess, startSoakDeployment } from "./soak_deployment.ts";
import { createSoakOperator } from "./soak_operator.ts";
import { drawSchedule, type SoakFault } from "./soak_schedule.ts";
import type { SoakRecord } from "./soak_types.ts";
import { startSoakUpstreams } from "./soak_upstreams.ts";

export interface SoakOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly entriesPerDomain: number;
}

export interface SoakResult {
  readonly seed: number;
  readonly faultCount: number;
  readonly requestCount: number;
  readonly servedCount: number;
  readonly runCount: number;
  readonly orderCount: number;
  readonly violations: readonly string[];
  /** Logs of the processes, kept after a violation. */
  readonly folder: string | undefined;
}

const domainIds = ["domain-a", "domain-b", "domain-c"];
/** Concurrent runs use different subnets of the loopback network. */
const firstNetwork = 20;
const networkCount = 200;
const startTimeoutMs = 20_000;
/**
 * After this time without faults elections are over, replicas have caught up
 * and suspensions of upstreams have ended.
 */
const settleMs = 6_000;
/**
 * Requests sent during this time after `settleMs` show whether the system has
 * recovered: nearly all of them have to be served.
 */
const recoveryCheckMs = 2_000;
const readIntervalMs = 400;
const slowLinkDelayMs = 120;
/**
 * The control group tolerates the loss of one disk at a time; this interval
 * lets the replica that lost its disk catch up before the next disk is lost.
 */
const wipeIntervalMs = 8_000;
const moveDurationS = 8;
const moveProbability = 0.7;
const versionStartDelayMs = 300;
const rollbackServingMs = 2_000;

export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  // The faults have a random generator of their own: the other users of random
  // numbers draw in an order that depends on timing.
  const schedule = drawSchedule(
    createRandom(options.seed),
    options.durationMs,
  );
  const random = createRandom(~options.seed);
  const record: SoakRecord = {
    attempts: [],
    answers: [],
    submissions: [],
    reads: [],
    moves: [],
    unexpectedExits: [],
    settledAtMs: Infinity,
  };
  const networkPrefix = `127.${firstNetwork + process.pid % networkCount}`;
  const upstreams = await startSoakUpstreams({
    host: `${networkPrefix}.250.1`,
    domainIds,
    random,
    record,
  });
  const deployment = await startSoakDeployment({
    networkPrefix,
    domainIds,
    entriesPerDomain: options.entriesPerDomain,
    upstreamList: `${networkPrefix}.250.1:${upstreams.listPort}`,
    onUnexpectedExit: (exit) => record.unexpectedExits.push(exit),
  });
  const { control, entries } = deployment;
  const processes = [...control, ...entries];
  const operator = createSoakOperator({
    random,
    record,
    // Every other seed makes the streams wait and share their retry budget.
    isRanked: options.seed % 2 === 1,
    operatorUrls: control.map(({ host }) =>
      `http://${host}:${forwardingPorts.operators}`
    ),
  });
  const callers = createSoakCallers({
    random,
    record,
    listPorts: () => entries.map(({ relay }) => relay!.port),
  });
  const lastFaultByProcess = new Map<SoakProcess, Promise<void>>();
  const pending = new Set<Promise<void>>();
  let lastWipeAtMs = -Infinity;
  const stopController = new AbortController();
  try {
    await runFaults();
  } finally {
    stopController.abort();
    await deployment.end();
    upstreams.close();
  }
  const violations = findViolations(record);
  if (violations.length === 0) {
    rmSync(deployment.folder, { recursive: true, force: true });
  }
  return {
    seed: options.seed,
    faultCount: schedule.length,
    requestCount: record.answers.length,
    servedCount:
      record.answers.filter(({ status, isComplete }) =>
        status === 200 && isComplete
      ).length,
    runCount: record.attempts.length,
    orderCount: record.submissions.length,
    violations,
    folder: violations.length > 0 ? deployment.folder : undefined,
  };

  async function runFaults(): Promise<void> {
    await operator.submitConfiguration();
    for (const { host } of entries) {
      const url = `http://${host}:${forwardingPorts.readiness}/ready`;
      await waitUntilOk(url, startTimeoutMs);
    }
    const callersFinished = callers.run(stopController.signal);
    const readsFinished = readConfigurationRegularly();
    const moveRandom = createRandom(options.seed + 1);
    const moving = moveRandom.next() < moveProbability
      ? runVersionMove(moveRandom)
      : Promise.resolve();
    const startedAtMs = performance.now();
    for (const { atMs, fault } of schedule) {
      await sleep(Math.max(0, startedAtMs + atMs - performance.now()));
      track(injectFault(fault));
    }
    await Promise.all(pending);
    await moving;
    await sleep(settleMs);
    record.settledAtMs = performance.now();
    await sleep(recoveryCheckMs);
    stopController.abort();
    await Promise.all([callersFinished, readsFinished]);
    await operator.readConfiguration(true);
  }

  function track(work: Promise<void>): void {
    pending.add(work);
    void work.finally(() => pending.delete(work));
  }

  async function readConfigurationRegularly(): Promise<void> {
    while (!stopController.signal.aborted) {
      await operator.readConfiguration(false);
      await sleep(readIntervalMs);
    }
  }

  async function runVersionMove(random: Random): Promise<void> {
    await sleep(random.next() * options.durationMs / 2);
    const isBad = random.next() < 0.5;
    const target = "v2";
    const submittedAtMs = performance.now();
    await operator.move(target, moveDurationS);
    await sleep(versionStartDelayMs);
    await upstreams.addVersion(target, isBad);
    const endsAtMs = submittedAtMs + moveDurationS * 1_000;
    await sleep(Math.max(0, endsAtMs - performance.now()));
    const finalState = await operator.readMove();
    record.moves.push({ target, isBad, submittedAtMs, endsAtMs, finalState });
    if (finalState === "complete") upstreams.removeVersion("v1");
    if (finalState === "rolled_back") {
      await sleep(rollbackServingMs);
      upstreams.removeVersion(target);
    }
  }

  async function injectFault(fault: SoakFault): Promise<void> {
    switch (fault.kind) {
      case "kill":
        return await restart(pick(processes, fault.target), fault.downtimeMs);
      case "killAll":
        await Promise.all(
          processes.map((target) => restart(target, fault.downtimeMs)),
        );
        return;
      case "stop":
        return await runExclusively(
          pick(processes, fault.target),
          async (target) => {
            await deployment.stop(target);
            deployment.start(target);
          },
        );
      case "pause":
        return await runExclusively(
          pick(processes, fault.target),
          async (target) => {
            deployment.pause(target);
            await sleep(fault.durationMs);
            deployment.resume(target);
          },
        );
      case "disk":
        return await damageDisk(pick(control, fault.target), fault);
      case "link":
        return await injectLinkFault(fault);
      case "reset":
        for (const relay of listRelays(fault.side)) relay.reset(fault.share);
        return;
      case "crash":
        upstreams.crashEngines(fault.domain, fault.durationMs);
        return;
      case "leave":
        return await upstreams.replaceUpstream(fault.target);
      case "configure":
        for (let count = 0; count < fault.count; count++) {
          await operator.submitConfiguration();
        }
        return;
      case "race":
        return await operator.submitConcurrently();
      case "invalid":
        return await operator.submitInvalid();
    }
  }

  /** Faults of one process run one after the other. */
  async function runExclusively(
    target: SoakProcess,
    action: (target: SoakProcess) => Promise<void>,
  ): Promise<void> {
    const before = lastFaultByProcess.get(target) ?? Promise.resolve();
    const work = before.then(() => action(target));
    lastFaultByProcess.set(target, work);
    await work;
  }

  async function restart(
    target: SoakProcess,
    downtimeMs: number,
  ): Promise<void> {
    await runExclusively(target, async () => {
      await deployment.kill(target);
      await sleep(downtimeMs);
      deployment.start(target);
    });
  }

  async function damageDisk(
    target: SoakProcess,
    { damage, downtimeMs }: Extract<SoakFault, { kind: "disk" }>,
  ): Promise<void> {
    const isTooSoon = performance.now() - lastWipeAtMs < wipeIntervalMs;
    if (damage === "wiped" && isTooSoon) return;
    if (damage === "wiped") lastWipeAtMs = performance.now();
    await runExclusively(target, async () => {
      await deployment.kill(target);
      if (damage === "wiped") deployment.removeDataFolder(target);
      else deployment.appendTornWrite(target);
      await sleep(downtimeMs);
      deployment.start(target);
    });
  }

  async function injectLinkFault(
    { side, target, mode, durationMs }: Extract<SoakFault, { kind: "link" }>,
  ): Promise<void> {
    const relays = listRelays(side);
    const relay = relays[target % relays.length]!;
    relay.setFault(createLinkFault(mode));
    await sleep(durationMs);
    relay.setFault({ kind: "none" });
  }

  function listRelays(side: "caller" | "upstream"): readonly Relay[] {
    return side === "caller"
      ? entries.map(({ relay }) => relay!)
      : upstreams.relays;
  }
}

function pick<T>(items: readonly T[], index: number): T {
  return items[index % items.length]!;
}

function createLinkFault(
  mode: Extract<SoakFault, { kind: "link" }>["mode"],
): LinkFault {
  switch (mode) {
    case "cut":
      return { kind: "cut" };
    case "slow":
      return { kind: "slow", delayMs: slowLinkDelayMs };
    case "toTarget":
    case "toCaller":
    case "both":
      return { kind: "silent", direction: mode };
  }
}
