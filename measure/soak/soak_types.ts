/**
 * What callers, upstreams and the operator of a soak have observed. The checks
 * use nothing else.
 */

export type RequestKind = "safe" | "unsafe" | "stream";

/** One attempt of a request, as observed by its upstream. */
export interface ObservedAttempt {
  readonly requestId: string;
  readonly upstreamId: string;
  readonly version: string;
  readonly service: string;
  readonly atMs: number;
  readonly customer: string;
  readonly hasApiKey: boolean;
}

/** Answer to one request of a caller; every retry is a request of its own. */
export interface ObservedAnswer {
  readonly requestId: string;
  readonly kind: RequestKind;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** 0 without a response. */
  readonly status: number;
  /** Whether the response was received in full according to HTTP. */
  readonly isComplete: boolean;
  /** Ids of the events received with this answer, in order of arrival. */
  readonly eventIds: readonly number[];
  readonly hasExpectedContent: boolean;
  readonly lastEventId: number;
  readonly eventCount: number;
  /** The request had an API key that is in no configuration. */
  readonly hasForgedKey: boolean;
}

export interface ObservedSubmission {
  readonly number: number;
  readonly isValid: boolean;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  readonly status: number;
}

export interface ObservedRead {
  readonly sentAtMs: number;
  readonly status: number;
  /** Number of the configuration; 0 if it could not be read. */
  readonly number: number;
  readonly isFinal: boolean;
}

export interface ObservedMove {
  readonly target: string;
  readonly isBad: boolean;
  readonly submittedAtMs: number;
  readonly endsAtMs: number;
  readonly finalState: string;
}

export interface SoakRecord {
  readonly attempts: ObservedAttempt[];
  readonly answers: ObservedAnswer[];
  readonly submissions: ObservedSubmission[];
  readonly reads: ObservedRead[];
  readonly moves: ObservedMove[];
  /** Processes that exited without a signal of the soak. */
  readonly unexpectedExits: string[];
  /** Time from which the system must have recovered from all faults. */
  settledAtMs: number;
}

export const customerName = "clinic";
export const appService = "app";
export const modelService = "model";
