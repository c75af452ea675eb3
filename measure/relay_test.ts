import { createServer, type Server } from "node:net";
import net from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import { type Relay, startRelay } from "./relay.ts";

const closing: (() => void)[] = [];

afterEach(() => {
  for (const close of closing.splice(0)) close();
});

/** A server that sends what it is told, and a caller behind the relay. */
async function connect(): Promise<
  { relay: Relay; send(text: string): void; getReceived(): string }
> {
  const sockets: net.Socket[] = [];
  const server: Server = createServer((socket) => sockets.push(socket));
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const relay = await startRelay((server.address() as net.AddressInfo).port);
  const caller = net.connect({ host: "127.0.0.1", port: relay.port });
  let received = "";
  caller.on("data", (chunk) => received += String(chunk));
  caller.on("error", () => {});
  closing.push(() => {
    caller.destroy();
    relay.close();
    server.close();
  });
  while (sockets.length === 0) await sleep(5);
  return {
    relay,
    send: (text) => sockets[0]!.write(text),
    getReceived: () => received,
  };
}

test("bytes stay in order when a slow link heals", async () => {
  const { relay, send, getReceived } = await connect();
  relay.setFault({ kind: "slow", delayMs: 150 });
  send("a");
  await sleep(30);
  relay.setFault({ kind: "none" });
  send("b");
  await sleep(300);
  expect(getReceived()).toBe("ab");
});

test("bytes that were held by a cut arrive after it, in order", async () => {
  const { relay, send, getReceived } = await connect();
  relay.setCut(true);
  send("a");
  await sleep(30);
  send("b");
  await sleep(30);
  expect(getReceived()).toBe("");
  relay.setCut(false);
  send("c");
  await sleep(50);
  expect(getReceived()).toBe("abc");
});

test("a connection that lost bytes carries nothing any more", async () => {
  const { relay, send, getReceived } = await connect();
  relay.setFault({ kind: "silent", direction: "toCaller" });
  send("a");
  await sleep(30);
  relay.setFault({ kind: "none" });
  send("b");
  await sleep(50);
  expect(getReceived()).toBe("");
});
