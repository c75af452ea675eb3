/**
 * Measures propagation time, messages and bytes per instance by number of
 * instances, for the relay tree and for gossip. One process runs the
 * propagation code of all instances over a fake transport.
 *
 *     npm run build && node dist/measure/propagation.js --seed 1
 */
import process from "node:process";
import { parseArgs } from "node:util";
import {
  applyChanges,
  type Configuration,
  type ConfigurationChanges,
  getEmptyConfiguration,
} from "../src/control/configuration.ts";
import { createRandom } from "../src/core/random.ts";
import { createGossip, type GossipOptions } from "./gossip.ts";
import {
  createFakeCluster,
  type FakeNode,
  getFrameBytes,
} from "./fake_cluster.ts";
import { getPercentile, sum } from "./statistics.ts";

interface PropagationMethod {
  readonly name: string;
  readonly gossip?: GossipOptions;
}

interface Fault {
  readonly name: string;
  readonly lossRatio: number;
  /**
   * Share of the instances that are paused just before a change. The membership
   * reports them as unreachable only after 1.2 s.
   */
  readonly pausedShare: number;
}

const { values } = parseArgs({
  options: {
    seed: { type: "string", default: "1" },
    /** Measures only the faults whose names start with this. */
    fault: { type: "string", default: "" },
  },
});
const seed = Number(values.seed);
const domainCount = 18;
const regionCount = 7;
const changeCount = 10;
const changesPerDay = 7_400;
const customerCount = 1_500;
const targetMs = 4_000;

const methods: readonly PropagationMethod[] = [
  { name: "relay + pull" },
  ...[4, 8].map((fanout) => ({
    name: `gossip f=${fanout}`,
    gossip: {
      preferredRounds: 2,
      preferredFanout: fanout,
      fanout,
      preferredShare: 0.25,
    },
  })),
  {
    name: "gossip f=10/5",
    gossip: {
      preferredRounds: 2,
      preferredFanout: 10,
      fanout: 5,
      preferredShare: 0.25,
    },
  },
];
const faults: readonly Fault[] = [
  { name: "none", lossRatio: 0, pausedShare: 0 },
  { name: "1% lost", lossRatio: 0.01, pausedShare: 0 },
  { name: "5% frozen", lossRatio: 0, pausedShare: 0.05 },
];

printRow([
  "instances",
  "fault",
  "way",
  "p50 ms",
  "p99 ms",
  "max ms",
  "messages per change",
  "bytes per change, mean instance",
  "bytes per change, busiest instance",
  "B/s busiest at 7,400 a day",
  "B/s busiest at 5 changes/s",
]);
for (const fault of faults) {
  if (!fault.name.startsWith(values.fault)) continue;
  for (const instances of [18, 108, 330]) {
    if (fault !== faults[0] && instances !== 330) continue;
    for (const method of methods) measurePropagation(instances, fault, method);
  }
}

function measurePropagation(
  instances: number,
  fault: Fault,
  method: PropagationMethod,
): void {
  const spaced = runChanges(instances, fault, method, 2_500);
  const burst = runChanges(instances, fault, method, 200);
  const timesMs = spaced.timesMs;
  const bytesPerChange = spaced.bytes.map((bytes) => bytes / changeCount);
  const busiest = Math.max(...bytesPerChange);
  printRow([
    instances,
    fault.name,
    method.name,
    ...[0.5, 0.99, 1].map((share) => Math.round(getPercentile(timesMs, share))),
    Math.round(spaced.messages / changeCount),
    Math.round(sum(bytesPerChange) / instances),
    Math.round(busiest),
    Math.round(busiest * changesPerDay / 86_400),
    Math.round(Math.max(...burst.bytes) / burst.durationS),
  ]);
  const late = timesMs.filter((timeMs) => timeMs > targetMs).length;
  if (late + spaced.missing > 0) {
    process.stdout.write(
      `  ${late} later than ${targetMs} ms, ${spaced.missing} not at all\n`,
    );
  }
}

