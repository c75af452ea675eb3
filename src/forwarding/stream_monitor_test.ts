/**
 * Tests that an engine is not considered lost because of a delay of this
 * process. The load pattern is an instance whose event loop is busy, such as
 * while it applies a large configuration on a fraction of a core.
 */
import { afterEach, expect, test } from "vitest";
import {
  type FakeUpstream,
  type FakeUpstreamHandler,
  startFakeUpstream,
} from "../../measure/forwarding_fakes.ts";
import { createForwardingProtocol } from "../../platform/forwarding_protocol.ts";
import { createSystemClock } from "../core/clock.ts";
import { createSilentLogger } from "../core/logger.ts";
import { createRandom } from "../core/random.ts";
import { createStreamMonitor } from "./stream_monitor.ts";
import { createUpstreamConnections } from "./upstream_connections.ts";
import { createUpstreamDirectory } from "./upstream_directory.ts";

let upstream: FakeUpstream | undefined;

afterEach(async () => await upstream?.close());

function block(durationMs: number): void {
  const untilMs = performance.now() + durationMs;
  while (performance.now() < untilMs);
}

/** Monitors a stream whose last event is old enough for a probe. */
async function monitorSilentStream(answer: FakeUpstreamHandler) {
  upstream = await startFakeUpstream(answer);
  const clock = createSystemClock();
  const logger = createSilentLogger();
  const connections = createUpstreamConnections();
  const directory = createUpstreamDirectory({
    clock,
    logger,
    random: createRandom(1),
    onUpstreamLost: () => {},
    canRouteToCandidates: () => true,
  });
  directory.update([upstream.listed]);
  const monitor = createStreamMonitor({
    clock,
    logger,
    protocol: createForwardingProtocol(),
    connections,
    directory,
  });
  const losses: string[] = [];
  const stream = {
    upstream: directory.listUsable("service")[0]!,
    // Silent for long enough to be probed at the first check, and not yet for 450
    // ms when a test that waits for 190 ms ends late.
    startedAtMs: clock.nowMs() - 225,
    lastEventAtMs: clock.nowMs() - 225,
    isPaused: false,
    firstEventLimitMs: undefined,
    resumedAtMs: -Infinity,
    isLoadAware: () => false,
    onLost: (_cause: unknown, reason: string) => losses.push(reason),
    onSuspected: (reason: string) => losses.push(reason),
    onCheck: () => {},
  };
  monitor.add(stream);
  return {
    directory,
    losses,
    stop: () => {
      monitor.remove(stream);
      connections.close();
    },
  };
}

test("a report that arrived while this process was busy is read before its engine is considered lost", async () => {
  const monitored = await monitorSilentStream((_request, response) => {
    response.writeHead(200, { "Content-Length": 2 });
    response.end("{}");
    // The report is sent; the timeout of the probe ends while it is unread.
    block(140);
  });
  await new Promise((resolve) => setTimeout(resolve, 190));
  monitored.stop();
  expect(monitored.losses).toEqual([]);
});

test("an engine that sends no report is considered lost", async () => {
  const monitored = await monitorSilentStream(() => {});
  await new Promise((resolve) => setTimeout(resolve, 190));
  monitored.stop();
  expect(monitored.losses).toEqual(["no report in 120 ms"]);
});

test("an engine that sends events while its report is delayed is not lost", async () => {
  let markProbed: () => void = () => {};
  const probed = new Promise<void>((resolve) => markProbed = resolve);
  const monitored = await monitorSilentStream(() => markProbed());
  await probed;
  // An event of another stream arrives while the probe is in flight.
  monitored.directory.recordActivity(upstream!.listed.upstreamId);
  await new Promise((resolve) => setTimeout(resolve, 150));
  monitored.stop();
  expect(monitored.losses).toEqual([]);
});
