/**
 * State of one answer at the instance that owns it, the events that change the
 * state, and the effects that the owner then executes.
 */
import type { ErrorKind } from "../core/errors.ts";
import type {
  AnswerEnd,
  AnswerId,
  AttemptId,
  FinishReason,
  InstanceId,
  LineageSpan,
} from "../core/types.ts";
import type { AnswerMeta, CopyStatus, CopyUpdate } from "../peer/messages.ts";

export interface Attempt {
  readonly attemptNumber: number;
  readonly fromPosition: number;
  readonly startedAtMs: number;
  isHedge: boolean;
  lastProgressAtMs: number;
  tokenCount: number;
  isRefillCounted: boolean;
}

export interface Replica {
  readonly instanceId: InstanceId;
  /** Tokens the replica has acknowledged; -1 before the first reply. */
  ackedCount: number;
  isEndAcked: boolean;
  sentLineageLength: number;
  isSendInFlight: boolean;
}

export interface UnreplicatedRange {
  readonly fromPosition: number;
  toPosition: number;
}

/** Tokens that engines computed without use to the caller, by cause. */
export interface TokenWaste {
  /**
   * Received from an engine and not appended to the journal: generated twice,
   * or dropped because of their position.
   */
  droppedTokens: number;
  /** Discarded when the answer was reset to another version. */
  discardedTokens: number;
  /** Journal tokens that engines prefilled again to resume the answer. */
  refilledTokens: number;
}

export interface AnswerState {
  readonly answerId: AnswerId;
  meta: AnswerMeta;
  readonly owner: AttemptId;
  generation: number;
  tokens: string[];
  lineage: LineageSpan[];
  end: AnswerEnd | undefined;
  readonly attempts: Map<number, Attempt>;
  nextAttemptNumber: number;
  /** Consecutive failures without a new token. */
  failuresWithoutProgress: number;
  replica: Replica | undefined;
  /** Failed replicas and the time before which each is not chosen again. */
  readonly avoidedReplicas: Map<InstanceId, number>;
  /** Lost replicas. Each may have taken over and is asked when reachable. */
  readonly formerReplicaIds: Set<InstanceId>;
  unreplicatedRanges: UnreplicatedRange[];
  isUnreplicated: boolean;
  nextReplicaChoiceAtMs: number;
  /** Number of tokens that callers may read. */
  releasedCount: number;
  isEndReleased: boolean;
  isClosed: boolean;
  hedgeAllowedAtMs: number;
  /** Consecutive failed hedges without a new token. */
  failedHedges: number;
  readonly waste: TokenWaste;
}

export enum AnswerEventKind {
  Opened = "opened",
  TokensReceived = "tokensReceived",
  AttemptEnded = "attemptEnded",
  AttemptFailed = "attemptFailed",
  ReplicaChosen = "replicaChosen",
  CopyAnswered = "copyAnswered",
  ReplicaLost = "replicaLost",
  Ticked = "ticked",
  VersionRolledBack = "versionWithdrawn",
  Cancelled = "cancelled",
}

export type AnswerEvent =
  | { readonly kind: AnswerEventKind.Opened }
  | {
    readonly kind: AnswerEventKind.TokensReceived;
    readonly attemptNumber: number;
    readonly fromPosition: number;
    readonly tokens: readonly string[];
  }
  | {
    readonly kind: AnswerEventKind.AttemptEnded;
    readonly attemptNumber: number;
    readonly reason: FinishReason;
    readonly tokenCount: number;
  }
  | {
    readonly kind: AnswerEventKind.AttemptFailed;
    readonly attemptNumber: number;
    readonly errorKind: ErrorKind;
    readonly message: string;
  }
  | {
    readonly kind: AnswerEventKind.ReplicaChosen;
    readonly instanceId: InstanceId | undefined;
  }
  | {
    readonly kind: AnswerEventKind.CopyAnswered;
    readonly instanceId: InstanceId;
    readonly status: CopyStatus;
    readonly generation: number;
    readonly nextPosition: number;
    readonly isEnded: boolean;
  }
  | {
    readonly kind: AnswerEventKind.ReplicaLost;
    readonly instanceId: InstanceId;
  }
  | {
    readonly kind: AnswerEventKind.Ticked;
    /** Time without tokens that makes an attempt suspected, by its number. */
    readonly silenceLimitMs: ReadonlyMap<number, number>;
  }
  | {
    readonly kind: AnswerEventKind.VersionRolledBack;
    readonly stableVersion: string;
  }
  | { readonly kind: AnswerEventKind.Cancelled; readonly message: string };

export enum AnswerEffectKind {
  StartAttempt = "startAttempt",
  CancelAttempt = "cancelAttempt",
  ChooseReplica = "chooseReplica",
  SendCopy = "sendCopy",
  Released = "released",
  Reset = "reset",
  Closed = "closed",
  Superseded = "superseded",
}

export type AnswerEffect =
  | {
    readonly kind: AnswerEffectKind.StartAttempt;
    readonly attemptNumber: number;
    readonly fromPosition: number;
    readonly isHedge: boolean;
    readonly delayMs: number;
  }
  | {
    readonly kind: AnswerEffectKind.CancelAttempt;
    readonly attemptNumber: number;
  }
  | {
    readonly kind: AnswerEffectKind.ChooseReplica;
    readonly avoided: readonly InstanceId[];
  }
  | {
    readonly kind: AnswerEffectKind.SendCopy;
    readonly instanceId: InstanceId;
    readonly update: CopyUpdate;
  }
  | { readonly kind: AnswerEffectKind.Released }
  | { readonly kind: AnswerEffectKind.Reset }
  | { readonly kind: AnswerEffectKind.Closed }
  | { readonly kind: AnswerEffectKind.Superseded };
