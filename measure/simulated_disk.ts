/**
 * A disk of one control instance in memory. It can be full, can lose power, and
 * counts the files that are open.
 *
 * After a loss of power a file has the content of its last sync, and each later
 * write is present, torn or missing. A name that was created, renamed or removed
 * without a sync of the folder is kept or lost independently of the others. A
 * new file becomes durable with its own sync.
 */
import { Buffer } from "node:buffer";
import { setTimeout as sleep } from "node:timers/promises";
import type { AppendedFile, LogFiles } from "../src/control/log/log_files.ts";
import type { Random } from "../src/core/random.ts";

export interface SimulatedDisk {
  readonly files: LogFiles;
  /**
   * Whether writes fail once the little room that is left is used up; creating
   * and cutting files may still work.
   */
  setFull(isFull: boolean): void;
  /** Time that each write takes. */
  setWriteDelayMs(delayMs: number): void;
  /** Every operation after this many further ones fails. */
  stopAfter(operationCount: number): void;
  getOperationCount(): number;
  getOpenFileCount(): number;
  /** Continues after the process was killed; the files stay as they are. */
  restart(): void;
  losePower(): void;
}

interface SimulatedFile {
  synced: Buffer;
  /** Writes after the last sync. */
  unsynced: Buffer[];
}

/** A change of a name that no sync has made durable. */
interface NameChange {
  readonly path: string;
  /** Absent if the name was removed. */
  readonly file: SimulatedFile | undefined;
}

const maxRoomBytes = 300;

export function createSimulatedDisk(random: Random): SimulatedDisk {
  let names = new Map<string, SimulatedFile>();
  let durableNames = new Map<string, SimulatedFile>();
  let nameChanges: NameChange[] = [];
  let isFull = false;
  let roomBytes = Infinity;
  let canCreateWhenFull = true;
  let writeDelayMs = 0;
  let operationCount = 0;
  let stopsAt = Infinity;
  let openFileCount = 0;
  return {
    files: {
      createFolder: () => operate(() => {}),
      list: (path) =>
        operate(() =>
          [...names.keys()].filter((name) => name.startsWith(`${path}/`))
            .map((name) => name.slice(path.length + 1))
        ),
      read: (path) => operate(() => Buffer.from(getContent(getFile(path)))),
      create,
      rename: (from, to) =>
        operate(() => {
          const file = getFile(from);
          setName(from, undefined);
          setName(to, file);
        }),
      remove: (path) =>
        operate(() => {
          getFile(path);
          setName(path, undefined);
        }),
      truncate: (path, sizeBytes) =>
        operate(() => {
          if (isFull && !canCreateWhenFull) throw createFullError();
          const file = getFile(path);
          file.synced = getContent(file).subarray(0, sizeBytes);
          file.unsynced = [];
        }),
      syncFolder: () =>
        operate(() => {
          durableNames = new Map(names);
          nameChanges = [];
        }),
    },
    setFull: (next) => {
      isFull = next;
      roomBytes = isFull ? random.nextInt(maxRoomBytes) : Infinity;
      canCreateWhenFull = random.nextInt(2) === 0;
    },
    setWriteDelayMs: (delayMs) => {
      writeDelayMs = delayMs;
    },
    stopAfter: (count) => {
      stopsAt = operationCount + count;
    },
    getOperationCount: () => operationCount,
    getOpenFileCount: () => openFileCount,
    restart,
    losePower,
  };

  async function operate<T>(action: () => T): Promise<T> {
    if (operationCount >= stopsAt) throw new Error("the process has stopped");
    operationCount += 1;
    await Promise.resolve();
    return action();
  }

  async function create(
    path: string,
    mustBeNew: boolean,
  ): Promise<AppendedFile> {
    const file = await operate(() => {
      if (isFull && !canCreateWhenFull) throw createFullError();
      if (mustBeNew && names.has(path)) throw new Error(`${path} exists`);
      const created: SimulatedFile = { synced: Buffer.alloc(0), unsynced: [] };
      setName(path, created);
      return created;
    });
    openFileCount += 1;
    let isOpen = true;
    return {
      append: (bytes) =>
        write(() => {
          const takenBytes = Math.min(bytes.length, roomBytes);
          roomBytes -= takenBytes;
          file.unsynced.push(Buffer.from(bytes.subarray(0, takenBytes)));
          if (takenBytes < bytes.length) throw createFullError();
        }),
      sync: () =>
        write(() => {
          file.synced = getContent(file);
          file.unsynced = [];
          for (const [name, held] of names) {
            if (held === file) durableNames.set(name, file);
          }
          nameChanges = nameChanges.filter((change) => change.file !== file);
        }),
      close: async () => {
        if (isOpen) openFileCount -= 1;
        isOpen = false;
        await Promise.resolve();
      },
    };

    async function write(action: () => void): Promise<void> {
      if (writeDelayMs > 0) await sleep(writeDelayMs);
      await operate(() => {
        if (!isOpen) throw new Error("the file is closed");
        action();
      });
    }
  }

  function getFile(path: string): SimulatedFile {
    const file = names.get(path);
    if (!file) throw new Error(`${path} does not exist`);
    return file;
  }

  function setName(path: string, file: SimulatedFile | undefined): void {
    if (file) names.set(path, file);
    else names.delete(path);
    nameChanges.push({ path, file });
  }

  function restart(): void {
    openFileCount = 0;
    stopsAt = Infinity;
  }

  function losePower(): void {
    restart();
    for (const { path, file } of nameChanges) {
      if (random.nextInt(2) === 0) continue;
      if (file) durableNames.set(path, file);
      else durableNames.delete(path);
    }
    nameChanges = [];
    names = new Map(durableNames);
    for (const file of names.values()) {
      const kept = file.unsynced.map((bytes) => {
        const state = random.nextInt(3);
        if (state === 0) return Buffer.alloc(0);
        return state === 1
          ? bytes
          : bytes.subarray(0, random.nextInt(bytes.length + 1));
      });
      file.synced = Buffer.concat([file.synced, ...kept]);
      file.unsynced = [];
    }
  }
}

function getContent({ synced, unsynced }: SimulatedFile): Buffer {
  return Buffer.concat([synced, ...unsynced]);
}

function createFullError(): Error {
  return Object.assign(new Error("ENOSPC: no space left on device, write"), {
    code: "ENOSPC",
  });
}
