/**
 * Operator routes for the bill, the burn rates of service-level objectives and
 * the explanation of rollouts. The reports are read through the control log.
 */
import { type Context, Hono } from "hono";
import type { ResultAsync } from "neverthrow";
import { type Command, CommandKind } from "../control/commands.ts";
import type { ControlClient } from "../control/control_client.ts";
import type { Clock } from "../core/clock.ts";
import {
  errorResponses,
  getErrorBody,
  type SystemError,
} from "../core/errors.ts";
import type { Prices } from "../reports/usage.ts";

export interface ReportRoutesOptions {
  readonly clock: Clock;
  readonly control: ControlClient;
  readonly prices: Prices;
}

const reportTimeoutMs = 5_000;

export function createReportRoutes(options: ReportRoutesOptions): Hono {
  const { clock, control, prices } = options;
  const app = new Hono();
  app.get("/reports/bill", (context) =>
    sendReport(
      context,
      readReport({
        kind: CommandKind.ReadBill,
        prices,
        atWallMs: clock.wallMs(),
      }),
    ));
  app.get("/reports/burn", (context) =>
    sendReport(
      context,
      readReport({ kind: CommandKind.ReadBurn, atWallMs: clock.wallMs() }),
    ));
  app.get(
    "/rollouts",
    (context) =>
      sendReport(context, readReport({ kind: CommandKind.ReadRollouts })),
  );
  return app;

  function readReport(command: Command): ResultAsync<unknown, SystemError> {
    return control.propose(command, reportTimeoutMs);
  }

  async function sendReport(
    context: Context,
    report: ResultAsync<unknown, SystemError>,
  ): Promise<Response> {
    return await report.match(
      (value) => context.json(value as object),
      (error) =>
        context.json(
          getErrorBody(error),
          errorResponses[error.kind].httpStatus as 500,
        ),
    );
  }
}
