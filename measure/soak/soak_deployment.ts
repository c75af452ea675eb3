/**
 * The processes of a soak: control and entry instances. Each has a loopback
 * address of its own, since instances are identified by their address.
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
  /** Relay that callers connect to; only in front of entry instances. */
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
  /** Sends SIGTERM; resolves when the process has exited. */
  stop(target: SoakProcess): Promise<void>;
  pause(target: SoakProcess): void;
  resume(target: SoakProcess): void;
  removeDataFolder(target: SoakProcess): void;
  /** Appends an incomplete record to the control log. */
  appendTornWrite(target: SoakProcess): void;
  end(): Promise<void>;
}

export interface SoakDeploymentOptions {
  /** First two octets of the addresses of all instances. */
  readonly networkPrefix: string;
  readonly domainIds: readonly string[];
  readonly entriesPerDomain: number;
  readonly upstreamList: string;
  onUnexpectedExit(exit: string): void;
}

const programPath = "dist/platform/main.js";
const stopTimeoutMs = 9_500;

export async function startSoakDeployment(
  options: SoakDeploymentOptions,
): Promise<SoakDeployment> {
  const { networkPrefix, domainIds } = options;
  const folder = mkdtempSync(join(tmpdir(), "apricotyoke-soak-"));
  const signaledChildren = new Set<ChildProcess>();
  const started = new Set<SoakProcess>();
  const control = domainIds.map((_, domain) =>
    createSoakProcess(
      `control-${domain}`,
      `${networkPrefix}.${domain}.1`,
      undefined,
    )
  );
  const entries: SoakProcess[] = [];
  for (const domain of domainIds.keys()) {
    for (let number = 0; number < options.entriesPerDomain; number++) {
      const host = `${networkPrefix}.${domain}.${10 + number}`;
      const target = { host, port: forwardingPorts.callers };
      const relay = await startRelay(target, { host: "127.0.0.1", port: 0 });
      entries.push(createSoakProcess(`entry-${domain}-${number}`, host, relay));
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
    kill: (target) => sendSignal(target, "SIGKILL"),
    stop,
    pause: (target) => {
      target.isPaused = target.child?.kill("SIGSTOP") ?? false;
    },
    resume,
    removeDataFolder: (target) =>
      rmSync(getDataFolder(target), { recursive: true }),
    appendTornWrite,
    end: async () => {
      for (const target of processes) resume(target);
      await Promise.all(
        processes.map((target) => sendSignal(target, "SIGKILL")),
      );
      for (const { relay } of entries) relay?.close();
      process.off("exit", killAll);
    },
  };

  function createSoakProcess(
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
    writeFileSync(settingsPath, JSON.stringify(createSettings(target)));
    started.add(target);
    const log = openSync(join(folder, `${target.name}.log`), "a");
    const child = spawn(process.execPath, [programPath], {
      env: { ...process.env, APRICOTYOKE_CONFIG: settingsPath },
      stdio: ["ignore", log, log],
    });
    target.child = child;
    target.isPaused = false;
    child.once("exit", (code, name) => {
      if (target.child === child) target.child = undefined;
      if (!signaledChildren.has(child)) {
        options.onUnexpectedExit(
          `${target.name}: status ${code}, signal ${name}`,
        );
      }
    });
  }

  function createSettings(target: SoakProcess): Record<string, unknown> {
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

  async function sendSignal(
    target: SoakProcess,
    name: "SIGKILL" | "SIGTERM",
  ): Promise<void> {
    const { child } = target;
    if (!child) return;
    signaledChildren.add(child);
    const ended = new Promise<void>((resolve) =>
      child.once("exit", () => resolve())
    );
    child.kill(name);
    await ended;
  }

  async function stop(target: SoakProcess): Promise<void> {
    const { child } = target;
    const timer = setTimeout(() => child?.kill("SIGKILL"), stopTimeoutMs);
    await sendSignal(target, "SIGTERM");
    clearTimeout(timer);
  }

  function resume(target: SoakProcess): void {
    if (target.isPaused) target.child?.kill("SIGCONT");
    target.isPaused = false;
  }

  function appendTornWrite(target: SoakProcess): void {
    const logFolder = join(getDataFolder(target), "log");
    // The folder is missing if the process was killed before its first write.
    if (!existsSync(logFolder)) return;
    const last = readdirSync(logFolder).filter((name) =>
      name.startsWith("log-")
    ).sort().at(-1);
    if (last) appendFileSync(join(logFolder, last), "torn");
  }
}
