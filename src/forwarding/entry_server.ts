/**
 * The two HTTP servers of an entry instance. One accepts callers' connections,
 * checks requests and dispatches them to the forwarder of their kind; the other
 * answers the load balancer's readiness checks.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { ResultAsync } from "neverthrow";
import {
  type CallerGuard,
  CallerLimit,
  type CallerLimits,
  getMaxConnections,
} from "../core/caller_limits.ts";
import { closeOnlyIdleConnections } from "../core/idle_connections.ts";
import { type ListenAddress, listenOn } from "../core/listen_on.ts";
import { waitForReads } from "../core/timeout_after_reads.ts";
import {
  createError,
  ErrorKind,
  getErrorMessage,
  type SystemError,
} from "../core/errors.ts";
import { logEvents } from "../core/log_events.ts";
import {
  type CallerExchange,
  CallerState,
  createCallerExchange,
  createShutdownError,
  type IncompleteResponse,
} from "./caller_exchange.ts";
import { createCallerConnections } from "./caller_connections.ts";
import { forwardCall } from "./call_forwarder.ts";
import type { ForwardingContext } from "./forwarding_context.ts";
import {
  type ForwardingRoute,
  maxParsedHeaderBytes,
  RequestKind,
} from "./forwarding_table.ts";
import type { InstanceAdmission } from "./instance_admission.ts";
import { checkRequest, chooseService } from "./request_checks.ts";
import type { RouteTable } from "./route_table.ts";
import { forwardStream } from "./stream_forwarder.ts";
import { createStreamMonitor } from "./stream_monitor.ts";

export interface EntryServer {
  listen(): ResultAsync<void, SystemError>;
  /** Applies the limits of a new configuration. */
  setLimits(limits: RouteTable["limits"]): void;
  /**
   * Graceful shutdown: continues to serve requests until none is open or the
   * grace time ends.
   */
  drain(graceMs: number): Promise<void>;
  getOpenCount(): number;
}

export interface EntryServerOptions {
  readonly context: ForwardingContext;
  readonly callers: ListenAddress;
  readonly readiness: ListenAddress;
  readonly guard: CallerGuard;
  readonly callerLimits: CallerLimits;
  /** Undefined if a shortage of this instance refuses no requests. */
  readonly admission?: Pick<InstanceAdmission, "refuse"> | undefined;
  /** Undefined until a configuration is known. */
  getRouteTable(): RouteTable | undefined;
}

const defaultIdleTimeoutMs = 15_000;
/** Keeps the idle timeout from closing a connection that is still in use. */
const idleTimeoutMarginMs = 1_000;
const timeoutCheckIntervalMs = 1_000;
/**
 * The load balancer stops sending after two failed readiness checks, which are
 * a second apart. Calls that arrive until then are served; streams are refused
 * from the start of the drain because they could not finish.
 */
const loadBalancerDelayMs = 2_800;
const drainPollIntervalMs = 50;
/** Time for which the body of a refused request is read. */
const maxDiscardMs = 1_000;
/** Part of the grace time that remains after open requests are ended. */
const exitMarginMs = 500;
/** Part of the grace time that remains after their responses are sent. */
const flushMarginMs = 200;

