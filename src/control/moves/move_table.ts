/**
 * Table of the newest version move of each service, part of the replicated
 * state. It applies commands in log order and depends on nothing else.
 */
import {
  isRunning,
  maxRejectedVersions,
  type MoveOrder,
  MovePhase,
  type MoveProgress,
  type StartMoveResult,
  type VersionMove,
} from "./move_types.ts";

export interface MoveTable {
  start(order: MoveOrder): StartMoveResult;
  advance(progress: MoveProgress): void;
  get(service: string): VersionMove | undefined;
  list(): readonly VersionMove[];
  restore(moves: readonly RestoredMove[]): void;
}

/** Snapshots of earlier versions lack some fields. */
export type RestoredMove =
  & Omit<VersionMove, "number" | "rejectedVersions">
  & Partial<Pick<VersionMove, "number" | "rejectedVersions">>;

export function createMoveTable(): MoveTable {
  const moves = new Map<string, VersionMove>();
  return {
    start,
    advance,
    get: (service) => moves.get(service),
    list: () => [...moves.values()],
    restore: (restored) => {
      moves.clear();
      for (const move of restored) {
        const { number = 1, rejectedVersions = [] } = move;
        moves.set(move.service, { ...move, number, rejectedVersions });
      }
    },
  };

  function start({ afterNumber, ...order }: MoveOrder): StartMoveResult {
    const current = moves.get(order.service);
    const number = current?.number ?? 0;
    // An order is resent if its reply was lost, even after the move has ended.
    if (current?.target === order.target) return { status: "repeated" };
    // The target does not tell a late order from a newer one: an operator may
    // order a version, another one and then the first one again.
    if (afterNumber !== undefined && afterNumber !== number) {
      return { status: "overtaken" };
    }
    if (current && isRunning(current)) return { status: "conflict" };
    const rejectedVersions = listRejectedVersions(current, order.target);
    moves.set(order.service, {
      ...order,
      number: number + 1,
      rejectedVersions,
      stableVersions: order.stableVersions.filter((version) =>
        !rejectedVersions.includes(version)
      ),
      phase: MovePhase.Watching,
      share: 0,
      elapsedMs: 0,
      reason: "ordered",
    });
    return { status: "started" };
  }

  /**
   * Ignores outdated steps: a former leader may propose steps of a move that
   * has ended.
   */
  function advance(progress: MoveProgress): void {
    const current = moves.get(progress.service);
    if (!current || current.target !== progress.target) return;
    const number = progress.number ?? current.number;
    if (number !== current.number) return;
    if (!isRunning(current) || progress.elapsedMs < current.elapsedMs) return;
    const isStepBack = current.phase === MovePhase.Moving &&
      progress.phase === MovePhase.Watching;
    if (!isStepBack) {
      moves.set(progress.service, { ...current, ...progress, number });
    }
  }
}

function listRejectedVersions(
  previous: VersionMove | undefined,
  target: string,
): string[] {
  if (!previous) return [];
  const rejected = new Set(previous.rejectedVersions);
  if (previous.phase === MovePhase.RolledBack) rejected.add(previous.target);
  rejected.delete(target);
  return [...rejected].slice(-maxRejectedVersions);
}
