/**
 * Finds the requests of a trial whose outcome nothing explains. Pure.
 */
import { logEvents } from "../../src/core/log_events.ts";
import { getBodyText, type ReadResponse } from "./response_reader.ts";
import { ConnectionEnd } from "./caller_connection.ts";
import { formatTrialEvent, getEventCount } from "./trial_upstreams.ts";
import {
  type ObservedRun,
  RunEnd,
  type SentRequest,
  type TrialRecord,
  TrialRoute,
} from "./trial_types.ts";

export interface Finding {
  readonly requestId: string;
  readonly what: string;
  readonly details: Readonly<Record<string, unknown>>;
}

export interface TrialOutcome {
  readonly findings: readonly Finding[];
  /** Requests by how they ended. */
  readonly counts: Readonly<Record<string, number>>;
}

/** Time between the deadline and the caller's observation of the end. */
const deadlineSlackMs = 60;
/** A request sent so shortly before the end of its connection crossed it. */
const crossingMs = 250;
/** A paused process reads a request so much later. */
const readingMs = 500;
const hangSlackMs = 1_500;
/** Part of the grace time that remains after open requests are aborted. */
const exitMarginMs = 500;
/** Statuses that promise that the request did not run and never will. */
const promisingStatuses = new Set([408, 421, 429, 503]);

export function checkTrial(
  record: TrialRecord,
  endedAtMs: number,
): TrialOutcome {
  const runsById = new Map<string, ObservedRun[]>();
  for (const run of record.runs) {
    const runs = runsById.get(run.requestId);
    if (runs) runs.push(run);
    else runsById.set(run.requestId, [run]);
  }
  const findings: Finding[] = record.uncaught.map((text) => ({
    requestId: "",
    what: "uncaught exception",
    details: { text },
  }));
  const counts: Record<string, number> = {};
  for (const request of record.requests) {
    const runs = runsById.get(request.requestId) ?? [];
    const outcome = describeOutcome(record, request, runsById, endedAtMs);
    const name = outcome.isFinding ? `FINDING ${outcome.what}` : outcome.what;
    counts[name] = (counts[name] ?? 0) + 1;
    if (!outcome.isFinding) continue;
    findings.push({
      requestId: request.requestId,
      what: outcome.what,
      details: describeRequest(record, request, runs),
    });
  }
  return { findings, counts };
}

interface Outcome {
  readonly what: string;
  readonly isFinding: boolean;
}

const explained = (what: string): Outcome => ({ what, isFinding: false });
const unexplained = (what: string): Outcome => ({ what, isFinding: true });

type RunsById = ReadonlyMap<string, readonly ObservedRun[]>;

function describeOutcome(
  record: TrialRecord,
  request: SentRequest,
  runsById: RunsById,
  endedAtMs: number,
): Outcome {
  const { connection, requestId, responseIndex } = request;
  const runs = runsById.get(requestId) ?? [];
  const response = connection.responses[responseIndex];
  const echoedId = response?.headers.get("request-id");
  if (echoedId !== undefined && echoedId !== requestId) {
    return unexplained("the response belongs to another request");
  }
  if (response?.isComplete) return checkResponse(request, response, runs);
  const violation = connection.getViolation();
  if (violation !== undefined) return unexplained(violation);
  if (request.leftAtMs !== undefined) return explained("the caller left");
  if (request.sentAtMs === Infinity) return explained("not sent in full");
  if (connection.getEnd() === ConnectionEnd.None) {
    const isLate = ({ startedAtMs, deadlineMs }: SentRequest) =>
      endedAtMs - startedAtMs > deadlineMs + hangSlackMs;
    if (!isLate(request)) return explained("open at the trial's end");
    // A response cannot be sent before the one ahead of it, which may have a
    // later deadline.
    const next = findNextUnanswered(record, request);
    return next === request || isLate(next)
      ? unexplained("no end")
      : explained("waited behind a response that is not late");
  }
  return describeClosed(record, request, runsById);
}

