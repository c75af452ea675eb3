/**
 * Logs operators' commands that fail or take long, with what the control log of
 * this instance knows at that moment: a missing majority, a missing leader and
 * a leader that is not reached look alike to the operator.
 */
import type { Clock } from "../core/clock.ts";
import { logEvents } from "../core/log_events.ts";
import type { Logger } from "../core/logger.ts";
import type { ControlClient } from "./control_client.ts";
import type { ReplicatedLog } from "./replicated_log.ts";

/** Half of the time after which an operator tries the next instance. */
const slowCommandMs = 500;

export function createObservedControlClient(
  { clock, logger, control, log }: {
    readonly clock: Pick<Clock, "nowMs">;
    readonly logger: Logger;
    readonly control: ControlClient;
    readonly log: Pick<ReplicatedLog, "getStatus">;
  },
): ControlClient {
  return {
    propose: (command, timeoutMs, isWanted) => {
      const startedAtMs = clock.nowMs();
      const logIfSlow = (outcome: string) => {
        const durationMs = Math.round(clock.nowMs() - startedAtMs);
        if (outcome === "ok" && durationMs < slowCommandMs) return;
        logger.log(logEvents.operatorCommandSlow, {
          command: command.kind,
          outcome,
          durationMs,
          ...log.getStatus(),
        });
      };
      return control.propose(command, timeoutMs, isWanted).map((value) => {
        logIfSlow("ok");
        return value;
      }).mapErr((error) => {
        logIfSlow(`${error.kind}: ${error.message}`);
        return error;
      });
    },
  };
}
