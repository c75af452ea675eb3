/**
 * Central types that most modules share: identities, requests, upstreams,
 * instances and versions.
 */

export type InstanceId = string;
export type DomainId = string;
export type CustomerId = string;
export type UpstreamId = string;
export type AnswerId = string;

export enum InstanceState {
  Live = "live",
  Leaving = "leaving",
}

export interface InstanceInfo {
  readonly instanceId: InstanceId;
  readonly domainId: DomainId;
  readonly host: string;
  readonly peerPort: number;
  readonly state: InstanceState;
  /** Increases with every start of the process. */
  readonly incarnation: number;
  /** The instance keeps the control log. */
  readonly isControl?: boolean | undefined;
}

export enum UpstreamKind {
  Engine = "engine",
  Application = "application",
}

export enum UpstreamState {
  Live = "live",
  Leaving = "leaving",
}

export interface UpstreamInfo {
  readonly upstreamId: UpstreamId;
  readonly kind: UpstreamKind;
  /** Service name: a model for engines, an application for workers. */
  readonly service: string;
  /** Model version an engine serves; empty for application workers. */
  readonly version: string;
  readonly domainId: DomainId;
  readonly baseUrl: string;
  readonly state: UpstreamState;
}

/** One caller's request for a generation, after validation. */
export interface GenerationRequest {
  readonly model: string;
  readonly adapter: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly route: string;
  /** Higher goes first at the engines. */
  readonly priority: number;
}

/** An attempt is one run of an answer on one engine. */
export interface AttemptId {
  readonly attemptNumber: number;
  /** The instance that runs the attempt. */
  readonly instanceId: InstanceId;
}

/** The tokens from `fromPosition` up to the next span came from the attempt. */
export interface LineageSpan extends AttemptId {
  readonly fromPosition: number;
}

export enum FinishReason {
  Stop = "stop",
  Length = "length",
  Failed = "failed",
}

/** The end of an answer: the reason and the total number of tokens. */
export interface AnswerEnd {
  readonly reason: FinishReason;
  readonly tokenCount: number;
  /** Set when the reason is `failed`. */
  readonly errorMessage: string;
}

export function isSameAttempt(left: AttemptId, right: AttemptId): boolean {
  return left.attemptNumber === right.attemptNumber &&
    left.instanceId === right.instanceId;
}

/** Orders attempts: by number, then by instance, so that ties have a winner. */
export function compareAttempts(left: AttemptId, right: AttemptId): number {
  if (left.attemptNumber !== right.attemptNumber) {
    return left.attemptNumber - right.attemptNumber;
  }
  if (left.instanceId === right.instanceId) return 0;
  return left.instanceId < right.instanceId ? -1 : 1;
}
