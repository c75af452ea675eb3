/**
 * Steps that non-streaming calls and streams share: building the placement
 * context, classifying the head of a response, and failing a request.
 */
import { assertNever } from "../core/assert_never.ts";
import { createError, ErrorKind } from "../core/errors.ts";
import type { UpstreamId } from "../core/types.ts";
import { CallerState, createShutdownError } from "./caller_exchange.ts";
import type {
  AdmittedRequest,
  ForwardingContext,
} from "./forwarding_context.ts";
import type { RawHeaders } from "./forwarding_protocol.ts";
import { getDefaultDomainCost, type PlacementContext } from "./placement.ts";
import { getRetryAfterMs } from "./retry_after.ts";
import type { ResponseOrigin } from "./upstream_connections.ts";
import type { Upstream } from "./upstream_types.ts";

export function createPlacementContext(
  context: ForwardingContext,
  { service, triedIds, unreportedPlacementCount, isForCopy = false }: {
    readonly service: string;
    readonly triedIds: ReadonlySet<UpstreamId>;
    readonly unreportedPlacementCount: number;
    /** A copy is always placed in another domain than its stream. */
    readonly isForCopy?: boolean;
  },
): PlacementContext {
  const { clock, domainId, random, directory, limits, domainTraffic } = context;
  return {
    nowMs: clock.nowMs(),
    getDomainCost: isForCopy
      ? (id) => getDefaultDomainCost(id, domainId)
      : domainTraffic.drawCosts(service),
    triedIds,
    random,
    isLoadAware: context.isLoadAware(service),
    unreportedPlacementCount,
    hasRoom: limits.hasRoom,
    isDomainSuspected: (id) => directory.isDomainSuspected(service, id),
  };
}

export const limitReason =
  "the limits that the upstreams state do not allow the request in time";

export enum HeadClass {
  Accepted = "accepted",
  OtherRequest = "otherRequest",
  /** Another upstream has taken over the address. */
  Misdirected = "misdirected",
  /** The upstream refused the request without running it. */
  NotRun = "notRun",
  /**
   * A refusal that names no request, on a connection that has carried earlier
   * ones: it may be a refusal of one of them that was written again.
   */
  UnprovenRefusal = "unprovenRefusal",
  /**
   * A success that the upstream did not attest, or that was re-encoded; or a
   * status that promises that the request did not run, although the upstream
   * does not state it.
   */
  Unattested = "foreign",
}

/** Callers take these statuses as a promise that the request did not run. */
const statusesOfNotRun = new Set([408, 429, 503]);

/** Classifies a response head and records what it shows about the upstream. */
export function classifyHead(
  { protocol, directory, connections, successors, limits, metrics }:
    ForwardingContext,
  { info }: Upstream,
  { requestId, status, headers, origin }: {
    readonly requestId: string;
    readonly status: number;
    readonly headers: RawHeaders;
    readonly origin: ResponseOrigin;
  },
): HeadClass {
  const { upstreamId, host, port } = info;
  const response = protocol.describeResponse(status, headers);
  if (response.load) directory.recordLoad(upstreamId, response.load);
  if (response.hasInvalidLoad) metrics.invalidLoads.add();
  if (response.requestId !== "" && response.requestId !== requestId) {
    return HeadClass.OtherRequest;
  }
  const isRefusal = response.isMisdirected || response.isNotRun;
  if (isRefusal && response.requestId === "" && origin.isReusedConnection) {
    directory.recordRefusal(upstreamId);
    return HeadClass.UnprovenRefusal;
  }
  if (response.isMisdirected) {
    directory.recordAddressReuse(upstreamId);
    connections.closeIdle(host, port);
    successors.handleMisdirected(info, response.responderId);
    return HeadClass.Misdirected;
  }
  recordLimit();
  if (response.waitMs !== undefined) {
    directory.recordWait(upstreamId, response.waitMs);
  }
  if (response.isNotRun) {
    directory.recordRefusal(upstreamId);
    return HeadClass.NotRun;
  }
  if (statusesOfNotRun.has(status)) return HeadClass.Unattested;
  const isSuccess = status >= 200 && status < 300;
  return isSuccess && (!response.isAttested || response.isEncoded)
    ? HeadClass.Unattested
    : HeadClass.Accepted;

  function recordLimit(): void {
    const { limit, isAttested, isNotRun } = response;
    switch (limit.kind) {
      case "limited":
        limits.recordResponse(info, limit.requestsPerS);
        return;
      case "none":
        // Only a response that is the upstream's own ends its limit.
        if (isAttested || isNotRun) limits.recordResponse(info, undefined);
        return;
      case "unreadable":
        return;
      default:
        assertNever(limit);
    }
  }
}

/** Aborts the response if it was started; otherwise sends an error response. */
export function failRequest(
  { clock, random, directory }: ForwardingContext,
  { caller, service }: AdmittedRequest,
  { kind, reason, backlogMs, getRetryAfterMs: getOwnRetryAfterMs }: {
    readonly kind: ErrorKind;
    readonly reason: string;
    /** Time that the upstreams need for the work that they already have. */
    readonly backlogMs: number;
    /** Replaces the delay that follows from the upstreams and the backlog. */
    readonly getRetryAfterMs?: () => number;
  },
): void {
  if (caller.getState() !== CallerState.Waiting) {
    caller.abort(reason);
    return;
  }
  if (kind === ErrorKind.ShuttingDown) {
    caller.fail(createShutdownError());
    return;
  }
  const isNoUpstream = kind === ErrorKind.NoUpstream ||
    kind === ErrorKind.Overloaded;
  const details = isNoUpstream
    ? {
      retryAfterMs: getOwnRetryAfterMs?.() ?? getRetryAfterMs(
        directory.listUsable(service.name),
        { nowMs: clock.nowMs(), random, backlogMs },
      ),
    }
    : {};
  caller.fail(createError(kind, reason, details));
}
