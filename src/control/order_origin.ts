/**
 * Decides whether an operator may still want an order. An order can wait unread
 * in a connection, while this process stands still or cannot reach a majority.
 * Its operator has then sent it to another instance and may have given newer
 * orders since. An order carries nothing by which its age is known, so a
 * doubtful one is refused: an operator who still wants it repeats it.
 */
import type { PauseWatch } from "../core/pause_watch.ts";

/** Where an order came from. */
export interface OrderOrigin {
  /** Time (`performance.now()`) at which the order began to be read. */
  readonly readAtMs: number;
  /** Whether the operator has closed the connection. */
  isClosed(): boolean;
}

export enum OrderDoubt {
  Late = "the order could not be carried out in time",
  /** The operator no longer waits for the response. */
  Closed = "the operator closed the connection",
  /** The order may have been sent long before it was read. */
  Paused = "this process was paused when the order arrived",
}

/** Operators go on to another instance after this time without a response. */
export const operatorPatienceMs = 1_000;
/**
 * A shorter pause ends within the time for which an operator waits at one
 * instance.
 */
export const orderPauseLimitMs = operatorPatienceMs / 2;
/** What arrived during a pause is read within this time after it. */
const readAfterPauseMs = 1_000;

export function findOrderDoubt(
  { readAtMs, isClosed }: OrderOrigin,
  { nowMs, pauses }: {
    readonly nowMs: number;
    readonly pauses: Pick<PauseWatch, "hasPausedSince">;
  },
): OrderDoubt | undefined {
  if (isClosed()) return OrderDoubt.Closed;
  if (nowMs - readAtMs > operatorPatienceMs) return OrderDoubt.Late;
  return pauses.hasPausedSince(readAtMs - readAfterPauseMs)
    ? OrderDoubt.Paused
    : undefined;
}
