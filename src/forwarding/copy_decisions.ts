/**
 * Decides when the KV cache of a stream is copied again. A copy is lost with
 * the engine that holds it, and the next crash may hit the engine that runs the
 * stream. Pure.
 */

import { listOutside } from "./engine_room.ts";
import type { Upstream } from "./upstream_types.ts";

export interface CopyState {
  /** Time at which copying started; undefined if there is no copy. */
  readonly createdAtMs: number | undefined;
  /** The engines update the copy themselves until the attempt ends. */
  readonly isEngineUpdated: boolean;
  readonly refreshedAtMs: number;
  /** Last loss of the engine that holds the copy; undefined if not listed. */
  readonly holderLostAtMs: number | undefined;
}

export interface CopyConditions {
  readonly nowMs: number;
  readonly canCopy: boolean;
  /** The prefill has finished, so there is a KV cache to copy. */
  readonly hasEvents: boolean;
  /** A call that copies or refreshes is in flight. */
  readonly isCopying: boolean;
  readonly lastCopyAttemptAtMs: number;
  /** How long the holder keeps a copy after its last update. */
  readonly ttlMs: number;
}

export type CopyDecision = "none" | "copyElsewhere" | "refresh";

/**
 * Without this delay, a copy for which an engine has no free memory would be
 * requested again at every check.
 */
const retryDelayMs = 400;
/** Part of a copy's time to live after which the copy is refreshed. */
const refreshRatio = 0.5;

export function isCopyAvailable(copy: CopyState): boolean {
  return copy.createdAtMs !== undefined && copy.holderLostAtMs !== undefined &&
    copy.holderLostAtMs < copy.createdAtMs;
}

export function decideCopy(
  copy: CopyState,
  conditions: CopyConditions,
): CopyDecision {
  const { nowMs } = conditions;
  if (!conditions.canCopy || !conditions.hasEvents) return "none";
  if (conditions.isCopying) return "none";
  if (!isCopyAvailable(copy)) {
    const isDue = nowMs - conditions.lastCopyAttemptAtMs >= retryDelayMs;
    return isDue ? "copyElsewhere" : "none";
  }
  if (copy.isEngineUpdated) return "none";
  const ageMs = nowMs - copy.refreshedAtMs;
  return ageMs >= conditions.ttlMs * refreshRatio ? "refresh" : "none";
}

export interface CopyRoom {
  /** The stream is of the service's lowest rank; false without ranks. */
  readonly isLowestRank: boolean;
  readonly memoryTokens: number;
  /** Tokens of one copy. */
  readonly totalTokens: number;
  /** Prompt tokens of more urgent streams that arrive in a second. */
  readonly urgentTokensPerS: number;
  /** Time until a stream that arrives now has ended at the latest. */
  readonly timeoutMs: number;
  /** Engines that are left to more urgent streams. */
  readonly urgentIds: ReadonlySet<string>;
}

/**
 * Lists the engines that may hold a copy of the stream. A copy of the lowest rank
 * is not made while the engines of the other domains have less free memory than
 * the more urgent streams need that arrive within a stream's timeout, with a copy
 * of each: engines out of memory would preempt running streams, whose prompts
 * are then read again. Copies of lower ranks are made at engines that are not
 * left to more urgent streams, if the other domains have such engines.
 */
export function listCopyHolders(
  engines: readonly Upstream[],
  running: Upstream,
  room: CopyRoom,
): readonly Upstream[] {
  const others = engines.filter(({ info }) =>
    info.domainId !== running.info.domainId
  );
  const outside = listOutside(others, room.urgentIds);
  if (!room.isLowestRank) return room.urgentIds.size > 0 ? outside : engines;
  const getFreeTokens = (engine: Upstream) =>
    Math.max(
      0,
      room.memoryTokens - engine.memoryTokens - engine.others.memoryTokens,
    );
  const freeTokens = others.reduce(
    (sum, engine) => sum + getFreeTokens(engine),
    0,
  );
  const neededTokens = 2 * room.urgentTokensPerS * room.timeoutMs / 1_000;
  if (freeTokens < neededTokens) return [];
  // The engine still has room for one more stream of this size.
  return outside.filter((engine) =>
    getFreeTokens(engine) >= 2 * room.totalTokens
  );
}
