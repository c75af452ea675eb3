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
const deadlineMs = 10_000;
const trialEndedAtMs = 20_000;

/** Two requests are pipelined; the entry began only with the first one. */
function checkSecondRequest(
  { received, runEnd, sentResponseAtMs, isFailureLogged, ...given }: {
    readonly received: string;
    readonly runEnd: RunEnd;
    readonly sentResponseAtMs: number;
    readonly isFailureLogged: boolean;
    readonly wasStarted: boolean;
    readonly end: ConnectionEnd;
    readonly firstDeadlineMs: number;
    readonly headAtMs: number;
  },
): readonly string[] {
  const reader = createResponseReader();
  reader.push(Buffer.from(received));
  const connection = {
    responses: reader.responses.map((response) => ({
      ...response,
      startedAtMs: given.headAtMs,
    })),
    getEnd: () => given.end,
    getEndedAtMs: () => closedAtMs,
    getViolation: () => undefined,
  } as Partial<CallerConnection> as CallerConnection;
  const requests = ["first", "second"].map((requestId, responseIndex) => ({
    requestId,
    route: TrialRoute.Stream,
    connection,
    connectionNumber: 1,
    responseIndex,
    deadlineMs: responseIndex === 0 ? given.firstDeadlineMs : deadlineMs,
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
    log: [
      logEvents.requestEnded,
      logEvents.responseIncomplete,
      ...(isFailureLogged ? [logEvents.forwardingFailed] : []),
    ].map(({ number }) => ({
      atMs: sentResponseAtMs,
      event: number,
      text: "",
      fields: {
        request: "first",
        reason: "the connection was closed",
        wasStarted: given.wasStarted,
      },
    })),
    timeouts: [],
    uncaught: [],
    drainStartedAtMs: Infinity,
    graceMs: 0,
    drainedAtMs: Infinity,
  };
  return checkTrial(record, trialEndedAtMs).findings
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
    name: "behind a response whose break is not what ended it",
    received: broken,
    runEnd: RunEnd.BrokenOff,
    isFailureLogged: false,
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
  {
    name: "as the head of a response said that it closes the connection",
    received: closing,
    runEnd: RunEnd.Complete,
    headAtMs: sentAtMs + 100,
    expected: [],
  },
  {
    name: "behind a response whose head a reset destroyed",
    received: "",
    runEnd: RunEnd.BrokenOff,
    wasStarted: true,
    end: ConnectionEnd.Reset,
    expected: [],
  },
  {
    name: "behind a request that broke off before its response",
    received: "",
    runEnd: RunEnd.BrokenOff,
    end: ConnectionEnd.Reset,
    expected: lost,
  },
  {
    name: "behind a response that is not late",
    received: broken,
    runEnd: RunEnd.Open,
    end: ConnectionEnd.None,
    firstDeadlineMs: 2 * trialEndedAtMs,
    expected: [],
  },
  {
    name: "behind a response that is late",
    received: broken,
    runEnd: RunEnd.Open,
    end: ConnectionEnd.None,
    expected: ["first: no end", "second: no end"],
  },
])(
  "a request that was sent $name",
  ({ name: _name, expected, ...given }) => {
    const findings = checkSecondRequest({
      sentResponseAtMs: closedAtMs,
      isFailureLogged: true,
      wasStarted: false,
      end: ConnectionEnd.Finished,
      firstDeadlineMs: deadlineMs,
      headAtMs: closedAtMs,
      ...given,
    });
    expect(findings.filter((what) => !what.includes("status 503"))).toEqual(
      expected,
    );
  },
);
