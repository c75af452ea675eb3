/**
 * Client for calls to other instances. It keeps one connection per instance,
 * which is opened on demand and reopened after a loss.
 */
import type tls from "node:tls";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import {
  createError,
  ErrorKind,
  type ErrorRecord,
  fromErrorRecord,
  getErrorMessage,
  type SystemError,
} from "../core/errors.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import type { InstanceId } from "../core/types.ts";
import { createFrameDecoder, encodeFrame, isHello } from "./frame_codec.ts";
import {
  type PeerCallKind,
  peerCalls,
  type PeerReply,
  type PeerRequest,
} from "./messages.ts";
import type { PeerKey } from "./peer_key.ts";
import {
  createPeerConnection,
  type PeerConnection,
} from "./peer_connection.ts";

export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** Bytes on the connections that this instance opened since its start. */
export interface PeerTraffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

export interface PeerClient {
  getTraffic(): PeerTraffic;
  call<K extends PeerCallKind>(
    instanceId: InstanceId,
    kind: K,
    options: { readonly body: PeerRequest<K>; readonly timeoutMs: number },
  ): ResultAsync<PeerReply<K>, SystemError>;
  /**
   * Closes an established connection, so that the next call opens a new one.
   * After a network partition, an old connection stays silent until its next
   * TCP retransmission. One that is being opened tries again by itself.
   */
  dropConnection(instanceId: InstanceId): void;
  close(): void;
}

export interface PeerClientOptions {
  readonly keys: readonly PeerKey[];
  readonly logger: Logger;
  getAddress(instanceId: InstanceId): PeerAddress | undefined;
  readonly connect?: typeof tls.connect;
  /** Called when an established connection breaks. */
  onConnectionLost(instanceId: InstanceId): void;
}

interface Connection {
  readonly link: PeerConnection;
  readonly pending: Map<number, (reply: Result<unknown, SystemError>) => void>;
  /** The peer announced that it accepts compressed frames. */
  acceptsCompressedFrames: boolean;
}

/** Limit of unsent bytes on a slow connection, beyond which calls fail. */
const maxUnsentBytes = 16 * 1024 * 1024;
/** A timer with a larger delay shows that this process was paused. */
const pauseLimitMs = 200;
/** Time for reading the replies that arrived during a pause. */
const pauseGraceMs = 100;

