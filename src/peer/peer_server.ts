/**
 * Accepts connections from other instances and handles their requests.
 */
import type { Buffer } from "node:buffer";
import tls from "node:tls";
import { err, type Result, ResultAsync } from "neverthrow";
import {
  createError,
  ErrorKind,
  getErrorMessage,
  type SystemError,
  toErrorRecord,
} from "../core/errors.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import {
  createFrameDecoder,
  encodeFrame,
  type FrameOptions,
  helloFrame,
  isHello,
} from "./frame_codec.ts";
import {
  PeerCallKind,
  peerCalls,
  type PeerReply,
  type PeerRequest,
} from "./messages.ts";
import type { PeerKey } from "./peer_key.ts";
import { commonTlsOptions, getServerPskCallback } from "./peer_tls.ts";

export type PeerHandler<K extends PeerCallKind> = (
  request: PeerRequest<K>,
) => ResultAsync<PeerReply<K>, SystemError> | Result<PeerReply<K>, SystemError>;

/** Handlers by kind of call; an instance has handlers for its role only. */
export type PeerHandlers = { [K in PeerCallKind]?: PeerHandler<K> };

export interface PeerServer {
  readonly port: number;
  close(): Promise<void>;
}

export interface PeerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly keys: readonly PeerKey[];
  readonly handlers: PeerHandlers;
  readonly logger: Logger;
}

/** Limit of unsent bytes on a slow connection, beyond which it is closed. */
const maxUnsentBytes = 64 * 1024 * 1024;

export function startPeerServer(
  options: PeerServerOptions,
): ResultAsync<PeerServer, SystemError> {
  const { handlers, logger } = options;
  const sockets = new Set<tls.TLSSocket>();
  const server = tls.createServer({
    ...commonTlsOptions,
    pskCallback: getServerPskCallback(options.keys),
    handshakeTimeout: 5_000,
  }, handleConnection);
  server.on("tlsClientError", (cause) => {
    logger.log(logEvents.peerRejected, { reason: getErrorMessage(cause) });
  });

  return ResultAsync.fromPromise(
    new Promise<PeerServer>((resolve, reject) => {
      server.once("error", reject);
      server.listen(options.port, options.host, () => {
        server.off("error", reject);
        server.on("error", (cause) => {
          logger.log(logEvents.unexpectedError, {
            reason: getErrorMessage(cause),
          });
        });
        const address = server.address();
        const port = typeof address === "object" ? address?.port ?? 0 : 0;
        resolve({ port, close });
      });
    }),
    (cause) => createError(ErrorKind.InvalidSettings, getErrorMessage(cause)),
  );

  function close(): Promise<void> {
    return new Promise((resolve) => {
      server.close(() => resolve());
      for (const socket of sockets) socket.destroy();
    });
  }

  function handleConnection(socket: tls.TLSSocket): void {
    sockets.add(socket);
    socket.setNoDelay(true);
    const decoder = createFrameDecoder();
    let mayCompress = false;
    socket.write(encodeFrame(helloFrame)._unsafeUnwrap());
    socket.on("close", () => sockets.delete(socket));
    socket.on("error", () => socket.destroy());
    socket.on("data", (chunk: Buffer) => {
      const decoded = decoder.push(chunk);
      if (decoded.isErr()) {
        logger.log(logEvents.peerRejected, { reason: decoded.error.message });
        socket.destroy();
        return;
      }
      for (const value of decoded.value) {
        if (isHello(value)) mayCompress = true;
        else void handleRequest(socket, value, { mayCompress });
      }
    });
  }

  async function handleRequest(
    socket: tls.TLSSocket,
    value: unknown,
    frameOptions: FrameOptions,
  ): Promise<void> {
    const envelope = value as { callId?: unknown; kind?: unknown } | null;
    const callId = envelope?.callId;
    if (typeof callId !== "number") {
      socket.destroy();
      return;
    }
    const reply = await handle(envelope?.kind, value);
    if (socket.destroyed) return;
    if (socket.writableLength > maxUnsentBytes) {
      socket.destroy();
      return;
    }
    const body = reply.isOk()
      ? { callId, reply: reply.value }
      : { callId, error: toErrorRecord(reply.error) };
    const frame = encodeFrame(body, frameOptions).orElse((error) =>
      encodeFrame({ callId, error: toErrorRecord(error) })
    );
    if (frame.isOk()) socket.write(frame.value);
  }

  async function handle(
    kind: unknown,
    value: unknown,
  ): Promise<Result<unknown, SystemError>> {
    try {
      return await handleKind(kind, (value as { body?: unknown }).body);
    } catch (cause) {
      logger.log(logEvents.unexpectedError, { reason: getErrorMessage(cause) });
      return err(createError(ErrorKind.Internal, getErrorMessage(cause)));
    }
  }

  async function handleKind(
    kind: unknown,
    body: unknown,
  ): Promise<Result<unknown, SystemError>> {
    if (isPeerCallKind(kind)) return await handleCall(kind, body);
    return err(createError(ErrorKind.ProtocolError, "unknown call kind"));
  }

  async function handleCall<K extends PeerCallKind>(
    kind: K,
    body: unknown,
  ): Promise<Result<unknown, SystemError>> {
    const handler: PeerHandler<K> | undefined = handlers[kind];
    if (!handler) {
      const message = `${kind} is not served by this instance`;
      return err(createError(ErrorKind.ProtocolError, message));
    }
    const parsed = peerCalls[kind].request.safeParse(body);
    if (!parsed.success) {
      const message = `malformed ${kind}: ${parsed.error.message}`;
      return err(createError(ErrorKind.ProtocolError, message));
    }
    return await handler(parsed.data as PeerRequest<K>);
  }
}

function isPeerCallKind(kind: unknown): kind is PeerCallKind {
  return (Object.values(PeerCallKind) as unknown[]).includes(kind);
}
