/**
 * Grants of repeats by the control leader. When a failure domain loses its
 * engines, its instances need more repeats at once than their shares of the limit
 * (see `repeat_window.ts`), while the shares of the others are unused. A part of
 * the limit is therefore not divided: the leader grants it to whoever asks, so
 * it is counted at one place and without delay.
 *
 * Nothing of it is stored. A new leader learns from the instances' reports what
 * its predecessor granted, and grants nothing in the time that these take.
 */
import type { Clock } from "../core/clock.ts";
import type { RepeatTotal } from "../upstreams/load_totals.ts";
import { maxGrantAgeMs } from "./repeat_grants.ts";
import {
  grantedPart,
  RepeatUrgency,
  repeatWindowMs,
  reservedParts,
} from "./repeat_window.ts";
import { createWindowCounter, type WindowCounter } from "./window_counter.ts";

export interface RepeatLedger {
  /** Must be called often, so that a new leader knows since when it leads. */
  observeLeadership(): void;
  /** Returns how many of the repeats are granted. */
  grant(service: string, units: number, urgency: RepeatUrgency): number;
}

export interface RepeatLedgerOptions {
  readonly clock: Pick<Clock, "nowMs">;
  /** Permitted repeats as a ratio of the requests in the window. */
  readonly ratio: number;
  /** Repeats in the window that are permitted in addition. */
  readonly slack: number;
  /** Undefined while another instance may be the leader. */
  getLeaderTerm(): number | undefined;
  /** Counts of all entry instances, up to `reportAgeMs` old. */
  getReported(service: string): RepeatTotal | undefined;
}

/**
 * Reports are sent each half second, and again after a lost message; control
 * drops those of instances that have been silent for 1.5 s.
 */
const reportAgeMs = 2_000;
/**
 * Grants count for longer than the window, since the repeat is sent up to
 * `maxGrantAgeMs` after the reply.
 */
const countedMs = repeatWindowMs + maxGrantAgeMs + 250;
/** A deployment has some ten services; a faulty instance can't name more. */
const maxServices = 1_000;

export function createRepeatLedger(
  { clock, ratio, slack, getLeaderTerm, getReported }: RepeatLedgerOptions,
): RepeatLedger {
  const grantedByService = new Map<string, WindowCounter>();
  let leaderTerm: number | undefined;
  let leaderSinceMs = -Infinity;
  return { observeLeadership, grant };

  function observeLeadership(): void {
    const term = getLeaderTerm();
    if (term === leaderTerm) return;
    leaderTerm = term;
    leaderSinceMs = clock.nowMs();
  }

  function grant(
    service: string,
    units: number,
    urgency: RepeatUrgency,
  ): number {
    const nowMs = clock.nowMs();
    observeLeadership();
    const reported = getReported(service);
    // Services without requests have no repeats.
    if (leaderTerm === undefined || !reported) return 0;
    let granted = grantedByService.get(service);
    if (!granted) {
      if (grantedByService.size >= maxServices) return 0;
      granted = createWindowCounter(countedMs);
      grantedByService.set(service, granted);
    }
    const available = getGrantableRepeats({
      limit: ratio * reported.requestCount + slack,
      grantedCount: granted.count(nowMs, countedMs),
      recentGrantedCount: granted.count(nowMs, reportAgeMs),
      reportedGrantedCount: reported.grantedCount,
      leaderForMs: nowMs - leaderSinceMs,
    }, urgency);
    const result = Math.min(units, available);
    if (result > 0) granted.add(nowMs, result);
    return result;
  }
}

export interface LedgerState {
  /** Permitted repeats in the window. */
  readonly limit: number;
  /** Grants of this leader in the window. */
  readonly grantedCount: number;
  /** Those that instances may not have reported yet. */
  readonly recentGrantedCount: number;
  /** Granted repeats that instances have reported. */
  readonly reportedGrantedCount: number;
  readonly leaderForMs: number;
}

/** Returns how many repeats can be granted now. Pure. */
export function getGrantableRepeats(
  {
    limit,
    grantedCount,
    recentGrantedCount,
    reportedGrantedCount,
    leaderForMs,
  }: LedgerState,
  urgency: RepeatUrgency,
): number {
  // Instances may not have reported the last grants of an earlier leader.
  if (leaderForMs < reportAgeMs) return 0;
  // The reports may contain the recent grants already, which would then count
  // twice; they are needed only while an earlier leader's grants are in the window.
  const usedCount = leaderForMs >= countedMs + reportAgeMs
    ? grantedCount
    : Math.max(grantedCount, reportedGrantedCount + recentGrantedCount);
  const usablePart = 1 - reservedParts[urgency];
  return Math.max(0, Math.floor(grantedPart * limit * usablePart - usedCount));
}
