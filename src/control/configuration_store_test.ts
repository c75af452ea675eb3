/**
 * Guards against memory that grows with the number of changes: an instance that
 * kept the tables of 80 changes exceeded its heap limit.
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { expect, test } from "vitest";
import type { ForwardingTable } from "../forwarding/forwarding_table.ts";
import {
  applyChanges,
  type ConfigurationChanges,
  getEmptyConfiguration,
} from "./configuration.ts";
import {
  type ConfigurationStore,
  createConfigurationStore,
} from "./configuration_store.ts";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;
const changeCount = 300;

function createTable(change: number): ForwardingTable {
  return {
    routes: [],
    services: [{
      name: `service-${change}`,
      healthPath: "/health",
      maxConnections: 1,
      engine: null,
    }],
    customers: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
}

/** Makes the changes and returns how many of their tables are reachable. */
async function countKeptTables(
  store: ConfigurationStore,
  record: (changes: ConfigurationChanges, revision: number) => void,
): Promise<number> {
  const tables: WeakRef<ForwardingTable>[] = [];
  store.tryApply({
    kind: "full",
    configuration: { ...getEmptyConfiguration(), revision: 1 },
  });
  for (let change = 0; change < changeCount; change++) {
    const table = createTable(change);
    tables.push(new WeakRef(table));
    record({ forwarding: { default: table } }, store.getRevision() + 1);
  }
  // A WeakRef keeps its target until the end of the job that created it.
  await new Promise((resolve) => setTimeout(resolve, 1));
  collectGarbage();
  return tables.filter((table) => table.deref() !== undefined).length;
}

test("superseded tables that a peer sent are released", async () => {
  const store = createConfigurationStore(getEmptyConfiguration());
  const keptCount = await countKeptTables(
    store,
    (changes, revision) =>
      store.tryApply({
        kind: "changes",
        fromRevision: revision - 1,
        revision,
        changes,
      }),
  );
  expect(store.getRevision()).toBe(1 + changeCount);
  expect(keptCount).toBe(1);
});

test("superseded tables of the own control log are released", async () => {
  const store = createConfigurationStore(getEmptyConfiguration());
  const keptCount = await countKeptTables(
    store,
    (changes, revision) =>
      store.tryRecord(
        applyChanges(store.getConfiguration(), changes, revision),
        changes,
      ),
  );
  expect(store.getRevision()).toBe(1 + changeCount);
  expect(keptCount).toBe(1);
});

test("an instance that is behind gets each changed object once", () => {
  const store = createConfigurationStore({
    ...getEmptyConfiguration(),
    revision: 1,
  });
  const commit = (changes: ConfigurationChanges) => {
    const revision = store.getRevision() + 1;
    const next = applyChanges(store.getConfiguration(), changes, revision);
    expect(store.tryRecord(next, changes)).toBe(true);
  };
  commit({ leavingUpstreams: { a: { reason: "1" }, b: { reason: "2" } } });
  commit({ leavingUpstreams: { a: null } });
  commit({ leavingUpstreams: { c: { reason: "3" } } });
  expect(store.getUpdate(2)).toEqual({
    kind: "changes",
    fromRevision: 2,
    revision: 4,
    changes: { leavingUpstreams: { a: null, c: { reason: "3" } } },
  });
  expect(store.getUpdate(0)).toMatchObject({ kind: "full" });
});

test("the names of removed objects are bounded", () => {
  const store = createConfigurationStore({
    ...getEmptyConfiguration(),
    revision: 1,
  });
  const names = Array.from({ length: 10_001 }, (_, index) => `e${index}`);
  const create = (state: { reason: string } | null) => ({
    leavingUpstreams: Object.fromEntries(names.map((name) => [name, state])),
  });
  for (const changes of [create({ reason: "" }), create(null)]) {
    const revision = store.getRevision() + 1;
    store.tryRecord(
      applyChanges(store.getConfiguration(), changes, revision),
      changes,
    );
  }
  expect(store.getUpdate(1)).toEqual({
    kind: "full",
    configuration: { ...getEmptyConfiguration(), revision: 3 },
  });
});
