/**
 * Proposes commands to the control leader from any instance, and follows the
 * leader when it changes.
 */
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { Clock } from "../core/clock.ts";
import { createError, ErrorKind, type SystemError } from "../core/errors.ts";
import type { InstanceId } from "../core/types.ts";
import { PeerCallKind } from "../peer/messages.ts";
import type { PeerClient } from "../peer/peer_client.ts";
import type { Command } from "./commands.ts";
import type { ReplicatedLog } from "./replicated_log.ts";

export interface ControlClient {
  /** The command must be idempotent: it may be proposed more than once. */
  propose(
    command: Command,
    timeoutMs: number,
  ): ResultAsync<unknown, SystemError>;
}

export interface ControlClientOptions {
  readonly clock: Clock;
  readonly peers: PeerClient;
  readonly selfId: InstanceId;
  readonly controlInstanceIds: readonly InstanceId[];
  /** Present on control instances. */
  readonly log: ReplicatedLog | undefined;
}

const tryTimeoutMs = 1_000;
const retryDelayMs = 50;

export function createControlClient(
  options: ControlClientOptions,
): ControlClient {
  const { clock, peers, selfId, controlInstanceIds, log } = options;
  let leaderId: InstanceId = controlInstanceIds[0]!;
  return {
    propose: (command, timeoutMs) =>
      new ResultAsync(proposeUntil(command, clock.nowMs() + timeoutMs)),
  };

  async function proposeUntil(
    command: Command,
    giveUpAtMs: number,
  ): Promise<Result<unknown, SystemError>> {
    while (true) {
      const remainingMs = giveUpAtMs - clock.nowMs();
      if (remainingMs <= 0) {
        return err(createError(
          ErrorKind.NoQuorum,
          "no control leader committed the command in time",
          { retryAfterMs: 1_000 },
        ));
      }
      const result = await proposeOnce(command, remainingMs);
      if (result.isOk() || !isRetryable(result.error)) return result;
      await clock.sleep(Math.min(retryDelayMs, remainingMs));
    }
  }

  async function proposeOnce(
    command: Command,
    remainingMs: number,
  ): Promise<Result<unknown, SystemError>> {
    if (leaderId === selfId && log) {
      const result = await proposeHere(log, command, remainingMs);
      if (result.isErr()) chooseNext(log.getLeaderId());
      return result;
    }
    const reply = await peers.call(leaderId, PeerCallKind.Propose, {
      body: { command },
      timeoutMs: Math.min(tryTimeoutMs, remainingMs),
    });
    if (reply.isErr()) {
      chooseNext(undefined);
      return err(reply.error);
    }
    if (reply.value.isLeader) return ok(reply.value.result);
    chooseNext(reply.value.leaderId);
    return err(createError(ErrorKind.NotLeader, "the leader has changed"));
  }

  /** A leader whose disk hangs ends no proposal by itself. */
  async function proposeHere(
    log: ReplicatedLog,
    command: Command,
    remainingMs: number,
  ): Promise<Result<unknown, SystemError>> {
    const settled = new AbortController();
    const result = await Promise.race([
      log.propose(command),
      clock.sleep(Math.min(tryTimeoutMs, remainingMs), settled.signal),
    ]);
    settled.abort();
    return result ?? err(createError(
      ErrorKind.NoQuorum,
      "the command was not committed in time",
    ));
  }

  /** A new leader names itself before it may answer; it is asked again. */
  function chooseNext(hintId: InstanceId | undefined): void {
    if (hintId && controlInstanceIds.includes(hintId)) {
      leaderId = hintId;
      return;
    }
    const index = controlInstanceIds.indexOf(leaderId);
    leaderId = controlInstanceIds[(index + 1) % controlInstanceIds.length]!;
  }
}

function isRetryable(error: SystemError): boolean {
  return error.kind === ErrorKind.NotLeader ||
    error.kind === ErrorKind.NoQuorum ||
    error.kind === ErrorKind.PeerUnreachable;
}