export function createEntryServer(options: EntryServerOptions): EntryServer {
  const { context, guard, callerLimits } = options;
  const streamMonitor = createStreamMonitor(context);
  const { clock, logger, random, protocol } = context;
  const openExchanges = new Set<CallerExchange>();
  let isDraining = false;
  let drainStartedAtMs = Infinity;
  /** When open requests are ended. */
  let shutdownAtMs = Infinity;
  let isClosing = false;
  let isStopped = false;
  const server = createServer({
    maxHeaderSize: maxParsedHeaderBytes,
    connectionsCheckingInterval: timeoutCheckIntervalMs,
    keepAliveTimeout: defaultIdleTimeoutMs + idleTimeoutMarginMs,
    headersTimeout: defaultIdleTimeoutMs,
    noDelay: true,
  }, accept);
  const connections = createCallerConnections(server, { logger });
  closeOnlyIdleConnections(server);
  const readinessServer = createServer((_request, response) => {
    const isReady = !isDraining && options.getRouteTable() !== undefined;
    response.writeHead(isReady ? 200 : 503);
    response.end();
  });
  guard.protect(server, {
    maxConnections: getMaxConnections(callerLimits),
    mayPipeline: true,
  });
  guard.protect(readinessServer, {
    maxConnections: callerLimits.maxServiceConnections,
    mayPipeline: false,
  });
  return {
    listen: () =>
      listenOn(server, options.callers, logger).andThen(() =>
        listenOn(readinessServer, options.readiness, logger)
      ),
    setLimits: ({ headerTimeoutMs, idleTimeoutMs }) => {
      server.keepAliveTimeout = idleTimeoutMs + idleTimeoutMarginMs;
      // Node applies `headersTimeout` also to a connection on which no request
      // has arrived yet.
      server.headersTimeout = Math.max(headerTimeoutMs, idleTimeoutMs);
    },
    drain,
    getOpenCount: () => openExchanges.size,
  };

  function accept(request: IncomingMessage, response: ServerResponse): void {
    const arrivedAtMs = clock.nowMs();
    connections.add(
      request,
      response,
      () => startExchange(request, response, arrivedAtMs),
    );
  }

  function startExchange(
    request: IncomingMessage,
    response: ServerResponse,
    arrivedAtMs: number,
  ): void {
    const caller = createCallerExchange({
      request,
      response,
      protocol,
      arrivedAtMs,
      bodies: guard.bodies,
      // A request that was read is answered before its connection is closed.
      shouldCloseConnection: () =>
        isDraining && !connections.hasWaiting(request.socket),
      onFinished: (exchange, status) => {
        openExchanges.delete(exchange);
        recordResponse(exchange, status);
      },
      onIncomplete: recordIncomplete,
    });
    openExchanges.add(caller);
    void processRequest(caller).catch((cause) => {
      logger.log(logEvents.unexpectedError, {
        request: caller.description.requestId,
        reason: getErrorMessage(cause),
      });
      caller.fail(createError(ErrorKind.Internal, "unexpected error"));
      caller.abort("unexpected error");
    });
  }

  function recordResponse(caller: CallerExchange, status: number): void {
    const durationMs = clock.nowMs() - caller.arrivedAtMs;
    const labels = {
      status: status === 0 ? "closed" : `${Math.floor(status / 100)}xx`,
    };
    context.metrics.answers.add(labels);
    context.metrics.answerTime.observeMs(durationMs, labels);
    logger.log(logEvents.requestEnded, {
      request: caller.description.requestId,
      status,
      durationMs: Math.round(durationMs),
    });
  }

  function recordIncomplete(
    caller: CallerExchange,
    details: IncompleteResponse,
  ): void {
    context.metrics.incompleteResponses.add({ end: details.end });
    logger.log(logEvents.responseIncomplete, {
      request: caller.description.requestId,
      ...details,
      isDraining,
      revision: options.getRouteTable()?.revision,
    });
  }

  async function processRequest(caller: CallerExchange): Promise<void> {
    const table = options.getRouteTable();
    const checked = checkRequest(table, caller);
    if (checked.isErr()) {
      await refuseRequest(caller, checked.error);
      return;
    }
    const { route, customerId, priority } = checked.value;
    const { deadlineMs } = caller.description;
    const deadlineAtMs = caller.arrivedAtMs +
      Math.min(deadlineMs ?? Infinity, route.timeoutMs);
    if (!mayTake(route, deadlineAtMs)) {
      await refuseRequest(caller, createShutdownError());
      return;
    }
    const service = chooseService(route, table!, random.next());
    if (!service) {
      await refuseRequest(
        caller,
        createError(ErrorKind.Internal, "unknown service"),
      );
      return;
    }
    const read = await caller.readBody(
      table!.limits.maxBodyBytes,
      deadlineAtMs - clock.nowMs(),
    );
    if (read.isErr()) {
      recordBodyRefusal(read.error);
      await refuseRequest(caller, read.error);
      return;
    }
    // This instance may have answered it while its body was read.
    if (caller.getState() !== CallerState.Waiting) return;
    if (!mayTake(route, deadlineAtMs)) {
      await refuseRequest(caller, createShutdownError());
      return;
    }
    const admitted = {
      caller,
      route,
      service,
      customerId,
      body: read.value,
      revision: table!.revision,
      priority,
      deadlineAtMs,
    };
    const refusal = options.admission?.refuse(admitted);
    if (refusal) {
      await refuseRequest(caller, refusal);
      return;
    }
    if (route.kind === RequestKind.Streaming) {
      forwardStream({ context, monitor: streamMonitor }, admitted);
    } else await forwardCall(context, admitted);
  }

  /**
   * Whether a request that would be passed on now is taken. Callers that the
   * load balancer still sends here are served; later on, one that must not be
   * repeated is taken only if it ends before this instance does.
   */
  function mayTake({ kind }: ForwardingRoute, deadlineAtMs: number): boolean {
    if (!isDraining) return true;
    if (isStopped || kind === RequestKind.Streaming) return false;
    return kind === RequestKind.Safe || deadlineAtMs <= shutdownAtMs ||
      clock.nowMs() - drainStartedAtMs < loadBalancerDelayMs;
  }

  function recordBodyRefusal({ kind }: SystemError): void {
    if (kind === ErrorKind.Overloaded || kind === ErrorKind.PayloadTooLarge) {
      guard.record(CallerLimit.BodyBytes);
    }
  }

  async function refuseRequest(
    caller: CallerExchange,
    error: SystemError,
  ): Promise<void> {
    context.metrics.refusals.add({ kind: error.kind });
    logger.log(logEvents.forwardingRefused, {
      request: caller.description.requestId,
      kind: error.kind,
      reason: error.message,
      revision: options.getRouteTable()?.revision,
    });
    // Bytes of the request that are not read when the connection is closed
    // reset it, and the caller may lose the response.
    if (caller.willClose() || error.kind === ErrorKind.PayloadTooLarge) {
      const read = new AbortController();
      await Promise.race([
        caller.discardBody(),
        clock.sleep(maxDiscardMs, read.signal),
      ]);
      read.abort();
    }
    caller.fail(error);
  }

  async function drain(graceMs: number): Promise<void> {
    isDraining = true;
    drainStartedAtMs = clock.nowMs();
    shutdownAtMs = drainStartedAtMs + graceMs - exitMarginMs;
    const getElapsedMs = () => clock.nowMs() - drainStartedAtMs;
    while (clock.nowMs() < shutdownAtMs) {
      // A connection with an unread request looks idle.
      await waitForReads();
      if (!isClosing && getElapsedMs() >= loadBalancerDelayMs) {
        isClosing = true;
        server.close();
      }
      if (isClosing) {
        server.closeIdleConnections();
        if (openExchanges.size === 0) break;
      }
      await clock.sleep(drainPollIntervalMs);
    }
    isStopped = true;
    readinessServer.close();
    for (const caller of openExchanges) caller.shutDown();
    // The exit of the process resets connections of which bytes are not read.
    const isFlushed = () =>
      openExchanges.size === 0 && connections.getClosingCount() === 0;
    while (!isFlushed() && getElapsedMs() < graceMs - flushMarginMs) {
      await clock.sleep(drainPollIntervalMs);
    }
  }
}
