/**
 * Replicated state of the control instances. Commands are applied in log order,
 * and the result must depend only on the state and the command.
 */
import { assertNever } from "../core/assert_never.ts";
import { type ClaimSnapshot, createClaimTable } from "./claim_table.ts";
import {
  type Command,
  CommandKind,
  type ReadTicketsCommand,
} from "./commands.ts";
import type { Configuration, ConfigurationChanges } from "./configuration.ts";
import {
  createMoveTable,
  type MoveTable,
  type RestoredMove,
} from "./moves/move_table.ts";
import {
  createRolloutTable,
  type RolloutRecord,
  type RolloutTable,
} from "./rollouts/rollout_table.ts";
import {
  createQuarantineTable,
  type QuarantineSnapshot,
  type QuarantineTable,
} from "../quarantine/quarantine_table.ts";
import type { QuarantineChange } from "../quarantine/quarantine_types.ts";
import { getBillReport } from "../reports/bill_report.ts";
import { getBurnReport } from "../reports/burn_report.ts";
import {
  createUsageLedger,
  type LedgerSnapshot,
} from "../reports/usage_ledger.ts";
import { createRandom } from "../core/random.ts";
import {
  createTicketTable,
  type TicketRecord,
  type TicketSnapshot,
} from "./ticket_table.ts";

const forecastSeed = 1;

export interface StateSnapshot {
  readonly claims: ClaimSnapshot;
  readonly tickets: TicketSnapshot;
  readonly rollouts: readonly [string, RolloutRecord][];
  readonly usage: LedgerSnapshot;
  /** Absent in snapshots that were written before version moves existed. */
  readonly moves?: readonly RestoredMove[];
  /** Absent in snapshots that were written before the quarantine existed. */
  readonly quarantine?: QuarantineSnapshot;
}

export interface StateMachineOptions {
  /** Called in revision order; without changes after a restored snapshot. */
  onConfiguration?(
    configuration: Configuration,
    changes: ConfigurationChanges | undefined,
  ): void;
  onQuarantineChange?(change: QuarantineChange): void;
}

export interface StateMachine {
  apply(command: Command): unknown;
  getSnapshot(): StateSnapshot;
  restore(snapshot: StateSnapshot): void;
  /** The configuration after all applied commands. */
  getConfiguration(): Configuration;
  readonly rollouts: RolloutTable;
  readonly moves: MoveTable;
  readonly quarantine: QuarantineTable;
}

export function createStateMachine(
  options: StateMachineOptions = {},
): StateMachine {
  const claims = createClaimTable();
  const rollouts = createRolloutTable();
  const moves = createMoveTable();
  const quarantine = createQuarantineTable({
    onChanged: (change) => options.onQuarantineChange?.(change),
  });
  const ledger = createUsageLedger();
  const tickets = createTicketTable({
    onChanged: (configuration, changes) =>
      options.onConfiguration?.(configuration, changes),
  });
  return {
    apply,
    getSnapshot: () => ({
      claims: claims.getSnapshot(),
      tickets: tickets.getSnapshot(),
      rollouts: rollouts.getSnapshot(),
      usage: ledger.getSnapshot(),
      moves: moves.list(),
      quarantine: quarantine.getSnapshot(),
    }),
    restore: (snapshot) => {
      claims.restore(snapshot.claims);
      tickets.restore(snapshot.tickets);
      rollouts.restore(snapshot.rollouts);
      ledger.restore(snapshot.usage);
      moves.restore(snapshot.moves ?? []);
      quarantine.restore(snapshot.quarantine ?? { revision: 0, records: [] });
      options.onConfiguration?.(tickets.getConfiguration(), undefined);
    },
    getConfiguration: tickets.getConfiguration,
    rollouts,
    moves,
    quarantine,
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
      case CommandKind.Rollout:
        return rollouts.apply(command.rollout);
      case CommandKind.ReadRollouts:
        return {
          rollouts: rollouts.listAll().flatMap(({ spec }) =>
            rollouts.explain(spec.rolloutId) ?? []
          ),
        };
      case CommandKind.StartMove:
        return moves.start(command.order);
      case CommandKind.AdvanceMove:
        moves.advance(command.progress);
        return {};
      case CommandKind.ReadMove:
        return { move: moves.get(command.service) };
      case CommandKind.ChangeQuarantine:
        return { hasChanged: quarantine.apply(command.change) };
      case CommandKind.ReadQuarantine:
        return { records: quarantine.list() };
      case CommandKind.RecordUsage:
        return { isCounted: ledger.record(command.batch) };
      case CommandKind.ReadBill:
        return getBillReport(ledger.getDays(), {
          nowWallMs: command.atWallMs,
          prices: command.prices,
          // A fixed seed gives the same forecast range on every replica.
          random: createRandom(forecastSeed),
        });
      case CommandKind.ReadBurn:
        return { rows: getBurnReport(ledger.getSlots(), command.atWallMs) };
      default:
        return assertNever(command);
    }
  }

  function readTickets(command: ReadTicketsCommand): TicketRecord[] {
    const { number, objectPath } = command;
    if (number === undefined && objectPath === undefined) {
      return tickets.listRecords(command.beforeNumber, command.limit);
    }
    const record = number === undefined
      ? tickets.findInForce(objectPath!)
      : tickets.getRecord(number);
    return record ? [record] : [];
  }
}
