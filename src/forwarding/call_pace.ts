/**
 * This instance's turns to start calls that are late anyway at a service whose
 * slots are busy. All its calls use turns, and unused ones are saved for a
 * moment: the calls of many instances even out, those of one come in bursts.
 */
import type { Clock } from "../core/clock.ts";

export interface CallPace {
  /** `startsPerMs` is the rate at which turns come. */
  hasTurn(startsPerMs: number): boolean;
  recordStart(): void;
}

/** Turns that are not used within this time are lost. */
const maxSavedMs = 1_000;
/** At low rates an instance may still start a few calls together. */
const minSavedTurns = 2;

export function createCallPace(
  { clock }: { readonly clock: Pick<Clock, "nowMs"> },
): CallPace {
  let turns = minSavedTurns;
  let updatedAtMs = clock.nowMs();
  return {
    hasTurn: (startsPerMs) => {
      const nowMs = clock.nowMs();
      const saved = Math.max(minSavedTurns, startsPerMs * maxSavedMs);
      turns = Math.min(saved, turns + (nowMs - updatedAtMs) * startsPerMs);
      updatedAtMs = nowMs;
      return turns >= 1;
    },
    // Calls beyond the rate that could be on time are not made up for.
    recordStart: () => turns = Math.max(0, turns - 1),
  };
}
