/**
 * The rollouts in the replicated state. Commands are applied in log order, and
 * their results depend only on the state and the command.
 */
import { assertNever } from "../../core/assert_never.ts";
import { type BatchRegister, registerBatch } from "./batch_register.ts";
import { createCellCounter } from "./cell_counter.ts";
import { explainRollout, type RolloutExplanation } from "./explain_rollout.ts";
import {
  type RolloutCommand,
  RolloutCommandKind,
  type RolloutCommandResult,
  RolloutCommandStatus,
} from "./rollout_commands.ts";
import {
  applyRolloutEvent,
  createRolloutState,
  type DesiredRollout,
  getDesiredRollout,
} from "./rollout_machine.ts";
import {
  type RolloutEvent,
  RolloutEventKind,
  RolloutPhase,
  type RolloutSpec,
  type RolloutState,
} from "./rollout_types.ts";

export interface RolloutRecord {
  readonly state: RolloutState;
  readonly register: BatchRegister;
  candidateEngineIds: string[];
  enginesReportedAtWallMs: number;
  /** Time at which each engine was last counted as crashed. */
  readonly crashedAtWallMs: Record<string, number>;
}

export interface CurrentRollout extends DesiredRollout {
  readonly spec: RolloutSpec;
  readonly phase: RolloutPhase;
  readonly candidateEngineIds: readonly string[];
  readonly horizonMs: number;
}

export interface RolloutTable {
  apply(command: RolloutCommand): RolloutCommandResult;
  /** Lists the rollouts in the order in which they were started. */
  listAll(): CurrentRollout[];
  explain(rolloutId: string): RolloutExplanation | undefined;
  getSnapshot(): [string, RolloutRecord][];
  restore(entries: readonly [string, RolloutRecord][]): void;
}

/** Several instances report the same crash within this time of each other. */
const sameCrashWindowMs = 10_000;
/** Number of finished rollouts kept per service for explanations. */
const maxFinishedRollouts = 20;

export function createRolloutTable(): RolloutTable {
  const records = new Map<string, RolloutRecord>();
  return {
    apply,
    listAll,
    explain: (rolloutId) => {
      const record = records.get(rolloutId);
      return record && explainRollout(record.state);
    },
    // Copied because the state changes after the snapshot is taken.
    getSnapshot: () => structuredClone([...records]),
    restore: (entries) => {
      records.clear();
      for (const [id, record] of structuredClone(entries)) {
        records.set(id, record);
      }
    },
  };

  function apply(command: RolloutCommand): RolloutCommandResult {
    switch (command.kind) {
      case RolloutCommandKind.Start:
        return start(command.spec);
      case RolloutCommandKind.Tick:
        return createResult([...records.values()].filter((record) =>
          applyEvent(
            record,
            { kind: RolloutEventKind.Ticked },
            command.atWallMs,
          )
        ));
      case RolloutCommandKind.RecordEvidence:
        return updateRollout(
          command.rolloutId,
          (record) => recordEvidence(record, command),
        );
      case RolloutCommandKind.ReportEngines:
        return updateRollout(
          command.rolloutId,
          (record) => reportEngines(record, command),
        );
      case RolloutCommandKind.ReportLocalFault:
        return updateRollout(command.rolloutId, (record) =>
          applyEvent(record, {
            kind: RolloutEventKind.LocalFaultReported,
            finding: command.finding,
          }, command.atWallMs));
      case RolloutCommandKind.Cancel:
        return updateRollout(
          command.rolloutId,
          (record) =>
            applyEvent(
              record,
              { kind: RolloutEventKind.Cancelled },
              command.atWallMs,
            ),
        );
      default:
        return assertNever(command);
    }
  }

  function start(spec: RolloutSpec): RolloutCommandResult {
    if (records.has(spec.rolloutId)) {
      return { status: RolloutCommandStatus.Repeated, changedRolloutIds: [] };
    }
    const serviceRecords = [...records.values()].filter(({ state }) =>
      state.spec.service === spec.service
    );
    const hasActiveRollout = serviceRecords.some(({ state }) =>
      state.phase !== RolloutPhase.RolledBack &&
      state.phase !== RolloutPhase.Closed
    );
    if (hasActiveRollout) {
      return { status: RolloutCommandStatus.Conflict, changedRolloutIds: [] };
    }
    for (const { state } of serviceRecords.slice(0, -maxFinishedRollouts)) {
      records.delete(state.spec.rolloutId);
    }
    const record: RolloutRecord = {
      state: createRolloutState(spec),
      register: {},
      candidateEngineIds: [],
      enginesReportedAtWallMs: spec.createdAtWallMs,
      crashedAtWallMs: {},
    };
    records.set(spec.rolloutId, record);
    applyEvent(record, { kind: RolloutEventKind.Ticked }, spec.createdAtWallMs);
    return createResult([record]);
  }

  function updateRollout(
    rolloutId: string,
    action: (record: RolloutRecord) => boolean,
  ): RolloutCommandResult {
    const record = records.get(rolloutId);
    if (!record) {
      return { status: RolloutCommandStatus.Unknown, changedRolloutIds: [] };
    }
    return createResult(action(record) ? [record] : []);
  }

  function listAll(): CurrentRollout[] {
    return [...records.values()].map(({ state, candidateEngineIds }) => ({
      ...getDesiredRollout(state),
      spec: state.spec,
      phase: state.phase,
      candidateEngineIds,
      horizonMs: state.comparison.horizonMs,
    }));
  }
}

