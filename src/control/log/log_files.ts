/**
 * The operations on files that the control log needs. Tests replace them by a
 * disk that is full, slow or loses power.
 */
import type { Buffer } from "node:buffer";
import { mkdir, open, readdir, rename } from "node:fs/promises";
import { readFile, truncate, unlink } from "node:fs/promises";

export interface AppendedFile {
  append(bytes: Uint8Array): Promise<void>;
  /** Resolves when all appended bytes are durable. */
  sync(): Promise<void>;
  close(): Promise<void>;
}

/** All paths are absolute; failures are those of `node:fs`. */
export interface LogFiles {
  createFolder(path: string): Promise<void>;
  /** Names of the files in the folder. */
  list(path: string): Promise<string[]>;
  read(path: string): Promise<Buffer>;
  /** Opens an empty file; fails for an existing one if it must be new. */
  create(path: string, mustBeNew: boolean): Promise<AppendedFile>;
  rename(from: string, to: string): Promise<void>;
  remove(path: string): Promise<void>;
  /** Cuts the file to this length, and makes that durable. */
  truncate(path: string, sizeBytes: number): Promise<void>;
  /** Makes the names in the folder durable. */
  syncFolder(path: string): Promise<void>;
}

export const systemFiles: LogFiles = {
  createFolder: async (path) => void await mkdir(path, { recursive: true }),
  list: readdir,
  read: (path) => readFile(path),
  create: async (path, mustBeNew) => {
    const handle = await open(path, mustBeNew ? "wx" : "w");
    return {
      append: (bytes) => handle.appendFile(bytes),
      sync: () => handle.datasync(),
      close: () => handle.close(),
    };
  },
  rename,
  remove: unlink,
  truncate: async (path, sizeBytes) => {
    await truncate(path, sizeBytes);
    await syncPath(path);
  },
  syncFolder: syncPath,
};

async function syncPath(path: string): Promise<void> {
  const handle = await open(path, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}
