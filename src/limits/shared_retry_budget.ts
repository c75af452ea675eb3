/**
 * Retry budget of an entry instance for services that are scheduled under load:
 * repeats draw on what all instances together may send (see
 * `repeat_window.ts`). Other services keep their account of this instance alone.
 */
import type { RepeatGrants } from "./repeat_grants.ts";
import { RepeatUrgency, type RepeatWindow } from "./repeat_window.ts";
import type { RetryBudget, RetryBudgetKey } from "./retry_budget.ts";

export interface SharedRetryBudgetOptions {
  readonly window: RepeatWindow;
  /** What the control leader has granted beyond this instance's share. */
  readonly grants: RepeatGrants;
  /** The budget of the services that do not share theirs. */
  readonly separate: RetryBudget;
  isShared(service: string): boolean;
  /** Whether the leader grants repeats of requests to the service. */
  usesGrants(service: string): boolean;
  /** Called when a repeat was not allowed. */
  onRefusedDraw(service: string, urgency: RepeatUrgency): void;
}

export function createSharedRetryBudget(
  { window, grants, separate, isShared, usesGrants, onRefusedDraw }:
    SharedRetryBudgetOptions,
): RetryBudget {
  return {
    recordUseful: (key, units) => {
      window.recordRequest(key.service);
      separate.recordUseful(key, units);
    },
    tryDraw: (key, units) => draw(key, units, RepeatUrgency.Normal),
    drawForResume: (key, units) => separate.drawForResume(key, units),
    tryDrawReserve: (key, units) => draw(key, units, RepeatUrgency.Begun),
    hasReserve: (key, units) =>
      isShared(key.service)
        ? window.getAvailable(key.service, RepeatUrgency.Begun) >= units ||
          usesGrants(key.service) &&
            grants.has(key.service, RepeatUrgency.Begun)
        : separate.hasReserve(key, units),
    getAvailable: (key) =>
      isShared(key.service)
        ? window.getAvailable(key.service, RepeatUrgency.Normal)
        : separate.getAvailable(key),
    getStats: separate.getStats,
  };

  function draw(
    key: RetryBudgetKey,
    units: number,
    urgency: RepeatUrgency,
  ): boolean {
    if (!isShared(key.service)) {
      const isDrawn = urgency === RepeatUrgency.Normal
        ? separate.tryDraw(key, units)
        : separate.tryDrawReserve(key, units);
      // Counted also here, so that the window is right from the first moment in
      // which the service shares its budget.
      if (isDrawn) window.recordRepeat(key.service);
      return isDrawn;
    }
    if (window.tryDraw(key.service, urgency)) return true;
    if (usesGrants(key.service) && grants.tryTake(key.service, urgency)) {
      window.recordGranted(key.service);
      return true;
    }
    onRefusedDraw(key.service, urgency);
    return false;
  }
}
