/**
 * The processes of a soak: control and entry instances, each on a loopback
 * address of its own, since an instance is known by its address.
 */
import { type ChildProcess, spawn } from "node:child_process";
import {
  appendFileSync,
  existsSync,
  mkdirSync,
  mkdtempSync,
  openSync,
  readdirSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import {
  createForwardingSettings,
  forwardingPorts,
} from "../forwarding_settings.ts";
import { type Relay, startRelay } from "../relay.ts";

export interface SoakProcess {
  readonly name: string;
  readonly host: string;
  readonly isControl: boolean;
  /** What callers connect to; a relay in front of an entry instance. */
  readonly relay: Relay | undefined;
  child: ChildProcess | undefined;
  isPaused: boolean;
}

export interface SoakDeployment {
  readonly folder: string;
  readonly control: readonly SoakProcess[];
  readonly entries: readonly SoakProcess[];
  start(target: SoakProcess): void;
  kill(target: SoakProcess): Promise<void>;
  /** SIGTERM; resolves when the process has ended. */
  stop(target: SoakProcess): Promise<void>;
  pause(target: SoakProcess): void;
  resume(target: SoakProcess): void;
  wipeDisk(target: SoakProcess): void;
  /** Leaves the beginning of a write at the end of the log. */
  tearDisk(target: SoakProcess): void;
  end(): Promise<void>;
}

export interface SoakDeploymentOptions {
  /** First two numbers of the addresses. */
  readonly network: string;
  readonly domainIds: readonly string[];
  readonly entriesPerDomain: number;
  readonly upstreamList: string;
  onExit(exit: string): void;
}

const program = "dist/platform/main.js";
const stopTimeoutMs = 9_500;

export async function startSoakDeployment(
  options: SoakDeploymentOptions,
): Promise<SoakDeployment> {
  const { network, domainIds } = options;
  const folder = mkdtempSync(join(tmpdir(), "apricotyoke-soak-"));
  const signalled = new Set<ChildProcess>();
  const started = new Set<SoakProcess>();
  const control = domainIds.map((_, domain) =>
    createProcess(`control-${domain}`, `${network}.${domain}.1`, undefined)
  );
  const entries: SoakProcess[] = [];
  for (const domain of domainIds.keys()) {
    for (let number = 0; number < options.entriesPerDomain; number++) {
      const host = `${network}.${domain}.${10 + number}`;
      const target = { host, port: forwardingPorts.callers };
      const relay = await startRelay(target, { host: "127.0.0.1", port: 0 });
      entries.push(createProcess(`entry-${domain}-${number}`, host, relay));
    }
  }
  const processes = [...control, ...entries];
  const killAll = () => {
    for (const { child } of processes) child?.kill("SIGKILL");
  };
  process.once("exit", killAll);
  for (const target of processes) start(target);
  return {
    folder,
    control,
    entries,
    start,
    kill: (target) => signal(target, "SIGKILL"),
    stop,
    pause: (target) => {
      target.isPaused = target.child?.kill("SIGSTOP") ?? false;
    },
    resume,
    wipeDisk: (target) => rmSync(getDataFolder(target), { recursive: true }),
    tearDisk,
    end: async () => {
      for (const target of processes) resume(target);
      await Promise.all(processes.map((target) => signal(target, "SIGKILL")));
      for (const { relay } of entries) relay?.close();
      process.off("exit", killAll);
    },
  };

  function createProcess(
    name: string,
    host: string,
    relay: Relay | undefined,
  ): SoakProcess {
    return {
      name,
      host,
      isControl: relay === undefined,
      relay,
      child: undefined,
      isPaused: false,
    };
  }

  function getDataFolder({ name }: SoakProcess): string {
    return join(folder, `${name}-data`);
  }

  function start(target: SoakProcess): void {
    if (target.child) return;
    const settingsPath = join(folder, `${target.name}.json`);
    mkdirSync(getDataFolder(target), { recursive: true });
    writeFileSync(settingsPath, JSON.stringify(getSettings(target)));
    started.add(target);
    const log = openSync(join(folder, `${target.name}.log`), "a");
    const child = spawn(process.execPath, [program], {
      env: { ...process.env, APRICOTYOKE_CONFIG: settingsPath },
      stdio: ["ignore", log, log],
    });
    target.child = child;
    target.isPaused = false;
    child.once("exit", (code, name) => {
      if (target.child === child) target.child = undefined;
      if (!signalled.has(child)) {
        options.onExit(`${target.name}: status ${code}, signal ${name}`);
      }
    });
  }

  function getSettings(target: SoakProcess): Record<string, unknown> {
    const { name, host, isControl } = target;
    const domain = Number(host.split(".")[2]);
    return createForwardingSettings({
      name,
      role: isControl ? "control" : "entry",
      host,
      domainId: domainIds[domain]!,
      controlHosts: control.map((entry) => entry.host),
      isFirstStart: !started.has(target),
      dataFolder: getDataFolder(target),
      toleratedLosses: 1,
      upstreamList: options.upstreamList,
    });
  }

  async function signal(
    target: SoakProcess,
    name: "SIGKILL" | "SIGTERM",
  ): Promise<void> {
    const { child } = target;
    if (!child) return;
    signalled.add(child);
    const ended = new Promise<void>((resolve) =>
      child.once("exit", () => resolve())
    );
    child.kill(name);
    await ended;
  }

  async function stop(target: SoakProcess): Promise<void> {
    const { child } = target;
    const timer = setTimeout(() => child?.kill("SIGKILL"), stopTimeoutMs);
    await signal(target, "SIGTERM");
    clearTimeout(timer);
  }

  function resume(target: SoakProcess): void {
    if (target.isPaused) target.child?.kill("SIGCONT");
    target.isPaused = false;
  }

  function tearDisk(target: SoakProcess): void {
    const logFolder = join(getDataFolder(target), "log");
    // It was killed before it wrote anything.
    if (!existsSync(logFolder)) return;
    const last = readdirSync(logFolder).filter((name) =>
      name.startsWith("log-")
    ).sort().at(-1);
    if (last) appendFileSync(join(logFolder, last), "torn");
  }
}
