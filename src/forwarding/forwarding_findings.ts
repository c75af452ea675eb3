/**
 * Finds entries of a valid forwarding table that have no effect, and limits
 * that contradict each other. Acceptance does not reject them.
 */
import type { FieldIssue } from "../core/strict_fields.ts";
import {
  type ForwardingRoute,
  type ForwardingService,
  type ForwardingTable,
  maxParsedHeaderBytes,
  RequestKind,
} from "./forwarding_table.ts";
import { getHostName } from "./route_table.ts";

export function findTableWarnings(table: ForwardingTable): FieldIssue[] {
  return [
    ...table.routes.flatMap((route, index) =>
      withPath(`routes.${index}`, [
        ...findUnreachable(route),
        ...findTimeWarnings(route),
        ...findAttemptWarnings(route),
      ])
    ),
    ...findUnusedServices(table),
    ...table.services.flatMap((service, index) =>
      withPath(`services.${index}`, findServiceWarnings(service))
    ),
    ...findKeyWarnings(table),
    ...findLimitWarnings(table),
  ];
}

/** The lookup compares a request's host without its port, and path segments. */
function findUnreachable({ host, pathPrefix }: ForwardingRoute): FieldIssue[] {
  const issues: FieldIssue[] = [];
  if (getHostName(host) !== host.toLowerCase()) {
    issues.push({
      path: "host",
      message: "never matches: requests are matched without a port",
    });
  }
  if (/[?\s]/.test(pathPrefix)) {
    issues.push({
      path: "pathPrefix",
      message: "never matches: a path has no query and no white space",
    });
  }
  return issues;
}

function findTimeWarnings(route: ForwardingRoute): FieldIssue[] {
  const { kind, timeoutMs, objectiveMs, maxEventGapMs } = route;
  const issues: FieldIssue[] = [];
  if (objectiveMs > timeoutMs) {
    issues.push({
      path: "timeoutMs",
      message: `ends requests after ${timeoutMs} ms, before objectiveMs, ` +
        `${objectiveMs} ms`,
    });
  }
  if (maxEventGapMs === null) return issues;
  if (kind !== RequestKind.Streaming) {
    const message = "has no effect: the route is not streaming";
    issues.push({ path: "maxEventGapMs", message });
  } else if (maxEventGapMs > timeoutMs) {
    const message = `is above timeoutMs, ${timeoutMs} ms`;
    issues.push({ path: "maxEventGapMs", message });
  }
  return issues;
}

/** A request runs a second time only if it is safe, or a resumable stream. */
function findAttemptWarnings(
  { kind, maxAttempts, isResumable }: ForwardingRoute,
): FieldIssue[] {
  const isStreaming = kind === RequestKind.Streaming;
  if (isResumable && !isStreaming) {
    const message = "has no effect: the route is not streaming";
    return [{ path: "isResumable", message }];
  }
  if (isResumable && maxAttempts === 1) {
    const message = "allows no resume, but isResumable is set";
    return [{ path: "maxAttempts", message }];
  }
  if (maxAttempts === 1 || isResumable || kind === RequestKind.Safe) return [];
  const reason = isStreaming
    ? "a stream that is not resumable runs at most once"
    : "an unsafe request runs at most once";
  return [{ path: "maxAttempts", message: `has no effect: ${reason}` }];
}

function findUnusedServices(
  { routes, services }: ForwardingTable,
): FieldIssue[] {
  const used = new Set(
    routes.flatMap(({ targets }) =>
      targets.filter(({ weight }) => weight > 0).map(({ service }) => service)
    ),
  );
  return services.flatMap(({ name }, index) =>
    used.has(name) ? [] : [{
      path: `services.${index}.name`,
      message: `no route uses the service "${name}"`,
    }]
  );
}

function findServiceWarnings(
  { maxConnections, engine }: ForwardingService,
): FieldIssue[] {
  if (!engine || engine.maxRunning <= maxConnections) return [];
  return [{
    path: "engine.maxRunning",
    message: `is above maxConnections, ${maxConnections}: each running ` +
      "request needs a connection",
  }];
}

function findKeyWarnings({ customers }: ForwardingTable): FieldIssue[] {
  return customers.flatMap(({ customerId, apiKeys }, index) => {
    const path = `customers.${index}.apiKeys`;
    if (apiKeys.length === 0) {
      const message = `no request can be charged to "${customerId}"`;
      return [{ path, message: `is empty: ${message}` }];
    }
    return new Set(apiKeys).size < apiKeys.length
      ? [{ path, message: "lists a key twice" }]
      : [];
  });
}

function findLimitWarnings({ limits }: ForwardingTable): FieldIssue[] {
  if (limits.maxHeaderBytes <= maxParsedHeaderBytes) return [];
  return [{
    path: "limits.maxHeaderBytes",
    message: `is above ${maxParsedHeaderBytes}, the most that is parsed`,
  }];
}

function withPath(
  prefix: string,
  issues: readonly FieldIssue[],
): FieldIssue[] {
  return issues.map(({ path, message }) => ({
    path: `${prefix}.${path}`,
    message,
  }));
}