function checkResponse(
  request: SentRequest,
  response: ReadResponse,
  runs: readonly ObservedRun[],
): Outcome {
  const { status } = response;
  if (promisingStatuses.has(status) && runs.length > 0) {
    return unexplained(`status ${status} to a request that ran`);
  }
  if (status >= 200 && status < 300) {
    const isWhole = isStream(request)
      ? isWholeStream(request.requestId, response)
      : getBodyText(response).startsWith(`answer of ${request.requestId} `);
    if (!isWhole) return unexplained("a success without the whole body");
  }
  return explained(`status ${status}`);
}

function isStream({ route }: SentRequest): boolean {
  return route === TrialRoute.Stream || route === TrialRoute.ResumableStream;
}

function isWholeStream(requestId: string, response: ReadResponse): boolean {
  const count = getEventCount(requestId);
  const expectedBytes = Array.from(
    { length: count },
    (_, index) => formatTrialEvent(requestId, index + 1).length,
  ).reduce((sum, bytes) => sum + bytes, 0);
  return response.bodyBytes === expectedBytes;
}

function describeClosed(
  record: TrialRecord,
  request: SentRequest,
  runsById: RunsById,
): Outcome {
  const runs = runsById.get(request.requestId) ?? [];
  const closedAtMs = request.connection.getEndedAtMs()!;
  const wasRead = record.log.some(({ fields }) =>
    fields["request"] === request.requestId
  );
  if (runs.length === 0 && !wasRead) {
    return describeNotStarted(record, request, runsById);
  }
  // Another end, such as a reset of the connection, is not explained by a break.
  const failedReason = getLoggedReason(record, request);
  // LOST counts requests at sound upstreams. Once a stream has begun, the error
  // response of another upstream cannot be passed on.
  const hasBroken = runs.some(({ end, behaviour }) =>
    end === RunEnd.BrokenOff ||
    (end === RunEnd.Complete && behaviour === "failed")
  );
  if (hasBroken && isStream(request) && failedReason !== "") {
    // What ends a stream that could be resumed is worth a look.
    return explained(
      request.route === TrialRoute.ResumableStream
        ? `broken off and not resumed: ${failedReason}`
        : "the upstream broke off",
    );
  }
  const elapsedMs = closedAtMs - request.startedAtMs;
  const limitMs = Math.min(
    request.deadlineMs,
    getLeastTimeoutMs(record, request),
  );
  if (elapsedMs >= limitMs - deadlineSlackMs) {
    return explained("the deadline was reached");
  }
  const graceEndsAtMs = record.drainStartedAtMs + record.graceMs -
    exitMarginMs;
  const isAtWork = runs.some(({ startedAtMs, endedAtMs = Infinity }) =>
    startedAtMs <= closedAtMs && endedAtMs >= closedAtMs - crossingMs
  );
  if (closedAtMs >= graceEndsAtMs && isAtWork) {
    return explained("the grace time was over");
  }
  return unexplained(
    runs.length > 0 ? "closed after it was passed on" : "closed after reading",
  );
}

/** The entry did not begin with the request. */
function describeNotStarted(
  record: TrialRecord,
  request: SentRequest,
  runsById: RunsById,
): Outcome {
  const { connection, sentAtMs } = request;
  const closedAtMs = getAnnouncedCloseAtMs(record, request) ??
    connection.getEndedAtMs()!;
  // LOST: "A request that crosses your close and isn't passed on doesn't count."
  if (closedAtMs - sentAtMs < crossingMs) {
    return explained("crossed the end of its connection");
  }
  // Responses have the order of their requests, so none can follow one that
  // broke off. LOST counts such a request only if it was passed on, and callers
  // repeat what a connection was closed without reading.
  const next = findNextUnanswered(record, request);
  const isBehindBreak = next !== request && wasResponseBegun(record, next) &&
    !describeClosed(record, next, runsById).isFinding;
  return isBehindBreak
    ? explained("waited behind a response that broke off")
    : unexplained("closed without being read");
}

/** Returns the first request of the connection without a whole response. */
function findNextUnanswered(
  { requests }: TrialRecord,
  { connection }: SentRequest,
): SentRequest {
  const { responses } = connection;
  return requests.find((other) =>
    other.connection === connection &&
    !responses[other.responseIndex]?.isComplete
  )!;
}

