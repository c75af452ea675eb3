/**
 * Commands that submit, show, list, compare and wait for tickets.
 */
import { setTimeout as delay } from "node:timers/promises";
import { Command, Option } from "clipanion";
import type { TicketRecord, TicketResult } from "../control/ticket_table.ts";
import type { TicketDifference } from "../control/ticket_service.ts";
import { type AdminClient, ExitCode } from "./admin_client.ts";
import { AdminCommand, exitCodeDetails, formatTable } from "./admin_command.ts";

type ShownTicket = TicketRecord & { readonly behind: readonly string[] };

const waitPollMs = 100;
const category = "Tickets";

export class TicketSubmitCommand extends AdminCommand {
  static override paths = [["ticket", "submit"]];
  static override usage = Command.Usage({
    category,
    description: "Submit a change ticket.",
    details: "Sending the same ticket again is safe: it gets the same reply. " +
      exitCodeDetails,
    examples: [["Submit a file", "apricotyoke ticket submit change.json"]],
  });
  file = Option.String({ name: "FILE" });

  async run(client: AdminClient): Promise<ExitCode> {
    const text = this.readFile(this.file);
    if (text === undefined) return ExitCode.Usage;
    return await client.post("/tickets", text).match(
      (body) =>
        this.print(body, () => {
          const result = body as TicketResult & { status: "accepted" };
          const atText = new Date(result.acceptedAtWallMs).toISOString();
          return [
            `ticket ${result.number} accepted at ${atText} as revision ` +
            result.revision,
          ];
        }),
      (failure) => this.fail(failure),
    );
  }
}

export class TicketShowCommand extends AdminCommand {
  static override paths = [["ticket", "show"]];
  static override usage = Command.Usage({
    category,
    description: "Show an accepted ticket and where it is not in force yet.",
    details: exitCodeDetails,
    examples: [["Show ticket 42", "apricotyoke ticket show 42"]],
  });
  number = Option.String({ name: "N" });

  async run(client: AdminClient): Promise<ExitCode> {
    return await client.get(getTicketPath(this.number)).match(
      (body) =>
        this.print(body, () => {
          const ticket = body as ShownTicket;
          return [
            ...formatTicket(ticket),
            JSON.stringify(ticket.ticket, null, 2),
          ];
        }),
      (failure) => this.fail(failure),
    );
  }
}

export class TicketListCommand extends AdminCommand {
  static override paths = [["ticket", "list"]];
  static override usage = Command.Usage({
    category,
    description: "List accepted tickets, highest number first.",
    details: exitCodeDetails,
    examples: [["The newest 10", "apricotyoke ticket list --limit 10"]],
  });
  limit = Option.String("--limit", "50", {
    description: "Maximum number of tickets.",
  });
  before = Option.String("--before", {
    description: "Only numbers below this one.",
  });

  async run(client: AdminClient): Promise<ExitCode> {
    const query = new URLSearchParams({ limit: this.limit });
    if (this.before !== undefined) query.set("before", this.before);
    return await client.get(`/tickets?${query}`).match(
      (body) =>
        this.print(body, () =>
          formatTable(
            ["NUMBER", "REVISION", "ACCEPTED", "BEHIND", "COMMENT"],
            (body as { tickets: ShownTicket[] }).tickets.map((ticket) => [
              ticket.number,
              ticket.revision,
              new Date(ticket.acceptedAtWallMs).toISOString(),
              ticket.behind.length,
              ticket.ticket.comment,
            ]),
          )),
      (failure) => this.fail(failure),
    );
  }
}

export class TicketDiffCommand extends AdminCommand {
  static override paths = [["ticket", "diff"]];
  static override usage = Command.Usage({
    category,
    description: "Compare a ticket with the configuration in force.",
    details: "Nothing is submitted. The number is not checked. " +
      exitCodeDetails,
    examples: [["Compare a file", "apricotyoke ticket diff change.json"]],
  });
  file = Option.String({ name: "FILE" });

  async run(client: AdminClient): Promise<ExitCode> {
    const text = this.readFile(this.file);
    if (text === undefined) return ExitCode.Usage;
    const reply = await client.post("/tickets/diff", text);
    if (reply.isErr()) return this.fail(reply.error);
    const { issues, differences, revision } = reply.value as TicketDifference;
    if (issues.length > 0) {
      return this.fail({
        exitCode: ExitCode.Invalid,
        message: issues.map(({ path, message }) =>
          `${path || "(ticket)"}: ${message}`
        ).join("\n"),
        body: reply.value,
      });
    }
    this.print(reply.value, () => [
      `${differences.length} differences to revision ${revision}`,
      ...differences.flatMap(({ path, before, after }) => [
        path,
        `  - ${JSON.stringify(before) ?? "(none)"}`,
        `  + ${JSON.stringify(after) ?? "(none)"}`,
      ]),
    ]);
    return differences.length > 0 ? ExitCode.Different : ExitCode.Ok;
  }
}

export class TicketWaitCommand extends AdminCommand {
  static override paths = [["ticket", "wait"]];
  static override usage = Command.Usage({
    category,
    description: "Wait until a ticket is in force on all listed instances.",
    details: "Exits with 8 when --timeout-s has passed. " + exitCodeDetails,
    examples: [["Wait 30 s", "apricotyoke ticket wait 42 --timeout-s 30"]],
  });
  number = Option.String({ name: "N" });

  async run(client: AdminClient): Promise<ExitCode> {
    const deadlineAtMs = performance.now() + this.getTimeoutMs();
    while (true) {
      const reply = await client.get(getTicketPath(this.number));
      const hasTimedOut = performance.now() >= deadlineAtMs;
      if (reply.isErr()) {
        const isTransient = reply.error.exitCode === ExitCode.Unavailable;
        if (!isTransient || hasTimedOut) return this.fail(reply.error);
      } else {
        const ticket = reply.value as ShownTicket;
        if (ticket.behind.length === 0) {
          return this.print(ticket, () => formatTicket(ticket));
        }
        if (hasTimedOut) {
          return this.fail({
            exitCode: ExitCode.TimedOut,
            message: formatTicket(ticket).join("\n"),
            body: ticket,
          });
        }
      }
      await delay(waitPollMs);
    }
  }
}

function getTicketPath(number: string): string {
  return `/tickets/${encodeURIComponent(number)}`;
}

function formatTicket({ number, revision, behind }: ShownTicket): string[] {
  return [
    `ticket ${number}, revision ${revision}: ` +
    (behind.length === 0
      ? "in force on all listed instances"
      : `not yet in force on ${behind.join(", ")}`),
  ];
}
