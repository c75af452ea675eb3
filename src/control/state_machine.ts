/**
 * The replicated state of control. Commands are applied in log order and must
 * not depend on anything but the state and the command.
 */
import { assertNever } from "../core/assert_never.ts";
import { type ClaimRecord, createClaimTable } from "./claim_table.ts";
import { type Command, CommandKind } from "./commands.ts";

export interface StateSnapshot {
  readonly claims: readonly [string, ClaimRecord][];
}

export interface StateMachine {
  apply(command: Command): unknown;
  getSnapshot(): StateSnapshot;
  restore(snapshot: StateSnapshot): void;
}

export function createStateMachine(): StateMachine {
  const claims = createClaimTable();
  return {
    apply,
    getSnapshot: () => ({ claims: claims.getSnapshot() }),
    restore: (snapshot) => claims.restore(snapshot.claims),
  };

  function apply(command: Command): unknown {
    switch (command.kind) {
      case CommandKind.Claim:
        return claims.claim(command);
      case CommandKind.SettleClaim:
        claims.settle(command);
        return {};
      default:
        return assertNever(command);
    }
  }
}
