/**
 * The measuring tool: `npm run measure -- CASE --seed N [--baseline]`. It runs
 * one failure case. The last line of its output is one JSON object; the status
 * is 1 if a promise was broken.
 */
import process from "node:process";
import { parseArgs } from "node:util";
import { runCase } from "./case_run.ts";
import { cases } from "./cases.ts";
import { controlCases } from "./control_cases.ts";

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    seed: { type: "string", default: "1" },
    baseline: { type: "boolean", default: false },
  },
});
const caseName = positionals[0] ?? "";
const allCases = { ...cases, ...controlCases };
const spec = allCases[caseName];
const seed = Number(values.seed);
if (!spec || !Number.isSafeInteger(seed)) {
  const names = Object.keys(allCases).join(", ");
  process.stderr.write(
    `usage: npm run measure -- CASE --seed N [--baseline]\ncases: ${names}\n`,
  );
  process.exit(2);
}
const { promises, figures } = await runCase(spec, { seed });
const baseline = values.baseline
  ? await runCase(spec, { seed, baseline: spec.baseline })
  : undefined;
const ok = Object.values(promises).every((isKept) => isKept);
process.stdout.write(`${
  JSON.stringify({
    case: caseName,
    seed,
    ok,
    promises,
    ...figures,
    ...(baseline ? { baseline: baseline.figures } : {}),
  })
}\n`);
process.exit(ok ? 0 : 1);
