/**
 * The data folder of a control instance: identity, log segments and snapshots.
 *
 * `identity.json` is written last when a folder is created, and a folder that
 * has an identity but no segment is rejected. A replica therefore never starts
 * without a recorded vote under an identity that may have voted.
 */
import { join } from "node:path";
import { ResultAsync } from "neverthrow";
import {
  createError,
  ErrorKind,
  getErrorMessage,
  type SystemError,
} from "../../core/errors.ts";
import type { Random } from "../../core/random.ts";
import type { InstanceId } from "../../core/types.ts";
import type { LogEntry } from "../../peer/control_log_messages.ts";
import { emptySnapshot } from "./consensus.ts";
import { type AppendedFile, type LogFiles, systemFiles } from "./log_files.ts";
import {
  type DurableState,
  getInstanceId,
  type LogSnapshot,
  type ReplicaId,
  type StoredLog,
} from "./log_types.ts";
import { decodeRecords, encodeRecord, type LogRecord } from "./record_codec.ts";

export interface LogStorage {
  readonly replicaId: ReplicaId;
  readonly stored: StoredLog;
  /** Resolves when the record is synced. Calls must not overlap. */
  write(record: LogRecord): ResultAsync<void, SystemError>;
  /**
   * Replaces the snapshot and deletes segments with no entry after `baseIndex`.
   */
  saveSnapshot(
    snapshot: LogSnapshot,
    options: { readonly baseIndex: number; readonly isReset: boolean },
  ): ResultAsync<void, SystemError>;
  close(): ResultAsync<void, SystemError>;
}

export interface LogStorageOptions {
  readonly dataFolder: string;
  readonly instanceId: InstanceId;
  readonly random: Random;
  readonly segmentBytes?: number;
  readonly files?: LogFiles;
}

interface Segment {
  readonly name: string;
  lastIndex: number;
}

const identityName = "identity.json";
const defaultSegmentBytes = 8 * 1024 * 1024;

export function openLogStorage(
  options: LogStorageOptions,
): ResultAsync<LogStorage, SystemError> {
  return toResult(openFolder(options));
}