/** Without the head of a response, the entry could have sent another one. */
function wasResponseBegun(
  { log }: TrialRecord,
  { connection, responseIndex, requestId }: SentRequest,
): boolean {
  // A reset can destroy the head on its way.
  return connection.responses[responseIndex] !== undefined ||
    log.some(({ event, fields }) =>
      event === logEvents.responseIncomplete.number &&
      fields["request"] === requestId && fields["wasStarted"] === true
    );
}

/**
 * Time at which the entry had said that it closes the connection: its callers
 * send no request after that. One that pauses its reading sees it later than
 * the log has the end of the response.
 */
function getAnnouncedCloseAtMs(
  { log, requests }: TrialRecord,
  { connection }: SentRequest,
): number | undefined {
  const lastIndex = connection.responses.length - 1;
  const last = connection.responses[lastIndex];
  if (!last?.isComplete || last.headers.get("connection") !== "close") {
    return undefined;
  }
  const { requestId } = requests.find((other) =>
    other.connection === connection && other.responseIndex === lastIndex
  )!;
  const loggedAtMs = log.find(({ event, fields }) =>
    event === logEvents.requestEnded.number && fields["request"] === requestId
  )?.atMs;
  return Math.min(last.startedAtMs, loggedAtMs ?? Infinity);
}

function getLoggedReason(
  { log }: TrialRecord,
  { requestId }: SentRequest,
): string {
  return log.filter(({ event, fields }) =>
    event === logEvents.forwardingFailed.number &&
    fields["request"] === requestId
  ).map(({ fields }) => String(fields["reason"]).replaceAll(/\d+/g, "N"))
    .join(", ");
}

/** Least timeout of the route while the request was read. */
function getLeastTimeoutMs(
  { timeouts }: TrialRecord,
  { route, startedAtMs, sentAtMs }: SentRequest,
): number {
  const first = timeouts.findLastIndex(({ atMs }) => atMs <= startedAtMs);
  return Math.min(
    ...timeouts.slice(Math.max(0, first))
      .filter(({ atMs }) => atMs <= sentAtMs + readingMs)
      .map(({ timeoutMs }) => timeoutMs.get(route) ?? Infinity),
  );
}

function describeRequest(
  record: TrialRecord,
  request: SentRequest,
  runs: readonly ObservedRun[],
) {
  const { connection, requestId, startedAtMs } = request;
  const toRelativeMs = (atMs: number | undefined) =>
    atMs === undefined ? undefined : Math.round(atMs - startedAtMs);
  const response = connection.responses[request.responseIndex];
  return {
    route: request.route,
    connection: request.connectionNumber,
    responseIndex: request.responseIndex,
    sentMs: toRelativeMs(request.sentAtMs),
    drainMs: toRelativeMs(record.drainStartedAtMs),
    end: connection.getEnd(),
    endMs: toRelativeMs(connection.getEndedAtMs()),
    status: response?.status,
    bodyBytes: response?.bodyBytes,
    before: connection.responses.slice(0, request.responseIndex)
      .map(({ status, isComplete, endedAtMs }) => [
        status,
        isComplete,
        toRelativeMs(endedAtMs),
      ]),
    leftMs: toRelativeMs(request.leftAtMs),
    sameConnection: record.requests.filter((other) =>
      other.connection === connection
    ).map((other) => ({
      requestId: other.requestId,
      startedMs: toRelativeMs(other.startedAtMs),
      sentMs: toRelativeMs(other.sentAtMs),
      leftMs: toRelativeMs(other.leftAtMs),
    })),
    runs: runs.map((run) => ({
      upstream: run.upstreamId,
      behaviour: run.behaviour,
      atMs: toRelativeMs(run.startedAtMs),
      end: run.end,
      endMs: toRelativeMs(run.endedAtMs),
    })),
    log: record.log.filter(({ fields }) => fields["request"] === requestId)
      .map(({ atMs, text, fields }) => ({
        ms: toRelativeMs(atMs),
        text,
        reason: fields["reason"],
        decision: fields["decision"],
        outcome: fields["outcome"],
        status: fields["status"],
      })),
  };
}
