/**
 * Types that most modules share: identities, requests, upstreams, instances and
 * versions.
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
  /** Increases with every start of the instance's process. */
  readonly incarnation: number;
  /** Whether the instance holds a replica of the control log. */
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
  /** Name of the model for engines, of the application for workers. */
  readonly service: string;
  /** Model version that an engine serves; empty for application workers. */
  readonly version: string;
  readonly domainId: DomainId;
  readonly baseUrl: string;
  readonly state: UpstreamState;
}

/** A caller's request for a model's answer, after validation. */
export interface GenerationRequest {
  readonly model: string;
  readonly adapter: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly route: string;
  /** Engines run requests with a higher priority first. */
  readonly priority: number;
}

/** Identifies an attempt: one execution of an answer on one engine. */
export interface AttemptId {
  readonly attemptNumber: number;
  /** The instance that runs the attempt. */
  readonly instanceId: InstanceId;
}

/** The attempt generated the tokens from `fromPosition` up to the next span. */
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
  /** Not empty if the reason is `failed`. */
  readonly errorMessage: string;
}

export function isSameAttempt(left: AttemptId, right: AttemptId): boolean {
  return left.attemptNumber === right.attemptNumber &&
    left.instanceId === right.instanceId;
}

/** Orders attempts by number, then by instance, so that the order is total. */
export function compareAttempts(left: AttemptId, right: AttemptId): number {
  if (left.attemptNumber !== right.attemptNumber) {
    return left.attemptNumber - right.attemptNumber;
  }
  if (left.instanceId === right.instanceId) return 0;
  return left.instanceId < right.instanceId ? -1 : 1;
}
