/**
 * Callers that were refused and told when to come back. Those that come back as
 * told go ahead of new callers; those that repeat a call much earlier go last,
 * so that they don't displace the others.
 *
 * The callers are known to this instance only: a repetition that reaches another
 * instance counts as new there.
 */
import type { Clock } from "../core/clock.ts";

export enum CallerStanding {
  New = "new",
  ReturnedAsTold = "returnedAsTold",
  ReturnedEarly = "returnedEarly",
}

export interface CallReturns {
  /** Remembers that the caller was told to come back after the delay. */
  recordRefusal(callerKey: string, delayMs: number): void;
  /** A caller that returned as told has this standing once. */
  takeStanding(callerKey: string): CallerStanding;
  /** Without a remembered caller, no key needs to be computed. */
  isEmpty(): boolean;
}

interface Told {
  readonly toldAtMs: number;
  readonly delayMs: number;
}

/** A caller that returns before this part of its delay is early. */
const earlyRatio = 0.5;
/** A caller that has not returned this long after its delay has given up. */
const graceMs = 1_000;
/** Entries take some 150 bytes each. */
const maxCallerCount = 2_000;

export function createCallReturns(
  { clock }: { readonly clock: Pick<Clock, "nowMs"> },
): CallReturns {
  /** The oldest refusal first. */
  const told = new Map<string, Told>();
  return {
    recordRefusal: (callerKey, delayMs) => {
      removeExpired();
      const known = told.get(callerKey);
      const nowMs = clock.nowMs();
      // Repeating early does not shorten the delay.
      if (known && known.toldAtMs + known.delayMs > nowMs + delayMs) return;
      told.delete(callerKey);
      told.set(callerKey, { toldAtMs: nowMs, delayMs });
      if (told.size <= maxCallerCount) return;
      for (const oldest of told.keys()) {
        told.delete(oldest);
        break;
      }
    },
    takeStanding: (callerKey) => {
      removeExpired();
      const known = told.get(callerKey);
      if (!known) return CallerStanding.New;
      const elapsedMs = clock.nowMs() - known.toldAtMs;
      if (elapsedMs < known.delayMs * earlyRatio) {
        return CallerStanding.ReturnedEarly;
      }
      told.delete(callerKey);
      return isExpired(known)
        ? CallerStanding.New
        : CallerStanding.ReturnedAsTold;
    },
    isEmpty: () => told.size === 0,
  };

  function removeExpired(): void {
    for (const [callerKey, entry] of told) {
      if (!isExpired(entry)) return;
      told.delete(callerKey);
    }
  }

  function isExpired({ toldAtMs, delayMs }: Told): boolean {
    return clock.nowMs() > toldAtMs + delayMs + graceMs;
  }
}
