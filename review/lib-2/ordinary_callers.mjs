/**
 * Ordinary callers of the scripts: each request is a requester attempt inside the
 * limits on a new connection, as on tuul-sackhall. Judges the rule CONFIG on
 * requests that are still unanswered at their route's `timeout_ms`.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { apiKey, createRoute, hostName, ports, send } from "./deployment.mjs";

/** `timeout_ms` and the callers' time limit of calls on tuul-sackhall. */
export const timeoutMs = 1_200;
const callerLimitMs = 2_500;
const lateMs = 500;
const minCount = 8;
const intervalMs = 250;

export const callRoutes = [
  createRoute("look", "safe", { timeout_ms: timeoutMs }),
  createRoute("book", "unsafe", { timeout_ms: timeoutMs }),
];

export function createCallers({ record, entries }) {
  const attempts = [];
  const checks = [];
  let nextId = 1;
  let isStopped = false;
  let tasks = [];
  return { call, start, stop, judge, attempts };

  async function call({ host, name }) {
    const id = `ordinary-${nextId++}`;
    const isSafe = nextId % 2 === 0;
    const sentAtMs = performance.now();
    const { status } = await send({
      host,
      port: ports.callers,
      method: isSafe ? "GET" : "POST",
      path: isSafe ? "/look/1" : "/book/1",
      headers: {
        Host: hostName,
        "Request-Id": id,
        "Api-Key": apiKey,
        "Deadline-Ms": String(callerLimitMs),
      },
      ...(isSafe ? {} : { body: "booking" }),
      timeoutMs: callerLimitMs,
    });
    const tookMs = Math.round(performance.now() - sentAtMs);
    const attempt = { id, status, tookMs };
    attempts.push(attempt);
    record.add(
      status === 0
        ? `${id} at ${name}: no answer in ${tookMs} ms`
        : `${id} at ${name}: ${status} after ${tookMs} ms`,
    );
    return attempt;
  }

  /** Sends requests to all entry instances, and asks whether they are ready. */
  function start() {
    tasks = entries.flatMap((entry) => [repeat(entry), askReadiness(entry)]);
  }

  async function repeat(entry) {
    const open = [];
    while (!isStopped) {
      open.push(call(entry));
      await sleep(intervalMs);
    }
    await Promise.all(open);
  }

  async function askReadiness({ host, name }) {
    while (!isStopped) {
      const { status } = await send({
        host,
        port: ports.readiness,
        path: "/ready",
        timeoutMs: 1_000,
      });
      checks.push(status);
      record.add(`${name} says ready: ${status === 0 ? "no answer" : status}`);
      await sleep(1_000);
    }
  }

  async function stop() {
    isStopped = true;
    await Promise.all(tasks);
  }

  /** Of the requests unanswered at the timeout, more than half stay so. */
  function judge() {
    const unanswered = attempts.filter(({ status, tookMs }) =>
      status === 0 || tookMs > timeoutMs
    );
    const late = unanswered.filter(({ status, tookMs }) =>
      status === 0 || tookMs > timeoutMs + lateMs
    );
    const isBroken = unanswered.length >= minCount &&
      late.length > unanswered.length / 2;
    record.add(
      `${attempts.length} ordinary requests, ${unanswered.length} unanswered ` +
        `after ${timeoutMs} ms, ${late.length} of these ${lateMs} ms later; ` +
        `${checks.filter((status) => status !== 200).length} of ` +
        `${checks.length} readiness checks without a 200`,
    );
    record.add(isBroken ? "BROKEN: CONFIG" : "held: CONFIG");
    return isBroken;
  }
}
