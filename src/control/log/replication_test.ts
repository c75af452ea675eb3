/** Bytes that a leader sends to a replica that acknowledges nothing. */
import { expect, test } from "vitest";
import { createRandom } from "../../core/random.ts";
import {
  type LogMessage,
  LogMessageKind,
} from "../../peer/control_log_messages.ts";
import { createConsensusOptions } from "../replicated_log.ts";
import { createConsensusState, stepConsensus } from "./consensus.ts";
import { ConsensusEffectKind, ConsensusEventKind } from "./log_types.ts";

const commandBytes = 100 * 1024;
/** A third of a control instance's memory, for four other replicas. */
const limitBytes = (346 * 1024 * 1024) / 3 / 4;

/** A leader of three voters, of which c1 acknowledges everything. */
function createLeader() {
  const random = createRandom(1);
  const state = createConsensusState({
    options: createConsensusOptions({
      founderIds: [],
      listControlIds: () => ["c0", "c1", "c2"],
      voterCount: 3,
      electionTimeoutMs: 600,
      replaceVoterAfterMs: 2_500,
    }),
    selfId: "c0/0",
    stored: {
      durable: { groupId: "g", term: 3, votedFor: "" },
      snapshot: {
        index: 1,
        term: 1,
        configuration: { voters: ["c0/0", "c1/1", "c2/2"], learners: [] },
        data: new Uint8Array(),
      },
      entries: [],
    },
    nowMs: 0,
    random,
  });
  let nowMs = 2_000;
  let proposalId = 1;
  let sentToSilentBytes = 0;
  step({ kind: ConsensusEventKind.Tick });
  const vote = {
    kind: LogMessageKind.VoteReply as const,
    isGranted: true,
    term: 4,
    memberSilences: [],
  };
  receive("c1/1", { ...vote, isPreVote: true });
  receive("c1/1", { ...vote, isPreVote: false });
  return {
    receive,
    getSentToSilentBytes: () => sentToSilentBytes,
    propose: () => {
      const data = new Uint8Array(commandBytes);
      step({ kind: ConsensusEventKind.Propose, proposalId, data });
      proposalId += 1;
    },
    run: (durationMs: number) => {
      for (const endMs = nowMs + durationMs; nowMs < endMs; nowMs += 20) {
        step({ kind: ConsensusEventKind.Tick });
      }
    },
  };

  function step(event: Parameters<typeof stepConsensus>[1]): void {
    const context = { nowMs, random };
    const effects = [
      ...stepConsensus(state, event, context),
      ...stepConsensus(state, { kind: ConsensusEventKind.Flush }, context),
    ];
    for (const effect of effects) {
      if (effect.kind !== ConsensusEffectKind.Send) continue;
      const { toId, message } = effect.envelope;
      if (message.kind !== LogMessageKind.Append) continue;
      const index = message.prevIndex + message.entries.length;
      if (toId === "c1/1") acknowledge("c1/1", index);
      else {
        for (const { data } of message.entries) {
          sentToSilentBytes += data.length;
        }
      }
    }
  }

  function acknowledge(fromId: string, index: number): void {
    const kind = LogMessageKind.AppendReply as const;
    receive(fromId, { kind, term: 4, isMatch: true, index, sentAtMs: nowMs });
  }

  function receive(fromId: string, message: LogMessage): void {
    const envelope = { groupId: "g", fromId, toId: "c0/0", message };
    step({ kind: ConsensusEventKind.Receive, envelope });
  }
}

// Guards against a process that ends at its memory limit while a disk is slow.
test("a leader sends a bounded number of bytes to a voter that stopped", () => {
  const leader = createLeader();
  leader.run(200);
  const kind = LogMessageKind.AppendReply as const;
  leader.receive("c2/2", {
    kind,
    term: 4,
    isMatch: true,
    index: 2,
    sentAtMs: 2_000,
  });
  for (let count = 0; count < 1_000; count++) leader.propose();
  leader.run(2_000);
  expect(leader.getSentToSilentBytes()).toBeGreaterThan(0);
  expect(leader.getSentToSilentBytes()).toBeLessThan(limitBytes);
});

// Guards against a log that is sent again with each heartbeat.
test("a leader sends a bounded number of bytes to a voter that never replied", () => {
  const leader = createLeader();
  for (let count = 0; count < 100; count++) leader.propose();
  leader.run(10_000);
  expect(leader.getSentToSilentBytes()).toBeLessThan(limitBytes);
});
