/**
 * The replicated state of control. Commands are applied in log order and must
 * not depend on anything but the state and the command.
 */
import { assertNever } from "../core/assert_never.ts";
import { type ClaimRecord, createClaimTable } from "./claim_table.ts";
import {
  type Command,
  CommandKind,
  type ReadTicketsCommand,
} from "./commands.ts";
import type { Configuration, ConfigurationChanges } from "./configuration.ts";
import {
  createTicketTable,
  type TicketRecord,
  type TicketSnapshot,
} from "./ticket_table.ts";

export interface StateSnapshot {
  readonly claims: readonly [string, ClaimRecord][];
  readonly tickets: TicketSnapshot;
}

export interface StateMachineOptions {
  /** Called in revision order, with the changes unless a snapshot was restored. */
  onConfiguration?(
    configuration: Configuration,
    changes: ConfigurationChanges | undefined,
  ): void;
}

export interface StateMachine {
  apply(command: Command): unknown;
  getSnapshot(): StateSnapshot;
  restore(snapshot: StateSnapshot): void;
  /** The configuration after all applied commands. */
  getConfiguration(): Configuration;
}

export function createStateMachine(
  options: StateMachineOptions = {},
): StateMachine {
  const claims = createClaimTable();
  const tickets = createTicketTable({
    onChanged: (configuration, changes) =>
      options.onConfiguration?.(configuration, changes),
  });
  return {
    apply,
    getSnapshot: () => ({
      claims: claims.getSnapshot(),
      tickets: tickets.getSnapshot(),
    }),
    restore: (snapshot) => {
      claims.restore(snapshot.claims);
      tickets.restore(snapshot.tickets);
      options.onConfiguration?.(tickets.getConfiguration(), undefined);
    },
    getConfiguration: tickets.getConfiguration,
  };

  function apply(command: Command): unknown {
    switch (command.kind) {
      case CommandKind.Claim:
        return claims.claim(command);
      case CommandKind.SettleClaim:
        claims.settle(command);
        return {};
      case CommandKind.SubmitTicket:
        return tickets.submit(command);
      case CommandKind.ReadTickets:
        return { records: readTickets(command) };
      default:
        return assertNever(command);
    }
  }

  function readTickets(command: ReadTicketsCommand): TicketRecord[] {
    if (command.number === undefined) {
      return tickets.listRecords(command.beforeNumber, command.limit);
    }
    const record = tickets.getRecord(command.number);
    return record ? [record] : [];
  }
}
