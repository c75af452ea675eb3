/**
 * Accumulates outcomes in evidence cells until the cells are taken.
 */
import type { Bins, EvidenceCell } from "./evidence.ts";

export interface CellKey {
  readonly route: string;
  readonly loadBucket: number;
  readonly isCandidate: boolean;
}

export interface CellCounter {
  addAttempt(key: CellKey): void;
  addFailure(key: CellKey): void;
  addFirstToken(key: CellKey, bin: number): void;
  addTokenGap(key: CellKey, bin: number): void;
  addCells(cells: readonly EvidenceCell[]): void;
  /** Returns the accumulated cells and resets the counter. */
  takeCells(): EvidenceCell[];
}

interface Counts {
  readonly key: CellKey;
  attemptCount: number;
  failureCount: number;
  readonly firstTokenBins: Map<number, number>;
  readonly tokenGapBins: Map<number, number>;
}

export function createCellCounter(): CellCounter {
  const cells = new Map<string, Map<number, Counts>>();
  return {
    addAttempt: (key) => {
      getCounts(key).attemptCount += 1;
    },
    addFailure: (key) => {
      getCounts(key).failureCount += 1;
    },
    addFirstToken: (key, bin) => addBin(getCounts(key).firstTokenBins, bin, 1),
    addTokenGap: (key, bin) => addBin(getCounts(key).tokenGapBins, bin, 1),
    addCells,
    takeCells,
  };

  function getCounts(key: CellKey): Counts {
    let routeCells = cells.get(key.route);
    if (!routeCells) cells.set(key.route, routeCells = new Map());
    const index = key.loadBucket * 2 + (key.isCandidate ? 1 : 0);
    const existing = routeCells.get(index);
    if (existing) return existing;
    const counts: Counts = {
      key,
      attemptCount: 0,
      failureCount: 0,
      firstTokenBins: new Map(),
      tokenGapBins: new Map(),
    };
    routeCells.set(index, counts);
    return counts;
  }

  function addCells(added: readonly EvidenceCell[]): void {
    for (const cell of added) {
      const counts = getCounts(cell);
      counts.attemptCount += cell.attemptCount;
      counts.failureCount += cell.failureCount;
      addBins(counts.firstTokenBins, cell.firstTokenBins);
      addBins(counts.tokenGapBins, cell.tokenGapBins);
    }
  }

  function takeCells(): EvidenceCell[] {
    const all = [...cells.values()].flatMap((routeCells) => [
      ...routeCells.values(),
    ]);
    const taken = all.map((counts): EvidenceCell => ({
      route: counts.key.route,
      loadBucket: counts.key.loadBucket,
      isCandidate: counts.key.isCandidate,
      attemptCount: counts.attemptCount,
      failureCount: counts.failureCount,
      firstTokenBins: [...counts.firstTokenBins],
      tokenGapBins: [...counts.tokenGapBins],
    }));
    cells.clear();
    return taken;
  }
}

function addBins(total: Map<number, number>, bins: Bins): void {
  for (const [bin, count] of bins) addBin(total, bin, count);
}

function addBin(total: Map<number, number>, bin: number, count: number): void {
  total.set(bin, (total.get(bin) ?? 0) + count);
}
