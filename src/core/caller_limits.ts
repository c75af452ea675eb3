/**
 * Limits of what callers can make an instance hold, on all of its HTTP servers:
 * requests sent ahead, heads and bodies that don't end, responses that are not
 * read, and connections.
 *
 * A caller beyond a limit loses its connection; requests on it whose responses
 * are owed are answered first. Memory is bounded for each connection and in
 * total.
 */
import { readFileSync } from "node:fs";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { totalmem } from "node:os";
import process from "node:process";
import { getHeapStatistics } from "node:v8";
import * as z from "zod";
import { type BodyStore, createBodyStore } from "./body_store.ts";
import { createByteSum } from "./byte_sum.ts";
import { logEvents } from "./log_events.ts";
import type { Logger } from "./logger.ts";
import type { MetricsRegistry } from "./metrics_registry.ts";
import { createMinorCollector } from "./minor_collection.ts";
import { createRequestFeed, type RequestFeed } from "./request_feed.ts";
import { strictFields } from "./strict_fields.ts";
import { createTurnQueue } from "./turn_queue.ts";
import { getConnectionKey, readUnacknowledgedBytes } from "./unread_bytes.ts";

const byteCountSchema = z.int().min(65_536).max(2 ** 40);

export const callerLimitsSchema = strictFields({
  /** Connections of callers; null is half of the process's descriptors. */
  maxConnections: z.int().min(1).max(1_000_000).nullable().default(null),
  /** Connections to each of the readiness, metrics and operators' servers. */
  maxServiceConnections: z.int().min(1).max(1_000_000).default(128),
  /** Requests of one connection that are read before the response is due. */
  maxWaitingRequests: z.int().min(1).max(1_000).default(8),
  /** Such requests of all connections. */
  maxTotalWaitingRequests: z.int().min(1).max(1_000_000).default(1_024),
  /** Heads and requests sent ahead that are not parsed, of all connections. */
  maxUnparsedBytes: byteCountSchema.default(8 * 1024 * 1024),
  /**
   * Bodies of requests that have no response yet, of all connections; follows
   * the memory of the process if it is not given.
   */
  maxBodyBytes: byteCountSchema.optional(),
  /** Large reads of all connections; the fastest links have 2 MB/s. */
  maxReadBytesPerS: byteCountSchema.default(16 * 1024 * 1024),
  /** Responses that wait for their callers, of all connections. */
  maxUnreadBytes: byteCountSchema.default(16 * 1024 * 1024),
  /** A connection that takes nothing of its response for so long is closed. */
  unreadTimeoutMs: z.int().min(1_000).max(86_400_000).default(30_000),
}).prefault({});

export type CallerLimits = z.output<typeof callerLimitsSchema>;

/** The limits as they are counted and logged. */
export enum CallerLimit {
  Connections = "connections",
  ReadRate = "readRate",
  UnparsedBytes = "unparsedBytes",
  BodyBytes = "bodyBytes",
  DiscardedBytes = "discardedBytes",
  UnreadBytes = "unreadBytes",
  UnreadTime = "unreadTime",
}

/** Where limits are counted. */
export type LimitMetrics = Pick<
  MetricsRegistry,
  "createCounter" | "createGauge"
>;

export interface CallerGuard {
  /** Must be called before the server accepts connections. */
  protect(server: Server, options: ProtectedServerOptions): void;
  /** For the bodies of requests that are not handled yet. */
  readonly bodies: BodyStore;
  /** Counts that a limit has refused a request. */
  record(limit: CallerLimit): void;
  measure(): HeldForCallers;
}

/** What an instance holds for callers, and what their sockets have taken. */
export interface HeldForCallers {
  /** Bytes that were not parsed, bodies and unsent responses. */
  readonly heldBytes: number;
  /** Sum of the limits of these. */
  readonly heldLimitBytes: number;
  readonly unsentBytes: number;
  /** Since the start of the process. */
  readonly sentBytes: number;
}

export interface ProtectedServerOptions {
  readonly maxConnections: number;
  /** Whether requests are read ahead of their turn. */
  readonly mayPipeline: boolean;
}

