/**
 * Remembers which evidence batches of each instance were counted, so that a
 * repeated batch is not counted again and a late one is not lost.
 */

export interface BatchRecord {
  incarnation: number;
  /** All batches up to this number were counted or given up. */
  upTo: number;
  /** Counted batches above `upTo`. */
  ahead: number[];
}

export type BatchRegister = Record<string, BatchRecord>;

/** A gap is given up when this many later batches were counted. */
const maxAhead = 64;

/** False when the batch was counted before, or belongs to an earlier start. */
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
    record.ahead[0] === record.upTo + 1 || record.ahead.length > maxAhead
  ) {
    record.upTo = record.ahead.shift()!;
  }
  return true;
}
