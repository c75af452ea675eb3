/**
 * Runs the soak with one seed or several: `npm run soak -- --seeds 1-50`.
 * Prints one JSON line per seed; the status is 1 after a violation.
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { runSoak } from "./soak_run.ts";

// The deployment kills its child processes in an "exit" listener, which a
// terminating signal alone would not run.
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, () => process.exit(130));
}

const { values } = parseArgs({
  options: {
    seeds: { type: "string", default: "1-1" },
    seconds: { type: "string", default: "20" },
    entries: { type: "string", default: "1" },
  },
});
const [first, last = first] = values.seeds.split("-").map(Number);
for (let seed = first!; seed <= last!; seed++) {
  const result = await runSoak({
    seed,
    durationMs: Number(values.seconds) * 1_000,
    entriesPerDomain: Number(values.entries),
  });
  console.log(JSON.stringify(result));
  if (result.violations.length > 0) process.exitCode = 1;
}
