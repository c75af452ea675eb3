/**
 * One value in one file of the data folder. The file is replaced atomically and
 * synced, and a damaged file is recognized by its checksum.
 */
import { createHash } from "node:crypto";
import { mkdirSync, readFileSync } from "node:fs";
import { open, rename } from "node:fs/promises";
import { join } from "node:path";
import { ok, Result, ResultAsync } from "neverthrow";
import * as z from "zod";
import {
  createError,
  ErrorKind,
  getErrorMessage,
  type SystemError,
} from "./errors.ts";

export interface ChecksummedFile<T> {
  /** Returns the stored value, or undefined if there is no file yet. */
  load(): Result<T | undefined, SystemError>;
  save(value: T): ResultAsync<void, SystemError>;
}

const fileSchema = z.object({ sha256: z.string(), content: z.string() });

export function createChecksummedFile<T extends z.ZodType>(
  folder: string,
  name: string,
  schema: T,
): ChecksummedFile<z.output<T>> {
  const filePath = join(folder, name);
  return {
    load: () => Result.fromThrowable(read, fail)().andThen(parse),
    save: (value) =>
      ResultAsync.fromPromise(write(JSON.stringify(value)), fail),
  };

  function read(): string | undefined {
    mkdirSync(folder, { recursive: true });
    try {
      return readFileSync(filePath, "utf8");
    } catch (cause) {
      if ((cause as { code?: unknown }).code === "ENOENT") return undefined;
      throw cause;
    }
  }

  function parse(
    text: string | undefined,
  ): Result<z.output<T> | undefined, SystemError> {
    if (text === undefined) return ok(undefined);
    return Result.fromThrowable(() => {
      const { sha256, content } = fileSchema.parse(JSON.parse(text));
      if (sha256 !== getSha256(content)) throw new Error("checksum mismatch");
      return schema.parse(JSON.parse(content));
    }, fail)();
  }

  /** Replaces the file by a rename, which is atomic even if power is lost. */
  async function write(content: string): Promise<void> {
    const newPath = `${filePath}.new`;
    const file = await open(newPath, "w");
    try {
      await file.writeFile(
        JSON.stringify({ sha256: getSha256(content), content }),
      );
      await file.sync();
    } finally {
      await file.close();
    }
    await rename(newPath, filePath);
    const openFolder = await open(folder, "r");
    try {
      await openFolder.sync();
    } finally {
      await openFolder.close();
    }
  }

  function fail(cause: unknown): SystemError {
    return createError(
      ErrorKind.Storage,
      `${filePath}: ${getErrorMessage(cause)}`,
    );
  }
}

function getSha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
