/**
 * Pure decisions about the runs of streams whose engine may have been lost: what
 * reports and the directory show about a run, and when it is to be left.
 *
 * An engine states the time of its start by its own clock. Such a time is only
 * compared with an earlier one of the same address, since clocks differ by
 * seconds. A later start than the one that was stated while the run existed
 * shows that the engine has restarted since then. An earlier one shows nothing,
 * and replaces the known one, so that a single wrong value hides no restart.
 */
import { assertNever } from "../core/assert_never.ts";
import { mayLeaveSilentRun, probeAfterMs } from "./stream_decisions.ts";

export enum LostCause {
  /** The engine stated a later start. */
  Restarted = "restarted",
  /** Another id has the address; the directory has recorded it. */
  AddressTaken = "addressTaken",
}

export type RunHealth =
  | { readonly kind: "sound" }
  /** The engine did not answer its report request. */
  | {
    readonly kind: "suspected";
    readonly sinceMs: number;
    readonly reason: string;
  }
  /** The engine has a new lifetime. */
  | {
    readonly kind: "lost";
    readonly sinceMs: number;
    readonly cause: LostCause;
    readonly reason: string;
  };

export interface RunKnowledge {
  readonly health: RunHealth;
  /** The engine's start, from a report that arrived during the run. */
  readonly start:
    | { readonly address: string; readonly atWallMs: number }
    | undefined;
}

export type RunEvent =
  | { readonly kind: "reportMissing"; readonly reason: string }
  | {
    readonly kind: "reportArrived";
    readonly address: string;
    /** By the engine's clock; undefined if it was not stated. */
    readonly startedAtWallMs: number | undefined;
  }
  | { readonly kind: "addressTaken"; readonly reason: string };

export const newRun: RunKnowledge = {
  health: { kind: "sound" },
  start: undefined,
};

export function updateRun(
  run: RunKnowledge,
  event: RunEvent,
  nowMs: number,
): RunKnowledge {
  const { health, start } = run;
  switch (event.kind) {
    case "reportMissing":
      return health.kind === "sound"
        ? {
          start,
          health: { kind: "suspected", sinceMs: nowMs, reason: event.reason },
        }
        : run;
    case "addressTaken":
      return health.kind === "lost"
        ? run
        : { start, health: toLost(LostCause.AddressTaken, event.reason) };
    case "reportArrived": {
      const { address, startedAtWallMs } = event;
      const nextStart = startedAtWallMs === undefined
        ? start
        : { address, atWallMs: startedAtWallMs };
      if (health.kind === "lost") return { health, start: nextStart };
      const hasRestarted = start !== undefined && nextStart !== undefined &&
        start.address === nextStart.address &&
        nextStart.atWallMs > start.atWallMs;
      return {
        start: nextStart,
        health: hasRestarted
          ? toLost(LostCause.Restarted, "the engine has restarted")
          : { kind: "sound" },
      };
    }
    default:
      assertNever(event);
  }

  function toLost(cause: LostCause, reason: string): RunHealth {
    return { kind: "lost", sinceMs: nowMs, cause, reason };
  }
}

/** When the run last showed life, on the clock of this process. */
export interface RunActivity {
  readonly lastEventAtMs: number | undefined;
  /** No events are read because the caller has not read earlier ones. */
  readonly isPaused: boolean;
  readonly resumedAtMs: number;
  /** When the engine last sent anything on any connection. */
  readonly engineActivityAtMs: number;
}

export type RunDecision =
  | { readonly kind: "stay" }
  /** An event arrived, so the suspicion was wrong. */
  | { readonly kind: "clear" }
  /** The run is left if the stream may go on elsewhere. */
  | { readonly kind: "leaveSuspected"; readonly reason: string }
  | {
    readonly kind: "leaveLost";
    readonly cause: LostCause;
    readonly reason: string;
  };

const stay: RunDecision = { kind: "stay" };

/** Decides at each check; a run that may not be left is decided on again. */
export function decideOnRun(
  health: RunHealth,
  { lastEventAtMs = -Infinity, isPaused, resumedAtMs, engineActivityAtMs }:
    RunActivity,
  nowMs: number,
): RunDecision {
  // Events that the engine has sent may be unread.
  if (isPaused || nowMs - resumedAtMs < probeAfterMs) return stay;
  switch (health.kind) {
    case "sound":
      return stay;
    case "suspected":
      if (lastEventAtMs > health.sinceMs) return { kind: "clear" };
      // The engine sends to other requests, so it probably works.
      if (isRecent(engineActivityAtMs)) return stay;
      return { kind: "leaveSuspected", reason: health.reason };
    case "lost": {
      // Bytes may be in transit, and the engine may have stated a wrong start: a
      // run that goes on is not ended while its events arrive.
      if (isRecent(lastEventAtMs)) return stay;
      const { cause, reason } = health;
      return { kind: "leaveLost", cause, reason };
    }
    default:
      assertNever(health);
  }

  function isRecent(atMs: number): boolean {
    return health.kind !== "sound" && atMs > health.sinceMs &&
      nowMs - atMs < probeAfterMs;
  }
}

export interface LostRun {
  /** Read last, since it asks for a repeat that would not be used otherwise. */
  hasBudget(): boolean;
  readonly remainingMs: number;
  readonly isResumable: boolean;
  /** Attempts that ran or may have run, including the lost one. */
  readonly ranCount: number;
  readonly maxAttempts: number;
}

/**
 * Whether a lost run may be ended now. Until the stream can go on elsewhere,
 * ending the run gains nothing, and the engine may have stated a wrong start.
 */
export function mayEndLostRun({ hasBudget, ...run }: LostRun): boolean {
  return mayLeaveSilentRun({
    ...run,
    // The run will send nothing, however short its silence was.
    silentMs: Infinity,
    isSlowWithoutCopy: false,
  }) && hasBudget();
}
