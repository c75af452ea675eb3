/**
 * Tests of the peer client and the peer server over real TLS connections.
 */
import { Buffer } from "node:buffer";
import type { AddressInfo } from "node:net";
import { Duplex } from "node:stream";
import {
  connect as connectTls,
  type ConnectionOptions,
  createServer as createTlsServer,
} from "node:tls";
import { ok, okAsync } from "neverthrow";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createSilentLogger } from "../core/logger.ts";
import { InstanceState } from "../core/types.ts";
import { createFrameDecoder, encodeFrame, isHello } from "./frame_codec.ts";
import { type Heartbeat, PeerCallKind } from "./messages.ts";
import { createPeerClient, type PeerClient } from "./peer_client.ts";
import {
  type PeerHandlers,
  type PeerServer,
  startPeerServer,
} from "./peer_server.ts";
import {
  commonTlsOptions,
  getClientPskCallback,
  getServerPskCallback,
} from "./peer_tls.ts";

const keys = [{ keyId: "k", keyHex: "ab".repeat(16) }];
const logger = createSilentLogger();
const heartbeat: Heartbeat = {
  instanceId: "a",
  domainId: "d",
  host: "h",
  peerPort: 1,
  state: InstanceState.Live,
  incarnation: 1,
  revision: 0,
};

