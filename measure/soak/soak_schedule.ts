/**
 * Draws the faults of a soak from its seed, as pure functions. Faults may
 * overlap, and a fault may be repeated in quick succession.
 */
import type { Random } from "../../src/core/random.ts";

export type SoakFault =
  /** Sends SIGKILL and starts the process again after the downtime. */
  | {
    readonly kind: "kill";
    readonly target: number;
    readonly downtimeMs: number;
  }
  | { readonly kind: "killAll"; readonly downtimeMs: number }
  | { readonly kind: "stop"; readonly target: number }
  | {
    readonly kind: "pause";
    readonly target: number;
    readonly durationMs: number;
  }
  /** Kills a control instance, damages its data folder and starts it again. */
  | {
    readonly kind: "disk";
    readonly target: number;
    readonly damage: "wiped" | "torn";
    readonly downtimeMs: number;
  }
  | {
    readonly kind: "link";
    readonly side: "caller" | "upstream";
    readonly target: number;
    readonly mode: "cut" | "slow" | "toTarget" | "toCaller" | "both";
    readonly durationMs: number;
  }
  | {
    readonly kind: "reset";
    readonly side: "caller" | "upstream";
    readonly share: number;
  }
  | {
    readonly kind: "crash";
    readonly domain: number;
    readonly durationMs: number;
  }
  | { readonly kind: "leave"; readonly target: number }
  | { readonly kind: "configure"; readonly count: number }
  | { readonly kind: "race" }
  | { readonly kind: "invalid" };

export interface ScheduledFault {
  readonly atMs: number;
  readonly fault: SoakFault;
}

const minGapMs = 150;
const maxGapMs = 1_100;
/** Probability that a fault is followed by another one of its kind. */
const repeatProbability = 0.3;
const repeatDelayMs = 250;

export function drawSchedule(
  random: Random,
  durationMs: number,
): ScheduledFault[] {
  const schedule: ScheduledFault[] = [];
  let atMs = 0;
  while (true) {
    atMs += minGapMs + random.nextInt(maxGapMs - minGapMs);
    if (atMs >= durationMs) return schedule;
    const kind = random.nextInt(faultGenerators.length);
    let repeatAtMs = atMs;
    do {
      schedule.push({
        atMs: repeatAtMs,
        fault: faultGenerators[kind]!(random),
      });
      repeatAtMs += repeatDelayMs;
    } while (random.next() < repeatProbability && repeatAtMs < durationMs);
  }
}

const sides = ["caller", "upstream"] as const;
const linkModes = ["cut", "slow", "toTarget", "toCaller", "both"] as const;
const damages = ["wiped", "torn"] as const;
/** A target is taken modulo the number of candidates. */
const maxTargets = 1_000;

const drawTarget = (random: Random) => random.nextInt(maxTargets);
const drawMs = (random: Random, minMs: number, maxMs: number) =>
  minMs + random.nextInt(maxMs - minMs);

const faultGenerators: readonly ((random: Random) => SoakFault)[] = [
  (random) => ({
    kind: "kill",
    target: drawTarget(random),
    downtimeMs: drawMs(random, 50, 2_000),
  }),
  (random) => ({ kind: "killAll", downtimeMs: drawMs(random, 200, 1_200) }),
  (random) => ({ kind: "stop", target: drawTarget(random) }),
  (random) => ({
    kind: "pause",
    target: drawTarget(random),
    durationMs: drawMs(random, 100, 3_000),
  }),
  (random) => ({
    kind: "disk",
    target: drawTarget(random),
    damage: damages[random.nextInt(damages.length)]!,
    downtimeMs: drawMs(random, 100, 1_000),
  }),
  ...Array.from({ length: 3 }, () => (random: Random): SoakFault => ({
    kind: "link",
    side: sides[random.nextInt(sides.length)]!,
    target: drawTarget(random),
    mode: linkModes[random.nextInt(linkModes.length)]!,
    durationMs: drawMs(random, 100, 2_500),
  })),
  (random) => ({
    kind: "reset",
    side: sides[random.nextInt(sides.length)]!,
    share: 0.2 + random.next() * 0.8,
  }),
  ...Array.from({ length: 2 }, () => (random: Random): SoakFault => ({
    kind: "crash",
    domain: drawTarget(random),
    durationMs: drawMs(random, 300, 1_500),
  })),
  (random) => ({ kind: "leave", target: drawTarget(random) }),
  (random) => ({ kind: "configure", count: 1 + random.nextInt(5) }),
  () => ({ kind: "race" }),
  () => ({ kind: "invalid" }),
];
