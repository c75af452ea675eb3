/**
 * Finds where the requests of a played day lost their time, from the log lines
 * of its entry instances, and adds up the time and the number of requests per
 * cause. Pure.
 */
import { logEvents } from "../src/core/log_events.ts";
import type { RunLogLine } from "./run_log.ts";

export interface Objectives {
  /** Time within which the first event of a stream is due. */
  readonly firstEventMs: number;
  /** Longest pause between two events of a stream that is on time. */
  readonly eventGapMs: number;
}

export enum StreamOutcome {
  OnTime = "on time",
  LateFirstEvent = "first event late",
  LateEvent = "pause too long",
  Failed = "failed",
  Refused = "refused",
  /** The instance stopped or lost power before the stream ended. */
  InstanceLost = "instance lost",
  CallerLeft = "caller left",
}

export interface StreamLoss {
  readonly requestId: string;
  readonly machine: string;
  readonly arrivedAtS: number;
  readonly outcome: StreamOutcome;
  /** Time lost per cause in milliseconds. */
  readonly lostMs: ReadonlyMap<string, number>;
}

export interface CauseRow {
  readonly outcome: string;
  readonly cause: string;
  readonly requests: number;
  readonly lostMs: number;
}

interface StreamTrace {
  readonly machine: string;
  readonly arrivedAtS: number;
  readonly lines: RunLogLine[];
}

/** Lists the streams that an instance placed on an engine at least once. */
export function listStreamLosses(
  lines: readonly RunLogLine[],
  objectives: Objectives,
): StreamLoss[] {
  const traces = new Map<string, StreamTrace>();
  for (const line of lines) {
    const requestId = getText(line, "request");
    if (requestId === "") continue;
    const isPlacement = line.event === logEvents.streamPlaced.number;
    const trace = traces.get(requestId);
    if (trace) trace.lines.push(line);
    else if (isPlacement) {
      traces.set(requestId, {
        machine: line.machine,
        arrivedAtS: line.atS,
        lines: [line],
      });
    }
  }
  return [...traces].map(([requestId, trace]) => ({
    requestId,
    machine: trace.machine,
    arrivedAtS: trace.arrivedAtS,
    outcome: getOutcome(trace.lines, objectives),
    lostMs: sumLostTime(trace.lines),
  }));
}

function getOutcome(
  lines: readonly RunLogLine[],
  { firstEventMs, eventGapMs }: Objectives,
): StreamOutcome {
  const has = (event: { readonly number: number }) =>
    lines.some((line) => line.event === event.number);
  const end = lines.findLast(({ event }) =>
    event === logEvents.streamEnded.number
  );
  if (!end) return StreamOutcome.InstanceLost;
  if (has(logEvents.callerLeft)) return StreamOutcome.CallerLeft;
  const failure = lines.find(({ event }) =>
    event === logEvents.forwardingFailed.number
  );
  if (failure) {
    const kind = getText(failure, "kind");
    return kind === "noUpstream" || kind === "overloaded"
      ? StreamOutcome.Refused
      : StreamOutcome.Failed;
  }
  if (getText(end, "outcome") !== "complete") return StreamOutcome.Failed;
  if (getNumber(end, "firstEventMs") > firstEventMs) {
    return StreamOutcome.LateFirstEvent;
  }
  return getNumber(end, "longestGapMs") > eventGapMs
    ? StreamOutcome.LateEvent
    : StreamOutcome.OnTime;
}

/**
 * Adds up the time in which the stream made no progress. A lost attempt ends
 * with a silence; then the stream waits for its next attempt, which prefills
 * the prompt again or resumes from a copy of the KV cache.
 */
