/**
 * Records which evidence batches of each instance were counted, so that a
 * resent batch is not counted again and a late batch is not lost.
 */

export interface BatchRecord {
  incarnation: number;
  /** All batches up to this number were counted or skipped. */
  upTo: number;
  /** Counted batches above `upTo`. */
  ahead: number[];
}

export type BatchRegister = Record<string, BatchRecord>;

/**
 * Missing batches are skipped when more than this many later ones were counted.
 */
const maxBatchesAhead = 64;

/**
 * Returns false if the batch was already counted or belongs to an earlier
 * incarnation.
 */
export function registerBatch(
  register: BatchRegister,
  batch: {
    readonly instanceId: string;
    readonly incarnation: number;
    readonly batchNumber: number;
  },
): boolean {
  let record = register[batch.instanceId];
  if (!record || batch.incarnation > record.incarnation) {
    record = { incarnation: batch.incarnation, upTo: 0, ahead: [] };
    register[batch.instanceId] = record;
  }
  if (batch.incarnation < record.incarnation) return false;
  const { batchNumber } = batch;
  if (batchNumber <= record.upTo || record.ahead.includes(batchNumber)) {
    return false;
  }
  record.ahead.push(batchNumber);
  record.ahead.sort((left, right) => left - right);
  while (
    record.ahead[0] === record.upTo + 1 || record.ahead.length > maxBatchesAhead
  ) {
    record.upTo = record.ahead.shift()!;
  }
  return true;
}