interface Connection {
  readonly socket: Socket;
  readonly feed: RequestFeed;
  readonly key: string;
  /** Requests without a complete response. */
  openCount: number;
  last: IncomingMessage | undefined;
  /** Bytes of a head that is not complete. */
  headBytes: number;
  /** Bytes of a body whose response is complete. */
  surplusBytes: number;
  /** A head was completed by the bytes that were fed last. */
  isFresh: boolean;
  /** The bytes that were fed last belong to a body that goes on. */
  isInBody: boolean;
  isCut: boolean;
  activeAtMs: number;
  progress: string;
  progressAtMs: number;
}

const checkIntervalMs = 500;
const logIntervalMs = 1_000;
/**
 * Bytes of a body that are read after its response, so that the connection can
 * be used again; twice the largest body that callers may send.
 */
const maxSurplusBytes = 8 * 1024 * 1024;
/**
 * Time for requests that were sent ahead between other work. Without it, 20 of
 * 240 calls beside 1,000 such connections were answered in 8 s, and 151 with it.
 */
const maxMsPerTurn = 5;
/** Bodies of this time are read without delay. */
const readBurstMs = 500;
/** A response that was not read for so long gives way to new connections. */
const staleMs = 1_000;
/** Descriptors of other files and connections, if the limit is not known. */
const defaultDescriptors = 1_024;
/** Room for bodies on the smallest machines. */
const minBodyBytes = 16 * 1024 * 1024;
/** An instance takes 70 to 74 MB after its start, about 30 of them heap. */
const processBytes = 40 * 1024 * 1024;

