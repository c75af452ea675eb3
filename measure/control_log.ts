/**
 * Measures the control log on three local processes: commit latency, proposals
 * per second, and the time without a leader after the leader is killed. Claims
 * are proposed to the leader over a peer connection, as entry instances do.
 */
import { randomBytes } from "node:crypto";
import process from "node:process";
import {
  type Command,
  CommandKind,
  OutcomeKind,
} from "../src/control/commands.ts";
import { createControlClient } from "../src/control/control_client.ts";
import { createSystemClock } from "../src/core/clock.ts";
import { createSilentLogger } from "../src/core/logger.ts";
import { PeerCallKind } from "../src/peer/messages.ts";
import { createPeerClient } from "../src/peer/peer_client.ts";
import type { PeerKey } from "../src/peer/peer_key.ts";
import { type Cluster, startCluster } from "./launcher.ts";
import { getPercentile } from "./statistics.ts";

const domainIds = ["andina-a", "andina-b", "andina-c"];
const measuredMs = 5_000;
const warmUpMs = 1_000;
const leaderKillCount = 8;
const proposeTimeoutMs = 20_000;

let keys: readonly PeerKey[] = [];
const cluster: Cluster = await startCluster({
  domainIds,
  instancesPerDomain: 1,
  enginesPerDomain: 0,
  workersPerDomain: 0,
  seed: 1,
  changeSettings: (settings) => {
    keys = (settings["peers"] as { keys: PeerKey[] }).keys;
  },
});
await cluster.waitUntilReady();
const clock = createSystemClock();
const peers = createPeerClient({
  keys,
  logger: createSilentLogger(),
  getAddress: (instanceId) => {
    const instance = cluster.instances.find((entry) =>
      entry.instanceId === instanceId
    );
    return instance && { host: "127.0.0.1", port: instance.peerPort };
  },
  onConnectionLost: () => {},
});
const control = createControlClient({
  clock,
  peers,
  selfId: "measure",
  listControlIds: () => domainIds.map((id) => `${id}-0`),
  log: undefined,
});

await claim();
for (const concurrency of [1, 16, 128]) {
  await load(concurrency, warmUpMs);
  const latenciesMs = await load(concurrency, measuredMs);
  print({
    concurrency,
    proposalsPerS: Math.round(latenciesMs.length / measuredMs * 1_000),
    p50Ms: round(getPercentile(latenciesMs, 0.5)),
    p99Ms: round(getPercentile(latenciesMs, 0.99)),
  });
}

const gapsMs: number[] = [];
for (let count = 0; count < leaderKillCount; count++) {
  const leader = await findLeader();
  leader.process.kill("SIGKILL");
  const killedAtMs = clock.nowMs();
  await claim();
  gapsMs.push(clock.nowMs() - killedAtMs);
  cluster.startInstance(leader.instanceId);
  await cluster.waitUntilReady();
  await clock.sleep(1_000);
}
print({
  leaderKills: leaderKillCount,
  unavailableP50Ms: Math.round(getPercentile(gapsMs, 0.5)),
  unavailableMaxMs: Math.round(getPercentile(gapsMs, 1)),
});
peers.close();
await cluster.stop();
process.exit(0);

async function load(
  concurrency: number,
  durationMs: number,
): Promise<number[]> {
  const latenciesMs: number[] = [];
  const endMs = clock.nowMs() + durationMs;
  await Promise.all(Array.from({ length: concurrency }, async () => {
    while (clock.nowMs() < endMs) {
      const startedAtMs = clock.nowMs();
      await claim();
      latenciesMs.push(clock.nowMs() - startedAtMs);
    }
  }));
  return latenciesMs;
}

async function claim(): Promise<void> {
  const id = randomBytes(16).toString("hex");
  const result = await control.propose({
    kind: CommandKind.Claim,
    key: { customerId: "bench-a", service: "s", idempotencyKey: id },
    bodySha256: "0".repeat(64),
    claimId: id,
    atWallMs: clock.wallMs(),
  }, proposeTimeoutMs);
  if (result.isErr()) throw new Error(result.error.message);
}

/** Proposes to each instance in turn; returns the one that is the leader. */
async function findLeader() {
  for (;;) {
    for (const instance of cluster.instances) {
      const reply = await peers.call(
        instance.instanceId,
        PeerCallKind.Propose,
        { body: { command: createNoopCommand() }, timeoutMs: 1_000 },
      );
      if (reply.isOk() && reply.value.isLeader) return instance;
    }
    await clock.sleep(50);
  }
}

/** Settles a claim that does not exist, which has no effect. */
function createNoopCommand(): Command {
  return {
    kind: CommandKind.SettleClaim,
    key: { customerId: "bench-a", service: "s", idempotencyKey: "none" },
    claimId: "none",
    outcome: { kind: OutcomeKind.NotRun },
    atWallMs: clock.wallMs(),
  };
}

function round(valueMs: number): number {
  return Math.round(valueMs * 100) / 100;
}

function print(record: Readonly<Record<string, number>>): void {
  process.stdout.write(`${JSON.stringify(record)}\n`);
}
