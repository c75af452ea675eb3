/**
 * Guards against trials that find an explanation for requests which have none.
 */
import { Buffer } from "node:buffer";
import { expect, test } from "vitest";
import { logEvents } from "../../src/core/log_events.ts";
import { type CallerConnection, ConnectionEnd } from "./caller_connection.ts";
import { createResponseReader } from "./response_reader.ts";
import { checkTrial } from "./trial_checks.ts";
import { RunEnd, type TrialRecord, TrialRoute } from "./trial_types.ts";

const closedAtMs = 2_000;
const sentAtMs = 1_000;

/** Two requests are pipelined; the entry began only with the first one. */
function checkSecondRequest(
  { received, runEnd, sentResponseAtMs }: {
    readonly received: string;
    readonly runEnd: RunEnd;
    readonly sentResponseAtMs: number;
  },
): readonly string[] {
  const reader = createResponseReader();
  reader.push(Buffer.from(received));
  const connection = {
    responses: reader.responses,
    getEnd: () => ConnectionEnd.Finished,
    getEndedAtMs: () => closedAtMs,
    getViolation: () => undefined,
  } as Partial<CallerConnection> as CallerConnection;
  const requests = ["first", "second"].map((requestId, responseIndex) => ({
    requestId,
    route: TrialRoute.Stream,
    connection,
    connectionNumber: 1,
    responseIndex,
    deadlineMs: 10_000,
    startedAtMs: sentAtMs,
    sentAtMs,
    leftAtMs: undefined,
  }));
  const record: TrialRecord = {
    requests,
    runs: [{
      requestId: "first",
      upstreamId: "u-1",
      startedAtMs: sentAtMs,
      behaviour: "cut",
      end: runEnd,
      endedAtMs: closedAtMs,
    }],
    log: [{
      atMs: sentResponseAtMs,
      event: logEvents.requestEnded.number,
      text: "",
      fields: { request: "first" },
    }],
    timeouts: [],
    uncaught: [],
    drainStartedAtMs: Infinity,
    graceMs: 0,
    drainedAtMs: Infinity,
  };
  return checkTrial(record, 20_000).findings
    .map(({ requestId, what }) => `${requestId}: ${what}`);
}

const broken = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const kept = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
const closing =
  "HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
const lost = ["second: closed without being read"];

test.each([
  {
    name: "behind a response that its upstream broke off",
    received: broken,
    runEnd: RunEnd.BrokenOff,
    expected: [],
  },
  {
    name: "behind a response that broke off without a reason",
    received: broken,
    runEnd: RunEnd.Cancelled,
    expected: ["first: closed after it was passed on", ...lost],
  },
  {
    name: "behind a complete response that keeps the connection",
    received: kept,
    runEnd: RunEnd.Complete,
    expected: lost,
  },
  {
    name: "long before the response that closes the connection",
    received: closing,
    runEnd: RunEnd.Complete,
    expected: lost,
  },
  {
    name: "as the response that closes the connection was sent",
    received: closing,
    runEnd: RunEnd.Complete,
    sentResponseAtMs: sentAtMs + 100,
    expected: [],
  },
])(
  "a request that was sent $name",
  ({ received, runEnd, sentResponseAtMs = closedAtMs, expected }) => {
    const findings = checkSecondRequest({ received, runEnd, sentResponseAtMs });
    expect(findings.filter((what) => !what.includes("status 503"))).toEqual(
      expected,
    );
  },
);
