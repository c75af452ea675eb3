/**
 * Writes log lines to a file descriptor without blocking.
 *
 * Lines are queued and written in batches. Lines are dropped while a slow
 * reader keeps the queue full, and when an event exceeds its rate limit.
 * Dropped lines are counted, and the counts are written as a separate line.
 */
import { Buffer } from "node:buffer";
import { write, writeSync } from "node:fs";
import type { LogEvent } from "./log_events.ts";

export interface LogWriter {
  /** Returns false if the line was dropped. */
  write(event: LogEvent, line: string): boolean;
  /** Writes queued lines synchronously until the descriptor blocks. */
  flushNow(): void;
}

export interface LogWriterOptions {
  readonly fileDescriptor: number;
  getNowMs(): number;
  /** Formats the line that reports the dropped lines by event number. */
  formatDropped(counts: Readonly<Record<string, number>>): string;
  readonly maxQueuedBytes?: number;
  readonly maxLinesPerS?: number;
}

const flushDelayMs = 50;
/** Holds about a minute of normal output; a slower reader loses lines. */
const defaultMaxQueuedBytes = 256 * 1024;
/** Limit per event, which permits bursts of the lines of one second. */
const defaultMaxLinesPerS = 100;
const dropReportIntervalMs = 5_000;

interface RateAllowance {
  lines: number;
  atMs: number;
}

export function createLogWriter(options: LogWriterOptions): LogWriter {
  const { fileDescriptor, getNowMs } = options;
  const maxQueuedBytes = options.maxQueuedBytes ?? defaultMaxQueuedBytes;
  const maxLinesPerS = options.maxLinesPerS ?? defaultMaxLinesPerS;
  const allowances = new Map<number, RateAllowance>();
  let queue: string[] = [];
  let queuedBytes = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;
  let dropped: Record<string, number> = {};
  let hasDropped = false;
  let reportedAtMs = getNowMs();
  return { write: enqueue, flushNow };

  function enqueue({ number }: LogEvent, line: string): boolean {
    if (
      queuedBytes + line.length > maxQueuedBytes || !tryUseAllowance(number)
    ) {
      dropped[number] = (dropped[number] ?? 0) + 1;
      hasDropped = true;
      return false;
    }
    queue.push(line);
    queuedBytes += line.length;
    if (!isWriting) timer ??= setTimeout(flush, flushDelayMs).unref();
    return true;
  }

  function tryUseAllowance(number: number): boolean {
    const nowMs = getNowMs();
    let allowance = allowances.get(number);
    if (!allowance) {
      allowance = { lines: maxLinesPerS, atMs: nowMs };
      allowances.set(number, allowance);
    }
    const refilledLines = (nowMs - allowance.atMs) / 1_000 * maxLinesPerS;
    allowance.lines = Math.min(maxLinesPerS, allowance.lines + refilledLines);
    allowance.atMs = nowMs;
    if (allowance.lines < 1) return false;
    allowance.lines -= 1;
    return true;
  }

  function takeQueue(): Buffer {
    const nowMs = getNowMs();
    if (hasDropped && nowMs - reportedAtMs >= dropReportIntervalMs) {
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
      // Without a reader the lines are lost, but the process continues.
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
      // The process is ending and the descriptor does not accept the last
      // lines.
    }
  }
}