export function createPeerClient(options: PeerClientOptions): PeerClient {
  const connections = new Map<InstanceId, Connection>();
  const closedTraffic = { sentBytes: 0, receivedBytes: 0 };
  let nextCallId = 1;
  let isClosed = false;
  return { call, getTraffic, dropConnection, close };

  function call<K extends PeerCallKind>(
    instanceId: InstanceId,
    kind: K,
    { body, timeoutMs }: { body: PeerRequest<K>; timeoutMs: number },
  ): ResultAsync<PeerReply<K>, SystemError> {
    return new ResultAsync(send(instanceId, kind, { body, timeoutMs }))
      .andThen((value) => parseReply(kind, value));
  }

  function parseReply<K extends PeerCallKind>(
    kind: K,
    value: unknown,
  ): Result<PeerReply<K>, SystemError> {
    const parsed = peerCalls[kind].reply.safeParse(value);
    if (parsed.success) return ok(parsed.data as PeerReply<K>);
    return err(createError(
      ErrorKind.ProtocolError,
      `malformed reply to ${kind}: ${parsed.error.message}`,
    ));
  }

  function send(
    instanceId: InstanceId,
    kind: PeerCallKind,
    { body, timeoutMs }: { body: unknown; timeoutMs: number },
  ): Promise<Result<unknown, SystemError>> {
    const connection = getConnection(instanceId);
    if (!connection) {
      return Promise.resolve(
        unreachable(`no address is known for ${instanceId}`),
      );
    }
    const callId = nextCallId++;
    const frame = encodeFrame({ callId, kind, body }, {
      mayCompress: connection.acceptsCompressedFrames,
    });
    if (frame.isErr()) return Promise.resolve(err(frame.error));
    if (connection.link.getUnsentBytes() > maxUnsentBytes) {
      return Promise.resolve(
        unreachable(`${instanceId} does not read its messages`),
      );
    }
    const { pending } = connection;
    return new Promise((resolve) => {
      let deadlineAtMs = performance.now() + timeoutMs;
      let timer = setTimeout(handleTimeout, timeoutMs);
      pending.set(callId, (reply) => {
        clearTimeout(timer);
        resolve(reply);
      });
      connection.link.send(frame.value, () => pending.has(callId));

      function handleTimeout(): void {
        // Timers run before sockets are read, so after a pause of this process
        // the reply may still be in the socket's buffer.
        if (performance.now() - deadlineAtMs > pauseLimitMs) {
          deadlineAtMs = performance.now() + pauseGraceMs;
          timer = setTimeout(handleTimeout, pauseGraceMs);
          return;
        }
        pending.delete(callId);
        resolve(unreachable(
          `${instanceId} did not reply to ${kind} within ${timeoutMs} ms`,
        ));
      }
    });
  }

  function getConnection(instanceId: InstanceId): Connection | undefined {
    const address = options.getAddress(instanceId);
    const existing = connections.get(instanceId);
    if (
      existing && (!address || isSameAddress(existing.link.address, address))
    ) {
      return existing;
    }
    if (!address || isClosed) return undefined;
    existing?.link.destroy();
    const connection = connect(instanceId, address);
    connections.set(instanceId, connection);
    return connection;
  }

  function connect(instanceId: InstanceId, address: PeerAddress): Connection {
    const decoder = createFrameDecoder();
    const link = createPeerConnection({
      address,
      keys: options.keys,
      ...(options.connect ? { connect: options.connect } : {}),
      onEstablished: () =>
        options.logger.log(logEvents.peerConnected, { peer: instanceId }),
      onData: (chunk) => {
        const decoded = decoder.push(chunk);
        if (decoded.isErr()) link.destroy();
        else for (const value of decoded.value) handleReply(connection, value);
      },
      onError: (cause) =>
        options.logger.log(logEvents.peerConnectFailed, {
          peer: instanceId,
          reason: getErrorMessage(cause),
        }),
      onClosed: (wasEstablished) => {
        const { sentBytes, receivedBytes } = link.getTraffic();
        closedTraffic.sentBytes += sentBytes;
        closedTraffic.receivedBytes += receivedBytes;
        const pending = [...connection.pending.values()];
        connection.pending.clear();
        for (const resolve of pending) {
          resolve(unreachable(`connection to ${instanceId} is closed`));
        }
        // A connection that was dropped on purpose is already reported as lost.
        const wasDropped = connections.get(instanceId) !== connection;
        if (!wasDropped) connections.delete(instanceId);
        if (wasEstablished && !isClosed && !wasDropped) {
          options.logger.log(logEvents.peerLost, { peer: instanceId });
          options.onConnectionLost(instanceId);
        }
      },
    });
    const connection: Connection = {
      link,
      pending: new Map(),
      acceptsCompressedFrames: false,
    };
    return connection;
  }

  function handleReply(connection: Connection, value: unknown): void {
    if (isHello(value)) {
      connection.acceptsCompressedFrames = true;
      return;
    }
    const envelope = value as {
      callId?: number;
      reply?: unknown;
      error?: ErrorRecord;
    };
    const resolve = connection.pending.get(envelope?.callId ?? -1);
    if (!resolve) return; // the call has timed out
    connection.pending.delete(envelope.callId!);
    resolve(
      envelope.error
        ? err(fromErrorRecord(envelope.error))
        : ok(envelope.reply),
    );
  }

  function getTraffic(): PeerTraffic {
    let { sentBytes, receivedBytes } = closedTraffic;
    for (const { link } of connections.values()) {
      const traffic = link.getTraffic();
      sentBytes += traffic.sentBytes;
      receivedBytes += traffic.receivedBytes;
    }
    return { sentBytes, receivedBytes };
  }

  function dropConnection(instanceId: InstanceId): void {
    const connection = connections.get(instanceId);
    if (!connection?.link.isEstablished()) return;
    connections.delete(instanceId);
    connection.link.destroy();
  }

  function close(): void {
    isClosed = true;
    for (const { link } of [...connections.values()]) link.destroy();
  }
}

function isSameAddress(left: PeerAddress, right: PeerAddress): boolean {
  return left.host === right.host && left.port === right.port;
}

function unreachable(message: string): Result<never, SystemError> {
  return err(createError(ErrorKind.PeerUnreachable, message));
}
