/**
 * Tables who pays for load on a played day: the outcomes of streams and calls
 * and the time that they waited, for the instances of each failure domain. Pure.
 */
import { logEvents } from "../src/core/log_events.ts";
import {
  listStreamLosses,
  type Objectives,
  StreamOutcome,
} from "./request_losses.ts";
import type { RunLogLine } from "./run_log.ts";

export interface DomainRow {
  readonly domain: string;
  readonly streams: number;
  readonly streamsByOutcome: ReadonlyMap<StreamOutcome, number>;
  /** Mean time from the arrival of a stream until it was first placed. */
  readonly waitHereMs: number;
  /** Mean time from the first placement until the first event. */
  readonly waitAtEngineMs: number;
  /** Mean time in which a stream that lost an engine had none. */
  readonly waitAfterLossMs: number;
  readonly calls: number;
  /** Calls that ended with a status of 500 or more, or without one. */
  readonly failedCalls: number;
  readonly meanCallMs: number;
}

interface Sums {
  streams: number;
  readonly streamsByOutcome: Map<StreamOutcome, number>;
  waitHereMs: number;
  waitAtEngineMs: number;
  waitAfterLossMs: number;
  startedStreams: number;
  calls: number;
  failedCalls: number;
  callMs: number;
}

export function tabulateDomains(
  lines: readonly RunLogLine[],
  objectives: Objectives,
): DomainRow[] {
  const domainOf = new Map(
    lines.filter(({ event }) => event === logEvents.daemonStarted.number)
      .map(({ machine, fields }) => [machine, String(fields.domain)]),
  );
  const sums = new Map<string, Sums>();
  const losses = listStreamLosses(lines, objectives);
  const streamIds = new Set(losses.map(({ requestId }) => requestId));
  const ends = new Map<string, RunLogLine>();
  for (const line of lines) {
    const requestId = String(line.fields.request ?? "");
    if (line.event === logEvents.streamEnded.number) ends.set(requestId, line);
    const isCall = line.event === logEvents.requestEnded.number &&
      !streamIds.has(requestId);
    if (isCall) addCall(getSums(line.machine), line);
  }
  for (const { requestId, machine, arrivedAtS, outcome, lostMs } of losses) {
    const domain = getSums(machine);
    domain.streams += 1;
    domain.streamsByOutcome.set(
      outcome,
      (domain.streamsByOutcome.get(outcome) ?? 0) + 1,
    );
    domain.waitAfterLossMs += lostMs.get("wait for an engine") ?? 0;
    const end = ends.get(requestId);
    if (typeof end?.fields.firstEventMs !== "number") continue;
    // A stream's trace begins when it is placed.
    const durationMs = Number(end.fields.durationMs);
    const waitHereMs = Math.max(
      0,
      durationMs - (end.atS - arrivedAtS) * 1_000,
    );
    domain.startedStreams += 1;
    domain.waitHereMs += waitHereMs;
    domain.waitAtEngineMs += Math.max(0, end.fields.firstEventMs - waitHereMs);
  }
  return [...sums].sort(([left], [right]) => left.localeCompare(right))
    .map(([domain, sum]) => createRow(domain, sum));

  function getSums(machine: string): Sums {
    const domain = domainOf.get(machine) ?? "unknown";
    let sum = sums.get(domain);
    if (!sum) {
      sum = {
        streams: 0,
        streamsByOutcome: new Map(),
        waitHereMs: 0,
        waitAtEngineMs: 0,
        waitAfterLossMs: 0,
        startedStreams: 0,
        calls: 0,
        failedCalls: 0,
        callMs: 0,
      };
      sums.set(domain, sum);
    }
    return sum;
  }
}

/** Requests that were refused with a 4xx never reached an upstream. */
function addCall(sum: Sums, { fields }: RunLogLine): void {
  const status = Number(fields.status);
  if (status >= 400 && status < 500) return;
  sum.calls += 1;
  sum.callMs += Number(fields.durationMs);
  if (status === 0 || status >= 500) sum.failedCalls += 1;
}

function createRow(domain: string, sum: Sums): DomainRow {
  const perStarted = (totalMs: number) => divide(totalMs, sum.startedStreams);
  return {
    domain,
    streams: sum.streams,
    streamsByOutcome: sum.streamsByOutcome,
    waitHereMs: perStarted(sum.waitHereMs),
    waitAtEngineMs: perStarted(sum.waitAtEngineMs),
    waitAfterLossMs: divide(sum.waitAfterLossMs, sum.streams),
    calls: sum.calls,
    failedCalls: sum.failedCalls,
    meanCallMs: divide(sum.callMs, sum.calls),
  };
}

function divide(total: number, count: number): number {
  return count === 0 ? 0 : Math.round(total / count);
}
