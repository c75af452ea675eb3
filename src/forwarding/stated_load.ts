/**
 * Reads the figures of the load that a response states. A figure that is
 * unreadable or huge is treated as not stated. Pure.
 */
import type { ReportedLoad } from "./forwarding_protocol.ts";

export interface StatedLoad {
  readonly load: ReportedLoad | undefined;
  /** Whether a figure is there that states nothing. */
  readonly hasInvalidLoad: boolean;
}

/** More requests than any upstream holds; a larger count is an error. */
const maxCount = 1_000_000;
/** A percentage above this is an error, not a slow machine. */
const maxSlownessPercent = 10_000;

/** Running requests, waiting requests, slots, and percentage of slowness. */
export function readStatedLoad(
  figures: readonly string[] | undefined,
): StatedLoad {
  if (!figures) return { load: undefined, hasInvalidLoad: false };
  const [running, waiting, slots, percent] = figures;
  const runningCount = readCount(running);
  const waitingCount = readCount(waiting);
  if (runningCount === undefined || waitingCount === undefined) {
    return { load: undefined, hasInvalidLoad: true };
  }
  const maxRunning = readCount(slots);
  const slowness = readSlowness(percent);
  return {
    load: {
      runningCount,
      waitingCount,
      maxRunning: maxRunning ?? 0,
      slowness,
    },
    hasInvalidLoad: (slots !== undefined && maxRunning === undefined) ||
      (percent !== undefined && slowness === undefined),
  };
}

function readCount(text: string | undefined): number | undefined {
  if (!/^\d{1,15}$/.test(text?.trim() ?? "")) return undefined;
  const count = Number(text);
  return count <= maxCount ? count : undefined;
}

/** A decimal percentage above 0. */
function readSlowness(text: string | undefined): number | undefined {
  if (!/^\d{1,15}(\.\d{1,15})?$/.test(text?.trim() ?? "")) return undefined;
  const percent = Number(text);
  return percent > 0 && percent <= maxSlownessPercent
    ? percent / 100
    : undefined;
}
