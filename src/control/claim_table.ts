/**
 * Claims on idempotency keys: part of the replicated state.
 *
 * A key is granted to one claim. Only "not run" frees it for another; a claim
 * without an answer stays pending until the retention time has passed.
 */
import {
  type ClaimCommand,
  type ClaimKey,
  type ClaimResult,
  ClaimStatus,
  type Outcome,
  OutcomeKind,
  type SettleCommand,
} from "./commands.ts";

export interface ClaimRecord {
  readonly bodySha256: string;
  readonly claimId: string;
  readonly claimedAtWallMs: number;
  readonly outcome?: Outcome;
}

export interface ClaimTable {
  claim(command: ClaimCommand): ClaimResult;
  settle(command: SettleCommand): void;
  getSnapshot(): [string, ClaimRecord][];
  restore(entries: readonly [string, ClaimRecord][]): void;
  getCount(): number;
}

export const claimRetentionMs = 24 * 60 * 60 * 1_000;

export function createClaimTable(): ClaimTable {
  const records = new Map<string, ClaimRecord>();
  return {
    claim,
    settle,
    getSnapshot: () => [...records],
    restore: (entries) => {
      records.clear();
      for (const [key, record] of entries) records.set(key, record);
    },
    getCount: () => records.size,
  };

  function claim(command: ClaimCommand): ClaimResult {
    removeExpired(command.atWallMs);
    const key = getKeyText(command.key);
    const record = records.get(key);
    if (!record) {
      records.set(key, {
        bodySha256: command.bodySha256,
        claimId: command.claimId,
        claimedAtWallMs: command.atWallMs,
      });
      return { status: ClaimStatus.Granted };
    }
    if (record.bodySha256 !== command.bodySha256) {
      return { status: ClaimStatus.KeyReused };
    }
    if (record.outcome?.kind === OutcomeKind.Answered) {
      return {
        status: ClaimStatus.Answered,
        response: record.outcome.response,
      };
    }
    if (record.claimId === command.claimId) {
      return { status: ClaimStatus.Granted };
    }
    return { status: ClaimStatus.Pending };
  }

  function settle(command: SettleCommand): void {
    const key = getKeyText(command.key);
    const record = records.get(key);
    if (!record || record.claimId !== command.claimId) return;
    if (command.outcome.kind === OutcomeKind.NotRun) records.delete(key);
    else records.set(key, { ...record, outcome: command.outcome });
  }

  /** Records are in order of their claim time, so the oldest come first. */
  function removeExpired(atWallMs: number): void {
    for (const [key, record] of records) {
      if (record.claimedAtWallMs + claimRetentionMs > atWallMs) return;
      records.delete(key);
    }
  }
}

function getKeyText(key: ClaimKey): string {
  return JSON.stringify([key.customerId, key.service, key.idempotencyKey]);
}
