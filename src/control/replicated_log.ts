/**
 * Interface of the control log at a control instance.
 */
import type { ResultAsync } from "neverthrow";
import type { SystemError } from "../core/errors.ts";
import type { InstanceId } from "../core/types.ts";
import type { Command } from "./commands.ts";
import type { StateMachine } from "./state_machine.ts";
import { okAsync } from "neverthrow";

export interface ReplicatedLog {
  isLeader(): boolean;
  getLeaderId(): InstanceId | undefined;
  /** Resolves with the result once a majority has synced the command. */
  propose(command: Command): ResultAsync<unknown, SystemError>;
}

/** A log of one control instance in memory. It survives no restart. */
export function createSingleLog(
  selfId: InstanceId,
  stateMachine: StateMachine,
): ReplicatedLog {
  return {
    isLeader: () => true,
    getLeaderId: () => selfId,
    propose: (command) => okAsync(stateMachine.apply(command)),
  };
}
