/**
 * Codec for the records of the data folder: a length, a CRC-32 and a CBOR body.
 *
 * One record holds everything that one sync makes durable. A record is written
 * only after the previous one was synced, so an invalid record that is followed
 * by a valid one was durable before: it is damage and not a torn tail.
 */
import { Buffer } from "node:buffer";
import { crc32 } from "node:zlib";
import { Encoder } from "cbor-x";
import type { LogEntry } from "../../peer/control_log_messages.ts";
import type { DurableState } from "./log_types.ts";

export interface LogRecord {
  readonly durable?: DurableState;
  /** The entries before this record are superseded. */
  readonly isReset?: boolean;
  readonly entries?: readonly LogEntry[];
}

const headerBytes = 8;
const encoder = new Encoder({ useRecords: false, tagUint8Array: false });

export function encodeRecord(value: unknown): Buffer {
  const body = encoder.encode(value);
  const record = Buffer.allocUnsafe(headerBytes + body.length);
  record.writeUInt32LE(body.length, 0);
  record.writeUInt32LE(crc32(body), 4);
  record.set(body, headerBytes);
  return record;
}

export interface DecodedRecords {
  readonly values: unknown[];
  /** Total length of the valid records at the start. */
  readonly validBytes: number;
  /** A valid record follows an invalid one. */
  readonly isDamaged: boolean;
}

export function decodeRecords(bytes: Buffer): DecodedRecords {
  const values: unknown[] = [];
  let offset = 0;
  while (true) {
    const body = getBody(bytes, offset);
    if (!body) break;
    values.push(encoder.decode(body));
    offset += headerBytes + body.length;
  }
  return { values, validBytes: offset, isDamaged: hasRecordAfter(offset) };

  function hasRecordAfter(start: number): boolean {
    for (let next = start + 1; next + headerBytes < bytes.length; next++) {
      if (getBody(bytes, next)) return true;
    }
    return false;
  }
}

function getBody(bytes: Buffer, offset: number): Buffer | undefined {
  if (offset + headerBytes > bytes.length) return undefined;
  const bodyBytes = bytes.readUInt32LE(offset);
  const start = offset + headerBytes;
  // An empty body has the checksum 0, so a run of zeros would be a valid
  // record.
  if (bodyBytes === 0 || start + bodyBytes > bytes.length) return undefined;
  const body = bytes.subarray(start, start + bodyBytes);
  return crc32(body) === bytes.readUInt32LE(offset + 4) ? body : undefined;
}
