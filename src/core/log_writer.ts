/**
 * Writes log lines to a file descriptor without ever waiting for it.
 *
 * Lines are collected and written together. What a slow reader does not take
 * in time, and what one kind of event produces beyond its rate, is dropped and
 * counted, and the counts are written as a line of their own.
 */
import { Buffer } from "node:buffer";
import { write, writeSync } from "node:fs";
import type { LogEvent } from "./log_events.ts";

export interface LogWriter {
  /** Returns false when the line was dropped. */
  write(event: LogEvent, line: string): boolean;
  /** Writes what is queued, for as long as the descriptor takes it. */
  flushNow(): void;
}

export interface LogWriterOptions {
  readonly fileDescriptor: number;
  getNowMs(): number;
  /** Makes the line that reports dropped ones, by event number. */
  formatDropped(counts: Readonly<Record<string, number>>): string;
  readonly maxQueuedBytes?: number;
  readonly maxLinesPerS?: number;
}

const flushDelayMs = 50;
/** A minute of ordinary lines; a reader that is slower loses some. */
const defaultMaxQueuedBytes = 256 * 1024;
/** Per kind of event; bursts of one second's worth pass. */
const defaultMaxLinesPerS = 100;
const dropReportMs = 5_000;

interface Allowance {
  lines: number;
  atMs: number;
}

export function createLogWriter(options: LogWriterOptions): LogWriter {
  const { fileDescriptor, getNowMs } = options;
  const maxQueuedBytes = options.maxQueuedBytes ?? defaultMaxQueuedBytes;
  const maxLinesPerS = options.maxLinesPerS ?? defaultMaxLinesPerS;
  const allowances = new Map<number, Allowance>();
  let queue: string[] = [];
  let queuedBytes = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;
  let dropped: Record<string, number> = {};
  let hasDropped = false;
  let reportedAtMs = getNowMs();
  return { write: add, flushNow };

  function add({ number }: LogEvent, line: string): boolean {
    if (queuedBytes + line.length > maxQueuedBytes || !takeLine(number)) {
      dropped[number] = (dropped[number] ?? 0) + 1;
      hasDropped = true;
      return false;
    }
    queue.push(line);
    queuedBytes += line.length;
    if (!isWriting) timer ??= setTimeout(flush, flushDelayMs).unref();
    return true;
  }

  function takeLine(number: number): boolean {
    const nowMs = getNowMs();
    let allowance = allowances.get(number);
    if (!allowance) {
      allowance = { lines: maxLinesPerS, atMs: nowMs };
      allowances.set(number, allowance);
    }
    const earned = (nowMs - allowance.atMs) / 1_000 * maxLinesPerS;
    allowance.lines = Math.min(maxLinesPerS, allowance.lines + earned);
    allowance.atMs = nowMs;
    if (allowance.lines < 1) return false;
    allowance.lines -= 1;
    return true;
  }

  function takeQueue(): Buffer {
    const nowMs = getNowMs();
    if (hasDropped && nowMs - reportedAtMs >= dropReportMs) {
      queue.push(options.formatDropped(dropped));
      dropped = {};
      hasDropped = false;
      reportedAtMs = nowMs;
    }
    const bytes = Buffer.from(queue.join(""));
    queue = [];
    queuedBytes = 0;
    return bytes;
  }

  function flush(): void {
    timer = undefined;
    if (queue.length === 0) return;
    isWriting = true;
    writeAll(takeQueue());
  }

  function writeAll(bytes: Buffer): void {
    write(fileDescriptor, bytes, (cause, writtenBytes) => {
      if (cause?.code === "EAGAIN") {
        setTimeout(() => writeAll(bytes), flushDelayMs).unref();
        return;
      }
      // Without a reader the lines are lost; the service goes on.
      if (!cause && writtenBytes < bytes.length) {
        writeAll(bytes.subarray(writtenBytes));
        return;
      }
      isWriting = false;
      if (queue.length > 0) timer ??= setTimeout(flush, flushDelayMs).unref();
    });
  }

  function flushNow(): void {
    clearTimeout(timer);
    timer = undefined;
    if (queue.length === 0) return;
    try {
      writeSync(fileDescriptor, takeQueue());
    } catch {
      // The process ends, and the descriptor does not take the last lines.
    }
  }
}
