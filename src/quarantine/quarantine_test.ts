/**
 * Entry and control instances that exchange crash reports and notices by
 * function calls, on simulated time.
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { okAsync } from "neverthrow";
import { expect, test } from "vitest";
import { CommandKind } from "../control/commands.ts";
import { createStateMachine } from "../control/state_machine.ts";
import type { Clock } from "../core/clock.ts";
import { createSilentLogger } from "../core/logger.ts";
import { createRequestQuarantine } from "./request_quarantine.ts";
import { createQuarantineCache } from "./quarantine_cache.ts";
import { createQuarantineTable, getEndWallMs } from "./quarantine_table.ts";
import { createQuarantineControl } from "./quarantine_task.ts";
import {
  crashReportSchema,
  type QuarantineChange,
  QuarantineChangeKind,
  QuarantineState,
} from "./quarantine_types.ts";

const service = "model";

function createDeployment({ entryCount = 3, hasLeader = true } = {}) {
  let nowMs = 0;
  const clock: Clock = {
    nowMs: () => nowMs,
    wallMs: () => nowMs,
    sleep: () => Promise.resolve(),
  };
  const logger = createSilentLogger();
  const state = createStateMachine({
    onQuarantineChange: (change) => control.handleChange(change),
  });
  const control = createQuarantineControl({
    clock,
    logger,
    table: state.quarantine,
    cache: { listRemembered: () => [], save: () => {} },
    isLeader: () => hasLeader,
    propose: (command) => okAsync(state.apply(command)),
  });
  let isControlReachable = true;
  const entries = Array.from({ length: entryCount }, createEntry);
  return {
    entries,
    state,
    createEntry,
    setControlReachable: (value: boolean) => isControlReachable = value,
    advance,
    crash: (entry: number, upstreamId: string, requestKey: string) =>
      entries[entry]!.recordCrash(
        { service, upstreamId, domainId: `domain-${entry}` },
        { requestKey, partIds: ["shared", "bad"] },
      ),
    isRefused: (entry: number) =>
      entries[entry]!.findQuarantined(service, ["shared", "bad"]) === "bad",
  };

  function createEntry() {
    return createRequestQuarantine({
      clock,
      logger,
      isControlReachable: () => isControlReachable,
      onCrash: () => {},
    });
  }

  /** Advances by half a second: one tick of control and a heartbeat of all. */
  async function advance(stepCount: number): Promise<void> {
    for (let step = 0; step < stepCount; step++) {
      nowMs += 500;
      if (!isControlReachable) continue;
      for (const [index, entry] of entries.entries()) {
        const report = entry.getReport();
        if (report) control.recordReport(`entry-${index}`, report);
        entry.applyNotice("control", control.getNotice(entry.getRevision()));
      }
      const stop = new AbortController();
      const running = control.task.run(stop.signal);
      stop.abort();
      await running;
    }
  }
}

const callKey = "request:bad";

function crashByCall(
  deployment: ReturnType<typeof createDeployment>,
  entry: number,
  upstreamId: string,
  requestKey = callKey,
): void {
  deployment.entries[entry]!.recordCrash(
    { service, upstreamId, domainId: `domain-${entry}` },
    { requestKey, partIds: [] },
  );
}

test("the crashes of a call at two instances are known to a third one", async () => {
  const deployment = createDeployment();
  const third = deployment.entries[2]!;
  crashByCall(deployment, 0, "upstream-0");
  await deployment.advance(2);
  expect(third.getSuspicion(service, callKey)).toMatchObject({ crashCount: 1 });
  crashByCall(deployment, 1, "upstream-1");
  await deployment.advance(2);
  expect(third.getSuspicion(service, callKey)).toMatchObject({ crashCount: 2 });
  const { sinceLastCrashMs } = third.getSuspicion(service, callKey)!;
  await deployment.advance(4);
  expect(third.getSuspicion(service, callKey)!.sinceLastCrashMs)
    .toBeGreaterThan(sinceLastCrashMs + 1_500);
  crashByCall(deployment, 2, "upstream-2");
  await deployment.advance(2);
  for (const entry of deployment.entries) {
    expect(entry.findQuarantined(service, [callKey])).toBe(callKey);
  }
});

