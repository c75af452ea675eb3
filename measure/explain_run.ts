/**
 * Shows where the requests of a played day lost their time:
 * `npm run measure:losses -- LOG [--first-event-ms N] [--event-gap-ms N]
 * [--domains] [--list]`. The log holds the lines of all processes with the simulated time.
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import { parseArgs } from "node:util";
import { formatTable } from "../src/cli/admin_command.ts";
import { tabulateDomains } from "./outcomes_by_domain.ts";
import {
  type CauseRow,
  listStreamLosses,
  StreamOutcome,
  sumCallCauses,
  sumStreamCauses,
} from "./request_losses.ts";
import { parseRunLog } from "./run_log.ts";

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    "first-event-ms": { type: "string", default: "4500" },
    "event-gap-ms": { type: "string", default: "700" },
    domains: { type: "boolean", default: false },
    list: { type: "boolean", default: false },
  },
});
const objectives = {
  firstEventMs: Number(values["first-event-ms"]),
  eventGapMs: Number(values["event-gap-ms"]),
};
const path = positionals[0];
const isUsable = path !== undefined && objectives.firstEventMs > 0 &&
  objectives.eventGapMs > 0;
if (!isUsable) {
  process.stderr.write(
    "usage: explain_run LOG [--first-event-ms N] [--event-gap-ms N] [--domains] [--list]\n",
  );
  process.exit(2);
}
const lines = parseRunLog(readFileSync(path, "utf8"));
const losses = listStreamLosses(lines, objectives);
const missed = losses.filter(({ outcome }) => outcome !== StreamOutcome.OnTime);
print(`streams placed: ${losses.length}, not served on time: ${missed.length}`);
printOutcomes();
print("", "time lost by streams that were not served on time");
printRows(sumStreamCauses(losses));
print("", "plain calls that failed");
printRows(sumCallCauses(lines));
if (values.domains) printDomains();
if (values.list) printStreams();

function printOutcomes(): void {
  for (const outcome of Object.values(StreamOutcome)) {
    const count = losses.filter((loss) => loss.outcome === outcome).length;
    if (count > 0) print(`  ${outcome}: ${count}`);
  }
}

function printDomains(): void {
  const outcomes = Object.values(StreamOutcome);
  print("", "streams and calls by failure domain of the instance; mean times");
  print(...formatTable(
    [
      "DOMAIN",
      "STREAMS",
      ...outcomes.map((outcome) => outcome.toUpperCase()),
      "WAIT_HERE_MS",
      "WAIT_AT_ENGINE_MS",
      "WAIT_AFTER_LOSS_MS",
      "CALLS",
      "FAILED",
      "CALL_MS",
    ],
    tabulateDomains(lines, objectives).map((row) => [
      row.domain,
      row.streams,
      ...outcomes.map((outcome) => row.streamsByOutcome.get(outcome) ?? 0),
      row.waitHereMs,
      row.waitAtEngineMs,
      row.waitAfterLossMs,
      row.calls,
      row.failedCalls,
      row.meanCallMs,
    ]),
  ));
}

function printStreams(): void {
  print("", "streams that were not served on time");
  for (const { requestId, machine, arrivedAtS, outcome, lostMs } of missed) {
    const causes = [...lostMs].map(([cause, ms]) =>
      `${cause} ${Math.round(ms)}`
    );
    print(
      `${arrivedAtS.toFixed(2)} ${machine} ${requestId} ${outcome}: ` +
        causes.join("; "),
    );
  }
}

function printRows(rows: readonly CauseRow[]): void {
  print(...formatTable(
    ["OUTCOME", "CAUSE", "REQUESTS", "LOST_S"],
    rows.map(({ outcome, cause, requests, lostMs }) => [
      outcome,
      cause,
      requests,
      (lostMs / 1_000).toFixed(1),
    ]),
  ));
}

function print(...texts: string[]): void {
  process.stdout.write(texts.map((text) => `${text}\n`).join(""));
}
