/**
 * The promises that a soak checks, from what callers, upstreams and the
 * operator have seen. Pure.
 */
import {
  appService,
  customerName,
  type SeenAnswer,
  type SoakRecord,
} from "./soak_types.ts";

/** These statuses say that the request did not run and never will. */
const notRunStatuses = new Set([408, 421, 429, 503]);
/** A configuration is in force everywhere within this time. */
const configurationMs = 2_000;
/** A bad version gets this share of the requests of its service, and these. */
const exposedShare = 0.1;
const exposedSlack = 50;
/** Share of the requests after the last fault that have to be served. */
const recoveredShare = 0.9;
const minRecoveredCount = 10;

export function findViolations(record: SoakRecord): string[] {
  return [
    ...checkRuns(record),
    ...record.answers.flatMap(checkAnswer),
    ...checkOrders(record),
    ...checkReads(record),
    ...checkMoves(record),
    ...checkRecovery(record),
    ...record.exits.map((exit) => `process ended by itself: ${exit}`),
  ];
}

function checkRuns({ runs, answers }: SoakRecord): string[] {
  const counts = new Map<string, number>();
  const found: string[] = [];
  for (const { requestId, customer, hasApiKey } of runs) {
    counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
    if (customer !== customerName) {
      found.push(`${requestId} ran for customer "${customer}"`);
    }
    if (hasApiKey) found.push(`${requestId} ran with the caller's key`);
  }
  for (const answer of answers) {
    const { requestId, kind, status, isForged } = answer;
    const count = counts.get(requestId) ?? 0;
    if (kind === "unsafe" && count > 1) {
      found.push(`unsafe ${requestId} ran ${count} times`);
    }
    if (notRunStatuses.has(status) && count > 0) {
      found.push(`${kind} ${requestId} got ${status} and ran`);
    }
    if (isForged && count > 0) found.push(`${requestId} ran without a key`);
  }
  return found;
}

function checkAnswer(answer: SeenAnswer): string[] {
  const { requestId, kind, status, isComplete, eventIds, isForged } = answer;
  if (isForged) {
    const isRefused = status !== 200;
    return isRefused ? [] : [`${requestId} was served without a key`];
  }
  if (status >= 400 && status < 500 && !notRunStatuses.has(status)) {
    return [`${kind} ${requestId} was denied with ${status}`];
  }
  if (status !== 200) return [];
  if (!answer.isContentRight) return [`${requestId} has wrong content`];
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

function checkOrders({ orders }: SoakRecord): string[] {
  return orders.flatMap(({ number, isValid, status }) => {
    const isAcknowledged = status === 200;
    if (isValid && status >= 400 && status < 500) {
      return [`valid configuration ${number} got ${status}`];
    }
    return !isValid && isAcknowledged
      ? [`invalid configuration ${number} was acknowledged`]
      : [];
  });
}

function checkReads({ orders, reads }: SoakRecord): string[] {
  const valid = new Set(
    orders.filter(({ isValid }) => isValid).map(({ number }) => number),
  );
  return reads.flatMap(({ sentAtMs, status, number, isFinal }) => {
    if (status !== 200) {
      return isFinal
        ? [`the last read of the configuration got ${status}`]
        : [];
    }
    const delayMs = isFinal ? 0 : configurationMs;
    const newest = Math.max(
      0,
      ...orders.filter((order) =>
        order.status === 200 && order.isValid &&
        order.endedAtMs + delayMs < sentAtMs
      ).map((order) => order.number),
    );
    if (number < newest) return [`read ${number} after ${newest}`];
    return valid.has(number) ? [] : [`read ${number}, which was never valid`];
  });
}

function checkMoves({ moves, runs }: SoakRecord): string[] {
  return moves.flatMap(
    ({ target, isBad, orderedAtMs, endsAtMs, finalState }) => {
      if (!isBad) return [];
      const found = finalState === "complete"
        ? [`bad version ${target} was completed`]
        : [];
      const during = runs.filter(({ service, atMs }) =>
        service === appService && atMs >= orderedAtMs && atMs < endsAtMs
      );
      const exposed = during.filter(({ version }) => version === target).length;
      const allowed = exposedShare * during.length + exposedSlack;
      if (exposed > allowed) {
        found.push(`bad version ${target} got ${exposed} of ${during.length}`);
      }
      return found;
    },
  );
}

function checkRecovery({ answers, settledAtMs }: SoakRecord): string[] {
  const late = answers.filter(({ sentAtMs, isForged }) =>
    sentAtMs >= settledAtMs && !isForged
  );
  const served = late.filter(({ status, isComplete }) =>
    status === 200 && isComplete
  );
  const isEnough = late.length >= minRecoveredCount &&
    served.length >= late.length * recoveredShare;
  return isEnough
    ? []
    : [`${served.length} of ${late.length} served after the last fault`];
}
