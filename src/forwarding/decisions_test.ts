import { expect, test } from "vitest";
import { ErrorKind } from "../core/errors.ts";
import type { AttemptOutcome } from "./call_attempt.ts";
import { type CallProgress, decideAfterAttempt } from "./call_decisions.ts";
import {
  type CopyConditions,
  decideCopy,
  isCopyAvailable,
} from "./copy_decisions.ts";
import { createDomainHealth } from "./domain_health.ts";
import { RequestKind } from "./forwarding_table.ts";
import {
  decideAfterLoss,
  decideOnSilence,
  getFirstEventLimitMs,
  type LossState,
  mayLeaveSilentRun,
  SilenceDecision,
  type StreamSilence,
} from "./stream_decisions.ts";

const progress: CallProgress = {
  kind: RequestKind.Safe,
  ranCount: 1,
  notRunCount: 0,
  maxAttempts: 2,
  remainingMs: 500,
  hasBudget: true,
  hasUpstream: true,
  canWait: false,
};
const unknown: AttemptOutcome = { kind: "unknown", reason: "reset" };
const notRun: AttemptOutcome = { kind: "notRun", reason: "full" };

function answered(status: number): AttemptOutcome {
  return {
    kind: "answered",
    status,
    headers: [],
    body: new Uint8Array() as never,
  };
}

test("a safe call is retried only within its attempts, deadline, budget and upstreams", () => {
  const retry = { kind: "retry" };
  expect(decideAfterAttempt(unknown, progress)).toEqual(retry);
  expect(decideAfterAttempt(answered(500), progress)).toEqual(retry);
  for (
    const limit of [
      { ranCount: 2 },
      { remainingMs: 5 },
      { hasBudget: false },
      { hasUpstream: false },
    ]
  ) {
    const limited = { ...progress, ...limit };
    expect(decideAfterAttempt(unknown, limited).kind).toBe("fail");
    // An error response of the upstream is preferred to a local one.
    expect(decideAfterAttempt(answered(500), limited).kind).toBe("relay");
  }
  expect(decideAfterAttempt(answered(404), progress).kind).toBe("relay");
});

test("an unsafe call that may have run is neither retried nor reported as not run", () => {
  const unsafe = { ...progress, kind: RequestKind.Unsafe, maxAttempts: 5 };
  expect(decideAfterAttempt(unknown, unsafe)).toEqual({
    kind: "fail",
    error: ErrorKind.UpstreamFailed,
  });
  expect(decideAfterAttempt(answered(500), unsafe).kind).toBe("relay");
});

test("a refused call is reported as not run only if no attempt may have run", () => {
  const state = { ...progress, hasUpstream: false, notRunCount: 1 };
  expect(decideAfterAttempt(notRun, { ...state, ranCount: 0 })).toEqual({
    kind: "fail",
    error: ErrorKind.NoUpstream,
  });
  expect(decideAfterAttempt(notRun, { ...state, ranCount: 1 })).toEqual({
    kind: "fail",
    error: ErrorKind.UpstreamFailed,
  });
});

const silence: StreamSilence = {
  streamSilentMs: 0,
  engineSilentMs: 0,
  hasEvents: true,
  firstEventLimitMs: undefined,
  isProbing: false,
  processPauseMs: 0,
};

test("a silent engine is probed, and a silent stream counts as lost before its gap misses the target", () => {
  const decide = (change: Partial<StreamSilence>) =>
    decideOnSilence({ ...silence, ...change });
  expect(decide({ streamSilentMs: 180, engineSilentMs: 180 }))
    .toBe(SilenceDecision.Wait);
  expect(decide({ streamSilentMs: 250, engineSilentMs: 250 }))
    .toBe(SilenceDecision.Probe);
  // Activity on other streams shows that the engine is alive.
  expect(decide({ streamSilentMs: 250, engineSilentMs: 20 }))
    .toBe(SilenceDecision.Wait);
  expect(decide({ streamSilentMs: 460, engineSilentMs: 20 }))
    .toBe(SilenceDecision.Suspect);
  expect(
    decide({ streamSilentMs: 460, engineSilentMs: 460, processPauseMs: 300 }),
  )
    .toBe(SilenceDecision.Wait);
  // A prefill takes a second or more, during which there are no events.
  expect(
    decide({ streamSilentMs: 1_500, engineSilentMs: 100, hasEvents: false }),
  )
    .toBe(SilenceDecision.Wait);
});

test("a prompt stays at an engine whose backlog explains its wait", () => {
  // Guards against a storm of repeats after a burst: each prompt that left its
  // engine was read again behind the backlog of another one.
  const decide = (expectedMs: number, streamSilentMs: number) =>
    decideOnSilence({
      ...silence,
      hasEvents: false,
      streamSilentMs,
      firstEventLimitMs: getFirstEventLimitMs({
        expectedMs,
        remainingMs: 25_000,
      }),
    });
  expect(decide(4_000, 9_000)).toBe(SilenceDecision.Wait);
  // An idle engine would have sent the first event long ago.
  expect(decide(1_500, 9_000)).toBe(SilenceDecision.Suspect);
  // Time is left for another engine.
  expect(decide(20_000, 12_600)).toBe(SilenceDecision.Suspect);
});

