import { Buffer } from "node:buffer";
import { expect, test } from "vitest";
import { createRandom } from "../core/random.ts";
import { meterDomainTraffic } from "./domain_metering.ts";
import type {
  ExchangeHandlers,
  UpstreamConnections,
} from "./upstream_connections.ts";
import { createUpstreamDirectory } from "./upstream_directory.ts";

test("bytes and prompt tokens are recorded once, also of an exchange that is cancelled", () => {
  let sent: ExchangeHandlers | undefined;
  const connections: UpstreamConnections = {
    send: (_, handlers) => {
      sent = handlers;
      return { cancel: () => {}, pause: () => {}, resume: () => {} };
    },
    isListening: () => Promise.resolve(true),
    closeIdle: () => {},
    getOpenedCount: () => 0,
    close: () => {},
  };
  const recorded: unknown[] = [];
  const metered = meterDomainTraffic({
    connections,
    directory: createUpstreamDirectory({
      clock: { nowMs: () => 0, wallMs: () => 0 } as never,
      logger: { log: () => {} } as never,
      random: createRandom(1),
      onUpstreamLost: () => {},
      canRouteToCandidates: () => true,
    }),
  }, {
    recordAttempt: (...attempt) => void recorded.push(attempt),
    recordPromptTokens: (...tokens) => void recorded.push(tokens),
    recordBytes: (...bytes) => void recorded.push(bytes),
  });
  metered.directory.update([{
    upstreamId: "u",
    service: "s",
    host: "h",
    port: 1,
    domainId: "b",
    version: "v1",
    maxRunning: 6,
    isLeaving: false,
    isCold: false,
    versionShare: 1,
  }]);
  const load = metered.directory.trackRequest("u");
  load.addUncachedTokens(8_200);
  expect(metered.directory.get("u")?.unreadTokens).toBe(8_200);
  load.release();
  expect(metered.directory.get("u")).toMatchObject({
    unreadTokens: 0,
    inFlightCount: 0,
  });
  const send = () =>
    metered.connections.send({
      host: "h",
      port: 1,
      method: "POST",
      path: "/",
      headers: [],
      body: Buffer.alloc(100),
      mayReuseConnection: false,
    }, {
      onHead: () => {},
      onData: () => {},
      onEnd: () => {},
      onFailure: () => {},
    });
  send();
  sent!.onData(Buffer.alloc(20));
  sent!.onEnd();
  const cancelled = send();
  sent!.onData(Buffer.alloc(5));
  cancelled.cancel();
  cancelled.cancel();
  expect(recorded).toEqual([
    ["s", "b"],
    ["s", 8_200],
    ["s", "b", 120],
    ["s", "b", 105],
  ]);
});
