/**
 * The promises that a soak checks, as pure functions of what callers, upstreams
 * and the operator have observed.
 */
import {
  appService,
  customerName,
  type ObservedAnswer,
  type SoakRecord,
} from "./soak_types.ts";

/** Statuses that promise that the request was not and will not be executed. */
const notExecutedStatuses = new Set([408, 421, 429, 503]);
/** An acknowledged configuration is in force everywhere within this time. */
const maxConfigurationDelayMs = 2_000;
/**
 * A bad version may get this share of the requests of its service plus
 * `exposedSlackCount` requests.
 */
const maxExposedRatio = 0.1;
const exposedSlackCount = 50;
/** Share of the requests sent after the last fault that must be served. */
const minServedRatio = 0.9;
const minCountAfterFaults = 10;

export function findViolations(record: SoakRecord): string[] {
  return [
    ...checkAttempts(record),
    ...record.answers.flatMap(checkAnswer),
    ...checkSubmissions(record),
    ...checkReads(record),
    ...checkMoves(record),
    ...checkRecovery(record),
    ...record.unexpectedExits.map((exit) =>
      `process exited unexpectedly: ${exit}`
    ),
  ];
}

function checkAttempts({ attempts, answers }: SoakRecord): string[] {
  const counts = new Map<string, number>();
  const found: string[] = [];
  for (const { requestId, customer, hasApiKey } of attempts) {
    counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
    if (customer !== customerName) {
      found.push(`${requestId} ran for customer "${customer}"`);
    }
    if (hasApiKey) found.push(`${requestId} ran with the caller's key`);
  }
  for (const answer of answers) {
    const { requestId, kind, status, hasForgedKey } = answer;
    const count = counts.get(requestId) ?? 0;
    if (kind === "unsafe" && count > 1) {
      found.push(`unsafe ${requestId} ran ${count} times`);
    }
    if (notExecutedStatuses.has(status) && count > 0) {
      found.push(`${kind} ${requestId} got ${status} and ran`);
    }
    if (hasForgedKey && count > 0) found.push(`${requestId} ran without a key`);
  }
  return found;
}

function checkAnswer(answer: ObservedAnswer): string[] {
  const { requestId, kind, status, isComplete, eventIds, hasForgedKey } =
    answer;
  if (hasForgedKey) {
    const isDenied = status !== 200;
    return isDenied ? [] : [`${requestId} was served without a key`];
  }
  if (status >= 400 && status < 500 && !notExecutedStatuses.has(status)) {
    return [`${kind} ${requestId} was denied with ${status}`];
  }
  if (status !== 200) return [];
  if (!answer.hasExpectedContent) return [`${requestId} has wrong content`];
  if (kind !== "stream") return [];
  const isOrdered = eventIds.every((eventId, index) =>
    eventId === answer.lastEventId + 1 + index
  );
  if (!isOrdered) return [`stream ${requestId} is out of order`];
  const lastId = eventIds.at(-1) ?? answer.lastEventId;
  return isComplete && lastId !== answer.eventCount
    ? [`stream ${requestId} ended at ${lastId} of ${answer.eventCount}`]
    : [];
}

function checkSubmissions({ submissions }: SoakRecord): string[] {
  return submissions.flatMap(({ number, isValid, status }) => {
    const isAcknowledged = status === 200;
    if (isValid && status >= 400 && status < 500) {
      return [`valid configuration ${number} got ${status}`];
    }
    return !isValid && isAcknowledged
      ? [`invalid configuration ${number} was acknowledged`]
      : [];
  });
}

function checkReads({ submissions, reads }: SoakRecord): string[] {
  const valid = new Set(
    submissions.filter(({ isValid }) => isValid).map(({ number }) => number),
  );
  return reads.flatMap(({ sentAtMs, status, number, isFinal }) => {
    if (status !== 200) {
      return isFinal
        ? [`the final read of the configuration got ${status}`]
        : [];
    }
    const delayMs = isFinal ? 0 : maxConfigurationDelayMs;
    const newest = Math.max(
      0,
      ...submissions.filter((order) =>
        order.status === 200 && order.isValid &&
        order.endedAtMs + delayMs < sentAtMs
      ).map((order) => order.number),
    );
    if (number < newest) return [`got configuration ${number} after ${newest}`];
    return valid.has(number)
      ? []
      : [`got configuration ${number}, which was never valid`];
  });
}

function checkMoves({ moves, attempts }: SoakRecord): string[] {
  return moves.flatMap(
    ({ target, isBad, submittedAtMs, endsAtMs, finalState }) => {
      if (!isBad) return [];
      const found = finalState === "complete"
        ? [`bad version ${target} was completed`]
        : [];
      const during = attempts.filter(({ service, atMs }) =>
        service === appService && atMs >= submittedAtMs && atMs < endsAtMs
      );
      const exposed = during.filter(({ version }) => version === target).length;
      const allowed = maxExposedRatio * during.length + exposedSlackCount;
      if (exposed > allowed) {
        found.push(
          `bad version ${target} got ${exposed} of ${during.length} requests`,
        );
      }
      return found;
    },
  );
}

function checkRecovery({ answers, settledAtMs }: SoakRecord): string[] {
  const late = answers.filter(({ sentAtMs, hasForgedKey }) =>
    sentAtMs >= settledAtMs && !hasForgedKey
  );
  const served = late.filter(({ status, isComplete }) =>
    status === 200 && isComplete
  );
  const hasRecovered = late.length >= minCountAfterFaults &&
    served.length >= late.length * minServedRatio;
  return hasRecovered ? [] : [
    `${served.length} of ${late.length} requests served after the last fault`,
  ];
}
