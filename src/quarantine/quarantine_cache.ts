/**
 * The quarantined parts that a control instance last knew, for the time between
 * its start and the moment when the control log has a leader again. Without
 * them, requests with such parts would crash engines after each restart.
 */
import * as z from "zod";
import type { Clock } from "../core/clock.ts";
import { createChecksummedFile } from "../core/checksummed_file.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import type { QuarantineTable } from "./quarantine_table.ts";
import { type PartKey, partKeySchema } from "./quarantine_types.ts";

export interface QuarantineCache {
  /** Parts to refuse until the table knows at least as much. */
  listRemembered(): readonly PartKey[];
  /** Stores the table; saves that follow each other quickly are combined. */
  save(): void;
}

export interface QuarantineCacheOptions {
  readonly clock: Pick<Clock, "nowMs">;
  readonly logger: Logger;
  readonly dataFolder: string;
  readonly table: QuarantineTable;
}

const cacheSchema = z.object({
  revision: z.int().min(0),
  parts: z.array(partKeySchema).max(1_000).readonly(),
});

/** A control group that lost its log never reaches the stored revision. */
const maxRememberedMs = 60_000;

export function createQuarantineCache(
  { clock, logger, dataFolder, table }: QuarantineCacheOptions,
): QuarantineCache {
  const file = createChecksummedFile(
    dataFolder,
    "quarantine.json",
    cacheSchema,
  );
  /** What the file holds. */
  let stored = file.load().unwrapOr(undefined);
  /** Since when the table is behind the file. */
  let behindSinceMs: number | undefined;
  let isSaving = false;
  let isSaveDue = false;
  return {
    listRemembered: () => isBehind() ? stored!.parts : [],
    save: () => {
      isSaveDue = true;
      if (!isSaving) void saveAll();
    },
  };

  /**
   * Whether the table knows less than the file, as while the log is replayed
   * after a start or after it was opened again.
   */
  function isBehind(): boolean {
    if (stored === undefined || table.getRevision() >= stored.revision) {
      behindSinceMs = undefined;
      return false;
    }
    behindSinceMs ??= clock.nowMs();
    return clock.nowMs() - behindSinceMs <= maxRememberedMs;
  }

  async function saveAll(): Promise<void> {
    isSaving = true;
    while (isSaveDue) {
      isSaveDue = false;
      if (isBehind()) continue;
      const next = {
        revision: table.getRevision(),
        parts: table.listQuarantined(),
      };
      const saved = await file.save(next);
      if (saved.isOk()) stored = next;
      if (saved.isErr()) {
        logger.log(logEvents.quarantineCacheFailed, {
          reason: saved.error.message,
        });
      }
    }
    isSaving = false;
  }
}
