/**
 * Control leader's side of rollouts: merges the evidence of all instances,
 * proposes it one command at a time, and grants traffic leases.
 *
 * A grant is sent only after a command of the same round was committed, so an
 * isolated leader grants nothing.
 */
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { Clock } from "../../core/clock.ts";
import { createError, ErrorKind, type SystemError } from "../../core/errors.ts";
import { logEvents } from "../../core/log_events.ts";
import type { Logger } from "../../core/logger.ts";
import type { Task } from "../../core/supervisor.ts";
import type { InstanceId } from "../../core/types.ts";
import {
  type RolloutBatch,
  type RolloutCommand,
  RolloutCommandKind,
} from "./rollout_commands.ts";
import type {
  SyncRollouts,
  SyncRolloutsReply,
  TrafficGrant,
} from "./rollout_messages.ts";
import type { CurrentRollout, RolloutTable } from "./rollout_table.ts";
import { RolloutPhase } from "./rollout_types.ts";
import { alignedIntervalMs, createAlignedTask } from "./aligned_task.ts";

export interface RolloutService {
  sync(request: SyncRollouts): ResultAsync<SyncRolloutsReply, SystemError>;
  readonly task: Task;
}

export interface RolloutServiceOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly table: RolloutTable;
  isLeader(): boolean;
  getLeaderId(): InstanceId | undefined;
  propose(command: RolloutCommand): ResultAsync<unknown, SystemError>;
  getInstanceCount(): number;
}

/**
 * Delay of each round, so that the evidence of its interval arrives before it.
 */
const roundOffsetMs = 200;
export const leaseMs = 2_000;
/** Maximum number of instances that wait for one round; others must retry. */
const maxWaitingInstances = 2_000;

interface Round {
  readonly batches: Map<string, RolloutBatch[]>;
  readonly faults: SyncRollouts["faults"][number][];
  readonly waiting: ((isCommitted: boolean) => void)[];
}

export function createRolloutService(
  options: RolloutServiceOptions,
): RolloutService {
  const { clock, logger, table } = options;
  let round = createRound();
  return {
    sync,
    task: createAlignedTask({
      name: "rollout-rounds",
      clock,
      offsetMs: roundOffsetMs,
      action: runRound,
    }),
  };

  function sync(
    request: SyncRollouts,
  ): ResultAsync<SyncRolloutsReply, SystemError> {
    if (!options.isLeader()) {
      const leaderId = options.getLeaderId() ?? "";
      return okAsync({ isLeader: false, leaderId, grants: [] });
    }
    if (round.waiting.length >= maxWaitingInstances) {
      return errAsync(createError(
        ErrorKind.Overloaded,
        "too many instances wait for a rollout round",
        { retryAfterMs: alignedIntervalMs },
      ));
    }
    for (const { rolloutId, batch } of request.batches) {
      const batches = round.batches.get(rolloutId);
      if (batches) batches.push(batch);
      else round.batches.set(rolloutId, [batch]);
    }
    round.faults.push(...request.faults);
    const { waiting } = round;
    return ResultAsync.fromSafePromise(
      new Promise<boolean>((resolve) => waiting.push(resolve)),
    ).andThen((isCommitted) =>
      isCommitted ? okAsync(createReply()) : errAsync(createError(
        ErrorKind.NoQuorum,
        "the rollout round was not committed",
        { retryAfterMs: alignedIntervalMs },
      ))
    );
  }

  function createReply(): SyncRolloutsReply {
    return {
      isLeader: true,
      leaderId: "",
      grants: table.listAll().map((rollout) =>
        createGrant(rollout, options.getInstanceCount())
      ),
    };
  }

  async function runRound(): Promise<void> {
    const current = round;
    round = createRound();
    if (!options.isLeader()) {
      for (const settle of current.waiting) settle(false);
      return;
    }
    const before = getPhases();
    let isCommitted = true;
    // Without rollouts there is nothing to decide or to grant.
    const isIdle = table.listAll().length === 0;
    const commands = isIdle ? [] : createCommands(current, clock.wallMs());
    for (const command of commands) {
      const result = await options.propose(command);
      isCommitted &&= result.isOk();
    }
    for (const settle of current.waiting) settle(isCommitted);
    logChanges(before);
  }

  function getPhases(): Map<string, string> {
    return new Map(
      table.listAll().map((rollout) => [
        rollout.spec.rolloutId,
        `${rollout.phase} ${rollout.share}`,
      ]),
    );
  }

  function logChanges(before: ReadonlyMap<string, string>): void {
    for (const [rollout, state] of getPhases()) {
      if (before.get(rollout) === state) continue;
      logger.log(logEvents.rolloutChanged, {
        rollout,
        summary: table.explain(rollout)?.summary,
      });
    }
  }
}

function createRound(): Round {
  return { batches: new Map(), faults: [], waiting: [] };
}

function createCommands(round: Round, atWallMs: number): RolloutCommand[] {
  return [
    ...round.faults.map((fault): RolloutCommand => ({
      kind: RolloutCommandKind.ReportLocalFault,
      ...fault,
      atWallMs,
    })),
    ...[...round.batches].map(([rolloutId, batches]): RolloutCommand => ({
      kind: RolloutCommandKind.RecordEvidence,
      rolloutId,
      batches,
      atWallMs,
    })),
    { kind: RolloutCommandKind.Tick, atWallMs },
  ];
}

function createGrant(
  { spec, phase, share, candidateEngineIds, isStableNeeded, horizonMs }:
    CurrentRollout,
  instanceCount: number,
): TrafficGrant {
  return {
    rolloutId: spec.rolloutId,
    service: spec.service,
    stableVersion: spec.stableVersion,
    candidateVersion: spec.candidateVersion,
    share,
    candidateEngineIds: [...candidateEngineIds],
    isWatched: phase === RolloutPhase.Loading ||
      phase === RolloutPhase.Ramping || phase === RolloutPhase.Done,
    isWithdrawn: phase === RolloutPhase.RolledBack,
    isStableNeeded,
    horizonMs,
    instanceCount: Math.max(1, instanceCount),
    validForMs: leaseMs,
  };
}
