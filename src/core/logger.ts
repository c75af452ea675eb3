/**
 * Structured logs on standard output: one JSON object per line, or a short text
 * form for a terminal. Every line contains the number of its event. Writing
 * never blocks on the reader; the writer drops and counts lines that it cannot
 * queue.
 */
import process from "node:process";
import { type ConsolaReporter, createConsola } from "consola/core";
import { createLogWriter } from "./log_writer.ts";
import { type LogEvent, logEvents, LogLevel } from "./log_events.ts";

export type LogFields = Readonly<Record<string, unknown>>;

export interface Logger {
  log(event: LogEvent, fields?: LogFields): void;
  /** Returns a logger that adds the fields to every line. */
  with(fields: LogFields): Logger;
  /** Writes the queued lines before the process ends. */
  flush(): void;
}

export interface LoggerOptions {
  readonly level: LogLevel;
  readonly isJson: boolean;
}

// consola numbers its levels by verbosity: 0 is fatal, 4 is debug.
const consolaLevels: Readonly<Record<LogLevel, number>> = {
  [LogLevel.Error]: 0,
  [LogLevel.Warn]: 1,
  [LogLevel.Info]: 3,
  [LogLevel.Debug]: 4,
};
const stdoutFileDescriptor = 1;

export function createLogger(options: LoggerOptions): Logger {
  const format = options.isJson ? formatJson : formatText;
  let droppedLineFields: LogFields = {};
  const writer = createLogWriter({
    fileDescriptor: stdoutFileDescriptor,
    getNowMs: () => performance.now(),
    formatDropped: (counts) =>
      format(new Date(), logEvents.logLinesDropped, {
        ...droppedLineFields,
        counts,
      }),
  });
  const reporter: ConsolaReporter = {
    log: ({ date, args }) => {
      const { event, line } = args[0] as { event: LogEvent; line: LogFields };
      writer.write(event, format(date, event, line));
    },
  };
  const output = createConsola({
    level: consolaLevels[options.level],
    reporters: [reporter],
    // Repeated lines are not throttled, because they differ in their fields.
    throttle: 0,
  });
  process.once("exit", writer.flushNow);
  return createChild({});

  function createChild(inheritedFields: LogFields): Logger {
    return {
      log: (event, fields = {}) => {
        if (consolaLevels[event.level] > output.level) return;
        output[event.level]({ event, line: { ...inheritedFields, ...fields } });
      },
      with: (fields) => {
        droppedLineFields = { ...inheritedFields, ...fields };
        return createChild(droppedLineFields);
      },
      flush: writer.flushNow,
    };
  }
}

export function createSilentLogger(): Logger {
  const logger: Logger = {
    log: () => {},
    with: () => logger,
    flush: () => {},
  };
  return logger;
}

function formatJson(date: Date, event: LogEvent, line: LogFields): string {
  const record = {
    time: date.toISOString(),
    level: event.level,
    event: event.number,
    text: event.text,
    ...line,
  };
  return JSON.stringify(record) + "\n";
}

function formatText(date: Date, event: LogEvent, line: LogFields): string {
  const fields = Object.entries(line)
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`).join(" ");
  return `${date.toISOString()} ${event.level} ${event.number} ${event.text} ` +
    `${fields}\n`;
}
