/**
 * One run of the soak: starts the processes, plays the faults that its seed
 * draws, and checks what callers, upstreams and the operator have seen.
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
/** Parallel runs use networks of their own within the loopback network. */
const firstNetwork = 20;
const networkCount = 200;
const startTimeoutMs = 20_000;
/** Elections, catching up and suspensions are over after this time. */
const settleMs = 6_000;
const quietMs = 2_000;
const readIntervalMs = 400;
const slowLinkMs = 120;
/** One disk may be lost at a time, and the next after it has caught up. */
const wipeIntervalMs = 8_000;
const moveDurationS = 8;
const moveShare = 0.7;
const versionStartMs = 300;
const leaveServingMs = 2_000;

export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  // The faults depend on the seed alone, not on who else draws numbers when.
  const schedule = drawSchedule(
    createRandom(options.seed),
    options.durationMs,
  );
  const random = createRandom(~options.seed);
  const record: SoakRecord = {
    runs: [],
    answers: [],
    orders: [],
    reads: [],
    moves: [],
    exits: [],
    settledAtMs: Infinity,
  };
  const network = `127.${firstNetwork + process.pid % networkCount}`;
  const upstreams = await startSoakUpstreams({
    host: `${network}.250.1`,
    domainIds,
    random,
    record,
  });
  const deployment = await startSoakDeployment({
    network,
    domainIds,
    entriesPerDomain: options.entriesPerDomain,
    upstreamList: `${network}.250.1:${upstreams.listPort}`,
    onExit: (exit) => record.exits.push(exit),
  });
  const { control, entries } = deployment;
  const processes = [...control, ...entries];
  const operator = createSoakOperator({
    random,
    record,
    operatorUrls: control.map(({ host }) =>
      `http://${host}:${forwardingPorts.operators}`
    ),
  });
  const callers = createSoakCallers({
    random,
    record,
    listPorts: () => entries.map(({ relay }) => relay!.port),
  });
  const busy = new Map<SoakProcess, Promise<void>>();
  const pending = new Set<Promise<void>>();
  let wipedAtMs = -Infinity;
  const ending = new AbortController();
  try {
    await playAll();
  } finally {
    ending.abort();
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
    runCount: record.runs.length,
    orderCount: record.orders.length,
    violations,
    folder: violations.length > 0 ? deployment.folder : undefined,
  };

  async function playAll(): Promise<void> {
    await operator.configure();
    for (const { host } of entries) {
      const url = `http://${host}:${forwardingPorts.readiness}/ready`;
      await waitUntilOk(url, startTimeoutMs);
    }
    const calling = callers.run(ending.signal);
    const reading = readRegularly();
    const moveRandom = createRandom(options.seed + 1);
    const moving = moveRandom.next() < moveShare
      ? moveVersion(moveRandom)
      : Promise.resolve();
    const startedAtMs = performance.now();
    for (const { atMs, fault } of schedule) {
      await sleep(Math.max(0, startedAtMs + atMs - performance.now()));
      track(play(fault));
    }
    await Promise.all(pending);
    await moving;
    await sleep(settleMs);
    record.settledAtMs = performance.now();
    await sleep(quietMs);
    ending.abort();
    await Promise.all([calling, reading]);
    await operator.readOnce(true);
  }

  function track(work: Promise<void>): void {
    pending.add(work);
    void work.finally(() => pending.delete(work));
  }

  async function readRegularly(): Promise<void> {
    while (!ending.signal.aborted) {
      await operator.readOnce(false);
      await sleep(readIntervalMs);
    }
  }

  async function moveVersion(random: Random): Promise<void> {
    await sleep(random.next() * options.durationMs / 2);
    const isBad = random.next() < 0.5;
    const target = "v2";
    const orderedAtMs = performance.now();
    await operator.move(target, moveDurationS);
    await sleep(versionStartMs);
    await upstreams.addVersion(target, isBad);
    const endsAtMs = orderedAtMs + moveDurationS * 1_000;
    await sleep(Math.max(0, endsAtMs - performance.now()));
    const finalState = await operator.readMove();
    record.moves.push({ target, isBad, orderedAtMs, endsAtMs, finalState });
    if (finalState === "complete") upstreams.removeVersion("v1");
    if (finalState === "rolled_back") {
      await sleep(leaveServingMs);
      upstreams.removeVersion(target);
    }
  }

  async function play(fault: SoakFault): Promise<void> {
    switch (fault.kind) {
      case "kill":
        return await restart(pick(processes, fault.target), fault.downMs);
      case "killAll":
        await Promise.all(
          processes.map((target) => restart(target, fault.downMs)),
        );
        return;
      case "stop":
        return await exclusively(
          pick(processes, fault.target),
          async (target) => {
            await deployment.stop(target);
            deployment.start(target);
          },
        );
      case "pause":
        return await exclusively(
          pick(processes, fault.target),
          async (target) => {
            deployment.pause(target);
            await sleep(fault.forMs);
            deployment.resume(target);
          },
        );
      case "disk":
        return await damageDisk(pick(control, fault.target), fault);
      case "link":
        return await breakLink(fault);
      case "reset":
        for (const relay of listRelays(fault.side)) relay.reset(fault.share);
        return;
      case "crash":
        upstreams.crashDomain(fault.domain, fault.forMs);
        return;
      case "leave":
        return await upstreams.leave(fault.target);
      case "configure":
        for (let count = 0; count < fault.count; count++) {
          await operator.configure();
        }
        return;
      case "race":
        return await operator.race();
      case "invalid":
        return await operator.sendInvalid();
    }
  }

  /** Faults of one process come one after the other. */
  async function exclusively(
    target: SoakProcess,
    action: (target: SoakProcess) => Promise<void>,
  ): Promise<void> {
    const before = busy.get(target) ?? Promise.resolve();
    const work = before.then(() => action(target));
    busy.set(target, work);
    await work;
  }

  async function restart(target: SoakProcess, downMs: number): Promise<void> {
    await exclusively(target, async () => {
      await deployment.kill(target);
      await sleep(downMs);
      deployment.start(target);
    });
  }

  async function damageDisk(
    target: SoakProcess,
    { damage, downMs }: Extract<SoakFault, { kind: "disk" }>,
  ): Promise<void> {
    const isTooSoon = performance.now() - wipedAtMs < wipeIntervalMs;
    if (damage === "wiped" && isTooSoon) return;
    if (damage === "wiped") wipedAtMs = performance.now();
    await exclusively(target, async () => {
      await deployment.kill(target);
      if (damage === "wiped") deployment.wipeDisk(target);
      else deployment.tearDisk(target);
      await sleep(downMs);
      deployment.start(target);
    });
  }

  async function breakLink(
    { side, target, how, forMs }: Extract<SoakFault, { kind: "link" }>,
  ): Promise<void> {
    const relays = listRelays(side);
    const relay = relays[target % relays.length]!;
    relay.setFault(getLinkFault(how));
    await sleep(forMs);
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

function getLinkFault(
  how: Extract<SoakFault, { kind: "link" }>["how"],
): LinkFault {
  switch (how) {
    case "cut":
      return { kind: "cut" };
    case "slow":
      return { kind: "slow", delayMs: slowLinkMs };
    case "toTarget":
    case "toCaller":
    case "both":
      return { kind: "silent", direction: how };
  }
}
