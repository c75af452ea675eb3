/**
 * Draws the faults of a soak from its seed: in series, and overlapping. Pure.
 */
import type { Random } from "../../src/core/random.ts";

export type SoakFault =
  /** Stops a process for good and starts it again after a while. */
  | { readonly kind: "kill"; readonly target: number; readonly downMs: number }
  | { readonly kind: "killAll"; readonly downMs: number }
  | { readonly kind: "stop"; readonly target: number }
  | { readonly kind: "pause"; readonly target: number; readonly forMs: number }
  /** Kills a control instance, damages its folder and starts it. */
  | {
    readonly kind: "disk";
    readonly target: number;
    readonly damage: "wiped" | "torn";
    readonly downMs: number;
  }
  | {
    readonly kind: "link";
    readonly side: "caller" | "upstream";
    readonly target: number;
    readonly how: "cut" | "slow" | "toTarget" | "toCaller" | "both";
    readonly forMs: number;
  }
  | {
    readonly kind: "reset";
    readonly side: "caller" | "upstream";
    readonly share: number;
  }
  | { readonly kind: "crash"; readonly domain: number; readonly forMs: number }
  | { readonly kind: "leave"; readonly target: number }
  | { readonly kind: "configure"; readonly count: number }
  | { readonly kind: "race" }
  | { readonly kind: "invalid" };

export interface TimedFault {
  readonly atMs: number;
  readonly fault: SoakFault;
}

const minGapMs = 150;
const maxGapMs = 1_100;
/** A fault is followed by another one of its kind this often. */
const seriesShare = 0.3;
const seriesGapMs = 250;

export function drawSchedule(random: Random, durationMs: number): TimedFault[] {
  const schedule: TimedFault[] = [];
  let atMs = 0;
  while (true) {
    atMs += minGapMs + random.nextInt(maxGapMs - minGapMs);
    if (atMs >= durationMs) return schedule;
    const kind = random.nextInt(drawers.length);
    let seriesAtMs = atMs;
    do {
      schedule.push({ atMs: seriesAtMs, fault: drawers[kind]!(random) });
      seriesAtMs += seriesGapMs;
    } while (random.next() < seriesShare && seriesAtMs < durationMs);
  }
}

const sides = ["caller", "upstream"] as const;
const linkFaults = ["cut", "slow", "toTarget", "toCaller", "both"] as const;
const damages = ["wiped", "torn"] as const;
/** Targets are taken modulo the number of those that there are. */
const maxTargets = 1_000;

const drawTarget = (random: Random) => random.nextInt(maxTargets);
const drawMs = (random: Random, least: number, most: number) =>
  least + random.nextInt(most - least);

const drawers: readonly ((random: Random) => SoakFault)[] = [
  (random) => ({
    kind: "kill",
    target: drawTarget(random),
    downMs: drawMs(random, 50, 2_000),
  }),
  (random) => ({ kind: "killAll", downMs: drawMs(random, 200, 1_200) }),
  (random) => ({ kind: "stop", target: drawTarget(random) }),
  (random) => ({
    kind: "pause",
    target: drawTarget(random),
    forMs: drawMs(random, 100, 3_000),
  }),
  (random) => ({
    kind: "disk",
    target: drawTarget(random),
    damage: damages[random.nextInt(damages.length)]!,
    downMs: drawMs(random, 100, 1_000),
  }),
  ...Array.from({ length: 3 }, () => (random: Random): SoakFault => ({
    kind: "link",
    side: sides[random.nextInt(sides.length)]!,
    target: drawTarget(random),
    how: linkFaults[random.nextInt(linkFaults.length)]!,
    forMs: drawMs(random, 100, 2_500),
  })),
  (random) => ({
    kind: "reset",
    side: sides[random.nextInt(sides.length)]!,
    share: 0.2 + random.next() * 0.8,
  }),
  ...Array.from({ length: 2 }, () => (random: Random): SoakFault => ({
    kind: "crash",
    domain: drawTarget(random),
    forMs: drawMs(random, 300, 1_500),
  })),
  (random) => ({ kind: "leave", target: drawTarget(random) }),
  (random) => ({ kind: "configure", count: 1 + random.nextInt(5) }),
  () => ({ kind: "race" }),
  () => ({ kind: "invalid" }),
];
