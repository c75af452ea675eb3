import { expect, test } from "vitest";
import { ErrorKind } from "../core/errors.ts";
import type { AttemptOutcome } from "./call_attempt.ts";
import { type CallProgress, decideAfterAttempt } from "./call_decisions.ts";
import {
  type CopySituation,
  decideCopy,
  isCopyAlive,
} from "./copy_decisions.ts";
import { createDomainHealth } from "./domain_health.ts";
import { RequestKind } from "./forwarding_table.ts";
import {
  decideAfterLoss,
  judgeSilence,
  type LossState,
  SilenceVerdict,
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

test("a safe call is tried again within its attempts, time, budget and upstreams", () => {
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
    // The upstream's own failure is better than one of this instance.
    expect(decideAfterAttempt(answered(500), limited).kind).toBe("relay");
  }
  expect(decideAfterAttempt(answered(404), progress).kind).toBe("relay");
});

test("an unsafe call that may have run is never tried again, nor promised", () => {
  const unsafe = { ...progress, kind: RequestKind.Unsafe, maxAttempts: 5 };
  expect(decideAfterAttempt(unknown, unsafe)).toEqual({
    kind: "fail",
    error: ErrorKind.UpstreamFailed,
  });
  expect(decideAfterAttempt(answered(500), unsafe).kind).toBe("relay");
});

test("a refusal is a promise only if no attempt may have run", () => {
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
  isProbing: false,
  ownPauseMs: 0,
};

test("a silent engine is probed, and a silent stream moves before its pause counts", () => {
  const judge = (change: Partial<StreamSilence>) =>
    judgeSilence({ ...silence, ...change });
  expect(judge({ streamSilentMs: 180, engineSilentMs: 180 }))
    .toBe(SilenceVerdict.Wait);
  expect(judge({ streamSilentMs: 250, engineSilentMs: 250 }))
    .toBe(SilenceVerdict.Probe);
  // Other streams of the engine show that it lives.
  expect(judge({ streamSilentMs: 250, engineSilentMs: 20 }))
    .toBe(SilenceVerdict.Wait);
  expect(judge({ streamSilentMs: 460, engineSilentMs: 20 }))
    .toBe(SilenceVerdict.Lost);
  expect(judge({ streamSilentMs: 460, engineSilentMs: 460, ownPauseMs: 300 }))
    .toBe(SilenceVerdict.Wait);
  // A prompt is read for a second and more without an event.
  expect(
    judge({ streamSilentMs: 1_500, engineSilentMs: 100, hasEvents: false }),
  )
    .toBe(SilenceVerdict.Wait);
});

const loss: LossState = {
  isResumable: true,
  ranCount: 1,
  maxAttempts: 5,
  remainingMs: 10_000,
  hasCopy: true,
  wasNotRun: false,
};

test("a lost stream goes on from its copy, or reads again, or fails", () => {
  expect(decideAfterLoss(loss)).toBe("resumeFromCopy");
  expect(decideAfterLoss({ ...loss, hasCopy: false })).toBe("resume");
  expect(decideAfterLoss({ ...loss, isResumable: false })).toBe("fail");
  expect(decideAfterLoss({ ...loss, isResumable: false, ranCount: 0 }))
    .toBe("resumeFromCopy");
  expect(decideAfterLoss({ ...loss, ranCount: 5 })).toBe("fail");
  expect(decideAfterLoss({ ...loss, remainingMs: 10 })).toBe("fail");
});

const situation: CopySituation = {
  nowMs: 10_000,
  canCopy: true,
  hasEvents: true,
  isCopying: false,
  lastAttemptAtMs: -Infinity,
  ttlMs: 4_000,
};
const keptUp = {
  madeAtMs: 1_000,
  isKeptUp: true,
  refreshedAtMs: 1_000,
  holderLostAtMs: -Infinity,
};

test("a copy whose engine was lost since is made anew elsewhere", () => {
  // Trace: the copy began at 2.0 s in domain c, whose engines crashed at 4.5 s;
  // the engine of the run in domain b crashed at 11.0 s.
  expect(decideCopy(keptUp, situation)).toBe("none");
  const lost = { ...keptUp, holderLostAtMs: 4_500 };
  expect(isCopyAlive(lost)).toBe(false);
  expect(decideCopy(lost, situation)).toBe("copyElsewhere");
  expect(decideCopy({ ...keptUp, holderLostAtMs: undefined }, situation))
    .toBe("copyElsewhere");
  expect(decideCopy(lost, { ...situation, lastAttemptAtMs: 9_900 }))
    .toBe("none");
  expect(decideCopy(lost, { ...situation, isCopying: true })).toBe("none");
  expect(decideCopy(lost, { ...situation, hasEvents: false })).toBe("none");
});

test("a copy that is not kept up is refreshed before it ends", () => {
  const copy = { ...keptUp, isKeptUp: false, refreshedAtMs: 8_100 };
  expect(decideCopy(copy, situation)).toBe("none");
  expect(decideCopy({ ...copy, refreshedAtMs: 8_000 }, situation))
    .toBe("refresh");
});

test("two engines lost within a second make their domain suspect for a while", () => {
  const health = createDomainHealth();
  health.recordLost("a", "e1", 0);
  health.recordLost("a", "e1", 10);
  expect(health.isSuspect("a", 20)).toBe(false);
  health.recordLost("b", "e9", 20);
  health.recordLost("a", "e2", 900);
  expect(health.isSuspect("a", 901)).toBe(true);
  expect(health.isSuspect("b", 901)).toBe(false);
  expect(health.isSuspect("a", 2_300)).toBe(false);
  health.recordLost("a", "e3", 5_000);
  expect(health.isSuspect("a", 5_001)).toBe(false);
});
