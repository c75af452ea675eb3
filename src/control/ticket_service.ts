/**
 * Submits and reads tickets from any instance, through the control log.
 */
import { err, ok, okAsync, type ResultAsync } from "neverthrow";
import type { Clock } from "../core/clock.ts";
import { createError, ErrorKind, type SystemError } from "../core/errors.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import type { FieldIssue } from "../core/strict_fields.ts";
import type { InstanceId } from "../core/types.ts";
import {
  type Command,
  CommandKind,
  type ReadTicketsCommand,
  readTicketsResultSchema,
} from "./commands.ts";
import { applyChanges, type Configuration } from "./configuration.ts";
import { checkTicket } from "./configuration_checks.ts";
import {
  type Difference,
  listObjectDifferences,
} from "./configuration_differences.ts";
import { type ControlClient, proposeCommand } from "./control_client.ts";
import { parseTicket } from "./ticket.ts";
import {
  type TicketRecord,
  type TicketResult,
  ticketResultSchema,
} from "./ticket_table.ts";

export interface TicketDifference {
  readonly revision: number;
  readonly issues: readonly FieldIssue[];
  readonly differences: readonly Difference[];
}

export interface TicketService {
  submit(ticket: unknown): ResultAsync<TicketResult, SystemError>;
  find(number: number): ResultAsync<TicketRecord, SystemError>;
  /** Finds the ticket in force for an object, as a majority knows it now. */
  findInForce(
    objectPath: string,
  ): ResultAsync<TicketRecord | undefined, SystemError>;
  list(
    query: { readonly beforeNumber: number; readonly limit: number },
  ): ResultAsync<TicketRecord[], SystemError>;
  /**
   * Returns what the ticket would change in the configuration in force here.
   */
  compare(ticket: unknown): TicketDifference;
  listBehind(revision: number): InstanceId[];
  getConfiguration(): Configuration;
}

export interface TicketServiceOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly control: ControlClient;
  getConfiguration(): Configuration;
  listBehind(revision: number): InstanceId[];
}

export function createTicketService(
  options: TicketServiceOptions,
): TicketService {
  const { clock, logger } = options;
  return {
    submit,
    find: (number) =>
      read({ number }).andThen(([record]) =>
        record ? ok(record) : err(createError(
          ErrorKind.NotFound,
          `ticket ${number} was not accepted, or its record was discarded`,
        ))
      ),
    findInForce: (objectPath) => read({ objectPath }).map(([record]) => record),
    list: read,
    compare,
    listBehind: options.listBehind,
    getConfiguration: options.getConfiguration,
  };

  function submit(ticket: unknown): ResultAsync<TicketResult, SystemError> {
    const parsed = parseTicket(ticket);
    if (parsed.isErr()) {
      return okAsync<TicketResult, SystemError>({
        status: "invalid",
        issues: parsed.error,
      }).map(logResult);
    }
    const atWallMs = clock.wallMs();
    return propose({ kind: CommandKind.SubmitTicket, ticket, atWallMs })
      .andThen((result) =>
        result.status === "initialRequired"
          ? propose({
            kind: CommandKind.SubmitTicket,
            ticket,
            initial: options.getConfiguration(),
            atWallMs,
          })
          : okAsync(result)
      ).map(logResult);

    function propose(command: Command): ResultAsync<TicketResult, SystemError> {
      return proposeCommand(options.control, command, ticketResultSchema);
    }

    function logResult(result: TicketResult): TicketResult {
      const event = result.status === "accepted"
        ? logEvents.ticketAccepted
        : logEvents.ticketRejected;
      const number = parsed.map((value) => value.number).unwrapOr(0);
      logger.log(event, { ticket: number, status: result.status });
      return result;
    }
  }

  function read(
    query: Partial<Omit<ReadTicketsCommand, "kind">>,
  ): ResultAsync<TicketRecord[], SystemError> {
    const command: Command = {
      kind: CommandKind.ReadTickets,
      beforeNumber: Number.MAX_SAFE_INTEGER,
      limit: 100,
      ...query,
    };
    return proposeCommand(options.control, command, readTicketsResultSchema)
      .map(({ records }) => records);
  }

  function compare(value: unknown): TicketDifference {
    const current = options.getConfiguration();
    const { revision } = current;
    const parsed = parseTicket(value);
    if (parsed.isErr()) {
      return { revision, issues: parsed.error, differences: [] };
    }
    const ticket = parsed.value;
    const next = applyChanges(current, ticket, revision);
    const atWallMs = clock.wallMs();
    const issues = checkTicket({ ticket, current, next, atWallMs });
    const differences = listObjectDifferences(
      current,
      next,
      (kind) => Object.keys(ticket[kind] ?? {}),
    );
    return { revision, issues, differences };
  }
}
