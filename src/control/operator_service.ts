/**
 * What operators may do with the forwarding table and with rollouts, from any
 * control instance. An adapter translates the operators' protocol.
 */
import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import { createError, ErrorKind, type SystemError } from "../core/errors.ts";
import {
  type ForwardingTable,
  forwardingTableName,
} from "../forwarding/forwarding_table.ts";
import { checkForwardingTable } from "../forwarding/forwarding_checks.ts";
import type { ListedUpstream } from "../upstreams/upstream_view.ts";
import { CommandKind, readMoveResultSchema } from "./commands.ts";
import type { Configuration } from "./configuration.ts";
import { type ControlClient, proposeCommand } from "./control_client.ts";
import {
  type StartMoveResult,
  startMoveResultSchema,
  type VersionMove,
} from "./moves/move_types.ts";
import type { TicketResult } from "./ticket_table.ts";
import type { TicketService } from "./ticket_service.ts";

export interface TableReplacement {
  readonly number: number;
  readonly table: ForwardingTable;
  /** The operator's document, which reads return unchanged. */
  readonly source: string;
}

export interface OperatorService {
  /** Submits the table as a ticket of that number. */
  replaceTable(
    replacement: TableReplacement,
  ): ResultAsync<TicketResult, SystemError>;
  /** The newest document, as a majority of the control instances knows it. */
  readDocument(): ResultAsync<string | undefined, SystemError>;
  /** Orders that a service moves to another version. */
  startMove(order: {
    readonly service: string;
    readonly target: string;
    readonly durationMs: number;
  }): ResultAsync<StartMoveResult, SystemError>;
  /** The newest move of the service, as a majority knows it. */
  readMove(service: string): ResultAsync<VersionMove | undefined, SystemError>;
}

export interface OperatorServiceOptions {
  readonly tickets: Pick<TicketService, "submit" | "findInForce">;
  readonly control: ControlClient;
  listUpstreams(): readonly ListedUpstream[];
  getConfiguration(): Configuration;
}

const objectPath = `forwarding.${forwardingTableName}`;

export function createOperatorService(
  { tickets, control, listUpstreams, getConfiguration }: OperatorServiceOptions,
): OperatorService {
  return {
    replaceTable: ({ number, table, source }) => {
      // Also for a number that was overtaken, which is acknowledged unchecked.
      const issues = checkForwardingTable(table);
      if (issues.length > 0) return okAsync({ status: "invalid", issues });
      return tickets.submit({
        number,
        source,
        forwarding: { [forwardingTableName]: table },
      });
    },
    readDocument: () =>
      tickets.findInForce(objectPath).map((record) => record?.ticket.source),
    startMove,
    readMove: (service) =>
      proposeCommand(
        control,
        { kind: CommandKind.ReadMove, service },
        readMoveResultSchema,
      ).map(({ move }) => move),
  };

  function startMove(
    order: { service: string; target: string; durationMs: number },
  ): ResultAsync<StartMoveResult, SystemError> {
    const { service, target } = order;
    const table = getConfiguration().forwarding[forwardingTableName];
    if (table && !table.services.some(({ name }) => name === service)) {
      const message = `no service is called ${service}`;
      return errAsync(createError(ErrorKind.InvalidRequest, message));
    }
    const stableVersions = [
      ...new Set(
        listUpstreams().filter((entry) =>
          entry.service === service && entry.version !== target
        ).map(({ version }) => version),
      ),
    ];
    return proposeCommand(
      control,
      { kind: CommandKind.StartMove, order: { ...order, stableVersions } },
      startMoveResultSchema,
    );
  }
}
