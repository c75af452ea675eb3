/**
 * The quarantined prompt parts and requests, part of the replicated state. It
 * applies changes in log order and depends on nothing else. Its size is bounded:
 * a caller that crashes upstreams with ever new parts replaces the oldest ones.
 */
import {
  formatPartKey,
  type PartKey,
  type QuarantineChange,
  QuarantineChangeKind,
  type QuarantineRecord,
  QuarantineState,
} from "./quarantine_types.ts";
import { PartStatus } from "./crash_decisions.ts";
import { assertNever } from "../core/assert_never.ts";

export interface QuarantineSnapshot {
  readonly revision: number;
  readonly records: readonly QuarantineRecord[];
}

export interface QuarantineTable {
  /** Returns whether the change had an effect. */
  apply(change: QuarantineChange): boolean;
  /** Increases with every change. */
  getRevision(): number;
  getStatus(key: PartKey): PartStatus;
  list(): readonly QuarantineRecord[];
  listQuarantined(): PartKey[];
  getSnapshot(): QuarantineSnapshot;
  restore(snapshot: QuarantineSnapshot): void;
}

const maxRecords = 256;
const quarantineMs = 10 * 60_000;
const maxQuarantineMs = 24 * 3_600_000;
/** A part that ran without a crash for this long after its release is sound. */
const releasedRecordMs = 24 * 3_600_000;

export function createQuarantineTable(
  { onChanged }: { onChanged?(change: QuarantineChange): void } = {},
): QuarantineTable {
  /** Oldest change first. */
  const records = new Map<string, QuarantineRecord>();
  let revision = 0;
  return {
    apply,
    getRevision: () => revision,
    getStatus: ([service, partId]) =>
      toStatus(records.get(formatPartKey(service, partId))),
    list: () => [...records.values()],
    listQuarantined: () =>
      [...records.values()].filter(({ state }) =>
        state === QuarantineState.Quarantined
      ).map(({ service, partId }) => [service, partId]),
    getSnapshot: () => ({ revision, records: [...records.values()] }),
    restore: (snapshot) => {
      revision = snapshot.revision;
      records.clear();
      for (const record of snapshot.records) {
        records.set(formatPartKey(record.service, record.partId), record);
      }
    },
  };

  function apply(change: QuarantineChange): boolean {
    const { kind, service, partId, atWallMs, reason } = change;
    const id = formatPartKey(service, partId);
    const known = records.get(id);
    const isQuarantined = known?.state === QuarantineState.Quarantined;
    switch (kind) {
      case QuarantineChangeKind.Add:
        if (isQuarantined) return false;
        set(
          QuarantineState.Quarantined,
          (known?.strikes ?? 0) + 1,
          revision + 1,
        );
        break;
      case QuarantineChangeKind.Release:
        if (!isQuarantined) return false;
        set(QuarantineState.Released, known.strikes, known.addedRevision);
        break;
      case QuarantineChangeKind.Lift:
        if (!known) return false;
        if (
          change.addedRevision !== undefined &&
          change.addedRevision !== known.addedRevision
        ) return false;
        records.delete(id);
        break;
      default:
        assertNever(kind);
    }
    revision += 1;
    onChanged?.(change);
    return true;

    function set(
      state: QuarantineState,
      strikes: number,
      addedRevision: number | undefined,
    ): void {
      records.delete(id);
      records.set(id, {
        service,
        partId,
        state,
        strikes,
        ...(addedRevision === undefined ? {} : { addedRevision }),
        changedAtWallMs: atWallMs,
        reason,
      });
      if (records.size > maxRecords) {
        records.delete(records.keys().next().value!);
      }
    }
  }
}

/**
 * Returns when the record's state ends. Each further quarantine of a part lasts
 * twice as long as the one before.
 */
export function getEndWallMs(record: QuarantineRecord): number {
  const { state, strikes, changedAtWallMs } = record;
  return state === QuarantineState.Released
    ? changedAtWallMs + releasedRecordMs
    : changedAtWallMs +
      Math.min(maxQuarantineMs, quarantineMs * 2 ** (strikes - 1));
}

function toStatus(record: QuarantineRecord | undefined): PartStatus {
  switch (record?.state) {
    case undefined:
      return PartStatus.Unknown;
    case QuarantineState.Quarantined:
      return PartStatus.Quarantined;
    case QuarantineState.Released:
      return PartStatus.Released;
  }
}
