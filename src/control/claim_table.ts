/**
 * Table of claims on idempotency keys, part of the replicated state.
 *
 * A key is granted to one claim. Only the outcome "not run" releases it for
 * another claim; a claim without an answer stays pending until its retention
 * time has passed.
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

/** Ids of withdrawn claims, with the wall time of the withdrawal. */
export type WithdrawnClaims = readonly [string, number][];

export interface ClaimSnapshot {
  readonly records: readonly [string, ClaimRecord][];
  readonly withdrawn: WithdrawnClaims;
}

export interface ClaimTable {
  claim(command: ClaimCommand): ClaimResult;
  settle(command: SettleCommand): void;
  getSnapshot(): ClaimSnapshot;
  restore(snapshot: ClaimSnapshot): void;
  getCount(): number;
}

export const claimRetentionMs = 24 * 60 * 60 * 1_000;

export function createClaimTable(): ClaimTable {
  const records = new Map<string, ClaimRecord>();
  const withdrawnAtWallMs = new Map<string, number>();
  return {
    claim,
    settle,
    getSnapshot: () => ({
      records: [...records],
      withdrawn: [...withdrawnAtWallMs],
    }),
    restore: (snapshot) => {
      records.clear();
      withdrawnAtWallMs.clear();
      for (const [key, record] of snapshot.records) records.set(key, record);
      for (const [claimId, atWallMs] of snapshot.withdrawn) {
        withdrawnAtWallMs.set(claimId, atWallMs);
      }
    },
    getCount: () => records.size,
  };

  function claim(command: ClaimCommand): ClaimResult {
    removeExpired(command.atWallMs);
    const key = serializeKey(command.key);
    const record = records.get(key);
    // A claim can be applied after its own settlement if its proposer timed
    // out. Its call is never dispatched, so it must not hold the key.
    if (withdrawnAtWallMs.has(command.claimId)) {
      return { status: ClaimStatus.Withdrawn };
    }
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
    const key = serializeKey(command.key);
    const record = records.get(key);
    const isHolder = record?.claimId === command.claimId;
    if (command.outcome.kind === OutcomeKind.Answered) {
      if (isHolder) records.set(key, { ...record, outcome: command.outcome });
      return;
    }
    // An answer is final: a late "not run" must not release the key.
    if (record?.outcome) return;
    withdrawnAtWallMs.set(command.claimId, command.atWallMs);
    if (isHolder) records.delete(key);
  }

  /** Both maps are ordered by time, so the oldest entries come first. */
  function removeExpired(atWallMs: number): void {
    const retentionStartWallMs = atWallMs - claimRetentionMs;
    for (const [key, record] of records) {
      if (record.claimedAtWallMs > retentionStartWallMs) break;
      records.delete(key);
    }
    for (const [claimId, withdrawnMs] of withdrawnAtWallMs) {
      if (withdrawnMs > retentionStartWallMs) break;
      withdrawnAtWallMs.delete(claimId);
    }
  }
}

function serializeKey(key: ClaimKey): string {
  return JSON.stringify([key.customerId, key.service, key.idempotencyKey]);
}
