/**
 * Tests of the data folder after crashes and damage.
 */
import { appendFile, mkdtemp, readdir, readFile } from "node:fs/promises";
import { rm, truncate, unlink, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, expect, test } from "vitest";
import { ErrorKind } from "../../core/errors.ts";
import { createRandom } from "../../core/random.ts";
import { EntryKind, type LogEntry } from "../../peer/control_log_messages.ts";
import { type LogStorage, openLogStorage } from "./log_storage.ts";

let dataFolder: string;
let seed = 1;
const opened: LogStorage[] = [];

beforeEach(async () => {
  dataFolder = await mkdtemp(join(tmpdir(), "log-storage-"));
});
afterEach(async () => {
  for (const storage of opened.splice(0)) await storage.close();
  await rm(dataFolder, { recursive: true });
});

const durable = { groupId: "g", term: 3, votedFor: "c1/x" };

function open(segmentBytes = 1_000_000) {
  const random = createRandom(seed++);
  const options = { dataFolder, instanceId: "c0", random, segmentBytes };
  return openLogStorage(options).map((storage) => {
    opened.push(storage);
    return storage;
  });
}

async function reopen(storage: LogStorage): Promise<LogStorage> {
  (await storage.close())._unsafeUnwrap();
  return (await open())._unsafeUnwrap();
}

function createEntries(from: number, to: number, term = 1): LogEntry[] {
  return Array.from({ length: to - from + 1 }, (_, offset) => ({
    index: from + offset,
    term,
    kind: EntryKind.Command,
    data: new Uint8Array(50).fill(from + offset),
    configuration: null,
  }));
}

async function write(storage: LogStorage, from: number, to: number, term = 1) {
  const entries = createEntries(from, to, term);
  (await storage.write({ durable, entries }))._unsafeUnwrap();
}

async function getPath(prefix: string, offset = -1): Promise<string> {
  const names = (await readdir(dataFolder)).sort();
  return join(
    dataFolder,
    names.filter((n) => n.startsWith(prefix)).at(offset)!,
  );
}

async function expectRejected(text: string): Promise<void> {
  const error = (await open())._unsafeUnwrapErr();
  expect(error.kind).toBe(ErrorKind.Storage);
  expect(error.message).toContain(text);
}

// Guards against losing a vote or an entry across a restart, and against
// keeping entries that a new leader overwrote.
test("votes, entries and overwrites of entries survive a restart", async () => {
  const first = (await open())._unsafeUnwrap();
  await write(first, 1, 5);
  await write(first, 4, 4, 2);
  const second = await reopen(first);
  expect(second.replicaId).toBe(first.replicaId);
  expect(second.stored.durable).toEqual(durable);
  const expected = [...createEntries(1, 3), ...createEntries(4, 4, 2)];
  expect(second.stored.entries).toEqual(expected);
});

// Guards against refusing to start after a crash in the middle of a write.
test.each([1, 7, 9, 60])(
  "a torn tail of %i bytes is truncated",
  async (bytes) => {
    const first = (await open())._unsafeUnwrap();
    await write(first, 1, 2);
    const validBytes = (await readFile(await getPath("log-"))).length;
    await write(first, 3, 3);
    await truncate(await getPath("log-"), validBytes + bytes);
    const second = await reopen(first);
    expect(second.stored.entries).toEqual(createEntries(1, 2));
    await write(second, 3, 3, 2);
    const third = await reopen(second);
    expect(third.stored.entries.at(-1)).toEqual(createEntries(3, 3, 2)[0]);
  },
);

test("zeros at the end of a segment are truncated as a torn tail", async () => {
  const first = (await open())._unsafeUnwrap();
  await write(first, 1, 2);
  await appendFile(await getPath("log-"), new Uint8Array(4_096));
  const second = await reopen(first);
  expect(second.stored.entries).toEqual(createEntries(1, 2));
});

