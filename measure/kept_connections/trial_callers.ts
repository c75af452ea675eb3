/**
 * Callers of a trial. Each one keeps connections and sends whole requests over
 * them, one after another or pipelined, in pieces or slowly, as drawn.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { createRandom, type Random } from "../../src/core/random.ts";
import {
  type CallerConnection,
  ConnectionEnd,
  formatRequest,
  openCallerConnection,
} from "./caller_connection.ts";
import {
  Feature,
  type SentRequest,
  type TrialRecord,
  TrialRoute,
} from "./trial_types.ts";

export interface TrialCallersOptions {
  readonly seed: number;
  readonly port: number;
  readonly callerCount: number;
  readonly features: ReadonlySet<Feature>;
  readonly record: TrialRecord;
  /** Callers open no new connections afterwards. */
  isOpening(): boolean;
  /** The end of the trial. */
  isOver(): boolean;
  getIdleTimeoutMs(): number;
}

const routes = Object.values(TrialRoute);
const maxRequestsPerConnection = 6;
const maxPipelined = 3;
const pipelinedRatio = 0.15;
const slowSenderRatio = 0.25;
const slowReaderRatio = 0.15;
const leaverRatio = 0.04;
const halfCloserRatio = 0.03;
const longIdleRatio = 0.1;
/** Callers reuse connections that were idle for up to this part of the limit. */
const maxIdleRatio = 0.8;
const maxShortIdleMs = 150;
const maxLongIdleMs = 1_500;
const maxBodyBytes = 120_000;
const minDeadlineMs = 400;
const maxDeadlineMs = 8_000;
const maxPieceDelayMs = 40;
const maxReadingPauseMs = 1_200;
const pollIntervalMs = 5;

