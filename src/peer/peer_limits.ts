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
  getMaxPeerBytes,
  readMaxDescriptors,
} from "../core/caller_limits.ts";
import { maxFrameBytes, type PendingBytes } from "./frame_codec.ts";
import { PeerCallKind } from "./messages.ts";

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
  /** Size of the call that was taken last. */
  getTakenBytes(): number;
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
  /** Bytes that are not decoded, and calls that wait. */
  incompleteBytes: number;
  unsentBytes: number;
  progressAtMs: number;
  handleReceived(): void;
}

interface WaitingCall {
  readonly value: unknown;
  readonly bytes: number;
}

interface UnsentSlice {
  readonly content: Uint8Array;
  readonly bytes: number;
}

/** 330 instances that connect at once, with up to three attempts each. */
const maxDefaultConnections = 1_024;
const descriptorsRatio = 0.25;
/** A peer has some calls open, or some dozen proposals; others wait. */
const maxOpenCalls = 256;
/** The largest reply must not stop the reading of heartbeats. */
const maxUnsentBytes = maxFrameBytes + 256 * 1024;
/** While the unsent replies of all peers exceed this part, calls wait. */
const unsentRatio = 0.5;
/** Up to this part of the room, frames behind a waiting call are read. */
const waitingRatio = 0.75;
/** Frames behind waiting calls of more bytes are not read. */
const maxWaitingBytes = 64 * 1024;
/** A slow link shows progress within a large frame. */
const sliceBytes = 64 * 1024;
/** The objects of a frame that is not sent take about as much. */
const frameCostBytes = 1_024;
const checkIntervalMs = 1_000;
/** Calls that keep membership and the log of control alive. */
const urgentKinds: readonly unknown[] = [
  PeerCallKind.Heartbeat,
  PeerCallKind.LogMessage,
];

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
  const maxPeerBytes = getMaxPeerBytes(limits);
  /** Those with calls that wait for others' replies, the next one first. */
  const waitingConnections = new Set<Connection>();
  let heldBytes = 0;
  let totalUnsentBytes = 0;
  let isResumeScheduled = false;
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
      handleReceived,
    };
    const waiting: WaitingCall[] = [];
    let waitingBytes = 0;
    const unsent: UnsentSlice[] = [];
    let writingBytes = 0;
    connections.add(connection);
    socket.once("close", () => {
      remove(connection);
      waiting.length = 0;
      unsent.length = 0;
    });
    return { handleReceived, send };

    function handleReceived(): void {
      while (waiting.length > 0 && mayStart()) {
        const { value, bytes } = waiting.shift()!;
        waitingBytes -= bytes;
        start(value);
      }
      let next: readonly unknown[] = [];
      while (mayTake() && (next = frames.takeNext()).length > 0) {
        const [value] = next;
        if (isUrgent(value) || waiting.length === 0 && mayStart()) start(value);
        else {
          const bytes = frames.getTakenBytes() + frameCostBytes;
          waiting.push({ value, bytes });
          waitingBytes += bytes;
        }
      }
      // A handled call may have closed the connection.
      if (!isOpen()) return;
      const incompleteBytes = frames.getPendingBytes() + waitingBytes;
      heldBytes += incompleteBytes - connection.incompleteBytes;
      connection.incompleteBytes = incompleteBytes;
      limitHeld();
      if (!isOpen()) return;
      // Its own calls and replies continue one that waits for them.
      if (waiting.length > 0 && isUnsentFull()) {
        waitingConnections.add(connection);
      } else waitingConnections.delete(connection);
      if (!mayTake()) socket.pause();
      else if (socket.isPaused()) socket.resume();
    }

    function isOpen(): boolean {
      return connections.has(connection) && !socket.destroyed;
    }

    function mayStart(): boolean {
      return isOpen() && connection.openCount < maxOpenCalls &&
        connection.unsentBytes <= maxUnsentBytes && !isUnsentFull();
    }

    function mayTake(): boolean {
      if (!isOpen() || connection.unsentBytes > maxUnsentBytes) return false;
      return waiting.length === 0 || waitingBytes <= maxWaitingBytes &&
          heldBytes <= maxPeerBytes * waitingRatio;
    }

    function start(value: unknown): void {
      const count = isUrgent(value) ? 0 : 1;
      connection.openCount += count;
      void frames.handle(value).finally(() => {
        connection.openCount -= count;
        continueReceiving();
      });
    }

    function continueReceiving(): void {
      if (isOpen() && (socket.isPaused() || waiting.length > 0)) {
        handleReceived();
      }
    }

    function send(frame: Uint8Array): void {
      if (!isOpen()) return;
      if (connection.unsentBytes === 0) {
        connection.progressAtMs = performance.now();
      }
      for (let offset = 0; offset < frame.length; offset += sliceBytes) {
        const content = frame.subarray(offset, offset + sliceBytes);
        const costBytes = offset === 0 ? frameCostBytes : 0;
        unsent.push({ content, bytes: content.length + costBytes });
      }
      addUnsent(connection, frame.length + frameCostBytes);
      writeUnsent();
      limitHeld();
    }

    /** The socket would write all slices that it holds as one. */
    function writeUnsent(): void {
      while (unsent.length > 0 && writingBytes < sliceBytes) {
        const { content, bytes } = unsent.shift()!;
        writingBytes += bytes;
        socket.write(content, () => {
          writingBytes -= bytes;
          if (!isOpen()) return;
          addUnsent(connection, -bytes);
          connection.progressAtMs = performance.now();
          writeUnsent();
          continueReceiving();
          scheduleResume();
        });
      }
    }
  }

  function isUnsentFull(): boolean {
    return totalUnsentBytes > maxPeerBytes * unsentRatio;
  }

  function addUnsent(connection: Connection, bytes: number): void {
    heldBytes += bytes;
    totalUnsentBytes += bytes;
    connection.unsentBytes += bytes;
  }

  function remove(connection: Connection): void {
    connections.delete(connection);
    waitingConnections.delete(connection);
    addUnsent(connection, -connection.unsentBytes);
    heldBytes -= connection.incompleteBytes;
    connection.incompleteBytes = 0;
    scheduleResume();
  }

  /** Handles one connection at a time, so that its replies count for others. */
  function scheduleResume(): void {
    if (isResumeScheduled || waitingConnections.size === 0) return;
    if (isUnsentFull()) return;
    isResumeScheduled = true;
    setImmediate(() => {
      isResumeScheduled = false;
      const [connection] = waitingConnections;
      if (!connection || isUnsentFull()) return;
      waitingConnections.delete(connection);
      connection.handleReceived();
      scheduleResume();
    });
  }

  /** Closes the connections that hold most. */
  function limitHeld(): void {
    while (heldBytes > maxPeerBytes) {
      let largest: Connection | undefined;
      for (const connection of connections) {
        if (connection.socket.destroyed) continue;
        if (!largest || getBytes(connection) > getBytes(largest)) {
          largest = connection;
        }
      }
      if (!largest) return;
      record(CallerLimit.PeerBytes);
      remove(largest);
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

function isUrgent(value: unknown): boolean {
  return urgentKinds.includes((value as { kind?: unknown } | null)?.kind);
}

function getBytes({ incompleteBytes, unsentBytes }: Connection): number {
  return incompleteBytes + unsentBytes;
}

/** The same for a connection and for the TLS connection on it. */
function getKey({ remoteAddress, remotePort }: Socket): string {
  return `${remoteAddress}:${remotePort}`;
}
