/**
 * Repeats that the control leader has granted to this instance. A repeat that
 * finds none is refused and asks for one; its request asks again some
 * milliseconds later.
 */
import type { Clock } from "../core/clock.ts";
import type { RepeatUrgency } from "./repeat_window.ts";

export interface RepeatGrants {
  /** Takes a granted repeat; asks for one if there is none. */
  tryTake(service: string, urgency: RepeatUrgency): boolean;
  /** Whether one could be taken; asks for one if there is none. */
  has(service: string, urgency: RepeatUrgency): boolean;
}

export interface RepeatGrantsOptions {
  readonly clock: Pick<Clock, "nowMs">;
  /** Asks the leader; resolves with the number granted, 0 after a failure. */
  request(
    service: string,
    units: number,
    urgency: RepeatUrgency,
  ): Promise<number>;
}

/**
 * Unused grants are given up, so that the leader need not count them for longer.
 * Streams that need a repeat ask again within 50 ms.
 */
export const maxGrantAgeMs = 500;
/** Requests that lose their engine together ask for their repeats together. */
const batchDelayMs = 2;
/** A leader that has nothing left, or can't be reached, is not asked at once. */
const retryDelayMs = 200;
/** Streams of one instance that can lose their engines together. */
const maxUnits = 100;

interface Pool {
  /** Times at which unused repeats were granted, oldest first. */
  grantedAtMs: number[];
  /** Repeats that the next request asks for. */
  wantedCount: number;
  phase: PoolPhase;
  askAgainAtMs: number;
}

enum PoolPhase {
  Idle = "idle",
  /** Repeats that are wanted now are part of the next request. */
  Collecting = "collecting",
  /** Those that are wanted now ask again after the reply. */
  Asking = "asking",
}

export function createRepeatGrants(
  { clock, request }: RepeatGrantsOptions,
): RepeatGrants {
  /** By service of the configuration and urgency. */
  const pools = new Map<string, Pool>();
  return {
    tryTake: (service, urgency) => {
      const pool = getPool(service, urgency);
      if (pool.grantedAtMs.shift() !== undefined) return true;
      want(pool, service, urgency);
      return false;
    },
    has: (service, urgency) => {
      const pool = getPool(service, urgency);
      if (pool.grantedAtMs.length > 0) return true;
      want(pool, service, urgency);
      return false;
    },
  };

  function getPool(service: string, urgency: RepeatUrgency): Pool {
    const key = `${urgency} ${service}`;
    let pool = pools.get(key);
    if (!pool) {
      pool = {
        grantedAtMs: [],
        wantedCount: 0,
        phase: PoolPhase.Idle,
        askAgainAtMs: -Infinity,
      };
      pools.set(key, pool);
    }
    const oldestMs = clock.nowMs() - maxGrantAgeMs;
    pool.grantedAtMs = pool.grantedAtMs.filter((atMs) => atMs >= oldestMs);
    return pool;
  }

  function want(pool: Pool, service: string, urgency: RepeatUrgency): void {
    // A stream that waits asks at each check, so only one check counts: otherwise
    // the leader would grant, and count, several times what is needed.
    if (pool.phase === PoolPhase.Asking) return;
    if (clock.nowMs() < pool.askAgainAtMs) return;
    pool.wantedCount = Math.min(maxUnits, pool.wantedCount + 1);
    if (pool.phase === PoolPhase.Collecting) return;
    pool.phase = PoolPhase.Collecting;
    setTimeout(() => void ask(pool, service, urgency), batchDelayMs);
  }

  async function ask(
    pool: Pool,
    service: string,
    urgency: RepeatUrgency,
  ): Promise<void> {
    const units = pool.wantedCount;
    pool.wantedCount = 0;
    pool.phase = PoolPhase.Asking;
    const granted = await request(service, units, urgency);
    const nowMs = clock.nowMs();
    for (let unit = 0; unit < Math.min(units, granted); unit++) {
      pool.grantedAtMs.push(nowMs);
    }
    pool.phase = PoolPhase.Idle;
    if (granted < units) pool.askAgainAtMs = nowMs + retryDelayMs;
  }
}
