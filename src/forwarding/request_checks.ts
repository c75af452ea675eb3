/**
 * Checks a request against the configuration in force before it costs any work,
 * and resolves its route and customer. Pure.
 */
import { err, ok, type Result } from "neverthrow";
import { createError, ErrorKind, type SystemError } from "../core/errors.ts";
import type { RawHeaders, RequestDescription } from "./forwarding_protocol.ts";
import type { ForwardingRoute, ForwardingService } from "./forwarding_table.ts";
import { combinePriorities } from "./request_priority.ts";
import type { RouteTable } from "./route_table.ts";

export interface IncomingRequest {
  readonly host: string;
  readonly path: string;
  readonly rawHeaders: RawHeaders;
  readonly description: RequestDescription;
}

export interface CheckedRequest {
  readonly route: ForwardingRoute;
  /** Undefined on a public route. */
  readonly customerId: string | undefined;
  /** See `combinePriorities`. */
  readonly priority: number;
}

/**
 * Instances that all start at once receive the configuration after 0.3 to 2 s.
 * Callers repeat a request only a few times, so one that comes back too early
 * may be lost, and one that comes back late has less time left.
 */
const unconfiguredRetryAfterMs = 1_000;

export function checkRequest(
  table: RouteTable | undefined,
  request: IncomingRequest,
): Result<CheckedRequest, SystemError> {
  if (!table) {
    const message = "this instance has no configuration yet";
    return err(createError(ErrorKind.NoQuorum, message, {
      retryAfterMs: unconfiguredRetryAfterMs,
    }));
  }
  const headerBytes = getHeaderBytes(request.rawHeaders);
  if (headerBytes > table.limits.maxHeaderBytes) {
    const message = `headers of ${headerBytes} bytes exceed ` +
      `${table.limits.maxHeaderBytes}`;
    return err(createError(ErrorKind.HeadersTooLarge, message));
  }
  const route = table.findRoute(request.host, request.path);
  if (!route) {
    return err(createError(ErrorKind.NotFound, "no route for this request"));
  }
  if (route.isPublic || !table.requiresApiKey) {
    return ok({
      route,
      customerId: undefined,
      priority: combinePriorities(null, route.priority),
    });
  }
  const { apiKey } = request.description;
  const customer = apiKey === undefined
    ? undefined
    : table.findCustomer(apiKey);
  if (!customer) {
    return err(
      createError(ErrorKind.Unauthenticated, "the API key is unknown"),
    );
  }
  return ok({
    route,
    customerId: customer.customerId,
    priority: combinePriorities(customer.priority, route.priority),
  });
}

/** Chooses one of a route's targets by weight; `randomValue` is in [0, 1). */
export function chooseService(
  { targets }: ForwardingRoute,
  table: RouteTable,
  randomValue: number,
): ForwardingService | undefined {
  const totalWeight = targets.reduce((sum, { weight }) => sum + weight, 0);
  let remainingWeight = randomValue * totalWeight;
  for (const { service, weight } of targets) {
    remainingWeight -= weight;
    if (remainingWeight < 0) return table.getService(service);
  }
  return table.getService(targets.at(-1)!.service);
}

function getHeaderBytes(rawHeaders: RawHeaders): number {
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}