describe("peer connections", () => {
  let server: PeerServer;
  let client: PeerClient;
  let lost: string[] = [];
  beforeEach(async () => {
    lost = [];
    server = (await startPeerServer({
      host: "127.0.0.1",
      port: 0,
      keys,
      logger,
      handlers: {
        // The tests do not call the other kinds.
        ...({} as PeerHandlers),
        [PeerCallKind.Heartbeat]: (value) => ok(value),
        [PeerCallKind.CopyBatch]: () => ok({ results: [] }),
        [PeerCallKind.ReadAnswer]: () => {
          throw new Error("handler failed");
        },
        [PeerCallKind.TakeOver]: () => okAsync({ isHeld: false, ownerId: "" }),
        [PeerCallKind.Propose]: () =>
          okAsync({ isLeader: false, leaderId: "", result: undefined }),
      },
    }))._unsafeUnwrap();
    client = createPeerClient({
      keys,
      logger,
      getAddress: () => ({ host: "127.0.0.1", port: server.port }),
      onConnectionLost: (instanceId) => lost.push(instanceId),
    });
  });
  afterEach(async () => {
    client.close();
    await server.close();
  });

  function sendHeartbeat(timeoutMs: number) {
    return client.call("b", PeerCallKind.Heartbeat, {
      body: heartbeat,
      timeoutMs,
    });
  }

  it("guards against a timeout of a reply that arrived while this process was paused", async () => {
    await sendHeartbeat(1_000);
    const reply = sendHeartbeat(50);
    // Sends the request, and then blocks the event loop like a SIGSTOP.
    await new Promise((resolve) => setImmediate(resolve));
    const untilMs = performance.now() + 600;
    while (performance.now() < untilMs);
    expect((await reply).isOk()).toBe(true);
  });

  // Guards against calls that wait for a lost opening packet to be sent again.
  it("reaches a peer whose first opening packet was lost", async () => {
    let attemptCount = 0;
    const other = createPeerClient({
      keys,
      logger,
      getAddress: () => ({ host: "127.0.0.1", port: server.port }),
      connect: ((options: ConnectionOptions) => {
        attemptCount += 1;
        if (attemptCount > 1) return connectTls(options);
        const unanswered = new Duplex({ read() {}, write() {} });
        return connectTls({ ...options, socket: unanswered });
      }) as typeof connectTls,
      onConnectionLost: () => {},
    });
    // Operators and candidates wait no longer than this.
    const reply = await other.call("b", PeerCallKind.Heartbeat, {
      body: heartbeat,
      timeoutMs: 1_000,
    });
    other.close();
    expect(reply.isOk()).toBe(true);
    expect(attemptCount).toBe(2);
  });

  it("opens a new connection after one was dropped on purpose", async () => {
    await sendHeartbeat(1_000);
    client.dropConnection("b");
    expect((await sendHeartbeat(1_000)).isOk()).toBe(true);
    expect(lost).toEqual([]);
  });

  it("keeps serving after malformed frames and handlers that throw", async () => {
    const frames = [
      null,
      7,
      [],
      { callId: "x", kind: "heartbeat" },
      { callId: 1 },
      { callId: 1, kind: "constructor", body: {} },
      { callId: 1, kind: "heartbeat", body: { instanceId: 5 } },
      { callId: 1, kind: "copyBatch", body: { updates: [{}] } },
      { callId: NaN, kind: "takeOver", body: null },
    ].map((value) => encodeFrame(value)._unsafeUnwrap());
    for (const frame of [...frames, Buffer.from("GET / HTTP/1.1\r\n\r\n")]) {
      const socket = connectEarlierBuild();
      socket.on("error", () => {});
      await new Promise<void>((resolve) => {
        socket.once("secureConnect", () => socket.write(frame));
        const decoder = createFrameDecoder();
        socket.on("data", (chunk: Buffer) => {
          const values = decoder.push(chunk)._unsafeUnwrap();
          if (!values.every(isHello)) resolve();
        });
        socket.once("close", () => resolve());
      });
      socket.destroy();
    }
    const failed = await client.call("b", PeerCallKind.ReadAnswer, {
      body: { answerId: "x", customerId: "c", fromPosition: 0, waitMs: 0 },
      timeoutMs: 1_000,
    });
    expect(failed.isErr()).toBe(true);
    expect((await sendHeartbeat(1_000)).isOk()).toBe(true);
  });

  /** A connection of an instance of an earlier build, which sends no hello. */
  function connectEarlierBuild() {
    return connectTls({
      ...commonTlsOptions,
      port: server.port,
      host: "127.0.0.1",
      pskCallback: getClientPskCallback(keys),
      checkServerIdentity: () => undefined,
    });
  }

  const largeHeartbeat = {
    ...heartbeat,
    controlIds: Array.from({ length: 100 }, () => "c".repeat(200)),
  };

  it("compresses large frames in both directions after the hello", async () => {
    await sendHeartbeat(1_000);
    const before = client.getTraffic();
    const reply = await client.call("b", PeerCallKind.Heartbeat, {
      body: largeHeartbeat,
      timeoutMs: 1_000,
    });
    expect(reply._unsafeUnwrap()).toEqual(largeHeartbeat);
    const after = client.getTraffic();
    expect(after.sentBytes - before.sentBytes).toBeLessThan(2_000);
    expect(after.receivedBytes - before.receivedBytes).toBeLessThan(2_000);
  });

  it("sends plain frames to a client of an earlier build", async () => {
    const socket = connectEarlierBuild();
    const request = { callId: 1, kind: "heartbeat", body: largeHeartbeat };
    socket.write(encodeFrame(request)._unsafeUnwrap());
    let received = Buffer.alloc(0);
    const decoder = createFrameDecoder();
    const reply = await new Promise((resolve) => {
      socket.on("data", (chunk: Buffer) => {
        received = Buffer.concat([received, chunk]);
        const values = decoder.push(chunk)._unsafeUnwrap();
        const value = values.find((entry) => !isHello(entry));
        if (value) resolve(value);
      });
    });
    socket.destroy();
    expect(reply).toEqual({ callId: 1, reply: largeHeartbeat });
    expect(received.length).toBeGreaterThan(20_000);
  });

  it("sends plain frames to a server of an earlier build", async () => {
    let receivedBytes = 0;
    const earlier = createTlsServer({
      ...commonTlsOptions,
      pskCallback: getServerPskCallback(keys),
    }, (socket) => {
      const decoder = createFrameDecoder();
      socket.on("error", () => {});
      socket.on("data", (chunk: Buffer) => {
        receivedBytes += chunk.length;
        for (const value of decoder.push(chunk)._unsafeUnwrap()) {
          const { callId, kind, body } = value as Record<string, unknown>;
          const reply = kind === "heartbeat"
            ? { callId, reply: body }
            : { callId, error: { kind: "protocolError", message: "unknown" } };
          socket.write(encodeFrame(reply)._unsafeUnwrap());
        }
      });
    });
    await new Promise<void>((done) => earlier.listen(0, "127.0.0.1", done));
    const { port } = earlier.address() as AddressInfo;
    const newer = createPeerClient({
      keys,
      logger,
      getAddress: () => ({ host: "127.0.0.1", port }),
      onConnectionLost: () => {},
    });
    for (let count = 0; count < 2; count++) {
      const reply = await newer.call("b", PeerCallKind.Heartbeat, {
        body: largeHeartbeat,
        timeoutMs: 1_000,
      });
      expect(reply._unsafeUnwrap()).toEqual(largeHeartbeat);
    }
    expect(receivedBytes).toBeGreaterThan(40_000);
    newer.close();
    await new Promise((done) => earlier.close(done));
  });
});