export async function runTrialCallers(
  options: TrialCallersOptions,
): Promise<void> {
  let connectionCount = 0;
  await Promise.all(
    Array.from(
      { length: options.callerCount },
      (_, index) => runCaller(createRandom(options.seed * 1_000 + index)),
    ),
  );

  async function runCaller(random: Random): Promise<void> {
    while (!options.isOver()) {
      if (!options.isOpening()) {
        await sleep(pollIntervalMs);
        continue;
      }
      connectionCount += 1;
      await useConnection(random, connectionCount);
    }
  }

  async function useConnection(
    random: Random,
    connectionNumber: number,
  ): Promise<void> {
    const connection = await openCallerConnection(options.port);
    const requestCount = 1 + random.nextInt(maxRequestsPerConnection);
    let sentCount = 0;
    while (sentCount < requestCount && isUsable(connection)) {
      await beIdle(random, connection);
      if (!isUsable(connection)) break;
      const pipelinedCount = hasFeature(Feature.Pipelining) &&
          random.next() < pipelinedRatio
        ? 2 + random.nextInt(maxPipelined - 1)
        : 1;
      const requests = Array.from(
        { length: pipelinedCount },
        (_, offset) =>
          drawRequest(random, {
            connection,
            connectionNumber,
            responseIndex: sentCount + offset,
          }),
      );
      sentCount += pipelinedCount;
      await send(random, connection, requests);
      const hasLeft = await awaitResponses(random, connection, sentCount);
      if (hasLeft) break;
    }
    connection.leave();
  }

  function hasFeature(feature: Feature): boolean {
    return options.features.has(feature);
  }

  function isUsable(connection: CallerConnection): boolean {
    const last = connection.responses.at(-1);
    return !options.isOver() && connection.getEnd() === ConnectionEnd.None &&
      last?.headers.get("connection")?.toLowerCase() !== "close";
  }

  /** Stays within the limit in force and the time that the entry stated. */
  async function beIdle(
    random: Random,
    connection: CallerConnection,
  ): Promise<void> {
    const statedS = /timeout=(\d+)/.exec(
      connection.responses.at(-1)?.headers.get("keep-alive") ?? "",
    )?.[1];
    const limitMs = maxIdleRatio * Math.min(
      options.getIdleTimeoutMs(),
      statedS === undefined ? Infinity : Number(statedS) * 1_000,
    );
    const idleMs = random.next() < longIdleRatio
      ? Math.min(limitMs, maxLongIdleMs)
      : Math.min(limitMs, random.next() * maxShortIdleMs);
    const untilMs = performance.now() + idleMs;
    while (isUsable(connection) && performance.now() < untilMs) {
      await sleep(pollIntervalMs);
    }
  }

  function drawRequest(
    random: Random,
    place: Pick<
      SentRequest,
      "connection" | "connectionNumber" | "responseIndex"
    >,
  ): SentRequest & { readonly text: string } {
    const route = routes[random.nextInt(routes.length)]!;
    const requestId = `q${options.seed}-${options.record.requests.length}`;
    const deadlineMs = minDeadlineMs +
      random.nextInt(maxDeadlineMs - minDeadlineMs);
    const body = random.next() < 0.5
      ? undefined
      : "b".repeat(random.nextInt(maxBodyBytes));
    const isStreamRoute = route === TrialRoute.Stream ||
      route === TrialRoute.ResumableStream;
    const request = {
      ...place,
      requestId,
      route,
      deadlineMs,
      startedAtMs: Infinity,
      sentAtMs: Infinity,
      leftAtMs: undefined,
      text: formatRequest({
        requestId,
        // Requests that are alike count as one that crashes its upstreams.
        path: `/${isStreamRoute ? "stream" : "call"}-${route}/${requestId}`,
        deadlineMs,
        ...(body === undefined ? {} : { body }),
        isChunked: random.next() < 0.5,
        headers: isStreamRoute ? ["Token-Count: 100,40"] : [],
      }),
    };
    options.record.requests.push(request);
    return request;
  }

  async function send(
    random: Random,
    connection: CallerConnection,
    requests: readonly (SentRequest & { readonly text: string })[],
  ): Promise<void> {
    const isSlow = hasFeature(Feature.SlowSenders) &&
      random.next() < slowSenderRatio;
    // Many callers read the response only when they have sent the body.
    const readsLater = isSlow && random.next() < 0.5;
    if (readsLater) connection.pauseReading();
    for (const request of requests) {
      request.startedAtMs = performance.now();
      if (isSlow) await sendInPieces(random, connection, request.text);
      else connection.send(request.text);
      request.sentAtMs = performance.now();
    }
    if (readsLater) connection.resumeReading();
  }

  async function sendInPieces(
    random: Random,
    connection: CallerConnection,
    text: string,
  ): Promise<void> {
    const headLength = text.indexOf("\r\n\r\n") + 4;
    const cuts = [
      random.nextInt(headLength),
      headLength,
      random.nextInt(text.length),
      text.length,
    ].sort((first, second) => first - second);
    let from = 0;
    for (const cut of cuts) {
      connection.send(text.slice(from, cut));
      from = cut;
      if (cut < text.length) await sleep(random.next() * maxPieceDelayMs);
    }
  }

  /** Returns whether the caller has left or half-closed the connection. */
  async function awaitResponses(
    random: Random,
    connection: CallerConnection,
    count: number,
  ): Promise<boolean> {
    const sent = options.record.requests.filter((request) =>
      request.connection === connection
    );
    if (hasFeature(Feature.SlowReaders) && random.next() < slowReaderRatio) {
      connection.pauseReading();
      await sleep(random.next() * maxReadingPauseMs);
      connection.resumeReading();
    }
    let hasLeft = false;
    if (hasFeature(Feature.HalfClosers) && random.next() < halfCloserRatio) {
      await sleep(random.next() * maxShortIdleMs);
      connection.finishSending();
      markLeft();
    }
    if (hasFeature(Feature.Leavers) && random.next() < leaverRatio) {
      await sleep(random.next() * maxShortIdleMs);
      connection.leave();
      markLeft();
      return true;
    }
    const timeoutMs = maxDeadlineMs + 2_000;
    const untilMs = performance.now() + timeoutMs;
    while (!options.isOver() && performance.now() < untilMs) {
      const completeCount = connection.responses.filter(({ isComplete }) =>
        isComplete
      ).length;
      if (completeCount >= count) return hasLeft;
      if (connection.getEnd() !== ConnectionEnd.None) return hasLeft;
      await sleep(pollIntervalMs);
    }
    return true;

    function markLeft(): void {
      hasLeft = true;
      const nowMs = performance.now();
      for (const request of sent) request.leftAtMs ??= nowMs;
    }
  }
}