test("a run of the call at another instance clears it, and stays known", async () => {
  const deployment = createDeployment();
  const getCounts = () =>
    deployment.entries.map((entry) =>
      entry.getSuspicion(service, callKey)?.crashCount ?? 0
    );
  for (const number of [0, 1, 2, 3]) {
    crashByCall(deployment, 0, `upstream-${number}`);
    await deployment.advance(2);
    expect(getCounts()).toEqual([1, 1, 1]);
    deployment.entries[1]!.recordSoundRequest(service, callKey);
    await deployment.advance(2);
    for (let step = 0; step < 6; step++) {
      await deployment.advance(1);
      expect(getCounts()).toEqual([0, 0, 0]);
    }
  }
  expect(deployment.state.quarantine.list()).toEqual([]);
});

test("a call that an operator lifted is not suspected any more", async () => {
  const deployment = createDeployment();
  for (const entry of [0, 1, 2]) {
    crashByCall(deployment, entry, `upstream-${entry}`);
    await deployment.advance(1);
  }
  await deployment.advance(3);
  expect(deployment.state.quarantine.listQuarantined())
    .toEqual([[service, callKey]]);
  deployment.state.apply({
    kind: CommandKind.ChangeQuarantine,
    change: change(QuarantineChangeKind.Lift, callKey),
  });
  await deployment.advance(4);
  for (const entry of deployment.entries) {
    expect(entry.findQuarantined(service, [callKey])).toBeUndefined();
    expect(entry.getSuspicion(service, callKey)).toBeUndefined();
  }
});

test("calls of other requests do not push the one to blame out of a crash", async () => {
  const deployment = createDeployment();
  const [entry] = deployment.entries;
  crashByCall(deployment, 0, "upstream-0");
  await deployment.advance(1);
  for (let number = 0; number < 100; number++) {
    crashByCall(deployment, 0, "upstream-1", `request:${number}`);
  }
  crashByCall(deployment, 0, "upstream-1");
  expect(entry!.getSuspicion(service, callKey))
    .toMatchObject({ crashCount: 2 });
  expect(entry!.getReport()!.crashes[1]!.suspects.length)
    .toBeLessThanOrEqual(64);
});

test("the report stays small when all upstreams end with many calls", () => {
  const deployment = createDeployment();
  for (let number = 0; number < 10_000; number++) {
    crashByCall(deployment, 0, `upstream-${number % 80}`, `request:${number}`);
  }
  const { crashes } = deployment.entries[0]!.getReport()!;
  const count = crashes.reduce((sum, { suspects }) => sum + suspects.length, 0);
  expect(count).toBeLessThanOrEqual(1_024);
  expect(crashReportSchema.safeParse({ crashes, soundParts: [] }).success)
    .toBe(true);
});

test("calls that were present in no crash are not recorded", () => {
  const deployment = createDeployment();
  const [entry] = deployment.entries;
  for (let number = 0; number < 1_000; number++) {
    entry!.recordSoundRequest(service, `request:${number}`);
  }
  crashByCall(deployment, 0, "upstream-0", "request:7");
  expect(entry!.getReport()!.soundParts).toEqual([]);
});

test("a run of hours ago does not make the report of a crash invalid", async () => {
  const deployment = createDeployment();
  const [entry] = deployment.entries;
  entry!.recordSoundRun(service, ["shared"]);
  await deployment.advance(2 * 3_600 + 1);
  deployment.crash(0, "engine-0", "request-0");
  expect(crashReportSchema.safeParse(entry!.getReport()).success).toBe(true);
});

async function crashThreeEngines(
  deployment: ReturnType<typeof createDeployment>,
) {
  for (const entry of [0, 1, 2]) {
    deployment.crash(entry, `engine-${entry}`, `request-${entry}`);
    await deployment.advance(1);
  }
}

test("crashes that each of three instances saw once reach all of them in time", async () => {
  const deployment = createDeployment({ entryCount: 4 });
  await crashThreeEngines(deployment);
  // Two more heartbeats, which is less than the time of contact of a deployment.
  await deployment.advance(3);
  expect([0, 1, 2, 3].map(deployment.isRefused))
    .toEqual([true, true, true, true]);
  expect(deployment.state.quarantine.listQuarantined())
    .toEqual([[service, "bad"]]);
  const started = deployment.createEntry();
  deployment.entries.push(started);
  await deployment.advance(1);
  expect(started.findQuarantined(service, ["bad"])).toBe("bad");
});

