/**
 * Reads the log lines of all processes of a played day. Each line has the
 * simulated time in seconds, the name of the machine and the JSON object that
 * its process wrote.
 */
export interface RunLogLine {
  /** Seconds since the start of traffic. */
  readonly atS: number;
  readonly machine: string;
  readonly event: number;
  readonly fields: Readonly<Record<string, unknown>>;
}

const linePattern = /^\s*(-?\d+(?:\.\d+)?) (\S+) (\{.*\})$/;

/** Lines of other programs, and lines that were cut off, are left out. */
export function parseRunLog(text: string): RunLogLine[] {
  return text.split("\n").flatMap((line) => parseLine(line) ?? []);
}

function parseLine(line: string): RunLogLine | undefined {
  const match = linePattern.exec(line);
  if (!match) return undefined;
  const [, atS, machine, json] = match;
  const fields = tryParseObject(json!);
  if (typeof fields?.event !== "number") return undefined;
  return { atS: Number(atS), machine: machine!, event: fields.event, fields };
}

function tryParseObject(json: string): Record<string, unknown> | undefined {
  try {
    return JSON.parse(json) as Record<string, unknown>;
  } catch {
    return undefined; // a line that the end of the run cut off
  }
}
