/**
 * Runs trials of kept connections: `npm run kept-connections -- --seeds 1-50`.
 * `--without` leaves features out, to narrow a finding down, and `--only` keeps
 * none but the given ones. Prints one JSON line per seed and per finding; the
 * status is 1 after a finding.
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { runTrial } from "./trial.ts";
import { Feature } from "./trial_types.ts";

const { values } = parseArgs({
  options: {
    seeds: { type: "string", default: "1-1" },
    seconds: { type: "string", default: "10" },
    without: { type: "string", default: "" },
    only: { type: "string" },
  },
});
const [first, last = first] = values.seeds.split("-").map(Number);
const all = Object.values(Feature);
const chosen = values.only?.split(",") ?? all;
const left = new Set(values.without.split(","));
const features = new Set(
  all.filter((feature) => chosen.includes(feature) && !left.has(feature)),
);
for (let seed = first!; seed <= last!; seed++) {
  const { findings, ...summary } = await runTrial({
    seed,
    durationMs: Number(values.seconds) * 1_000,
    features,
  });
  console.log(JSON.stringify({ ...summary, findingCount: findings.length }));
  for (const finding of findings) console.log(JSON.stringify(finding));
  if (findings.length > 0) process.exitCode = 1;
}
process.exit();