test("runs that got past their start at another instance clear a part", async () => {
  const deployment = createDeployment();
  for (const entry of [0, 1, 2]) {
    deployment.crash(entry, `engine-${entry}`, `request-${entry}`);
    await deployment.advance(1);
    deployment.entries[(entry + 1) % 3]!
      .recordSoundRun(service, ["shared", "bad"]);
  }
  await deployment.advance(6);
  expect(deployment.state.quarantine.list()).toEqual([]);
  expect(deployment.isRefused(0)).toBe(false);
});

test("without a leader, control passes on what it found itself", async () => {
  const deployment = createDeployment({ hasLeader: false });
  await crashThreeEngines(deployment);
  await deployment.advance(3);
  expect(deployment.state.quarantine.list()).toEqual([]);
  expect([0, 1, 2].map(deployment.isRefused)).toEqual([true, true, true]);
});

test("without control, an instance decides from its own crashes", async () => {
  const deployment = createDeployment();
  deployment.setControlReachable(false);
  for (const number of [1, 2, 3]) {
    deployment.crash(0, `engine-${number}`, `request-${number}`);
    await deployment.advance(1);
  }
  await deployment.advance(1);
  expect(deployment.isRefused(0)).toBe(true);
  expect(deployment.isRefused(1)).toBe(false);
});

test("a part that an operator lifted runs until engines crash again", async () => {
  const deployment = createDeployment();
  await crashThreeEngines(deployment);
  await deployment.advance(3);
  deployment.state.apply({
    kind: CommandKind.ChangeQuarantine,
    change: {
      kind: QuarantineChangeKind.Lift,
      service,
      partId: "bad",
      atWallMs: 0,
      reason: "",
    },
  });
  await deployment.advance(6);
  expect([0, 1, 2].map(deployment.isRefused)).toEqual([false, false, false]);
  await crashThreeEngines(deployment);
  await deployment.advance(3);
  expect(deployment.isRefused(0)).toBe(true);
});

test("a crash is reported until its requests have run elsewhere", async () => {
  const deployment = createDeployment();
  const entry = deployment.entries[0]!;
  deployment.crash(0, "engine-1", "request-1");
  deployment.crash(0, "engine-2", "request-2");
  await deployment.advance(1);
  entry.recordSoundRun(service, ["shared", "bad", "request-1"]);
  expect(entry.getReport()!.crashes).toHaveLength(1);
  entry.recordSoundRun(service, ["shared", "bad", "request-2"]);
  expect(entry.getReport()!.crashes).toEqual([]);
  deployment.setControlReachable(false);
  await deployment.advance(20);
  expect(entry.getReport()).toBeUndefined();
});

test("an instance that waits for an engine learns of the quarantine at once", async () => {
  const deployment = createDeployment();
  let callCount = 0;
  const unsubscribe = deployment.entries[2]!.subscribe(() => callCount += 1);
  await crashThreeEngines(deployment);
  await deployment.advance(3);
  expect(callCount).toBeGreaterThan(0);
  unsubscribe();
});

function change(
  kind: QuarantineChangeKind,
  partId = "bad",
  atWallMs = 0,
): QuarantineChange {
  return { kind, service, partId, atWallMs, reason: "" };
}

test("each further quarantine of a part lasts longer", () => {
  const table = createQuarantineTable();
  const getDurationMs = () => getEndWallMs(table.list()[0]!);
  expect(table.apply(change(QuarantineChangeKind.Add))).toBe(true);
  expect(table.apply(change(QuarantineChangeKind.Add))).toBe(false);
  const firstMs = getDurationMs();
  table.apply(change(QuarantineChangeKind.Release));
  expect(table.list()[0]).toMatchObject({ state: QuarantineState.Released });
  table.apply(change(QuarantineChangeKind.Add));
  expect(getDurationMs()).toBe(2 * firstMs);
  expect(table.getRevision()).toBe(3);
});

test("a restored table has the parts and the revision of the snapshot", () => {
  const table = createQuarantineTable();
  table.apply(change(QuarantineChangeKind.Add));
  const restored = createQuarantineTable();
  restored.restore(table.getSnapshot());
  expect(restored.listQuarantined()).toEqual([[service, "bad"]]);
  expect(restored.getRevision()).toBe(1);
});

