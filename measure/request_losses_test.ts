/**
 * Tests the reading of a played day's log and the causes derived from it.
 */
import { expect, test } from "vitest";
import { logEvents } from "../src/core/log_events.ts";
import { tabulateDomains } from "./outcomes_by_domain.ts";
import {
  classifyReason,
  listStreamLosses,
  StreamOutcome,
  sumCallCauses,
  sumStreamCauses,
} from "./request_losses.ts";
import { parseRunLog } from "./run_log.ts";

const objectives = { firstEventMs: 4_500, eventGapMs: 700 };

function format(
  atS: number,
  event: { readonly number: number },
  fields: Record<string, unknown>,
): string {
  const json = JSON.stringify({ event: event.number, ...fields });
  return `  ${atS.toFixed(4)} front-a-1 ${json}`;
}

test("lines that were written at once share their time, and other text is left out", () => {
  const lines = parseRunLog([
    "built in 3.3 s; 43887 lines in 338 files",
    ' -11.9492 front-a-1 {"event":1001,"instance":"front-a-1"}',
    '{"event":7209,"request":"r1"}',
    "day          score",
    '{"event":7209,"request":"r2"}',
    '   4.5000 front-b-2 {"event":7204,"request":"r3","stat',
  ].join("\n"));
  expect(lines.map(({ atS, machine, event }) => [atS, machine, event])).toEqual(
    [[-11.9492, "front-a-1", 1001], [-11.9492, "front-a-1", 7209]],
  );
});

test("the time of a stream that resumes late is split into silence, wait and prefill", () => {
  const request = "r1";
  const lines = parseRunLog([
    format(1, logEvents.streamPlaced, { request }),
    format(3.4, logEvents.streamAttemptFailed, {
      request,
      reason: "no report in 120 ms",
      silentMs: 350,
      lastEventId: 12,
    }),
    format(3.6, logEvents.streamPlaced, { request, lastEventId: 12 }),
    format(5, logEvents.streamResumed, {
      request,
      hasCopy: false,
      attemptMs: 1_400,
    }),
    format(7, logEvents.streamEnded, {
      request,
      outcome: "complete",
      firstEventMs: 900,
      longestGapMs: 1_950,
    }),
  ].join("\n"));
  const [loss] = listStreamLosses(lines, objectives);
  expect(loss!.outcome).toBe(StreamOutcome.LateEvent);
  expect([...loss!.lostMs].map(([cause, ms]) => [cause, Math.round(ms)]))
    .toEqual([
      ["silence before engine without a report", 350],
      ["wait for an engine", 200],
      ["prefill after a loss", 1_400],
    ]);
  expect(sumStreamCauses([loss!, loss!])[0]).toMatchObject({
    cause: "prefill after a loss",
    requests: 2,
    lostMs: 2_800,
  });
});

test("a stream without an end was lost with its instance", () => {
  const lines = parseRunLog(
    format(1, logEvents.streamPlaced, { request: "r1" }),
  );
  expect(listStreamLosses(lines, objectives)[0]!.outcome)
    .toBe(StreamOutcome.InstanceLost);
});

test("failed calls are summed by status and the reasons of their attempts", () => {
  const request = "r1";
  const attempt = (reason: string) =>
    format(1, logEvents.attemptFailed, { request, reason });
  const lines = parseRunLog([
    attempt("status 500"),
    attempt("connect ECONNREFUSED 10.0.0.1:80"),
    attempt("connect ECONNREFUSED 10.0.0.2:80"),
    format(2, logEvents.requestEnded, { request, status: 502, durationMs: 40 }),
    format(2, logEvents.requestEnded, { request: "r2", status: 200 }),
  ].join("\n"));
  expect(sumCallCauses(lines)).toEqual([{
    outcome: "status 502",
    cause: "error response, then refused connection",
    requests: 1,
    lostMs: 40,
  }]);
});

test("reasons that differ only in addresses and durations are one cause", () => {
  expect(classifyReason("connect ECONNREFUSED 10.1.2.3:80"))
    .toBe(classifyReason("connect ECONNREFUSED 10.9.9.9:81"));
  expect(classifyReason("refused with status 421"))
    .toBe("another upstream at the address");
  expect(classifyReason("event 12 arrived after event 9"))
    .toBe("event N arrived after event N");
});

test("waits are charged to the domain of the instance, apart from prefill", () => {
  // Guards against a wait at the instance that counts as the engine's.
  const lines = parseRunLog([
    format(0, logEvents.daemonStarted, { domain: "a" }),
    format(2.5, logEvents.streamPlaced, { request: "r1" }),
    format(6, logEvents.streamEnded, {
      request: "r1",
      outcome: "complete",
      firstEventMs: 2_000,
      longestGapMs: 90,
      durationMs: 4_500,
    }),
    format(6, logEvents.requestEnded, {
      request: "r1",
      status: 200,
      durationMs: 4_500,
    }),
    format(7, logEvents.requestEnded, {
      request: "c1",
      status: 503,
      durationMs: 10,
    }),
  ].join("\n"));
  const [row] = tabulateDomains(lines, objectives);
  expect(row).toMatchObject({
    domain: "a",
    streams: 1,
    waitHereMs: 1_000,
    waitAtEngineMs: 1_000,
    calls: 1,
    failedCalls: 1,
  });
});
