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

const prefixPattern = /^\s*(-?\d+(?:\.\d+)?) (\S+) (?=\{)/;

/**
 * Lines of other programs, and lines that were cut off, are left out. A process
 * may write several lines at once; only the first of them has the time and the
 * machine, which hold for all of them.
 */
export function parseRunLog(text: string): RunLogLine[] {
  const lines: RunLogLine[] = [];
  let origin: { atS: number; machine: string } | undefined;
  for (const line of text.split("\n")) {
    const prefix = prefixPattern.exec(line);
    if (prefix) origin = { atS: Number(prefix[1]), machine: prefix[2]! };
    else if (!line.startsWith("{")) origin = undefined;
    if (!origin) continue;
    const fields = tryParseObject(line.slice(prefix?.[0].length ?? 0));
    if (typeof fields?.event !== "number") continue;
    lines.push({ ...origin, event: fields.event, fields });
  }
  return lines;
}

function tryParseObject(json: string): Record<string, unknown> | undefined {
  try {
    return JSON.parse(json) as Record<string, unknown>;
  } catch {
    return undefined; // a line that the end of the run cut off
  }
}