test("the table and the reports stay small whatever callers send", async () => {
  const table = createQuarantineTable();
  for (let number = 0; number < 2_000; number++) {
    table.apply(change(QuarantineChangeKind.Add, `part-${number}`));
  }
  expect(table.list().length).toBeLessThanOrEqual(256);
  const deployment = createDeployment();
  const entry = deployment.entries[0]!;
  for (let number = 0; number < 2_000; number++) {
    entry.recordCrash(
      { service, upstreamId: `engine-${number}`, domainId: "a" },
      { requestKey: `request-${number}`, partIds: [`part-${number}`] },
    );
    entry.recordSoundRun(service, [`sound-${number}`]);
  }
  const report = entry.getReport()!;
  expect(report.crashes.length).toBeLessThanOrEqual(64);
  expect(JSON.stringify(report).length).toBeLessThan(64 * 1024);
  await deployment.advance(2);
  expect(deployment.state.quarantine.list()).toEqual([]);
});

test("a restarted control instance remembers the parts until its log has them", async () => {
  const dataFolder = mkdtempSync(join(tmpdir(), "quarantine-test-"));
  try {
    const start = () => {
      const table = createQuarantineTable();
      const cache = createQuarantineCache({
        clock: { nowMs: () => 0 },
        logger: createSilentLogger(),
        dataFolder,
        table,
      });
      return { table, cache };
    };
    const before = start();
    expect(before.cache.listRemembered()).toEqual([]);
    before.table.apply(change(QuarantineChangeKind.Add, "bad-1"));
    before.table.apply(change(QuarantineChangeKind.Add, "bad-2"));
    before.cache.save();
    await expect.poll(() => start().cache.listRemembered())
      .toEqual([[service, "bad-1"], [service, "bad-2"]]);
    const after = start();
    after.table.apply(change(QuarantineChangeKind.Add, "bad-1"));
    after.cache.save();
    expect(after.cache.listRemembered()).toHaveLength(2);
    after.table.apply(change(QuarantineChangeKind.Add, "bad-2"));
    expect(after.cache.listRemembered()).toEqual([]);
    after.table.apply(change(QuarantineChangeKind.Lift, "bad-1"));
    after.cache.save();
    await expect.poll(() => start().cache.listRemembered())
      .toEqual([[service, "bad-2"]]);
  } finally {
    rmSync(dataFolder, { recursive: true });
  }
});

// While the log was replayed after a full disk, the file was overwritten with
// parts of long ago, and a new instance was told of those only.
test("a control instance that opens its log again remembers the parts until it has them", async () => {
  const dataFolder = mkdtempSync(join(tmpdir(), "quarantine-test-"));
  try {
    let nowMs = 0;
    const start = () => {
      const table = createQuarantineTable();
      const cache = createQuarantineCache({
        clock: { nowMs: () => nowMs },
        logger: createSilentLogger(),
        dataFolder,
        table,
      });
      return { table, cache };
    };
    const all = [[service, "bad-1"], [service, "bad-2"]];
    const { table, cache } = start();
    table.apply(change(QuarantineChangeKind.Add, "bad-1"));
    table.apply(change(QuarantineChangeKind.Add, "bad-2"));
    cache.save();
    await expect.poll(() => start().cache.listRemembered()).toEqual(all);
    nowMs += 24 * 3_600_000;
    table.restore({ revision: 0, records: [] });
    expect(cache.listRemembered()).toEqual(all);
    table.apply(change(QuarantineChangeKind.Add, "bad-1"));
    cache.save();
    await new Promise((resolve) => setTimeout(resolve, 100));
    expect(start().cache.listRemembered()).toEqual(all);
    table.apply(change(QuarantineChangeKind.Add, "bad-2"));
    expect(cache.listRemembered()).toEqual([]);
    // A group that lost its log never reaches the revision.
    table.restore({ revision: 0, records: [] });
    expect(cache.listRemembered()).toEqual(all);
    nowMs += 60_001;
    expect(cache.listRemembered()).toEqual([]);
  } finally {
    rmSync(dataFolder, { recursive: true });
  }
});