async function openFolder(options: LogStorageOptions): Promise<LogStorage> {
  const { dataFolder, instanceId, random, files = systemFiles } = options;
  const segmentBytes = options.segmentBytes ?? defaultSegmentBytes;
  await files.createFolder(dataFolder);
  const names = (await files.list(dataFolder)).sort();
  for (const name of names.filter((entry) => entry.endsWith(".tmp"))) {
    await files.remove(join(dataFolder, name));
  }
  const hasIdentity = names.includes(identityName);
  const segments: Segment[] = [];
  let durable: DurableState = { groupId: "", term: 0, votedFor: "" };
  let segmentNumber = 0;
  let segmentSizeBytes = 0;
  let hasDroppedEntries = false;
  let handle: AppendedFile;
  let replicaId: ReplicaId;
  let stored: StoredLog;
  if (hasIdentity) {
    replicaId = await readIdentity();
    const snapshot = await readSnapshot();
    const entries = await readSegments(names.filter(isSegmentName));
    const kept = dropSupersededEntries(entries, snapshot);
    hasDroppedEntries = kept.length < entries.length;
    stored = { durable, snapshot, entries: kept };
  } else {
    if (names.some((name) => isSnapshotName(name))) {
      throw new Error(`${identityName} is missing, but a snapshot exists`);
    }
    // A startup that was interrupted before the identity was written leaves
    // only segments.
    for (const name of names.filter(isSegmentName)) {
      await files.remove(join(dataFolder, name));
    }
    const randomValues = Array.from(
      { length: 4 },
      () => random.nextInt(2 ** 31),
    );
    replicaId = `${instanceId}/${
      randomValues.map((value) => value.toString(16).padStart(8, "0")).join("")
    }`;
    stored = { durable, snapshot: emptySnapshot, entries: [] };
  }
  handle = await startSegment();
  try {
    // Otherwise the entries that follow the snapshot would leave a gap after
    // the dropped ones, and the next start would reject the folder.
    if (hasDroppedEntries) await write({ isReset: true });
    if (!hasIdentity) {
      const identity = JSON.stringify({ replicaId });
      await replaceFileAtomically(
        identityName,
        new TextEncoder().encode(identity),
      );
    }
  } catch (cause) {
    await discardSegment(handle, segments.at(-1)!.name);
    throw cause;
  }
  return {
    replicaId,
    stored,
    write: (record) => toResult(write(record)),
    saveSnapshot: (snapshot, change) =>
      toResult(saveSnapshot(snapshot, change)),
    close: () => toResult(handle.close()),
  };

  async function readSegments(found: readonly string[]): Promise<LogEntry[]> {
    if (found.length === 0) throw new Error("the data folder has no segment");
    const entries: LogEntry[] = [];
    for (const name of found) {
      const path = join(dataFolder, name);
      const bytes = await files.read(path);
      const { values, validBytes, isDamaged } = decodeRecords(bytes);
      const isLast = name === found.at(-1);
      if (isDamaged || (!isLast && validBytes < bytes.length)) {
        throw new Error(`${name} is damaged after byte ${validBytes}`);
      }
      const segment = { name, lastIndex: 0 };
      for (const value of values) {
        const record = value as LogRecord;
        durable = record.durable ?? durable;
        if (record.isReset) entries.length = 0;
        addEntries(entries, record.entries ?? [], name);
        segment.lastIndex = getMaxIndex(segment.lastIndex, record.entries);
      }
      if (validBytes < bytes.length) {
        await files.truncate(path, validBytes);
      }
      segments.push(segment);
      segmentNumber = getSegmentNumber(name);
    }
    return entries;
  }

  /**
   * Creates a segment that starts with the durable state, so that older
   * segments can be deleted.
   */
  async function startSegment(): Promise<AppendedFile> {
    segmentNumber += 1;
    const name = `log-${String(segmentNumber).padStart(12, "0")}`;
    const next = await files.create(join(dataFolder, name), true);
    const bytes = encodeRecord({ durable });
    try {
      await next.append(bytes);
      await next.sync();
      await files.syncFolder(dataFolder);
    } catch (cause) {
      await discardSegment(next, name);
      throw cause;
    }
    segments.push({ name, lastIndex: 0 });
    segmentSizeBytes = bytes.length;
    return next;
  }

  /**
   * Removes a segment on which nothing relies yet. A full disk may be tried for
   * a long time, with a new segment each time. The failure that came before is
   * the one to report.
   */
  async function discardSegment(
    file: AppendedFile,
    name: string,
  ): Promise<void> {
    await file.close().catch(() => {});
    await files.remove(join(dataFolder, name)).catch(() => {});
  }

  async function write(record: LogRecord): Promise<void> {
    durable = record.durable ?? durable;
    if (segmentSizeBytes >= segmentBytes) {
      await handle.close();
      handle = await startSegment();
    }
    const bytes = encodeRecord(record);
    await handle.append(bytes);
    await handle.sync();
    segmentSizeBytes += bytes.length;
    const segment = segments.at(-1)!;
    segment.lastIndex = getMaxIndex(segment.lastIndex, record.entries);
  }

  async function saveSnapshot(
    snapshot: LogSnapshot,
    { baseIndex, isReset }: { baseIndex: number; isReset: boolean },
  ): Promise<void> {
    const name = `snapshot-${String(snapshot.index).padStart(15, "0")}`;
    await replaceFileAtomically(name, encodeRecord(snapshot));
    if (isReset) await write({ isReset });
    const names = await files.list(dataFolder);
    for (const other of names.filter(isSnapshotName)) {
      if (other < name) await files.remove(join(dataFolder, other));
    }
    while (segments.length > 1 && segments[0]!.lastIndex <= baseIndex) {
      await files.remove(join(dataFolder, segments.shift()!.name));
      // Without this sync, a loss of power may keep a segment and remove the
      // following one with the record that resets the log.
      await files.syncFolder(dataFolder);
    }
  }

  async function readIdentity(): Promise<ReplicaId> {
    const bytes = await files.read(join(dataFolder, identityName));
    const { replicaId } = JSON.parse(bytes.toString("utf8")) as {
      replicaId: ReplicaId;
    };
    if (getInstanceId(replicaId) !== instanceId) {
      throw new Error(`the data folder belongs to ${replicaId}`);
    }
    return replicaId;
  }

  async function readSnapshot(): Promise<LogSnapshot> {
    const name = names.filter(isSnapshotName).at(-1);
    if (!name) return emptySnapshot;
    const { values } = decodeRecords(await files.read(join(dataFolder, name)));
    if (values.length !== 1) throw new Error(`${name} is damaged`);
    const snapshot = values[0] as LogSnapshot;
    return { ...snapshot, data: new Uint8Array(snapshot.data) };
  }

  /**
   * Replaces a file atomically: after a crash it has either its old or its new
   * content.
   */
  async function replaceFileAtomically(
    name: string,
    bytes: Uint8Array,
  ): Promise<void> {
    const temporary = join(dataFolder, `${name}.tmp`);
    const file = await files.create(temporary, false);
    try {
      await file.append(bytes);
      await file.sync();
    } finally {
      await file.close();
    }
    await files.rename(temporary, join(dataFolder, name));
    await files.syncFolder(dataFolder);
  }
}

function addEntries(
  entries: LogEntry[],
  added: readonly LogEntry[],
  name: string,
): void {
  const first = added[0];
  if (!first) return;
  const baseIndex = entries[0]?.index ?? first.index;
  const keptCount = first.index - baseIndex;
  if (keptCount > entries.length) {
    throw new Error(`${name} lacks entries before ${first.index}`);
  }
  entries.length = Math.max(0, keptCount);
  // Decoded bytes are views that would keep the whole segment in memory.
  for (const entry of added) {
    entries.push({ ...entry, data: new Uint8Array(entry.data) });
  }
}

/**
 * Drops entries that end before the snapshot or conflict with it. They remain
 * if the process stops between saving a leader's snapshot and resetting the
 * log.
 */
function dropSupersededEntries(
  entries: LogEntry[],
  snapshot: LogSnapshot,
): readonly LogEntry[] {
  const first = entries[0];
  if (!first) return [];
  if (first.index > snapshot.index + 1) {
    throw new Error(`log entries after ${snapshot.index} are missing`);
  }
  if (first.index === snapshot.index + 1) return entries;
  const last = entries[snapshot.index - first.index];
  return last?.term === snapshot.term ? entries : [];
}

function getMaxIndex(
  index: number,
  entries: readonly LogEntry[] | undefined,
): number {
  return Math.max(index, entries?.at(-1)?.index ?? 0);
}

function isSegmentName(name: string): boolean {
  return /^log-\d{12}$/.test(name);
}

function isSnapshotName(name: string): boolean {
  return /^snapshot-\d{15}$/.test(name);
}

function getSegmentNumber(name: string): number {
  return Number(name.slice("log-".length));
}

function toResult<T>(promise: Promise<T>): ResultAsync<T, SystemError> {
  return ResultAsync.fromPromise(
    promise,
    (cause) => createError(ErrorKind.Storage, getErrorMessage(cause)),
  );
}
