/**
 * Replays the minute after a failure domain lost its engines, with the figures
 * of a deployment: prompts of 8,200 tokens, engines that read 8 in a
 * millisecond, callers that wait 25 s.
 */
import { expect, test } from "vitest";
import {
  backlogAgeMs,
  createReadingSpeed,
  decideStreamAdmission,
} from "./stream_admission.ts";

const promptTokens = 8_200;
const tokensPerMs = 8;
const waitMs = 25_000;

test("callers with too little time left are refused, not read for", () => {
  const prospect = {
    tokensToRead: promptTokens,
    backlogTokens: 0,
    fastestTokensPerMs: tokensPerMs,
  };
  expect(decideStreamAdmission({ ...prospect, remainingMs: 900 }).kind)
    .toBe("refuse");
  expect(decideStreamAdmission({ ...prospect, remainingMs: 1_100 }).kind)
    .toBe("admit");
});

test("an engine is not given more prompts than it can read in time", () => {
  let unreadTokens = 0;
  let admitted = 0;
  const refusals: number[] = [];
  // Two callers a second come for an engine that can read one prompt a second.
  for (let atMs = 0; atMs < 60_000; atMs += 500) {
    unreadTokens = Math.max(0, unreadTokens - 500 * tokensPerMs);
    const decision = decideStreamAdmission({
      remainingMs: waitMs,
      tokensToRead: promptTokens,
      backlogTokens: unreadTokens,
      fastestTokensPerMs: tokensPerMs,
    });
    if (decision.kind === "admit") {
      unreadTokens += promptTokens;
      admitted += 1;
      // Whoever is admitted is read in time, as far as the age of the news
      // allows to say.
      expect(unreadTokens / tokensPerMs).toBeLessThan(waitMs + backlogAgeMs);
    } else refusals.push(decision.backlogMs);
  }
  // The engine is busy all the time, and what it reads is of use.
  expect(admitted).toBeGreaterThanOrEqual(60_000 * tokensPerMs / promptTokens);
  expect(refusals.length).toBeGreaterThan(0);
  expect(Math.min(...refusals)).toBeGreaterThan(waitMs - 2_000);
});

test("nothing is refused before the speed of the engines is known", () => {
  const speed = createReadingSpeed();
  for (let count = 0; count < 4; count++) speed.record(promptTokens, 1_025);
  expect(speed.getFastestTokensPerMs()).toBeUndefined();
  expect(
    decideStreamAdmission({
      remainingMs: 1,
      tokensToRead: promptTokens,
      backlogTokens: 0,
      fastestTokensPerMs: undefined,
    }).kind,
  ).toBe("admit");
  speed.record(promptTokens, 1_025);
  speed.record(promptTokens, 2_050);
  speed.record(100, 1);
  expect(speed.getFastestTokensPerMs()).toBe(8);
});
