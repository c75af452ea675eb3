/**
 * Sends a request to an upstream over HTTP and reports its outcome.
 *
 * Connections are reused, except for requests that must not run twice: if the
 * upstream closes a reused connection while a request is sent, it is unknown
 * whether the request ran. A request that may run twice is then sent again to
 * the same upstream.
 */
import type { Buffer } from "node:buffer";
import {
  Agent,
  type ClientRequest,
  type IncomingMessage,
  request as httpRequest,
  validateHeaderName,
  validateHeaderValue,
} from "node:http";
import net from "node:net";
import { getErrorMessage } from "../core/errors.ts";
import { createMinorCollector } from "../core/minor_collection.ts";
import { createReadPacer } from "../core/read_pacing.ts";
import { setTimeoutAfterReads } from "../core/timeout_after_reads.ts";
import type { RawHeaders } from "./forwarding_protocol.ts";
import { isCloseDelimited } from "./response_framing.ts";

export interface UpstreamRequest {
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  /** Includes the Host header and, if there is a body, its length. */
  readonly headers: RawHeaders;
  readonly body: Buffer;
  readonly mayReuseConnection: boolean;
}

export interface ExchangeFailure {
  /** Whether bytes of the request may have reached the upstream. */
  readonly wasSent: boolean;
  /** The address accepts no new connection. */
  readonly isConnectionRefused: boolean;
  readonly reason: string;
}

export interface ResponseOrigin {
  /**
   * Whether the connection has carried an earlier request, to which the response
   * may also belong if it names none.
   */
  readonly isReusedConnection: boolean;
}

export interface ExchangeHandlers {
  onHead(status: number, headers: RawHeaders, origin: ResponseOrigin): void;
  onData(chunk: Buffer): void;
  /** The response is complete. */
  onEnd(): void;
  onFailure(failure: ExchangeFailure): void;
}

/** No handler is called after `cancel`. */
export interface Exchange {
  /** Closes the connection, which makes the upstream stop its work. */
  cancel(): void;
  pause(): void;
  resume(): void;
}

export interface UpstreamConnections {
  send(request: UpstreamRequest, handlers: ExchangeHandlers): Exchange;
  /** Tells whether the address accepts a connection now. */
  isListening(host: string, port: number): Promise<boolean>;
  /** Closes idle connections to the address. */
  closeIdle(host: string, port: number): void;
  getOpenedCount(): number;
  close(): void;
}

/** A round trip between failure domains takes about 1 ms. */
const connectTimeoutMs = 250;
/** Must be shorter than the idle timeout of upstreams. */
const maxIdleMs = 4_000;
/**
 * Node passes on 101 and statuses below 100 as final ones, although it throws
 * when one below 100 is sent to a caller, and 101 ends HTTP on a connection.
 */
const minFinalStatus = 200;
/** Detects a peer that disappeared without closing the connection. */
const keepAliveProbeMs = 1_000;
const maxIdleSocketsPerUpstream = 16;
/** Limits of what the bytes of all upstreams take in one turn of the event loop. */
const maxReadBytesPerTurn = 256 * 1024;
const maxReadMsPerTurn = 5;
/** Upstreams send none, or one before a long piece of work. */
const maxInterimResponses = 16;
/**
 * Limits of the pieces of a body. Each costs a call of the handlers, so a body
 * of one-byte chunks costs a thousand times its size.
 */
const maxSmallPieces = 4_096;
const minMeanPieceBytes = 8;
/** Limits what comes before the head of a response; Node limits the head. */
const maxBytesBeforeHead = 64 * 1024;
/**
 * A closed connection is noticed within a round trip. Later, the remaining time
 * that the request states would be wrong.
 */
const maxResendAgeMs = 200;

interface SocketState {
  isInUse: boolean;
  requestCount: number;
  idleSinceMs: number;
  hasFailed: boolean;
  /** The response has no length and ends when the connection closes. */
  isCloseDelimited: boolean;
  /** Called after a buffer was read. */
  onRead: (() => void) | undefined;
}

