/**
 * Holds the newest configuration that one instance knows, and at which revision
 * each object last changed, so that another instance receives only what it
 * lacks. Earlier states of an object are not kept: memory depends on the size of
 * the configuration and not on the number of changes before it.
 *
 * An update from `fromRevision` contains the newest state of every object
 * changed since then, so it also applies to any later revision below its own.
 */
import * as z from "zod";
import {
  applyChanges,
  type Configuration,
  type ConfigurationChanges,
  configurationChangesSchema,
  configurationSchema,
  lookUp,
  objectKinds,
} from "./configuration.ts";

export const configurationUpdateSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("changes"),
    fromRevision: z.int().min(0),
    revision: z.int().min(0),
    changes: configurationChangesSchema,
  }),
  z.object({ kind: z.literal("full"), configuration: configurationSchema }),
]);

export type ConfigurationUpdate = z.output<typeof configurationUpdateSchema>;

export interface ConfigurationStore {
  getConfiguration(): Configuration;
  getRevision(): number;
  /**
   * Applies the update if it is newer and, unless it is full, starts at or
   * below the stored revision. A lower revision never replaces a higher one.
   */
  tryApply(update: ConfigurationUpdate): boolean;
  /** Records a configuration that the control log produced, if it is newer. */
  tryRecord(
    committed: Configuration,
    changes: ConfigurationChanges | undefined,
  ): boolean;
  getUpdate(fromRevision: number): ConfigurationUpdate;
}

type ObjectKind = typeof objectKinds[number];

/** The latest change of an object that still exists or was removed. */
interface ObjectChange {
  readonly kind: ObjectKind;
  readonly name: string;
  readonly revision: number;
}

/**
 * Limits the names of removed objects. Beyond it, an instance that is behind
 * gets the full configuration.
 */
const maxRemovedObjects = 10_000;

export function createConfigurationStore(
  initial: Configuration,
): ConfigurationStore {
  let configuration = initial;
  /** Changes after `baseRevision`, by kind and name. */
  let lastChanges = new Map<string, ObjectChange>();
  /** Lowest revision from which changes can be sent. */
  let baseRevision = initial.revision;
  return {
    getConfiguration: () => configuration,
    getRevision: () => configuration.revision,
    tryApply,
    tryRecord,
    getUpdate,
  };

  function tryApply(update: ConfigurationUpdate): boolean {
    const current = configuration.revision;
    if (update.kind === "full") {
      if (update.configuration.revision <= current) return false;
      replace(update.configuration);
      return true;
    }
    const { fromRevision, revision, changes } = update;
    if (revision <= current || !canExtend(fromRevision)) return false;
    configuration = applyChanges(configuration, changes, revision);
    recordChanges(changes);
    return true;
  }

  /**
   * Changes never extend revision 0: it comes from the local settings file,
   * which can differ between instances.
   */
  function canExtend(fromRevision: number): boolean {
    return fromRevision > 0 && fromRevision <= configuration.revision;
  }

  function tryRecord(
    committed: Configuration,
    changes: ConfigurationChanges | undefined,
  ): boolean {
    const { revision } = committed;
    if (revision <= configuration.revision) return false;
    if (!changes || !canExtend(revision - 1)) {
      replace(committed);
      return true;
    }
    configuration = committed;
    recordChanges(changes);
    return true;
  }

  function replace(next: Configuration): void {
    configuration = next;
    forgetChanges();
  }

  function forgetChanges(): void {
    lastChanges = new Map();
    baseRevision = configuration.revision;
  }

  function recordChanges(changes: ConfigurationChanges): void {
    const { revision } = configuration;
    for (const kind of objectKinds) {
      for (const name of Object.keys(changes[kind] ?? {})) {
        lastChanges.set(`${kind}\0${name}`, { kind, name, revision });
      }
    }
    if (lastChanges.size <= maxRemovedObjects) return;
    const objectCount = objectKinds.reduce(
      (sum, kind) => sum + Object.keys(configuration[kind]).length,
      0,
    );
    if (lastChanges.size > objectCount + maxRemovedObjects) forgetChanges();
  }

  function getUpdate(fromRevision: number): ConfigurationUpdate {
    const { revision } = configuration;
    if (fromRevision >= revision) {
      return { kind: "changes", fromRevision, revision, changes: {} };
    }
    if (fromRevision < Math.max(1, baseRevision)) {
      return { kind: "full", configuration };
    }
    const needed = [...lastChanges.values()].filter((change) =>
      change.revision > fromRevision
    );
    return {
      kind: "changes",
      fromRevision,
      revision,
      changes: getCurrentStates(configuration, needed),
    };
  }
}

/** Returns the present state of each object, `null` if it was removed. */
function getCurrentStates(
  configuration: Configuration,
  changed: readonly ObjectChange[],
): ConfigurationChanges {
  const states: Partial<Record<ObjectKind, Record<string, unknown>>> = {};
  for (const { kind, name } of changed) {
    const objects: Readonly<Record<string, unknown>> = configuration[kind];
    const found = states[kind] ??= {};
    found[name] = lookUp(objects, name) ?? null;
  }
  return states as ConfigurationChanges;
}
