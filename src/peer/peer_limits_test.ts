/**
 * Guards against connections without the key that keep peers out, and against
 * limits that cut off peers inside them.
 */
import { Buffer } from "node:buffer";
import { once } from "node:events";
import net from "node:net";
import { Duplex } from "node:stream";
import { ok } from "neverthrow";
import { afterEach, expect, test, vi } from "vitest";
import {
  CallerLimit,
  callerLimitsSchema,
  getMaxPeerBytes,
} from "../core/caller_limits.ts";
import { createSilentLogger } from "../core/logger.ts";
import { InstanceState } from "../core/types.ts";
import { PeerCallKind } from "./messages.ts";
import { createPeerClient } from "./peer_client.ts";
import { createPeerGuard, type PeerFlow } from "./peer_limits.ts";
import { startPeerServer } from "./peer_server.ts";

const keys = [{ keyId: "k", keyHex: "ab".repeat(16) }];
const logger = createSilentLogger();
const host = "127.0.0.1";

test("a silent connection gives way to a peer, which is not displaced", async () => {
  const reached: CallerLimit[] = [];
  const server = (await startPeerServer({
    host,
    port: 0,
    keys,
    logger,
    limits: callerLimitsSchema.parse({ maxPeerConnections: 2 }),
    recordLimit: (limit) => reached.push(limit),
    handlers: { [PeerCallKind.Heartbeat]: (heartbeat) => ok(heartbeat) },
  }))._unsafeUnwrap();
  const { port } = server;
  const lost: string[] = [];
  const client = createPeerClient({
    keys,
    logger,
    getAddress: () => ({ host, port }),
    onConnectionLost: (instanceId) => lost.push(instanceId),
  });
  const sockets: net.Socket[] = [];
  const connect = async () => {
    const socket = net.connect(port, host);
    socket.on("error", () => {});
    sockets.push(socket);
    await once(socket, "connect");
    return socket;
  };
  const send = () =>
    client.call("b", PeerCallKind.Heartbeat, {
      body: {
        instanceId: "a",
        domainId: "d",
        host: "h",
        peerPort: 1,
        state: InstanceState.Live,
        incarnation: 1,
        revision: 0,
      },
      timeoutMs: 5_000,
    });
  const first = await connect();
  await connect();
  const closed = once(first, "close");
  first.resume();
  expect((await send()).isOk()).toBe(true);
  await closed;
  await connect();
  await connect();
  expect((await send()).isOk()).toBe(true);
  expect(lost).toEqual([]);
  expect(new Set(reached)).toEqual(new Set([CallerLimit.PeerConnections]));
  client.close();
  for (const socket of sockets) socket.destroy();
  await server.close();
});

afterEach(() => void vi.useRealTimers());

const mib = 1024 * 1024;
const heartbeat = { kind: PeerCallKind.Heartbeat };
const propose = { kind: PeerCallKind.Propose };

function createGuard(limits: Record<string, number> = {}) {
  const reached: CallerLimit[] = [];
  const guard = createPeerGuard({
    limits: callerLimitsSchema.parse({ maxPeerBytes: 8 * mib, ...limits }),
    record: (limit) => reached.push(limit),
  });
  return { guard, reached, connect };

  /** A peer that takes a write only when the test does. */
  function connect(
    handle: (value: unknown, flow: PeerFlow) => Promise<void> = async () => {},
  ) {
    const writes: { readonly size: number; readonly take: () => void }[] = [];
    const socket = new Duplex({
      read: () => {},
      write: (chunk: Buffer, _encoding, take) => {
        writes.push({ size: chunk.length, take });
      },
    });
    const received: unknown[] = [];
    const started: unknown[] = [];
    const flow = guard.open(socket as net.Socket, {
      takeNext: () => received.splice(0, 1),
      getPendingBytes: () => 0,
      getTakenBytes: () => 100,
      handle: (value) => {
        started.push(value);
        return handle(value, flow);
      },
    });
    const receive = (...values: unknown[]) => {
      received.push(...values);
      flow.handleReceived();
    };
    return { socket, flow, writes, started, receive };
  }
}

test("calls wait while replies fill half of the room, except heartbeats", async () => {
  const { guard, reached, connect } = createGuard();
  const slow = connect();
  const other = connect();
  for (let count = 0; count < 5; count++) slow.flow.send(Buffer.alloc(mib));
  other.receive(propose, heartbeat);
  expect(other.started).toEqual([heartbeat]);
  for (let write = slow.writes.shift(); write; write = slow.writes.shift()) {
    write.take();
    await new Promise(setImmediate);
  }
  await expect.poll(() => other.started).toEqual([heartbeat, propose]);
  expect(reached).toEqual([]);
  guard.close();
});

test("a large unsent reply does not stop a heartbeat", () => {
  const { guard, connect } = createGuard();
  const { flow, receive, started } = connect();
  flow.send(Buffer.alloc(3 * mib));
  receive(heartbeat);
  expect(started).toEqual([heartbeat]);
  guard.close();
});

test("a heartbeat passes calls that wait for open ones", () => {
  const { guard, connect } = createGuard();
  const { receive, started } = connect(() => new Promise(() => {}));
  const calls = Array.from({ length: 257 }, () => propose);
  receive(...calls, heartbeat);
  expect(started).toHaveLength(257);
  expect(started.at(-1)).toBe(heartbeat);
  guard.close();
});

test("no further call of a connection is started after it was closed", () => {
  const { guard, reached, connect } = createGuard();
  const { socket, receive, started } = connect((_value, flow) => {
    flow.send(Buffer.alloc(9 * mib));
    return Promise.resolve();
  });
  receive(propose, propose, heartbeat);
  expect(socket.destroyed).toBe(true);
  expect(started).toEqual([propose]);
  expect(reached).toEqual([CallerLimit.PeerBytes]);
  guard.close();
});

test("a peer that takes a large reply slowly is not closed, a stopped one is", async () => {
  vi.useFakeTimers();
  const { guard, reached, connect } = createGuard({ unreadTimeoutMs: 2_000 });
  const { socket, flow, writes } = connect();
  flow.send(Buffer.alloc(mib));
  for (let count = 0; count < 4; count++) {
    await vi.advanceTimersByTimeAsync(1_500);
    expect(writes).toHaveLength(1);
    expect(writes[0]!.size).toBe(65_536);
    writes.shift()!.take();
  }
  expect(socket.destroyed).toBe(false);
  await vi.advanceTimersByTimeAsync(4_000);
  expect(socket.destroyed).toBe(true);
  expect(reached).toEqual([CallerLimit.UnreadTime]);
  guard.close();
});

test("the room for peers follows the memory, and holds the largest frames", () => {
  const read = (value: unknown) => callerLimitsSchema.safeParse(value).success;
  expect(getMaxPeerBytes(callerLimitsSchema.parse({})))
    .toBeGreaterThanOrEqual(16 * mib);
  expect(read({ maxPeerBytes: 8 * mib - 1 })).toBe(false);
  expect(read({ maxPeerBytes: 8 * mib })).toBe(true);
});
