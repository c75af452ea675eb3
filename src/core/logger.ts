/**
 * Structured logs: one JSON object per line, or consola's own format for a
 * terminal. Every line carries the number of its event.
 */
import process from "node:process";
import { createConsola } from "consola";
import { type LogEvent, LogLevel } from "./log_events.ts";

export type LogFields = Readonly<Record<string, unknown>>;

export interface Logger {
  log(event: LogEvent, fields?: LogFields): void;
  /** A logger that adds the fields to every line. */
  with(fields: LogFields): Logger;
}

export interface LoggerOptions {
  readonly level: LogLevel;
  readonly isJson: boolean;
}

// consola counts levels the other way round: 0 is fatal, 4 is debug.
const consolaLevels: Readonly<Record<LogLevel, number>> = {
  [LogLevel.Error]: 0,
  [LogLevel.Warn]: 1,
  [LogLevel.Info]: 3,
  [LogLevel.Debug]: 4,
};

export function createLogger(options: LoggerOptions): Logger {
  const output = createConsola({
    level: consolaLevels[options.level],
    stdout: process.stderr,
    stderr: process.stderr,
    ...(options.isJson ? { reporters: [{ log: writeJsonLine }] } : {}),
  });
  return createChild({});

  function createChild(base: LogFields): Logger {
    return {
      log: (event, fields = {}) => {
        if (consolaLevels[event.level] > output.level) return;
        const line = { ...base, ...fields };
        if (options.isJson) {
          output[event.level]({ event, line });
        } else output[event.level](`${event.number} ${event.text}`, line);
      },
      with: (fields) => createChild({ ...base, ...fields }),
    };
  }
}

export function createSilentLogger(): Logger {
  const logger: Logger = { log: () => {}, with: () => logger };
  return logger;
}

function writeJsonLine(entry: { date: Date; args: unknown[] }): void {
  const { event, line } = entry.args[0] as {
    event: LogEvent;
    line: LogFields;
  };
  const record = {
    time: entry.date.toISOString(),
    level: event.level,
    event: event.number,
    text: event.text,
    ...line,
  };
  process.stderr.write(JSON.stringify(record) + "\n");
}
