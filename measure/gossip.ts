/**
 * Gossip for comparison with the relay tree, after "Low Latency Probabilistic
 * Broadcast in Wide Area Networks" (Pereira et al., SRDS 2004). Every instance
 * forwards a new revision once. The first rounds go to instances with short
 * delays and have their own fan-out, later rounds to random instances. Missed
 * revisions are pulled after heartbeats by the production code.
 */
import type { ConfigurationUpdate } from "../src/control/configuration_store.ts";
import type { Random } from "../src/core/random.ts";
import {
  type FakeCluster,
  type FakeNode,
  getFrameBytes,
} from "./fake_cluster.ts";

export interface GossipOptions {
  readonly preferredRounds: number;
  readonly preferredFanout: number;
  readonly fanout: number;
  /**
   * Share of the instances that are preferred, those with the shortest delays.
   */
  readonly preferredShare: number;
}

export function createGossip(
  cluster: FakeCluster,
  options: GossipOptions & {
    readonly random: Random;
    getMeanDelayMs(node: FakeNode): number;
  },
) {
  const { random } = options;
  const instancesByDelay = [...cluster.nodes].sort((left, right) =>
    options.getMeanDelayMs(left) - options.getMeanDelayMs(right)
  );
  const count = Math.max(
    1,
    Math.round(instancesByDelay.length * options.preferredShare),
  );
  const preferredInstances = instancesByDelay.slice(0, count);
  return { forward };

  /** Sends the instance's newest change to the targets of the given round. */
  function forward(node: FakeNode, round: number): void {
    const isPreferred = round < options.preferredRounds;
    const candidates = isPreferred ? preferredInstances : cluster.nodes;
    const fanout = isPreferred ? options.preferredFanout : options.fanout;
    const update = node.core.store.getUpdate(
      node.core.store.getRevision() - 1,
    );
    for (const target of chooseTargets(node, candidates, fanout)) {
      const body = { update, round };
      cluster.send(
        node,
        target,
        getFrameBytes(body),
        () => receive(target, update, round),
      );
    }
  }

  function receive(
    node: FakeNode,
    update: ConfigurationUpdate,
    round: number,
  ): void {
    if (!node.core.store.tryApply(update)) return;
    cluster.executeEffects(node, []);
    forward(node, round + 1);
  }

  function chooseTargets(
    node: FakeNode,
    candidates: readonly FakeNode[],
    fanout: number,
  ): FakeNode[] {
    const reachableCandidates = candidates.filter((candidate) =>
      candidate !== node && cluster.isReachable(node, candidate)
    );
    const targets: FakeNode[] = [];
    while (targets.length < fanout && reachableCandidates.length > 0) {
      const index = random.nextInt(reachableCandidates.length);
      targets.push(reachableCandidates[index]!);
      reachableCandidates[index] = reachableCandidates.at(-1)!;
      reachableCandidates.pop();
    }
    return targets;
  }
}