export function createCallerGuard(
  { limits, logger, registry }: {
    readonly limits: CallerLimits;
    readonly logger: Logger;
    readonly registry: LimitMetrics;
  },
): CallerGuard {
  const connections = new Set<Connection>();
  const counter = registry.createCounter(
    "caller_limits",
    "Connections and requests of callers that a limit has ended, by limit.",
    ["limit"],
  );
  const unlogged = new Map<CallerLimit, number>();
  let isLogScheduled = false;
  let waitingCount = 0;
  /** When what was read so far is allowed by the rate. */
  let readUntilMs = 0;
  const unparsed = createByteSum<Connection>();
  /** Of connections that are closed. */
  let pastSentBytes = 0;
  let timer: NodeJS.Timeout | undefined;
  const defer = createTurnQueue(maxMsPerTurn);
  const collectAfter = createMinorCollector();
  const maxBodyBytes = getMaxBodyBytes(limits);
  const bodies = createBodyStore(maxBodyBytes);
  registry.createGauge(
    "caller_connections",
    "Connections of callers, operators and checks.",
    () => connections.size,
  );
  registry.createGauge(
    "caller_body_bytes",
    "Bodies of requests that have no response yet, in bytes.",
    bodies.getHeldBytes,
  );
  registry.createGauge(
    "caller_unparsed_bytes",
    "Bytes of callers that were read and not parsed.",
    unparsed.getTotalBytes,
  );
  registry.createGauge(
    "caller_unread_bytes",
    "Bytes of responses that callers have not taken.",
    sumUnreadBytes,
  );
  return { protect, bodies, record, measure };

  function protect(server: Server, options: ProtectedServerOptions): void {
    const own = new Map<Socket, Connection>();
    server.on("connection", (socket: Socket) => {
      if (own.size >= options.maxConnections && !evict(own)) {
        record(CallerLimit.Connections);
        socket.destroy();
        return;
      }
      const connection = open(socket, options);
      own.set(socket, connection);
      socket.once("close", () => own.delete(socket));
    });
    server.prependListener(
      "request",
      (request, response) => track(own.get(request.socket), request, response),
    );
    // The default handler answers without reporting the request.
    server.on("checkExpectation", (request, response) => {
      track(own.get(request.socket), request, response);
      response.writeHead(417);
      response.end();
    });
  }

  function open(
    socket: Socket,
    { mayPipeline }: ProtectedServerOptions,
  ): Connection {
    const feed = createRequestFeed(socket, {
      isBlocked: () => isBlocked(connection, mayPipeline),
      isClosing: () => socket.writableEnded,
      onRead: collectAfter,
      onFed: (bytes) => handleFed(connection, bytes),
      getReadDelayMs,
      defer,
      onHeld: () => countUnparsed(connection),
      onReleased: () => updateUnparsed(connection),
    });
    const nowMs = performance.now();
    const connection: Connection = {
      socket,
      feed,
      key: getConnectionKey(socket),
      openCount: 0,
      last: undefined,
      headBytes: 0,
      surplusBytes: 0,
      isFresh: false,
      isInBody: false,
      isCut: false,
      activeAtMs: nowMs,
      progress: "",
      progressAtMs: nowMs,
    };
    connections.add(connection);
    socket.once("close", () => {
      connections.delete(connection);
      pastSentBytes += getSentBytes(connection);
      waitingCount -= Math.max(0, connection.openCount - 1);
      connection.openCount = 0;
      connection.headBytes = 0;
      feed.discard();
      updateUnparsed(connection);
    });
    timer ??= setInterval(() => void checkUnread(), checkIntervalMs).unref();
    return connection;
  }

  /** Shares the rate among the connections with large reads. */
  function getReadDelayMs(bytes: number): number {
    const nowMs = performance.now();
    readUntilMs = Math.max(nowMs, readUntilMs) +
      bytes * 1_000 / limits.maxReadBytesPerS;
    const delayMs = Math.max(0, readUntilMs - nowMs - readBurstMs);
    if (delayMs > 0) record(CallerLimit.ReadRate);
    return delayMs;
  }

  function isBlocked(connection: Connection, mayPipeline: boolean): boolean {
    const { openCount, last } = connection;
    // No response can end before the body of its request is read.
    if (openCount === 0 || openCount === 1 && !last?.complete) return false;
    if (!mayPipeline || openCount > limits.maxWaitingRequests) return true;
    return waitingCount >= limits.maxTotalWaitingRequests;
  }

  function track(
    connection: Connection | undefined,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    if (!connection) return;
    connection.last = request;
    connection.isFresh = true;
    connection.headBytes = 0;
    updateUnparsed(connection);
    connection.surplusBytes = 0;
    connection.openCount += 1;
    if (connection.openCount > 1) waitingCount += 1;
    response.once("close", () => {
      if (connection.openCount === 0) return; // the connection is closed
      if (connection.openCount > 1) waitingCount -= 1;
      connection.openCount -= 1;
      connection.activeAtMs = performance.now();
      if (connection.isCut && connection.openCount === 0) {
        connection.socket.destroySoon();
      }
      connection.feed.resume();
    });
  }

  function handleFed(connection: Connection, bytes: number): void {
    const { last, openCount, isFresh, isInBody } = connection;
    connection.activeAtMs = performance.now();
    connection.isFresh = false;
    connection.isInBody = last !== undefined && !last.complete;
    if (isFresh) return;
    if (isInBody) {
      if (openCount > 0) return;
      connection.surplusBytes += bytes;
      if (connection.surplusBytes > maxSurplusBytes) {
        cut(connection, CallerLimit.DiscardedBytes);
      }
      return;
    }
    connection.headBytes += bytes;
    countUnparsed(connection);
  }

  function countUnparsed(connection: Connection): void {
    updateUnparsed(connection);
    if (connection.isCut) return;
    if (unparsed.getTotalBytes() <= limits.maxUnparsedBytes) return;
    cut(unparsed.findLargest() ?? connection, CallerLimit.UnparsedBytes);
  }

  /** Must be called after each change of what the connection holds. */
  function updateUnparsed(connection: Connection): void {
    const { feed, headBytes } = connection;
    unparsed.set(connection, feed.getHeldBytes() + headBytes);
  }

  /** Handles no further request, and closes the connection after the others. */
  function cut(connection: Connection, limit: CallerLimit): void {
    if (connection.isCut) return;
    record(limit);
    connection.isCut = true;
    connection.headBytes = 0;
    connection.feed.discard();
    updateUnparsed(connection);
    if (connection.openCount === 0) connection.socket.destroySoon();
  }

  /** Closes the connection that has been without use for longest. */
  function evict(own: ReadonlyMap<Socket, Connection>): boolean {
    const staleAtMs = performance.now() - staleMs;
    let oldest: Connection | undefined;
    for (const connection of own.values()) {
      const { openCount, socket, progressAtMs, activeAtMs } = connection;
      const isUnread = socket.writableLength > 0 && progressAtMs < staleAtMs;
      if (socket.destroyed || openCount > 0 && !isUnread) continue;
      if (!oldest || activeAtMs < oldest.activeAtMs) oldest = connection;
    }
    if (!oldest) return false;
    record(CallerLimit.Connections);
    oldest.socket.destroy();
    return true;
  }

  function sumUnreadBytes(): number {
    let sum = 0;
    for (const { socket } of connections) sum += socket.writableLength;
    return sum;
  }

  function measure(): HeldForCallers {
    const unsentBytes = sumUnreadBytes();
    let sentBytes = pastSentBytes;
    for (const connection of connections) sentBytes += getSentBytes(connection);
    const { maxUnparsedBytes, maxUnreadBytes } = limits;
    return {
      heldBytes: unparsed.getTotalBytes() + bodies.getHeldBytes() + unsentBytes,
      heldLimitBytes: maxUnparsedBytes + maxBodyBytes + maxUnreadBytes,
      unsentBytes,
      sentBytes,
    };
  }

  async function checkUnread(): Promise<void> {
    bodies.trim();
    const nowMs = performance.now();
    const unread: Connection[] = [];
    for (const connection of connections) {
      if (connection.socket.writableLength > 0) unread.push(connection);
      else connection.progressAtMs = nowMs;
    }
    if (unread.length === 0) return;
    const unacknowledged = await readUnacknowledgedBytes();
    for (const connection of unread) {
      const { socket, key } = connection;
      const takenBytes = getSentBytes(connection);
      const progress = `${takenBytes} ${unacknowledged.get(key)}`;
      if (progress !== connection.progress) connection.progressAtMs = nowMs;
      connection.progress = progress;
      if (nowMs - connection.progressAtMs < limits.unreadTimeoutMs) continue;
      record(CallerLimit.UnreadTime);
      socket.destroy();
    }
    limitUnread(unread);
  }

  /** Closes the connections that have taken nothing for longest. */
  function limitUnread(unread: readonly Connection[]): void {
    let sumBytes = sumUnreadBytes();
    if (sumBytes <= limits.maxUnreadBytes) return;
    const byProgress = [...unread].sort((left, right) =>
      left.progressAtMs - right.progressAtMs
    );
    for (const { socket } of byProgress) {
      if (sumBytes <= limits.maxUnreadBytes) return;
      sumBytes -= socket.writableLength;
      record(CallerLimit.UnreadBytes);
      socket.destroy();
    }
  }

  function record(limit: CallerLimit): void {
    counter.add({ limit });
    unlogged.set(limit, (unlogged.get(limit) ?? 0) + 1);
    if (isLogScheduled) return;
    isLogScheduled = true;
    setTimeout(() => {
      isLogScheduled = false;
      logger.log(logEvents.callerLimitReached, {
        counts: Object.fromEntries(unlogged),
      });
      unlogged.clear();
    }, logIntervalMs).unref();
  }
}