function runChanges(
  instances: number,
  fault: Fault,
  method: PropagationMethod,
  intervalMs: number,
) {
  const random = createRandom(seed);
  const regionDelays = createRegionDelays(random);
  const initial = createInitialConfiguration();
  const cluster = createFakeCluster({
    domainSizes: getDomainSizes(instances),
    random,
    lossRatio: fault.lossRatio,
    heartbeatIntervalMs: 1_000,
    heartbeatPeers: 3,
    hasDisk: (index) => index % 40 === 0,
    getDelayMs: (from, to) => getDelayMs(from, to) * (1 + 0.1 * random.next()),
    initial,
  });
  const leader = cluster.nodes[0]!;
  const gossip = method.gossip && createGossip(cluster, {
    ...method.gossip,
    random,
    getMeanDelayMs: (node) =>
      sum(cluster.nodes.map((other) => getDelayMs(node, other))) / instances,
  });
  if (!gossip) cluster.leaderIds.add(leader.id);
  // Heartbeats inform all instances that all start from the same revision.
  cluster.runUntil(5_000);
  for (const node of cluster.nodes) {
    for (const other of cluster.nodes) {
      if (node === other) continue;
      const seen = { instanceId: other.id, revision: 1 };
      node.core.handle({ kind: "revisionSeen", ...seen }, cluster.nowMs());
    }
    node.sentBytes = node.receivedBytes = node.sentMessages = 0;
  }
  const startedAtMs = cluster.nowMs();
  const timesMs: number[] = [];
  const waiting: { revision: number; atMs: number; nodes: FakeNode[] }[] = [];
  for (let change = 0; change < changeCount; change++) {
    const paused = cluster.nodes.filter((node) =>
      node !== leader && random.next() < fault.pausedShare
    );
    paused.forEach(cluster.crash);
    const live = cluster.nodes.filter((node) => node.isUp);
    const atMs = cluster.nowMs();
    const revision = cluster.commit(leader, createChange(change));
    gossip?.forward(leader, 0);
    waiting.push({ revision, atMs, nodes: live });
    cluster.runUntil(atMs + intervalMs);
    paused.forEach(cluster.unpause);
  }
  const durationS = (cluster.nowMs() - startedAtMs) / 1_000;
  const bytes = cluster.nodes.map((node) =>
    node.sentBytes + node.receivedBytes
  );
  const messages = sum(cluster.nodes.map((node) => node.sentMessages));
  cluster.runUntil(cluster.nowMs() + 10_000);
  let missing = 0;
  for (const { revision, atMs, nodes } of waiting) {
    for (const node of nodes) {
      const later = [...node.appliedAtMs]
        .filter(([applied]) => applied >= revision).map(([, at]) => at);
      if (later.length === 0) missing += 1;
      else timesMs.push(Math.min(...later) - atMs);
    }
  }
  return { timesMs, bytes, messages, durationS, missing };

  function getDelayMs(from: FakeNode, to: FakeNode): number {
    if (from.domainId === to.domainId) return 0.25;
    const fromRegion = getRegion(from);
    const toRegion = getRegion(to);
    return fromRegion === toRegion ? 0.7 : regionDelays[fromRegion]![toRegion]!;
  }
}

function getDomainSizes(instances: number): number[] {
  return Array.from(
    { length: domainCount },
    (_, domain) =>
      Math.floor((instances * (domain + 1)) / domainCount) -
      Math.floor((instances * domain) / domainCount),
  );
}

function getRegion(node: FakeNode): number {
  return Number(node.domainId.slice(1)) % regionCount;
}

/** One-way delays between regions, from 10 to 110 ms. */
function createRegionDelays(random: { next(): number }): number[][] {
  const delays = Array.from(
    { length: regionCount },
    () => new Array<number>(regionCount).fill(0),
  );
  for (let from = 0; from < regionCount; from++) {
    for (let to = 0; to < from; to++) {
      delays[from]![to] = delays[to]![from] = 10 + 100 * random.next();
    }
  }
  return delays;
}

/**
 * A configuration of the planned size. The limits of all customers make up most
 * of its content.
 */
function createInitialConfiguration(): Configuration {
  const limits = Object.fromEntries(
    Array.from({ length: customerCount }, (_, index) => [
      `customer-${index}`,
      { weight: 1, maxOpenAnswers: 100, maxRateTokensPerS: 10_000 },
    ]),
  );
  return applyChanges(getEmptyConfiguration(), { limits }, 1);
}

/** A change that starts a rollout and sets the limits of one customer. */
function createChange(index: number): ConfigurationChanges {
  return {
    versions: {
      "taller-lm": {
        kind: "stable",
        stableVersion: `v${index}`,
        candidateVersion: `v${index + 1}`,
      },
    },
    rollouts: {
      "taller-lm": {
        candidateVersion: `v${index + 1}`,
        targetDate: "2027-02-01T00:00:00Z",
        soakMs: 600_000,
      },
    },
    limits: {
      [`customer-${index}`]: {
        weight: 2,
        maxOpenAnswers: 100,
        maxRateTokensPerS: 10_000,
      },
    },
  };
}

function printRow(cells: readonly unknown[]): void {
  process.stdout.write(`${cells.join(" | ")}\n`);
}

process.stdout.write(
  `whole configuration: ${
    getFrameBytes(createInitialConfiguration())
  } bytes, ` +
    `one change: ${getFrameBytes(createChange(0))} bytes\n`,
);
