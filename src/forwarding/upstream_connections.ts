/**
 * Sends one request to one upstream over HTTP and reports what happens to it.
 *
 * Connections are kept for reuse, except for requests that must not run twice:
 * a kept connection may be closed under a request, and then nobody knows
 * whether it ran.
 */
import type { Buffer } from "node:buffer";
import { Agent, type IncomingMessage, request as httpRequest } from "node:http";
import net from "node:net";
import { getErrorMessage } from "../core/errors.ts";
import type { RawHeaders } from "./forwarding_protocol.ts";

export interface UpstreamRequest {
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly path: string;
  /** Includes the host and, with a body, its length. */
  readonly headers: RawHeaders;
  readonly body: Buffer;
  readonly mayReuseConnection: boolean;
}

export interface ExchangeFailure {
  /** Bytes of the request may have reached the upstream. */
  readonly wasSent: boolean;
  readonly reason: string;
}

export interface ExchangeHandlers {
  onHead(status: number, headers: RawHeaders): void;
  onData(chunk: Buffer): void;
  /** The response is complete. */
  onEnd(): void;
  onFailure(failure: ExchangeFailure): void;
}

/** After `cancel` no handler is called. */
export interface Exchange {
  /** Closes the connection, which tells the upstream to stop its work. */
  cancel(): void;
  pause(): void;
  resume(): void;
}

export interface UpstreamConnections {
  send(request: UpstreamRequest, handlers: ExchangeHandlers): Exchange;
  /** Closes kept connections to the address. */
  dropIdle(host: string, port: number): void;
  getOpenedCount(): number;
  close(): void;
}

/** A round trip between failure domains takes about 1 ms. */
const connectTimeoutMs = 250;
/** Shorter than the idle time after which upstreams close a connection. */
const maxIdleMs = 4_000;
/** Finds a peer that vanished without closing the connection. */
const keepAliveProbeMs = 1_000;
const maxIdlePerUpstream = 16;

interface SocketNotes {
  isInUse: boolean;
  idleSinceMs: number;
  hasFailed: boolean;
  /** The end of the connection is the end of the response. */
  endsResponse: boolean;
}

export function createUpstreamConnections(): UpstreamConnections {
  const notes = new WeakMap<net.Socket, SocketNotes>();
  let openedCount = 0;
  const agent = new Agent({
    keepAlive: true,
    keepAliveMsecs: keepAliveProbeMs,
    maxFreeSockets: maxIdlePerUpstream,
    scheduling: "lifo",
  });
  const singleUseAgent = new Agent({ keepAlive: false });
  agent.createConnection = connect as Agent["createConnection"];
  singleUseAgent.createConnection = agent.createConnection;
  const keepSocketAlive = agent.keepSocketAlive.bind(agent);
  agent.keepSocketAlive = ((socket: net.Socket): boolean => {
    const entry = getNotes(socket);
    entry.isInUse = false;
    entry.idleSinceMs = performance.now();
    socket.setTimeout(maxIdleMs);
    // The return value is missing in the published types.
    return keepSocketAlive(socket) as unknown as boolean;
  }) as unknown as Agent["keepSocketAlive"];
  return {
    send,
    dropIdle: (host, port) => {
      for (const socket of listIdle(host, port)) socket.destroy();
    },
    getOpenedCount: () => openedCount,
    close: () => agent.destroy(),
  };

  function connect(options: net.NetConnectOpts): net.Socket {
    const { host, port } = options as net.TcpNetConnectOpts;
    openedCount += 1;
    const socket = net.connect({
      host: host!,
      port,
      noDelay: true,
      allowHalfOpen: true,
    });
    const timer = setTimeout(
      () => socket.destroy(new Error("connecting timed out")),
      connectTimeoutMs,
    );
    socket.once("connect", () => clearTimeout(timer));
    socket.once("close", () => clearTimeout(timer));
    // Registered first: a response without a length must not look complete
    // when its connection is reset.
    socket.on("error", () => getNotes(socket).hasFailed = true);
    socket.on("end", () => checkEnd(socket));
    return socket;
  }

  /**
   * A reset that arrives together with data is reported as an orderly end, but
   * a write to such a connection fails. An empty line between messages is
   * ignored by HTTP servers.
   */
  function checkEnd(socket: net.Socket): void {
    const entry = getNotes(socket);
    if (!entry.isInUse) {
      socket.destroy();
      return;
    }
    if (!entry.endsResponse) return;
    socket.write("\r\n", (cause) => {
      if (cause) entry.hasFailed = true;
    });
  }

  function getNotes(socket: net.Socket): SocketNotes {
    let entry = notes.get(socket);
    if (!entry) {
      entry = {
        isInUse: true,
        idleSinceMs: 0,
        hasFailed: false,
        endsResponse: false,
      };
      notes.set(socket, entry);
    }
    return entry;
  }

  function listIdle(host: string, port: number): net.Socket[] {
    const name = agent.getName({ host, port });
    return [...(agent.freeSockets[name] ?? [])];
  }

  /** Bytes on an idle connection belong to no request. */
  function dropUnusable(host: string, port: number): void {
    const nowMs = performance.now();
    for (const socket of listIdle(host, port)) {
      const { idleSinceMs } = getNotes(socket);
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
    if (mayReuseConnection) dropUnusable(host, port);
    let isSettled = false;
    let wasSent = false;
    let socket: net.Socket | undefined;
    let received: IncomingMessage | undefined;
    const connection = mayReuseConnection ? "keep-alive" : "close";
    const request = httpRequest({
      host,
      port,
      method: upstreamRequest.method,
      path: upstreamRequest.path,
      headers: [...upstreamRequest.headers, "Connection", connection],
      agent: mayReuseConnection ? agent : singleUseAgent,
    });
    request.on("socket", (assigned: net.Socket) => {
      socket = assigned;
      getNotes(assigned).isInUse = true;
      if (!assigned.connecting) wasSent = true;
      else assigned.once("connect", () => wasSent = true);
    });
    request.on("response", (response) => {
      received = response;
      response.on("data", (chunk: Buffer) => {
        if (!isSettled) handlers.onData(chunk);
      });
      const { headers } = response;
      const endsResponse = headers["content-length"] === undefined &&
        headers["transfer-encoding"] === undefined;
      if (socket) getNotes(socket).endsResponse = endsResponse;
      response.on("end", () => {
        // A failure of the connection shows after the end of the response.
        if (endsResponse) setImmediate(finish);
        else finish();
      });
      response.on("error", (cause) => fail(getErrorMessage(cause)));
      response.on("close", () => {
        if (!response.complete) fail("the response broke off");
      });
      if (!isSettled) {
        handlers.onHead(response.statusCode ?? 0, response.rawHeaders);
      }
    });
    request.on("error", (cause) => fail(getErrorMessage(cause)));
    request.on("close", () => {
      if (!received?.complete) fail("the connection was closed");
    });
    request.end(upstreamRequest.body);
    return {
      cancel: () => {
        isSettled = true;
        request.destroy();
      },
      pause: () => socket?.pause(),
      resume: () => socket?.resume(),
    };

    function finish(): void {
      const hasFailed = socket !== undefined && getNotes(socket).hasFailed;
      if (hasFailed) fail("the response broke off");
      else settle(handlers.onEnd);
    }

    function settle(notify: () => void): void {
      if (isSettled) return;
      isSettled = true;
      notify();
    }

    function fail(reason: string): void {
      settle(() => {
        request.destroy();
        handlers.onFailure({ wasSent, reason });
      });
    }
  }
}
