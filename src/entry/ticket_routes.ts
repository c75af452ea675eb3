/**
 * Operator routes for tickets and the configuration. `docs/cli.md` lists them.
 */
import { type Context, Hono } from "hono";
import { bodyLimit } from "hono/body-limit";
import type { Result } from "neverthrow";
import { maxTicketBytes } from "../control/ticket.ts";
import type { TicketRecord, TicketResult } from "../control/ticket_table.ts";
import type { TicketService } from "../control/ticket_service.ts";
import { parseJson } from "../core/parse_json.ts";
import { assertNever } from "../core/assert_never.ts";
import {
  createError,
  ErrorKind,
  errorResponses,
  getErrorBody,
  type SystemError,
} from "../core/errors.ts";

const defaultListLimit = 50;
const maxListLimit = 1_000;

export function createTicketRoutes(tickets: TicketService): Hono {
  const app = new Hono();
  app.use(
    "/tickets/*",
    bodyLimit({
      maxSize: maxTicketBytes,
      onError: (context) =>
        sendError(
          context,
          createError(
            ErrorKind.PayloadTooLarge,
            `the ticket exceeds ${maxTicketBytes} bytes`,
          ),
        ),
    }),
  );
  app.post("/tickets", async (context) => {
    const ticket = parseTicketText(await context.req.text());
    if (ticket.isErr()) return sendError(context, ticket.error);
    return await tickets.submit(ticket.value).match(
      (result) => sendResult(context, result),
      (error) => sendError(context, error),
    );
  });
  app.post("/tickets/diff", async (context) => {
    const ticket = parseTicketText(await context.req.text());
    if (ticket.isErr()) return sendError(context, ticket.error);
    return context.json(tickets.compare(ticket.value));
  });
  app.get("/tickets", async (context) => {
    const limit = parseCount(context.req.query("limit"), defaultListLimit);
    const beforeNumber = parseCount(
      context.req.query("before"),
      Number.MAX_SAFE_INTEGER,
    );
    const query = { beforeNumber, limit: Math.min(limit, maxListLimit) };
    return await tickets.list(query).match(
      (records) => context.json({ tickets: records.map(describeTicket) }),
      (error) => sendError(context, error),
    );
  });
  app.get("/tickets/:number", async (context) => {
    const number = parseCount(context.req.param("number"), 0);
    if (number === 0) {
      return sendError(
        context,
        createError(
          ErrorKind.InvalidRequest,
          "a ticket number is a whole " +
            "number above 0",
          { fieldPath: "number" },
        ),
      );
    }
    return await tickets.find(number).match(
      (record) => context.json(describeTicket(record)),
      (error) => sendError(context, error),
    );
  });
  app.get("/configuration", (context) => {
    const configuration = tickets.getConfiguration();
    const behind = tickets.listBehind(configuration.revision);
    return context.json({ configuration, behind });
  });
  return app;

  function describeTicket(record: TicketRecord) {
    return { ...record, behind: tickets.listBehind(record.revision) };
  }
}

function sendResult(context: Context, result: TicketResult): Response {
  switch (result.status) {
    case "accepted":
      return context.json(result);
    case "invalid": {
      const { issues } = result;
      const first = issues[0]!;
      const message = issues.map(({ path, message: text }) =>
        `${path || "(ticket)"}: ${text}`
      ).join("\n");
      const error = createError(ErrorKind.InvalidTicket, message, {
        fieldPath: first.path,
      });
      return sendError(context, error, { issues });
    }
    case "conflict": {
      const message = `number ${result.inForce.number} was accepted with ` +
        "other content; use a higher number";
      const error = createError(ErrorKind.TicketConflict, message);
      return sendError(context, error, { inForce: result.inForce });
    }
    case "outdated": {
      const message = `ticket ${result.lastNumber} came later for the same ` +
        "objects; use a higher number";
      const error = createError(ErrorKind.TicketOutdated, message);
      return sendError(context, error, { inForce: result.inForce });
    }
    case "initialRequired":
      return sendError(
        context,
        createError(ErrorKind.NoQuorum, "the control log has no state yet"),
      );
    default:
      return assertNever(result);
  }
}

function sendError(
  context: Context,
  error: SystemError,
  details: Record<string, unknown> = {},
): Response {
  const { httpStatus } = errorResponses[error.kind];
  const body = { ...getErrorBody(error), ...details };
  return context.json(body, httpStatus as 400);
}

function parseTicketText(text: string): Result<unknown, SystemError> {
  return parseJson(text).mapErr((message) =>
    createError(ErrorKind.InvalidTicket, `the ticket is not JSON: ${message}`)
  );
}

/** Parses a whole number above 0; returns `fallback` for any other text. */
function parseCount(text: string | undefined, fallback: number): number {
  const value = Number(text);
  return Number.isSafeInteger(value) && value > 0 ? value : fallback;
}
