/**
 * What operators may do with the forwarding table and with rollouts, from any
 * control instance. An adapter translates the operators' protocol.
 */
import type { ResultAsync } from "neverthrow";
import type { SystemError } from "../core/errors.ts";
import {
  type ForwardingTable,
  forwardingTableName,
} from "../forwarding/forwarding_table.ts";
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
}

const objectPath = `forwarding.${forwardingTableName}`;

export function createOperatorService(
  tickets: Pick<TicketService, "submit" | "findInForce">,
): OperatorService {
  return {
    replaceTable: ({ number, table, source }) =>
      tickets.submit({
        number,
        source,
        forwarding: { [forwardingTableName]: table },
      }),
    readDocument: () =>
      tickets.findInForce(objectPath).map((record) => record?.ticket.source),
  };
}
