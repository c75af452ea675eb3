/**
 * Commands for accounting and for engineers on call: the bill, and the burn
 * rates of service-level objectives.
 */
import { writeFileSync } from "node:fs";
import { Command, Option } from "clipanion";
import type { BillReport } from "../reports/bill_report.ts";
import type { BurnRow } from "../reports/burn_report.ts";
import { renderBurnPage } from "../reports/burn_page.ts";
import { dayMs } from "../reports/usage_ledger.ts";
import { type AdminClient, ExitCode } from "./admin_client.ts";
import { AdminCommand, exitCodeDetails, formatTable } from "./admin_command.ts";

const category = "Reports";
const hourMs = 3_600_000;

export class ReportBillCommand extends AdminCommand {
  static override paths = [["report", "bill"]];
  static override usage = Command.Usage({
    category,
    description: "Show the bill of this month and the forecast of the next.",
    details: exitCodeDetails,
    examples: [["As a table", "apricotyoke report bill"]],
  });

  async run(client: AdminClient): Promise<ExitCode> {
    return await client.get("/reports/bill").match(
      (body) => this.print(body, () => formatBill(body as BillReport)),
      (error) => this.fail(error),
    );
  }
}

export class ReportBurnCommand extends AdminCommand {
  static override paths = [["report", "burn"]];
  static override usage = Command.Usage({
    category,
    description:
      "Show how fast service-level objectives spend their error budget.",
    details: exitCodeDetails,
    examples: [
      ["As a table", "apricotyoke report burn"],
      ["As a page", "apricotyoke report burn --html burn.html"],
    ],
  });

  htmlPath = Option.String("--html", {
    description: "Write a self-contained HTML page to this path.",
  });

  async run(client: AdminClient): Promise<ExitCode> {
    return await client.get("/reports/burn").match(
      (body) => {
        const { rows } = body as { rows: BurnRow[] };
        if (this.htmlPath !== undefined) {
          writeFileSync(this.htmlPath, renderBurnPage(rows, new Date()));
        }
        return this.print(body, () => formatBurn(rows));
      },
      (error) => this.fail(error),
    );
  }
}

function formatBill(bill: BillReport): string[] {
  const { currency } = bill;
  const format = (cost: number) => `${cost.toFixed(2)} ${currency}`;
  const rows = bill.rows.map((row) => [
    row.customerId,
    row.service,
    row.cause,
    String(row.tokens),
    format(row.cost),
  ]);
  return [
    ...formatTable(["CUSTOMER", "SERVICE", "CAUSE", "TOKENS", "COST"], rows),
    "",
    `since ${formatDay(bill.fromDay)}: ${format(bill.totalCost)}, of which ` +
    `${format(bill.failureCost)} by failures`,
    ...formatForecast(bill, format),
  ];
}

function formatForecast(
  { forecast }: BillReport,
  format: (cost: number) => string,
): string[] {
  if (forecast.historyDays === 0) {
    return ["no forecast yet: it needs at least one whole day of usage"];
  }
  return [
    `forecast of the ${forecast.dayCount} days from ` +
    `${formatDay(forecast.fromDay)}: ${format(forecast.cost)} ` +
    `(${format(forecast.lowCost)} to ${format(forecast.highCost)})`,
    `method: mean cost per weekday and trend of the last ` +
    `${forecast.historyDays} days; the range held the true month in at least ` +
    `9 of 10 back-tested months`,
  ];
}

function formatBurn(rows: readonly BurnRow[]): string[] {
  const header = [
    "SERVICE",
    "ROUTE",
    "OBJECTIVE",
    "TARGET",
    "5 MIN",
    "1 H",
    "6 H",
    "3 D",
    "BUDGET LEFT",
    "ENDS IN",
  ];
  return formatTable(
    header,
    rows.map((row) => [
      row.service,
      row.route,
      row.objective,
      `${(row.targetRatio * 100).toFixed(1)}%`,
      ...row.windows.map((window) =>
        window.totalCount === 0 ? "-" : window.burnRate.toFixed(2)
      ),
      `${(row.budgetLeftRatio * 100).toFixed(1)}%`,
      row.budgetEndsInMs === undefined
        ? "-"
        : `${Math.floor(row.budgetEndsInMs / hourMs)} h`,
    ]),
  );
}

function formatDay(day: number): string {
  return new Date(day * dayMs).toISOString().slice(0, 10);
}