function recordEvidence(
  record: RolloutRecord,
  { batches, atWallMs }: Extract<
    RolloutCommand,
    { kind: RolloutCommandKind.RecordEvidence }
  >,
): boolean {
  const counter = createCellCounter();
  let stableCrashCount = 0;
  let candidateCrashCount = 0;
  for (const batch of batches) {
    if (!registerBatch(record.register, batch)) continue;
    counter.addCells(batch.cells);
    for (const { upstreamId, isCandidate } of batch.crashedEngines) {
      const lastAtMs = record.crashedAtWallMs[upstreamId] ?? -Infinity;
      if (atWallMs - lastAtMs < sameCrashWindowMs) continue;
      record.crashedAtWallMs[upstreamId] = atWallMs;
      if (isCandidate) candidateCrashCount += 1;
      else stableCrashCount += 1;
    }
  }
  return applyEvent(record, {
    kind: RolloutEventKind.EvidenceReceived,
    cells: counter.takeCells(),
    stableCrashCount,
    candidateCrashCount,
  }, atWallMs);
}

function reportEngines(
  record: RolloutRecord,
  { stableEngineIds, candidateEngineIds, atWallMs }: Extract<
    RolloutCommand,
    { kind: RolloutCommandKind.ReportEngines }
  >,
): boolean {
  const elapsedMs = Math.max(0, atWallMs - record.enginesReportedAtWallMs);
  record.enginesReportedAtWallMs = atWallMs;
  record.candidateEngineIds = [...candidateEngineIds];
  return applyEvent(record, {
    kind: RolloutEventKind.EnginesReported,
    stableEngineCount: stableEngineIds.length,
    candidateEngineCount: candidateEngineIds.length,
    elapsedMs,
  }, atWallMs);
}

/** Returns whether the phase, step or share changed. */
function applyEvent(
  record: RolloutRecord,
  event: RolloutEvent,
  atWallMs: number,
): boolean {
  const { state } = record;
  const before = `${state.phase}:${state.stepIndex}:${state.share}`;
  applyRolloutEvent(state, event, atWallMs);
  return before !== `${state.phase}:${state.stepIndex}:${state.share}`;
}

function createResult(changed: readonly RolloutRecord[]): RolloutCommandResult {
  return {
    status: RolloutCommandStatus.Applied,
    changedRolloutIds: changed.map(({ state }) => state.spec.rolloutId),
  };
}
