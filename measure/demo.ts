/**
 * The demonstration: long generations and bookings in three failure domains,
 * while two engines are killed in the middle of their answers.
 */
import process from "node:process";
import { runCase } from "./case_run.ts";
import { cases } from "./cases.ts";

print("3 failure domains with 2 instances, 4 engines and 1 worker each");
print("a change ticket splits the traffic over two versions of the model");
print("24 answers and 30 bookings; two engines are killed meanwhile");
const { promises, figures } = await runCase(
  {
    ...cases["engine-kill"]!,
    answers: 24,
    maxTokens: 800,
    bookings: 30,
    enginesPerDomain: 4,
    versionWeights: { v1: 1, v2: 1 },
  },
  {
    seed: 1,
    onProgress: (finished) => print(`${finished}/24 answers`),
  },
);
// The bound on extra tokens holds for one crash per 100 answers; this run has
// more crashes per answer.
const { extraTokens: _, ...kept } = promises;
const isKept = Object.values(kept).every((isTrue) => isTrue);
print(isKept ? "every promise was kept" : "A PROMISE WAS BROKEN");
print(JSON.stringify(figures));
process.exit(isKept ? 0 : 1);

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}