function sumLostTime(lines: readonly RunLogLine[]): Map<string, number> {
  const lostMs = new Map<string, number>();
  let lostAtS: number | undefined;
  let placed: RunLogLine | undefined;
  for (const line of lines) {
    switch (line.event) {
      case logEvents.streamPlaced.number:
        if (lostAtS !== undefined) add("wait for an engine", lostAtS, line.atS);
        lostAtS = undefined;
        placed = line;
        break;
      case logEvents.streamAttemptFailed.number: {
        const reason = classifyReason(getText(line, "reason"));
        const hadEvents = getNumber(line, "lastEventId") >
          (placed ? getNumber(placed, "lastEventId") : 0);
        const phase = hadEvents ? "silence before" : "no event, then";
        addMs(`${phase} ${reason}`, getNumber(line, "silentMs"));
        lostAtS = line.atS;
        placed = undefined;
        break;
      }
      case logEvents.streamResumed.number:
        addMs(
          line.fields.hasCopy === true
            ? "resume from a copy"
            : "prefill after a loss",
          getNumber(line, "attemptMs"),
        );
        break;
      case logEvents.forwardingFailed.number:
        if (lostAtS !== undefined) add("wait for an engine", lostAtS, line.atS);
        else if (placed) add("prefill until the end", placed.atS, line.atS);
        break;
      case logEvents.streamEnded.number: {
        const firstEventMs = getNumber(line, "firstEventMs");
        const isFirstAttempt = !lines.some(({ event }) =>
          event === logEvents.streamAttemptFailed.number
        );
        if (isFirstAttempt && firstEventMs > 0) {
          addMs("prefill at the first engine", firstEventMs);
        }
        break;
      }
    }
  }
  return lostMs;

  function add(cause: string, fromS: number, toS: number): void {
    addMs(cause, (toS - fromS) * 1_000);
  }

  function addMs(cause: string, durationMs: number): void {
    lostMs.set(cause, (lostMs.get(cause) ?? 0) + durationMs);
  }
}

/** Groups the reasons of lost attempts, which name addresses and durations. */
export function classifyReason(reason: string): string {
  if (reason.includes("status 421")) return "another upstream at the address";
  if (reason.startsWith("refused with")) return "refusal by the upstream";
  if (reason.includes("ECONNREFUSED")) return "refused connection";
  if (reason.includes("timed out")) return "unreachable address";
  if (reason.startsWith("no report in")) return "engine without a report";
  if (reason.startsWith("no event for")) return "silent stream";
  if (/^status \d/.test(reason)) return "error response";
  if (/RESET|hang up|closed|ended/.test(reason)) return "reset";
  return reason.replaceAll(/\d+/g, "N");
}

/** Sums the streams that were not served on time per outcome and cause. */
export function sumStreamCauses(losses: readonly StreamLoss[]): CauseRow[] {
  const rows = new Map<string, CauseRow>();
  for (const { outcome, lostMs } of losses) {
    if (outcome === StreamOutcome.OnTime) continue;
    for (const [cause, durationMs] of lostMs) {
      addRow(rows, { outcome, cause, requests: 1, lostMs: durationMs });
    }
    if (lostMs.size === 0) {
      addRow(rows, { outcome, cause: "none logged", requests: 1, lostMs: 0 });
    }
  }
  return sortRows(rows);
}

/** Sums the plain calls that failed, per final status and last failure. */
export function sumCallCauses(lines: readonly RunLogLine[]): CauseRow[] {
  const streamIds = new Set(
    lines.filter(({ event }) => event === logEvents.streamPlaced.number)
      .map((line) => getText(line, "request")),
  );
  /** Consecutive attempts that failed in the same way count once. */
  const failures = new Map<string, string[]>();
  const rows = new Map<string, CauseRow>();
  for (const line of lines) {
    const requestId = getText(line, "request");
    if (requestId === "" || streamIds.has(requestId)) continue;
    switch (line.event) {
      case logEvents.attemptFailed.number:
      case logEvents.forwardingFailed.number:
      case logEvents.forwardingRefused.number: {
        const reason = classifyReason(getText(line, "reason"));
        const reasons = failures.get(requestId) ?? [];
        if (reasons.at(-1) !== reason) reasons.push(reason);
        failures.set(requestId, reasons);
        break;
      }
      case logEvents.requestEnded.number: {
        const status = getNumber(line, "status");
        if (status !== 0 && status < 500) break;
        addRow(rows, {
          outcome: `status ${status}`,
          cause: failures.get(requestId)?.join(", then ") ?? "none logged",
          requests: 1,
          lostMs: getNumber(line, "durationMs"),
        });
        break;
      }
    }
  }
  return sortRows(rows);
}

function addRow(rows: Map<string, CauseRow>, row: CauseRow): void {
  const key = `${row.outcome}\n${row.cause}`;
  const previous = rows.get(key);
  rows.set(key, {
    ...row,
    requests: row.requests + (previous?.requests ?? 0),
    lostMs: row.lostMs + (previous?.lostMs ?? 0),
  });
}

function sortRows(rows: ReadonlyMap<string, CauseRow>): CauseRow[] {
  return [...rows.values()].sort((left, right) => right.lostMs - left.lostMs);
}

function getText({ fields }: RunLogLine, name: string): string {
  const value = fields[name];
  return typeof value === "string" ? value : "";
}

function getNumber({ fields }: RunLogLine, name: string): number {
  const value = fields[name];
  return typeof value === "number" ? value : 0;
}
