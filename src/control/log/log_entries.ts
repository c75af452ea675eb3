/**
 * The log entries in memory: lookup, append, truncation and compaction.
 */
import { type LogEntry } from "../../peer/control_log_messages.ts";
import {
  ConsensusEffectKind,
  type ConsensusState,
  type LogSnapshot,
  type StepContext,
} from "./log_types.ts";

export function getLastIndex(state: ConsensusState): number {
  return state.baseIndex + state.entries.length;
}

export function getLastTerm(state: ConsensusState): number {
  return state.entries.at(-1)?.term ?? state.baseTerm;
}

/**
 * Returns undefined for an index that was compacted or is not in the log yet.
 */
export function getTermAt(
  state: ConsensusState,
  index: number,
): number | undefined {
  if (index === state.baseIndex) return state.baseTerm;
  if (index === state.snapshot.index) return state.snapshot.term;
  return state.entries[index - state.baseIndex - 1]?.term;
}

/**
 * Returns the entries from `fromIndex` on within the limits. The first entry
 * may exceed the byte limit.
 */
export function sliceEntries(
  state: ConsensusState,
  fromIndex: number,
  limits: { readonly maxBytes: number; readonly maxEntries: number },
): LogEntry[] {
  const start = fromIndex - state.baseIndex - 1;
  let end = start;
  let sizeBytes = 0;
  const last = Math.min(state.entries.length, start + limits.maxEntries);
  while (end < last) {
    sizeBytes += getEntryBytes(state.entries[end]!);
    if (sizeBytes > limits.maxBytes && end > start) break;
    end += 1;
  }
  return state.entries.slice(start, end);
}

/** Returns the bytes of the entries in memory between two indexes. */
export function getBytesBetween(
  state: ConsensusState,
  fromIndex: number,
  toIndex: number,
): number {
  const start = Math.max(0, fromIndex - state.baseIndex - 1);
  const end = toIndex - state.baseIndex;
  let sizeBytes = 0;
  for (let index = start; index < end; index++) {
    sizeBytes += getEntryBytes(state.entries[index]!);
  }
  return sizeBytes;
}

/** Upper bound of the encoded size of an entry's fields besides its data. */
const entryOverheadBytes = 100;

function getEntryBytes(entry: LogEntry): number {
  return entry.data.length + entryOverheadBytes;
}

/** Appends the entries, replacing those with the same or a higher index. */
export function appendEntries(
  step: StepContext,
  entries: readonly LogEntry[],
): void {
  if (entries.length === 0) return;
  const { state, effects } = step;
  const keptCount = entries[0]!.index - state.baseIndex - 1;
  if (entries[0]!.index <= state.commitIndex || keptCount < 0) {
    throw new Error(`entry ${entries[0]!.index} is committed already`);
  }
  const isTruncated = keptCount < state.entries.length;
  if (isTruncated) state.entries.length = keptCount;
  state.entries.push(...entries);
  effects.push({ kind: ConsensusEffectKind.SaveEntries, entries });
  if (isTruncated || entries.some((entry) => entry.configuration)) {
    updateConfiguration(state);
  }
}

/**
 * A group configuration takes effect once it is in the log, committed or not.
 */
export function updateConfiguration(state: ConsensusState): void {
  const entry = state.entries.findLast((candidate) =>
    candidate.configuration !== null &&
    candidate.index > state.snapshot.index
  );
  state.configuration = entry?.configuration ?? state.snapshot.configuration;
  state.configurationIndex = entry?.index ?? state.snapshot.index;
}

/** Advances the commit index and emits the newly committed entries. */
export function commitUpTo(step: StepContext, index: number): void {
  const { state, effects } = step;
  if (index <= state.commitIndex) return;
  const entries = state.entries.slice(
    state.commitIndex - state.baseIndex,
    index - state.baseIndex,
  );
  state.commitIndex = index;
  effects.push({ kind: ConsensusEffectKind.Commit, entries });
}

/**
 * Stores a snapshot of the applied state and drops the entries it covers,
 * except for the trailing entries.
 */
export function compact(
  step: StepContext,
  { index, data }: { index: number; data: Uint8Array },
): void {
  const { state, effects } = step;
  if (index <= state.snapshot.index || index > state.commitIndex) return;
  const configurationEntry = state.entries.findLast((entry) =>
    entry.configuration !== null && entry.index <= index &&
    entry.index > state.snapshot.index
  );
  const snapshot: LogSnapshot = {
    index,
    term: getTermAt(state, index)!,
    configuration: configurationEntry?.configuration ??
      state.snapshot.configuration,
    data,
  };
  const baseIndex = getTrailingBase(state, index);
  state.baseTerm = getTermAt(state, baseIndex)!;
  state.entries.splice(0, baseIndex - state.baseIndex);
  state.baseIndex = baseIndex;
  state.snapshot = snapshot;
  effects.push({
    kind: ConsensusEffectKind.SaveSnapshot,
    snapshot,
    baseIndex,
    isReset: false,
  });
}

/** Returns the index before the first trailing entry of a snapshot. */
function getTrailingBase(state: ConsensusState, index: number): number {
  const { trailingEntries, trailingBytes } = state.options;
  const lowest = Math.max(state.baseIndex, index - trailingEntries);
  let base = index;
  let sizeBytes = 0;
  while (base > lowest) {
    sizeBytes += getEntryBytes(state.entries[base - state.baseIndex - 1]!);
    if (sizeBytes > trailingBytes) break;
    base -= 1;
  }
  return base;
}

/** Installs a snapshot from the leader in place of the entries it covers. */
export function installSnapshot(
  step: StepContext,
  snapshot: LogSnapshot,
): void {
  const { state, effects } = step;
  if (snapshot.index <= state.commitIndex) return;
  const isReset = getTermAt(state, snapshot.index) !== snapshot.term;
  if (isReset) state.entries = [];
  else state.entries.splice(0, snapshot.index - state.baseIndex);
  state.baseIndex = snapshot.index;
  state.baseTerm = snapshot.term;
  state.snapshot = snapshot;
  state.commitIndex = snapshot.index;
  updateConfiguration(state);
  effects.push({
    kind: ConsensusEffectKind.SaveSnapshot,
    snapshot,
    baseIndex: snapshot.index,
    isReset,
  }, { kind: ConsensusEffectKind.Restore, snapshot });
}
