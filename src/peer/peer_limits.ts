/**
 * Limits of what connections to the peer port can make an instance hold:
 * connections, incomplete frames, calls, and replies that are not read.
 */
import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { createBodyStore } from "../core/body_store.ts";
import {
  CallerLimit,
  type CallerLimits,
  readMaxDescriptors,
} from "../core/caller_limits.ts";
import type { PendingBytes } from "./frame_codec.ts";

export interface PeerGuard {
  /** Must be called with each accepted connection, before its handshake. */
  accept(socket: Socket): void;
  /** Must be called after the handshake; handles the frames of a connection. */
  open(socket: Socket, frames: FrameHandler): PeerFlow;
  /** Holds the bytes of a connection in blocks that are used again. */
  createPendingBytes(socket: Socket): PendingBytes;
  close(): void;
}

export interface FrameHandler {
  /** Returns the next call in a list, which is empty if none is complete. */
  takeNext(): readonly unknown[];
  /** Bytes that were received and are not handled. */
  getPendingBytes(): number;
  /** Resolves when the reply was passed to `send`. */
  handle(value: unknown): Promise<void>;
}

export interface PeerFlow {
  /** Handles received calls in order, as far as the peer reads its replies. */
  handleReceived(): void;
  send(frame: Uint8Array): void;
}

export interface PeerGuardOptions {
  readonly limits: Pick<
    CallerLimits,
    "maxPeerConnections" | "maxPeerBytes" | "unreadTimeoutMs"
  >;
  record(limit: CallerLimit): void;
}

interface Connection {
  readonly socket: Socket;
  openCount: number;
  incompleteBytes: number;
  unsentBytes: number;
  progressAtMs: number;
}

/** 330 instances that connect at once, with up to three attempts each. */
const maxDefaultConnections = 1_024;
const descriptorsRatio = 0.25;
/** A peer has some calls open, or some dozen proposals; others wait. */
const maxOpenCalls = 256;
/** Calls wait while more of the replies is unsent. */
const maxUnsentBytes = 256 * 1024;
/** The objects of a frame that is not sent take about as much. */
const frameCostBytes = 1_024;
const checkIntervalMs = 1_000;

export function createPeerGuard(
  { limits, record }: PeerGuardOptions,
): PeerGuard {
  /** Connections without a complete handshake, oldest first. */
  const unproven = new Map<string, Socket>();
  const connections = new Set<Connection>();
  const maxConnections = limits.maxPeerConnections ??
    Math.min(
      maxDefaultConnections,
      Math.floor(readMaxDescriptors() * descriptorsRatio),
    );
  let heldBytes = 0;
  // `limitHeld` limits what it holds.
  const store = createBodyStore(Infinity);
  const timer = setInterval(check, checkIntervalMs).unref();
  return {
    accept,
    open,
    createPendingBytes,
    close: () => clearInterval(timer),
  };

  function createPendingBytes(socket: Socket): PendingBytes {
    let held = store.open();
    let sizeBytes = 0;
    socket.once("close", () => held.release());
    return {
      add: (bytes) => {
        if (socket.destroyed) return;
        held.tryAdd(toBuffer(bytes));
        sizeBytes += bytes.length;
      },
      getSizeBytes: () => sizeBytes,
      takeAll: () => {
        const all = held.takeAll();
        held.release();
        held = store.open();
        sizeBytes = 0;
        return all;
      },
    };
  }

  function accept(socket: Socket): void {
    if (unproven.size + connections.size >= maxConnections) {
      record(CallerLimit.PeerConnections);
      const [oldest] = unproven.values();
      (oldest ?? socket).destroy();
      if (!oldest) return;
      unproven.delete(getKey(oldest));
    }
    const key = getKey(socket);
    unproven.set(key, socket);
    socket.once("close", () => {
      if (unproven.get(key) === socket) unproven.delete(key);
    });
  }

  function open(socket: Socket, frames: FrameHandler): PeerFlow {
    unproven.delete(getKey(socket));
    const connection: Connection = {
      socket,
      openCount: 0,
      incompleteBytes: 0,
      unsentBytes: 0,
      progressAtMs: performance.now(),
    };
    connections.add(connection);
    socket.once("close", () => {
      connections.delete(connection);
      heldBytes -= connection.incompleteBytes + connection.unsentBytes;
      connection.incompleteBytes = 0;
      connection.unsentBytes = 0;
    });
    return { handleReceived, send };

    function handleReceived(): void {
      if (!connections.has(connection)) return;
      let next: readonly unknown[] = [];
      while (mayHandle() && (next = frames.takeNext()).length > 0) {
        connection.openCount += 1;
        void frames.handle(next[0]).finally(() => {
          connection.openCount -= 1;
          if (socket.isPaused()) handleReceived();
        });
      }
      // A handled call may have closed the connection.
      if (!connections.has(connection)) return;
      heldBytes += frames.getPendingBytes() - connection.incompleteBytes;
      connection.incompleteBytes = frames.getPendingBytes();
      limitHeld();
      if (!mayHandle()) socket.pause();
      else if (socket.isPaused()) socket.resume();
    }

    function mayHandle(): boolean {
      return connection.openCount < maxOpenCalls &&
        connection.unsentBytes <= maxUnsentBytes;
    }

    function send(frame: Uint8Array): void {
      if (socket.destroyed) return;
      if (connection.unsentBytes === 0) {
        connection.progressAtMs = performance.now();
      }
      const bytes = frame.length + frameCostBytes;
      heldBytes += bytes;
      connection.unsentBytes += bytes;
      socket.write(frame, () => {
        if (!connections.has(connection)) return;
        heldBytes -= bytes;
        connection.unsentBytes -= bytes;
        connection.progressAtMs = performance.now();
        if (socket.isPaused()) handleReceived();
      });
      limitHeld();
    }
  }

  /** Closes the connections that hold most. */
  function limitHeld(): void {
    while (heldBytes > limits.maxPeerBytes) {
      let largest: Connection | undefined;
      for (const connection of connections) {
        if (connection.socket.destroyed) continue;
        if (!largest || getBytes(connection) > getBytes(largest)) {
          largest = connection;
        }
      }
      if (!largest) return;
      record(CallerLimit.PeerBytes);
      heldBytes -= getBytes(largest);
      largest.incompleteBytes = 0;
      largest.unsentBytes = 0;
      connections.delete(largest);
      largest.socket.destroy();
    }
  }

  function check(): void {
    store.trim();
    const nowMs = performance.now();
    for (const { socket, unsentBytes, progressAtMs } of connections) {
      if (unsentBytes === 0) continue;
      if (nowMs - progressAtMs < limits.unreadTimeoutMs) continue;
      record(CallerLimit.UnreadTime);
      socket.destroy();
    }
  }
}

function toBuffer({ buffer, byteOffset, byteLength }: Uint8Array): Buffer {
  return Buffer.from(buffer, byteOffset, byteLength);
}

function getBytes({ incompleteBytes, unsentBytes }: Connection): number {
  return incompleteBytes + unsentBytes;
}

/** The same for a connection and for the TLS connection on it. */
function getKey({ remoteAddress, remotePort }: Socket): string {
  return `${remoteAddress}:${remotePort}`;
}
