/**
 * Proposes commands to the control leader from any instance, and follows the
 * leader when it changes.
 */
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { z } from "zod";
import type { Clock } from "../core/clock.ts";
import { createError, ErrorKind, type SystemError } from "../core/errors.ts";
import type { InstanceId } from "../core/types.ts";
import {
  PeerCallKind,
  type PeerReply,
  type PeerRequest,
} from "../peer/messages.ts";
import type { PeerClient } from "../peer/peer_client.ts";
import type { Command } from "./commands.ts";
import type { ReplicatedLog } from "./replicated_log.ts";

export interface ControlClient {
  /**
   * The command must be idempotent: it may be proposed more than once. It is
   * not proposed again once `isWanted` returns false.
   */
  propose(
    command: Command,
    timeoutMs: number,
    isWanted?: () => boolean,
  ): ResultAsync<unknown, SystemError>;
}

export interface ControlClientOptions {
  readonly clock: Clock;
  readonly peers: PeerClient;
  readonly selfId: InstanceId;
  /** Currently known control instances; never empty. */
  listControlIds(): readonly InstanceId[];
  /** Present on control instances. */
  readonly log: ReplicatedLog | undefined;
}

const attemptTimeoutMs = 1_000;
/** Timeout of operators' commands; covers an election and a retry. */
const operatorCommandTimeoutMs = 5_000;
const retryDelayMs = 50;

export function createControlClient(
  options: ControlClientOptions,
): ControlClient {
  const { clock, peers, selfId, listControlIds, log } = options;
  let leaderId: InstanceId = listControlIds()[0]!;
  return {
    propose: (command, timeoutMs, isWanted = () => true) =>
      new ResultAsync(
        proposeUntil(command, clock.nowMs() + timeoutMs, isWanted),
      ),
  };

  async function proposeUntil(
    command: Command,
    deadlineAtMs: number,
    isWanted: () => boolean,
  ): Promise<Result<unknown, SystemError>> {
    // A control instance learns of a new leader before a proposal to the former
    // leader fails.
    leaderId = log?.getLeaderId() ?? leaderId;
    while (true) {
      const remainingMs = deadlineAtMs - clock.nowMs();
      if (remainingMs <= 0) {
        return err(createError(
          ErrorKind.NoQuorum,
          "no control leader committed the command in time",
          { retryAfterMs: 1_000 },
        ));
      }
      const result = await proposeOnce(command, remainingMs);
      if (result.isOk() || !isRetryable(result.error)) return result;
      if (!isWanted()) return result;
      await clock.sleep(Math.min(retryDelayMs, remainingMs));
    }
  }

  async function proposeOnce(
    command: Command,
    remainingMs: number,
  ): Promise<Result<unknown, SystemError>> {
    if (leaderId === selfId && log) {
      const result = await proposeLocally(log, command, remainingMs);
      if (result.isErr()) chooseNextLeader(log.getLeaderId());
      return result;
    }
    const askedId = leaderId;
    const reply = await callUntilReplaced(askedId, {
      body: { command },
      timeoutMs: Math.min(attemptTimeoutMs, remainingMs),
    });
    if (reply.isErr()) {
      chooseNextLeader(findOtherLeader(askedId));
      return err(reply.error);
    }
    if (reply.value.isLeader) return ok(reply.value.result);
    chooseNextLeader(reply.value.leaderId);
    return err(createError(ErrorKind.NotLeader, "the leader has changed"));
  }

  /**
   * Gives the call up once this instance's log knows another leader: a leader
   * that lost power closes no connection, and operators don't wait until it
   * times out.
   */
  async function callUntilReplaced(
    askedId: InstanceId,
    options: {
      readonly body: PeerRequest<PeerCallKind.Propose>;
      readonly timeoutMs: number;
    },
  ): Promise<Result<PeerReply<PeerCallKind.Propose>, SystemError>> {
    const settled = new AbortController();
    const reply = await Promise.race([
      peers.call(askedId, PeerCallKind.Propose, options),
      waitForOtherLeader(askedId, settled.signal),
    ]);
    settled.abort();
    return reply ??
      err(createError(ErrorKind.NotLeader, "the leader has changed"));
  }

  /** Resolves when another leader is known, and without a log never. */
  async function waitForOtherLeader(
    askedId: InstanceId,
    signal: AbortSignal,
  ): Promise<undefined> {
    if (!log) return new Promise(() => {});
    while (!signal.aborted && findOtherLeader(askedId) === undefined) {
      await clock.sleep(retryDelayMs, signal);
    }
  }

  function findOtherLeader(askedId: InstanceId): InstanceId | undefined {
    const knownId = log?.getLeaderId();
    return knownId === askedId ? undefined : knownId;
  }

  /** Times out, since a leader whose disk hangs never completes a proposal. */
  async function proposeLocally(
    log: ReplicatedLog,
    command: Command,
    remainingMs: number,
  ): Promise<Result<unknown, SystemError>> {
    const settled = new AbortController();
    const result = await Promise.race([
      log.propose(command),
      clock.sleep(Math.min(attemptTimeoutMs, remainingMs), settled.signal),
    ]);
    settled.abort();
    return result ?? err(createError(
      ErrorKind.NoQuorum,
      "the command was not committed in time",
    ));
  }

  /**
   * Selects the hinted leader, or else the next control instance. A new leader
   * announces itself before it can serve proposals, so the hint may name the
   * instance that has just rejected the proposal, which is then retried there.
   */
  function chooseNextLeader(hintedLeaderId: InstanceId | undefined): void {
    const controlIds = listControlIds();
    if (hintedLeaderId && controlIds.includes(hintedLeaderId)) {
      leaderId = hintedLeaderId;
      return;
    }
    const index = controlIds.indexOf(leaderId);
    leaderId = controlIds[(index + 1) % controlIds.length]!;
  }
}

function isRetryable(error: SystemError): boolean {
  return error.kind === ErrorKind.NotLeader ||
    error.kind === ErrorKind.NoQuorum ||
    error.kind === ErrorKind.PeerUnreachable;
}

export interface ProposeOptions {
  readonly timeoutMs?: number;
  readonly isWanted?: () => boolean;
}

/** Proposes an operator's command and validates the result. */
export function proposeCommand<T extends z.ZodType>(
  control: ControlClient,
  command: Command,
  schema: T,
  { timeoutMs = operatorCommandTimeoutMs, isWanted }: ProposeOptions = {},
): ResultAsync<z.output<T>, SystemError> {
  return control.propose(command, timeoutMs, isWanted)
    .mapErr((error) =>
      // A proposal that got no reply may still have been committed.
      error.kind === ErrorKind.NoQuorum
        ? createError(
          ErrorKind.PeerUnreachable,
          "no reply from the control leader in time; " +
            "sending the same command again is safe",
          { retryAfterMs: 1_000 },
        )
        : error
    )
    .andThen((value): Result<z.output<T>, SystemError> => {
      const parsed = schema.safeParse(value);
      if (parsed.success) return ok(parsed.data);
      return err(createError(ErrorKind.ProtocolError, parsed.error.message));
    });
}