// Guards against silently dropping synced entries after a damaged one.
test("a checksum error before a valid record is rejected", async () => {
  const first = (await open())._unsafeUnwrap();
  await write(first, 1, 2);
  const offset = (await readFile(await getPath("log-"))).length - 5;
  await write(first, 3, 3);
  const path = await getPath("log-");
  const bytes = await readFile(path);
  bytes[offset]! ^= 1;
  await writeFile(path, bytes);
  await first.close();
  await expectRejected("is damaged");
});

test("a torn record in an older segment is rejected", async () => {
  const first = (await open(100))._unsafeUnwrap();
  await write(first, 1, 2);
  await write(first, 3, 4);
  await first.close();
  const path = await getPath("log-", -2);
  await truncate(path, (await readFile(path)).length - 3);
  await expectRejected("is damaged");
});

// Guards against keeping every segment indefinitely, and against deleting
// entries that no snapshot covers.
test("a snapshot deletes the segments that it covers", async () => {
  const first = (await open(100))._unsafeUnwrap();
  for (let index = 1; index <= 9; index++) await write(first, index, index);
  const snapshot = {
    index: 6,
    term: 1,
    configuration: { voters: [first.replicaId], learners: [] },
    data: new Uint8Array([1, 2, 3]),
  };
  const change = { baseIndex: 4, isReset: false };
  (await first.saveSnapshot(snapshot, change))._unsafeUnwrap();
  const second = await reopen(first);
  expect(second.stored.snapshot).toEqual(snapshot);
  expect(second.stored.entries).toEqual(createEntries(5, 9));
  expect(second.stored.durable).toEqual(durable);

  // A leader's snapshot supersedes the whole log.
  const later = { ...snapshot, index: 20, term: 2 };
  const reset = { baseIndex: 20, isReset: true };
  (await second.saveSnapshot(later, reset))._unsafeUnwrap();
  const third = await reopen(second);
  expect(third.stored.snapshot).toEqual(later);
  expect(third.stored.entries).toEqual([]);
});

// Guards against a folder that is rejected after a crash between the rename of a
// leader's snapshot and the record that resets the log.
test("entries that a snapshot superseded leave no gap after a crash", async () => {
  const first = (await open())._unsafeUnwrap();
  await write(first, 1, 3);
  const path = await getPath("log-");
  const sizeBytes = (await readFile(path)).length;
  const snapshot = {
    index: 20,
    term: 2,
    configuration: { voters: [first.replicaId], learners: [] },
    data: new Uint8Array([1, 2, 3]),
  };
  const reset = { baseIndex: 20, isReset: true };
  (await first.saveSnapshot(snapshot, reset))._unsafeUnwrap();
  await truncate(path, sizeBytes);
  const second = await reopen(first);
  expect(second.stored.entries).toEqual([]);
  await write(second, 21, 22, 2);
  const third = await reopen(second);
  expect(third.stored.snapshot).toEqual(snapshot);
  expect(third.stored.entries).toEqual(createEntries(21, 22, 2));
});

test("an unfinished snapshot is ignored, and a truncated one is rejected", async () => {
  const first = (await open())._unsafeUnwrap();
  await write(first, 1, 3);
  const snapshot = {
    index: 2,
    term: 1,
    configuration: { voters: [], learners: [] },
    data: new Uint8Array(200),
  };
  const change = { baseIndex: 0, isReset: false };
  (await first.saveSnapshot(snapshot, change))._unsafeUnwrap();
  const bytes = await readFile(await getPath("snapshot-"));
  const unfinished = join(dataFolder, "snapshot-000000000000003.tmp");
  await writeFile(unfinished, bytes.subarray(0, 50));
  const second = await reopen(first);
  expect(second.stored.snapshot).toEqual(snapshot);
  await second.close();
  await truncate(await getPath("snapshot-"), bytes.length - 1);
  await expectRejected("is damaged");
});

// Guards against a second vote in a term by a replica that lost its log.
test("an identity is new in an empty folder and rejected without a log", async () => {
  const first = (await open())._unsafeUnwrap();
  await first.close();
  await unlink(await getPath("log-"));
  await expectRejected("no segment");
  await unlink(await getPath("identity"));
  const second = (await open())._unsafeUnwrap();
  expect(second.replicaId).not.toBe(first.replicaId);
});
