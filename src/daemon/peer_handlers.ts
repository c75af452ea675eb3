/**
 * Handles the requests of other instances.
 */
import { err, errAsync, ok, okAsync, type ResultAsync } from "neverthrow";
import type { AnswerService } from "../answers/answer_service_types.ts";
import { commandSchema } from "../control/commands.ts";
import type { ConfigurationService } from "../control/configuration_service.ts";
import type { ReplicatedLogService } from "../control/replicated_log.ts";
import { createError, ErrorKind, type SystemError } from "../core/errors.ts";
import type { InstanceId } from "../core/types.ts";
import type { MembershipService } from "../membership/membership_service.ts";
import {
  PeerCallKind,
  type PeerReply,
  type PeerRequest,
} from "../peer/messages.ts";
import type { PeerHandler, PeerHandlers } from "../peer/peer_server.ts";
import type { Rollouts } from "./rollouts.ts";

export interface PeerHandlersOptions {
  readonly selfId: InstanceId;
  readonly membership: MembershipService;
  readonly answers: AnswerService;
  readonly configuration: ConfigurationService;
  readonly rollouts: Rollouts;
  /** Present on control instances. */
  readonly log: ReplicatedLogService | undefined;
}

export function createPeerHandlers(options: PeerHandlersOptions): PeerHandlers {
  const { selfId, membership, answers, configuration, rollouts, log } = options;
  return {
    [PeerCallKind.Heartbeat]: (heartbeat) =>
      ok(membership.handleHeartbeat(heartbeat)),
    [PeerCallKind.CopyBatch]: ({ updates }) => answers.applyCopies(updates),
    [PeerCallKind.ReadAnswer]: (request) => answers.read(request),
    [PeerCallKind.TakeOver]: ({ answerId, customerId }) =>
      answers.takeOver(answerId, customerId),
    [PeerCallKind.Propose]: createProposeHandler({ selfId, log }),
    [PeerCallKind.PushConfiguration]: configuration.handlePush,
    [PeerCallKind.PullConfiguration]: configuration.handlePull,
    [PeerCallKind.DescribeAnswer]: ({ answerId }) =>
      ok({ records: answers.describe(answerId) }),
    [PeerCallKind.SyncRollouts]: rollouts.handleSync,
    [PeerCallKind.LogMessage]: (envelope) => {
      log?.receive(envelope);
      return ok({});
    },
  };
}

export interface ProposeHandlerOptions {
  readonly selfId: InstanceId;
  /** Present on control instances. */
  readonly log: ReplicatedLogService | undefined;
}

/**
 * Proposes the commands of other instances while this one is the leader;
 * otherwise replies with the id of the leader.
 */
export function createProposeHandler(
  { selfId, log }: ProposeHandlerOptions,
): PeerHandler<PeerCallKind.Propose> {
  return propose;

  function propose(
    { command }: PeerRequest<PeerCallKind.Propose>,
  ): ResultAsync<PeerReply<PeerCallKind.Propose>, SystemError> {
    const parsed = commandSchema.safeParse(command);
    if (!parsed.success) {
      const { message } = parsed.error;
      return errAsync(createError(ErrorKind.ProtocolError, message));
    }
    if (!log?.isLeader()) return okAsync(getRedirection());
    return log.propose(parsed.data)
      .map((result): PeerReply<PeerCallKind.Propose> => ({
        isLeader: true,
        leaderId: selfId,
        result,
      }))
      .orElse((error) =>
        error.kind === ErrorKind.NotLeader ? ok(getRedirection()) : err(error)
      );
  }

  function getRedirection(): PeerReply<PeerCallKind.Propose> {
    const leaderId = log?.getLeaderId() ?? "";
    return { isLeader: false, leaderId, result: undefined };
  }
}
