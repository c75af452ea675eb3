/**
 * Runs on every control instance: turns crash evidence into quarantined parts,
 * which the leader records in the control log, and answers entry instances. A
 * control instance without a leader passes on what it found itself, so that a
 * partition does not delay the quarantine.
 */
import type { ResultAsync } from "neverthrow";
import { type Command, CommandKind } from "../control/commands.ts";
import type { Clock } from "../core/clock.ts";
import type { SystemError } from "../core/errors.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import { createPeriodicTask, type Task } from "../core/supervisor.ts";
import type { InstanceId } from "../core/types.ts";
import { PartStatus } from "./crash_decisions.ts";
import type { QuarantineCache } from "./quarantine_cache.ts";
import { createCrashEvidenceCollector } from "./crash_evidence_collector.ts";
import { getEndWallMs, type QuarantineTable } from "./quarantine_table.ts";
import {
  type CrashReport,
  formatPartKey,
  maxReportedAgeMs,
  type PartKey,
  type QuarantineChange,
  QuarantineChangeKind,
  type QuarantineNotice,
  QuarantineState,
  type SuspectedRequest,
} from "./quarantine_types.ts";

export interface QuarantineControl {
  readonly task: Task;
  recordReport(from: InstanceId, report: CrashReport): void;
  /**
   * The notice for an entry instance that knows `knownRevision`; undefined if
   * there is nothing to say.
   */
  getNotice(knownRevision: number): QuarantineNotice | undefined;
  /** Must be called for each change that the table applied. */
  handleChange(change: QuarantineChange): void;
}

export interface QuarantineControlOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly table: QuarantineTable;
  readonly cache: QuarantineCache;
  isLeader(): boolean;
  propose(command: Command): ResultAsync<unknown, SystemError>;
}

const tickMs = 200;
const maxProvisionalParts = 256;

export function createQuarantineControl(
  options: QuarantineControlOptions,
): QuarantineControl {
  const { clock, logger, table, cache } = options;
  const provisional = new Map<string, PartKey>();
  const collector = createCrashEvidenceCollector({ clock, getStatus });
  let watched: readonly PartKey[] = [];
  let suspected: readonly SuspectedRequest[] = [];
  let evaluatedAtMs = 0;
  return {
    task: createPeriodicTask({
      name: "quarantine",
      clock,
      intervalMs: tickMs,
      action: async () => {
        evaluateReports();
        if (options.isLeader()) await updateLog();
      },
    }),
    recordReport: collector.record,
    getNotice,
    handleChange,
  };

  function getStatus(key: PartKey): PartStatus {
    return provisional.has(formatPartKey(...key))
      ? PartStatus.Quarantined
      : table.getStatus(key);
  }

  function evaluateReports(): void {
    const findings = collector.evaluate();
    watched = findings.watched;
    suspected = findings.suspected;
    evaluatedAtMs = clock.nowMs();
    for (const key of findings.crashing) {
      const [service, partId] = key;
      provisional.set(formatPartKey(service, partId), key);
      if (provisional.size > maxProvisionalParts) {
        provisional.delete(provisional.keys().next().value!);
      }
      logger.log(logEvents.requestsQuarantined, { service, partId });
    }
  }

  async function updateLog(): Promise<void> {
    const atWallMs = clock.wallMs();
    for (const [service, partId] of [...provisional.values()]) {
      await propose({
        kind: QuarantineChangeKind.Add,
        service,
        partId,
        atWallMs,
        reason: "upstreams ended while such requests started to run",
      });
    }
    for (const record of table.list()) {
      if (getEndWallMs(record) > atWallMs) continue;
      const { service, partId, state } = record;
      await propose({
        kind: state === QuarantineState.Released
          ? QuarantineChangeKind.Lift
          : QuarantineChangeKind.Release,
        service,
        partId,
        atWallMs,
        reason: "the time is over",
      });
    }
  }

  async function propose(change: QuarantineChange): Promise<void> {
    await options.propose({ kind: CommandKind.ChangeQuarantine, change });
  }

  function handleChange(change: QuarantineChange): void {
    const { kind, service, partId, reason } = change;
    provisional.delete(formatPartKey(service, partId));
    if (kind !== QuarantineChangeKind.Add) collector.forget([service, partId]);
    cache.save();
    logger.log(logEvents.quarantineChanged, {
      change: kind,
      service,
      partId,
      reason,
      revision: table.getRevision(),
    });
  }

  function getNotice(knownRevision: number): QuarantineNotice | undefined {
    const revision = table.getRevision();
    const isKnown = revision === knownRevision;
    const uncommitted = [...provisional.values(), ...cache.listRemembered()];
    if (
      isKnown && uncommitted.length === 0 && watched.length === 0 &&
      suspected.length === 0
    ) {
      return undefined;
    }
    const sinceEvaluationMs = clock.nowMs() - evaluatedAtMs;
    return {
      revision,
      ...(isKnown ? {} : { parts: table.listQuarantined() }),
      provisional: uncommitted,
      watched: [...watched],
      suspected: suspected.map((suspect) => ({
        ...suspect,
        lastCrashAgeMs: suspect.lastCrashAgeMs + sinceEvaluationMs,
        ...(suspect.lastRunAgeMs === undefined ? {} : {
          lastRunAgeMs: Math.min(
            maxReportedAgeMs,
            suspect.lastRunAgeMs + sinceEvaluationMs,
          ),
        }),
      })),
    };
  }
}
