/** Guards against connections without the key that keep peers out. */
import { once } from "node:events";
import net from "node:net";
import { ok } from "neverthrow";
import { expect, test } from "vitest";
import { CallerLimit, callerLimitsSchema } from "../core/caller_limits.ts";
import { createSilentLogger } from "../core/logger.ts";
import { InstanceState } from "../core/types.ts";
import { PeerCallKind } from "./messages.ts";
import { createPeerClient } from "./peer_client.ts";
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
