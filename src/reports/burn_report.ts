/**
 * Burn rates of the service-level objectives: the share of bad events over
 * several windows relative to the error budget, the remaining budget, and when
 * the budget is spent at the present rate.
 */
import { Objective } from "./usage.ts";
import { dayMs, slotMs, type SlotUsage } from "./usage_ledger.ts";

export interface ObjectiveTarget {
  readonly objective: Objective;
  /** Share of events that must be good. */
  readonly targetRatio: number;
  readonly description: string;
}

/** Targets from the design page; `docs/reports.md` explains them. */
export const objectiveTargets: readonly ObjectiveTarget[] = [
  {
    objective: Objective.FirstToken,
    targetRatio: 0.95,
    description: "first token within 1.1 s",
  },
  {
    objective: Objective.TokenGap,
    targetRatio: 0.95,
    description: "at most 38 ms between tokens",
  },
  {
    objective: Objective.Resume,
    targetRatio: 0.99,
    description: "output resumes within 5 s of a loss",
  },
  {
    objective: Objective.WholeAnswer,
    targetRatio: 0.999,
    description: "the whole answer reaches its caller",
  },
  {
    objective: Objective.ApplicationCall,
    targetRatio: 0.99,
    description: "an application call is answered within 1 s",
  },
];

export const burnWindowsMs: readonly number[] = [
  5 * 60 * 1_000,
  60 * 60 * 1_000,
  6 * 60 * 60 * 1_000,
  3 * dayMs,
];
/** Period of the error budget. */
export const budgetPeriodMs = 30 * dayMs;

export interface BurnWindow {
  readonly windowMs: number;
  readonly goodCount: number;
  readonly totalCount: number;
  /** 1 spends the budget exactly over its period. */
  readonly burnRate: number;
}

export interface BurnRow {
  readonly service: string;
  readonly route: string;
  readonly objective: Objective;
  readonly targetRatio: number;
  readonly windows: readonly BurnWindow[];
  /**
   * Remaining share of the period's budget, computed from the longest window.
   */
  readonly budgetLeftRatio: number;
  /** Time until the budget is spent at the rate of the last hour. */
  readonly budgetEndsInMs: number | undefined;
}

export function getBurnReport(
  slots: readonly SlotUsage[],
  nowWallMs: number,
): BurnRow[] {
  const series = new Map<string, BurnSeries>();
  for (const { slot, objectives } of slots) {
    for (const usage of objectives) {
      const { service, route, objective } = usage;
      const key = JSON.stringify([service, route, objective]);
      const entry = series.get(key) ??
        { service, route, objective, points: [] };
      entry.points.push({ ...usage, slot });
      series.set(key, entry);
    }
  }
  return [...series.values()]
    .map((entry) => getRow(entry, nowWallMs))
    .sort(compareRows);
}

interface BurnSeries {
  readonly service: string;
  readonly route: string;
  readonly objective: Objective;
  readonly points: {
    readonly slot: number;
    readonly goodCount: number;
    readonly totalCount: number;
  }[];
}

function getRow(series: BurnSeries, nowWallMs: number): BurnRow {
  const { service, route, objective } = series;
  const { targetRatio } = objectiveTargets.find((target) =>
    target.objective === objective
  )!;
  const windows = burnWindowsMs.map((windowMs) =>
    getWindow(series, { windowMs, nowWallMs, targetRatio })
  );
  const longest = windows.at(-1)!;
  const spentRatio = longest.burnRate * longest.windowMs / budgetPeriodMs;
  const budgetLeftRatio = Math.max(0, 1 - spentRatio);
  const hourRate = windows[1]!.burnRate;
  return {
    service,
    route,
    objective,
    targetRatio,
    windows,
    budgetLeftRatio,
    budgetEndsInMs: hourRate > 0
      ? budgetLeftRatio * budgetPeriodMs / hourRate
      : undefined,
  };
}

function getWindow(
  series: BurnSeries,
  { windowMs, nowWallMs, targetRatio }: {
    readonly windowMs: number;
    readonly nowWallMs: number;
    readonly targetRatio: number;
  },
): BurnWindow {
  const firstSlot = Math.floor((nowWallMs - windowMs) / slotMs) + 1;
  let goodCount = 0;
  let totalCount = 0;
  for (const point of series.points) {
    if (point.slot < firstSlot) continue;
    goodCount += point.goodCount;
    totalCount += point.totalCount;
  }
  const badRatio = totalCount === 0 ? 0 : 1 - goodCount / totalCount;
  const burnRate = badRatio / (1 - targetRatio);
  return { windowMs, goodCount, totalCount, burnRate };
}

function compareRows(left: BurnRow, right: BurnRow): number {
  return left.service.localeCompare(right.service) ||
    left.route.localeCompare(right.route) ||
    left.objective.localeCompare(right.objective);
}
