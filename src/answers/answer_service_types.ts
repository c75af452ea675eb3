/**
 * Interface of the service that manages the answers of one instance.
 */
import type { Result, ResultAsync } from "neverthrow";
import type { Clock } from "../core/clock.ts";
import type { SystemError } from "../core/errors.ts";
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import type { AnswerId, CustomerId, InstanceId } from "../core/types.ts";
import type { MembershipView } from "../membership/membership_view.ts";
import type {
  AnswerMeta,
  CopyResult,
  CopyUpdate,
  ReadReply,
  ReadRequest,
  TakeOverReply,
} from "../peer/messages.ts";
import type { PeerClient } from "../peer/peer_client.ts";
import type { AnswerRecord } from "./answer_history.ts";
import type { AnswerState } from "./answer_state.ts";
import type { AnswerLatency } from "./answer_latency.ts";
import type { AttemptRunner } from "./attempt_runner.ts";

export interface AnswerService {
  open(meta: AnswerMeta): AnswerId;
  /** Returns false when this instance owns no such answer of the customer. */
  cancel(
    answerId: AnswerId,
    options: { readonly customerId: CustomerId; readonly message: string },
  ): boolean;
  read(request: ReadRequest): ResultAsync<ReadReply, SystemError>;
  takeOver(
    answerId: AnswerId,
    customerId: string,
  ): ResultAsync<TakeOverReply, SystemError>;
  applyCopies(updates: readonly CopyUpdate[]): Result<
    { results: CopyResult[] },
    SystemError
  >;
  onInstanceLost(instanceId: InstanceId): void;
  /** Resolves double ownership that a partition or a pause has caused. */
  onInstanceReachable(instanceId: InstanceId): void;
  /** Moves the copies of owned answers off an instance that is leaving. */
  onInstanceLeaving(instanceId: InstanceId): void;
  /** Copies finished answers to other instances before this one stops. */
  replicateFinishedAnswers(): Promise<void>;
  /** Resets the open answers of a rolled-back version to the stable one. */
  onVersionRolledBack(rollback: {
    readonly service: string;
    readonly version: string;
    readonly stableVersion: string;
  }): void;
  tick(): void;
  getOpenCount(): number;
  /** Returns the records that this instance has of the answer. */
  describe(answerId: AnswerId): AnswerRecord[];
  getStats(): AnswerStats;
}

export interface AnswerStats {
  readonly openAnswers: number;
  readonly heldCopies: number;
  readonly heldBytes: number;
  readonly finishedAnswers: number;
  readonly usefulTokens: number;
  readonly droppedTokens: number;
  readonly refilledTokens: number;
}

export interface AnswerServiceOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly random: Random;
  readonly membership: MembershipView;
  readonly peers: PeerClient;
  readonly attempts: AttemptRunner;
  readonly retentionMs: number;
  readonly maxCopyBytes: number;
  readonly copyTimeoutMs: number;
  /** Returns the version to reset to if the given one was rolled back. */
  getReplacementVersion?(service: string, version: string): string | undefined;
  /** A streamed answer without a reader for this long is cancelled. */
  readonly abandonedAfterMs: number;
  /** Called when an answer was taken over, which counts as open here. */
  onTakenOver(customerId: CustomerId): void;
  onClosed(customerId: CustomerId): void;
  readonly longGapMs?: number;
  /** Called at the owner when an answer has ended. */
  onFinished?(state: AnswerState, latency: AnswerLatency): void;
}
