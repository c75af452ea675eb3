/**
 * State, events and effects of one answer at the instance that owns it.
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

/** Tokens that were generated and not used, by cause. */
export interface TokenWaste {
  /** Generated again after the first copy was lost or dropped. */
  droppedTokens: number;
  /** Thrown away when the answer started over on another version. */
  discardedTokens: number;
  /** Journal tokens that engines prefilled again for a resume. */
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
  /** Failures in a row without a new token. */
  failuresWithoutProgress: number;
  replica: Replica | undefined;
  /** Replicas that failed are not chosen again before this time. */
  readonly avoidedReplicas: Map<InstanceId, number>;
  /** A lost replica may have taken over; it is asked when it is back. */
  readonly formerReplicaIds: Set<InstanceId>;
  unreplicatedRanges: UnreplicatedRange[];
  isUnreplicated: boolean;
  nextReplicaChoiceAtMs: number;
  /** Tokens that callers may see. */
  releasedCount: number;
  isEndReleased: boolean;
  isClosed: boolean;
  hedgeAllowedAtMs: number;
  /** Failed hedges in a row without a new token. */
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
  VersionWithdrawn = "versionWithdrawn",
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
    /** Silence beyond this makes an attempt suspect, by attempt number. */
    readonly silenceLimitMs: ReadonlyMap<number, number>;
  }
  | {
    readonly kind: AnswerEventKind.VersionWithdrawn;
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
