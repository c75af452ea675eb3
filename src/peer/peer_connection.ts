/**
 * A connection to another instance. While it is not established, further
 * attempts are started beside the first one, and the first that succeeds is
 * used: on a link that loses packets, the retransmission of a lost opening
 * packet takes a second or more. A peer that accepted an attempt and is slow
 * is not asked for another one until that time has passed.
 *
 * Frames are held until then. Those that nobody waits for any more are dropped,
 * so that a peer that comes back is not sent outdated requests.
 */
import type { Buffer } from "node:buffer";
import tls from "node:tls";
import { encodeFrame, helloFrame } from "./frame_codec.ts";
import type { PeerAddress } from "./peer_client.ts";
import type { PeerKey } from "./peer_key.ts";
import { commonTlsOptions, getClientPskCallback } from "./peer_tls.ts";

export interface PeerConnection {
  readonly address: PeerAddress;
  isEstablished(): boolean;
  /** Sends the frame, once established only if it is still wanted then. */
  send(frame: Buffer, isWanted: () => boolean): void;
  getUnsentBytes(): number;
  /** Bytes of all attempts. */
  getTraffic(): { readonly sentBytes: number; readonly receivedBytes: number };
  destroy(): void;
}

export interface PeerConnectionOptions {
  readonly address: PeerAddress;
  readonly keys: readonly PeerKey[];
  readonly connect?: typeof tls.connect;
  onEstablished(): void;
  onData(chunk: Buffer): void;
  onError(cause: Error): void;
  /** Called once, after the last attempt or the connection has ended. */
  onClosed(wasEstablished: boolean): void;
}

/**
 * Times of further attempts while no opening packet was answered; a round trip
 * takes a few milliseconds.
 */
const unansweredAttemptsAtMs = [250, 600, 1_800, 2_400];
/** Time of one more attempt, for handshakes that have stopped midway. */
const secondHandshakeAtMs = 1_200;
/** Covers two retransmissions of a lost opening packet. */
const connectTimeoutMs = 3_000;

interface HeldFrame {
  readonly frame: Buffer;
  readonly isWanted: () => boolean;
}

export function createPeerConnection(
  options: PeerConnectionOptions,
): PeerConnection {
  const attempts = new Set<tls.TLSSocket>();
  const closedTraffic = { sentBytes: 0, receivedBytes: 0 };
  let established: tls.TLSSocket | undefined;
  let wasEstablished = false;
  let isClosed = false;
  let isAnswered = false;
  let heldFrames: HeldFrame[] = [];
  let heldBytes = 0;
  const timers = [
    ...unansweredAttemptsAtMs.map((delayMs) =>
      setTimeout(() => isAnswered || start(), delayMs)
    ),
    setTimeout(start, secondHandshakeAtMs),
    setTimeout(destroy, connectTimeoutMs),
  ];
  start();
  return {
    address: options.address,
    isEstablished: () => established !== undefined,
    send,
    getUnsentBytes: () => established?.writableLength ?? heldBytes,
    getTraffic,
    destroy,
  };

  function start(): void {
    const { host, port } = options.address;
    const socket = (options.connect ?? tls.connect)({
      ...commonTlsOptions,
      host,
      port,
      pskCallback: getClientPskCallback(options.keys),
      // The pre-shared key authenticates the server, which has no certificate.
      checkServerIdentity: () => undefined,
    });
    attempts.add(socket);
    socket.setNoDelay(true);
    socket.on("connect", () => isAnswered = true);
    socket.on("secureConnect", () => handleEstablished(socket));
    socket.on("data", (chunk) => {
      if (socket === established) options.onData(chunk);
    });
    socket.on("error", (cause) => {
      if (!isClosed) options.onError(cause);
    });
    socket.on("close", () => handleClose(socket));
  }

  function handleEstablished(socket: tls.TLSSocket): void {
    if (established || isClosed) return;
    established = socket;
    wasEstablished = true;
    clearTimers();
    for (const other of attempts) if (other !== socket) other.destroy();
    socket.write(encodeFrame(helloFrame)._unsafeUnwrap());
    const frames = heldFrames;
    heldFrames = [];
    heldBytes = 0;
    options.onEstablished();
    for (const { frame, isWanted } of frames) {
      if (isWanted()) socket.write(frame);
    }
  }

  function handleClose(socket: tls.TLSSocket): void {
    attempts.delete(socket);
    closedTraffic.sentBytes += socket.bytesWritten;
    closedTraffic.receivedBytes += socket.bytesRead;
    // An attempt that fails before the others start shows that nobody listens.
    if (isClosed || (established ? socket !== established : attempts.size)) {
      return;
    }
    end();
  }

  function end(): void {
    if (isClosed) return;
    isClosed = true;
    established = undefined;
    heldFrames = [];
    heldBytes = 0;
    clearTimers();
    options.onClosed(wasEstablished);
  }

  function send(frame: Buffer, isWanted: () => boolean): void {
    if (isClosed) return;
    if (established) {
      established.write(frame);
      return;
    }
    heldFrames = heldFrames.filter((held) => held.isWanted());
    heldFrames.push({ frame, isWanted });
    heldBytes = heldFrames.reduce((sum, held) => sum + held.frame.length, 0);
  }

  function getTraffic() {
    let { sentBytes, receivedBytes } = closedTraffic;
    for (const { bytesWritten, bytesRead } of attempts) {
      sentBytes += bytesWritten;
      receivedBytes += bytesRead;
    }
    return { sentBytes, receivedBytes };
  }

  function destroy(): void {
    end();
    for (const socket of attempts) socket.destroy();
  }

  function clearTimers(): void {
    for (const timer of timers) clearTimeout(timer);
  }
}