export function createUpstreamConnections(): UpstreamConnections {
  const socketStates = new WeakMap<net.Socket, SocketState>();
  const pacer = createReadPacer({
    maxBytesPerTurn: maxReadBytesPerTurn,
    maxMsPerTurn: maxReadMsPerTurn,
  });
  const collectAfter = createMinorCollector();
  let openedCount = 0;
  const agent = new Agent({
    keepAlive: true,
    keepAliveMsecs: keepAliveProbeMs,
    maxFreeSockets: maxIdleSocketsPerUpstream,
    scheduling: "lifo",
  });
  const singleUseAgent = new Agent({ keepAlive: false });
  agent.createConnection = connect as Agent["createConnection"];
  singleUseAgent.createConnection = agent.createConnection;
  const keepSocketAlive = agent.keepSocketAlive.bind(agent);
  agent.keepSocketAlive = ((socket: net.Socket): boolean => {
    const entry = getSocketState(socket);
    entry.isInUse = false;
    entry.onRead = undefined;
    entry.idleSinceMs = performance.now();
    socket.setTimeout(maxIdleMs);
    // The published types omit the return value.
    return keepSocketAlive(socket) as unknown as boolean;
  }) as unknown as Agent["keepSocketAlive"];
  return {
    send,
    isListening,
    closeIdle,
    getOpenedCount: () => openedCount,
    close: () => agent.destroy(),
  };

  function isListening(host: string, port: number): Promise<boolean> {
    return new Promise((resolve) => {
      const socket = connect({ host, port });
      socket.once("connect", () => {
        resolve(true);
        socket.destroy();
      });
      socket.once("close", () => resolve(false));
    });
  }

  function connect(options: net.NetConnectOpts): net.Socket {
    const { host, port } = options as net.TcpNetConnectOpts;
    openedCount += 1;
    const socket = net.connect({
      host: host!,
      port,
      noDelay: true,
      allowHalfOpen: true,
    });
    let collectedBytes = 0;
    pacer.pace(socket, () => {
      collectAfter(socket.bytesRead - collectedBytes);
      collectedBytes = socket.bytesRead;
      getSocketState(socket).onRead?.();
    });
    const cancelTimeout = setTimeoutAfterReads(
      () => socket.destroy(new Error("connecting timed out")),
      connectTimeoutMs,
    );
    socket.once("connect", cancelTimeout);
    socket.once("close", cancelTimeout);
    // Registered before Node's handlers, so that a close-delimited response
    // does not look complete when its connection is reset.
    socket.on("error", () => getSocketState(socket).hasFailed = true);
    socket.on("end", () => handleSocketEnd(socket));
    return socket;
  }

  /**
   * Detects a connection reset. A reset that arrives together with data is
   * reported as a normal end, but a write to such a connection fails. HTTP
   * servers ignore the empty line that is written here.
   */
  function handleSocketEnd(socket: net.Socket): void {
    const entry = getSocketState(socket);
    if (!entry.isInUse) {
      socket.destroy();
      return;
    }
    if (!entry.isCloseDelimited) return;
    socket.write("\r\n", (cause) => {
      if (cause) entry.hasFailed = true;
    });
  }

  function getSocketState(socket: net.Socket): SocketState {
    let entry = socketStates.get(socket);
    if (!entry) {
      entry = {
        isInUse: true,
        requestCount: 0,
        idleSinceMs: 0,
        hasFailed: false,
        isCloseDelimited: false,
        onRead: undefined,
      };
      socketStates.set(socket, entry);
    }
    return entry;
  }

  function closeIdle(host: string, port: number): void {
    for (const socket of listIdle(host, port)) socket.destroy();
  }

  function listIdle(host: string, port: number): net.Socket[] {
    const name = agent.getName({ host, port });
    return [...(agent.freeSockets[name] ?? [])];
  }

  /**
   * Closes connections that have been idle for too long or have received bytes,
   * because bytes on an idle connection belong to no request.
   */
  function closeUnusable(host: string, port: number): void {
    const nowMs = performance.now();
    for (const socket of listIdle(host, port)) {
      const { idleSinceMs } = getSocketState(socket);
      if (socket.readableLength > 0 || nowMs - idleSinceMs > maxIdleMs) {
        socket.destroy();
      }
    }
  }

  function send(
    upstreamRequest: UpstreamRequest,
    handlers: ExchangeHandlers,
  ): Exchange {
    const { host, port, mayReuseConnection } = upstreamRequest;
    if (mayReuseConnection) closeUnusable(host, port);
    let isSettled = false;
    let wasSent = false;
    let isConnectionRefused = false;
    let received: IncomingMessage | undefined;
    /** Bytes of earlier responses on the connection. */
    let earlierBytes = 0;
    let interimCount = 0;
    let socket: net.Socket | undefined;
    const connection = mayReuseConnection ? "keep-alive" : "close";
    const startedAtMs = performance.now();
    let request = trySendRequest();
    return {
      cancel: () => {
        isSettled = true;
        request?.destroy();
      },
      // Pausing the socket has no effect: each read of the response resumes it.
      pause: () => received?.pause(),
      resume: () => received?.resume(),
    };

    /**
     * Node throws on a request that it can't write, such as one with a port out
     * of range or a header that is not Latin-1. That ends this attempt only; an
     * exception out of a timer or a socket callback would end the process.
     */
    function trySendRequest(): ClientRequest | undefined {
      try {
        return sendRequest();
      } catch (cause) {
        // Callers don't expect a handler to be called before `send` returns.
        setImmediate(() => fail(getErrorMessage(cause)));
        return undefined;
      }
    }

    function sendRequest(): ClientRequest {
      const sent = httpRequest({
        host,
        port,
        method: upstreamRequest.method,
        path: upstreamRequest.path,
        headers: [...upstreamRequest.headers, "Connection", connection],
        agent: mayReuseConnection ? agent : singleUseAgent,
      });
      sent.on("socket", (assigned: net.Socket) => {
        socket = assigned;
        earlierBytes = assigned.bytesRead;
        const entry = getSocketState(assigned);
        entry.isInUse = true;
        entry.requestCount += 1;
        entry.onRead = checkBytesBeforeHead;
        if (!assigned.connecting) wasSent = true;
        else assigned.once("connect", () => wasSent = true);
      });
      sent.on("information", () => {
        interimCount += 1;
        if (interimCount > maxInterimResponses) {
          fail("too many interim responses");
        }
      });
      sent.on("response", receiveResponse);
      sent.on("error", (cause) => handleRequestFailure(sent, cause));
      sent.on("close", () => {
        if (sent !== request || received?.complete) return;
        fail("the connection was closed");
      });
      sent.end(upstreamRequest.body);
      return sent;
    }

    /**
     * An upstream may close a connection while it is idle, without notice. The
     * request that is sent next fails, which says nothing about the upstream, so
     * it is sent again over a new connection.
     */
    function handleRequestFailure(failed: ClientRequest, cause: Error): void {
      if (failed !== request) return;
      const mayResend = failed.reusedSocket && isReset(cause) &&
        socket?.bytesRead === earlierBytes && !isSettled &&
        performance.now() - startedAtMs < maxResendAgeMs;
      if (!mayResend) {
        isConnectionRefused =
          (cause as NodeJS.ErrnoException).code === "ECONNREFUSED";
        fail(getErrorMessage(cause));
        return;
      }
      // The other idle connections are as old as this one.
      closeIdle(host, port);
      request = trySendRequest();
    }

    /** Empty lines before a head are valid, and Node reports none of them. */
    function checkBytesBeforeHead(): void {
      if (received || !socket) return;
      if (socket.bytesRead - earlierBytes > maxBytesBeforeHead) {
        fail("the response has no head");
      }
    }

    function receiveResponse(response: IncomingMessage): void {
      received = response;
      const status = response.statusCode ?? 0;
      if (!hasValidHead(response)) {
        fail("the response head is invalid");
        return;
      }
      let pieceCount = 0;
      let bodyBytes = 0;
      response.on("data", (chunk: Buffer) => {
        pieceCount += 1;
        bodyBytes += chunk.length;
        if (pieceCount > maxSmallPieces + bodyBytes / minMeanPieceBytes) {
          fail("the response consists of too many pieces");
        } else if (!isSettled) handlers.onData(chunk);
      });
      const hasNoFraming = isCloseDelimited(response.rawHeaders);
      if (socket) getSocketState(socket).isCloseDelimited = hasNoFraming;
      response.on("end", () => {
        // A connection failure is reported only after the response has ended.
        if (hasNoFraming) setImmediate(finish);
        else finish();
      });
      response.on("error", (cause) => fail(getErrorMessage(cause)));
      response.on("close", () => {
        if (!response.complete) fail("the response ended early");
      });
      if (!isSettled) {
        handlers.onHead(status, response.rawHeaders, {
          isReusedConnection: socket === undefined ||
            getSocketState(socket).requestCount > 1,
        });
      }
    }

    function finish(): void {
      const hasFailed = socket !== undefined &&
        getSocketState(socket).hasFailed;
      if (hasFailed) fail("the response ended early");
      else settle(handlers.onEnd);
    }

    function settle(notify: () => void): void {
      if (isSettled) return;
      isSettled = true;
      notify();
    }

    function fail(reason: string): void {
      settle(() => {
        request?.destroy();
        handlers.onFailure({ wasSent, isConnectionRefused, reason });
      });
    }
  }
}

/**
 * Whether the head can be written to a caller. Node reads heads that it throws
 * on when it writes them, and a status below 200 ends no response.
 */
function hasValidHead(
  { statusCode = 0, rawHeaders }: IncomingMessage,
): boolean {
  if (statusCode < minFinalStatus) return false;
  try {
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
      validateHeaderName(rawHeaders[index]!);
      validateHeaderValue(rawHeaders[index]!, rawHeaders[index + 1]!);
    }
    return true;
  } catch {
    return false;
  }
}

function isReset(cause: NodeJS.ErrnoException): boolean {
  return cause.code === "ECONNRESET" || cause.code === "EPIPE";
}