test("a silent run is left only with attempts to spare, or when its engine is surely lost", () => {
  const silent = {
    remainingMs: 5_000,
    isResumable: true,
    ranCount: 1,
    maxAttempts: 3,
    silentMs: 450,
    isSlowWithoutCopy: false,
  };
  expect(mayLeaveSilentRun(silent)).toBe(true);
  // Reading a prompt again takes longer than an engine's slow half second.
  expect(mayLeaveSilentRun({ ...silent, isSlowWithoutCopy: true })).toBe(false);
  expect(
    mayLeaveSilentRun({ ...silent, isSlowWithoutCopy: true, silentMs: 4_000 }),
  ).toBe(true);
  expect(mayLeaveSilentRun({ ...silent, ranCount: 2 })).toBe(false);
  expect(mayLeaveSilentRun({ ...silent, ranCount: 2, silentMs: 4_000 }))
    .toBe(true);
  expect(mayLeaveSilentRun({ ...silent, ranCount: 3, silentMs: 4_000 }))
    .toBe(false);
  expect(mayLeaveSilentRun({ ...silent, isResumable: false })).toBe(false);
  expect(mayLeaveSilentRun({ ...silent, remainingMs: 20 })).toBe(false);
});

const loss: LossState = {
  isResumable: true,
  ranCount: 1,
  maxAttempts: 5,
  remainingMs: 10_000,
  hasCopy: true,
  wasNotRun: false,
};

test("a lost stream resumes from its copy, prefills again or fails", () => {
  expect(decideAfterLoss(loss)).toBe("resumeFromCopy");
  expect(decideAfterLoss({ ...loss, hasCopy: false })).toBe("resume");
  expect(decideAfterLoss({ ...loss, isResumable: false })).toBe("fail");
  expect(decideAfterLoss({ ...loss, isResumable: false, ranCount: 0 }))
    .toBe("resumeFromCopy");
  expect(decideAfterLoss({ ...loss, ranCount: 5 })).toBe("fail");
  expect(decideAfterLoss({ ...loss, remainingMs: 10 })).toBe("fail");
});

const conditions: CopyConditions = {
  nowMs: 10_000,
  canCopy: true,
  hasEvents: true,
  isCopying: false,
  lastCopyAttemptAtMs: -Infinity,
  ttlMs: 4_000,
};
const engineUpdated = {
  createdAtMs: 1_000,
  isEngineUpdated: true,
  refreshedAtMs: 1_000,
  holderLostAtMs: -Infinity,
};

test("a copy is replaced at another engine after its holder was lost", () => {
  // Guards against a resume without a copy: the copy was created at 2.0 s in
  // domain c, whose engines crashed at 4.5 s, and the engine that ran the
  // request in domain b crashed at 11.0 s.
  expect(decideCopy(engineUpdated, conditions)).toBe("none");
  const lost = { ...engineUpdated, holderLostAtMs: 4_500 };
  expect(isCopyAvailable(lost)).toBe(false);
  expect(decideCopy(lost, conditions)).toBe("copyElsewhere");
  expect(
    decideCopy({ ...engineUpdated, holderLostAtMs: undefined }, conditions),
  )
    .toBe("copyElsewhere");
  expect(decideCopy(lost, { ...conditions, lastCopyAttemptAtMs: 9_900 }))
    .toBe("none");
  expect(decideCopy(lost, { ...conditions, isCopying: true })).toBe("none");
  expect(decideCopy(lost, { ...conditions, hasEvents: false })).toBe("none");
});

test("a copy that the engines do not update is refreshed before it expires", () => {
  const copy = {
    ...engineUpdated,
    isEngineUpdated: false,
    refreshedAtMs: 8_100,
  };
  expect(decideCopy(copy, conditions)).toBe("none");
  expect(decideCopy({ ...copy, refreshedAtMs: 8_000 }, conditions))
    .toBe("refresh");
});

test("a domain is suspected for a limited time after two engines were lost within a second", () => {
  const health = createDomainHealth();
  health.recordLoss("a", "e1", 0);
  health.recordLoss("a", "e1", 10);
  expect(health.isSuspected("a", 20)).toBe(false);
  health.recordLoss("b", "e9", 20);
  health.recordLoss("a", "e2", 900);
  expect(health.isSuspected("a", 901)).toBe(true);
  expect(health.isSuspected("b", 901)).toBe(false);
  expect(health.isSuspected("a", 2_300)).toBe(false);
  health.recordLoss("a", "e3", 5_000);
  expect(health.isSuspected("a", 5_001)).toBe(false);
});