function getSentBytes({ socket }: Pick<Connection, "socket">): number {
  return socket.bytesWritten - socket.writableLength;
}

/** Room for bodies: the given limit, or one that follows the memory. */
export function getMaxBodyBytes({ maxBodyBytes }: CallerLimits): number {
  return maxBodyBytes ?? chooseBodyBytes({
    heapBytes: getHeapStatistics().heap_size_limit,
    memoryBytes: Math.min(totalmem(), process.constrainedMemory() || Infinity),
  });
}

/**
 * A quarter of the heap limit, which states the size that the process is given
 * where the machine has other processes, or of the memory beside heap and
 * process, since a body may be held twice while its blocks are joined.
 */
export function chooseBodyBytes(
  { heapBytes, memoryBytes }: {
    readonly heapBytes: number;
    readonly memoryBytes: number;
  },
): number {
  const besideBytes = memoryBytes - heapBytes - processBytes;
  const chosenBytes = Math.floor(Math.min(heapBytes, besideBytes) / 4);
  return chosenBytes > minBodyBytes ? chosenBytes : minBodyBytes;
}

/** Half of the descriptors that the process may open. */
export function getMaxConnections({ maxConnections }: CallerLimits): number {
  if (maxConnections !== null) return maxConnections;
  let limitsText = "";
  try {
    limitsText = readFileSync("/proc/self/limits", "utf8");
  } catch {
    // Only Linux states the limits of a process there.
  }
  const match = /Max open files\s+(\d+)/.exec(limitsText);
  return Math.floor(Number(match?.[1] ?? defaultDescriptors) / 2);
}
