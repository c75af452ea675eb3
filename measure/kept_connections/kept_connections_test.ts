/**
 * Runs short trials of kept connections with fixed seeds. Longer ones are run
 * by hand: `npm run kept-connections -- --seeds 1-50`.
 */
import { expect, test } from "vitest";
import { runTrial } from "./trial.ts";
import { Feature } from "./trial_types.ts";

const durationMs = 2_500;

interface TrialCase {
  readonly name: string;
  readonly seed: number;
  readonly left: readonly Feature[];
}

const cases: readonly TrialCase[] = [
  {
    name: "single requests",
    seed: 7,
    left: [Feature.Pipelining],
  },
  {
    name: "pipelined requests",
    seed: 31,
    left: [],
  },
];

test.each(cases)(
  "a trial with $name, changes and a drain leaves no connection's end unexplained",
  async ({ seed, left }) => {
    const features = new Set(
      Object.values(Feature).filter((feature) => !left.includes(feature)),
    );
    const { findings } = await runTrial({ seed, durationMs, features });
    expect(findings).toEqual([]);
  },
);
