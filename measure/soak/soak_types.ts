/**
 * What callers and upstreams of a soak have seen. The checks know nothing else.
 */

export type RequestKind = "safe" | "unsafe" | "stream";

/** One run of a request at an upstream. */
export interface SeenRun {
  readonly requestId: string;
  readonly upstreamId: string;
  readonly version: string;
  readonly service: string;
  readonly atMs: number;
  readonly customer: string;
  readonly hasApiKey: boolean;
}

/** One attempt of a caller, with its own id. */
export interface SeenAnswer {
  readonly requestId: string;
  readonly kind: RequestKind;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** 0 without a response. */
  readonly status: number;
  /** The response ended as HTTP says that it should. */
  readonly isComplete: boolean;
  /** The events of this attempt, by id. */
  readonly eventIds: readonly number[];
  readonly isContentRight: boolean;
  readonly lastEventId: number;
  readonly eventCount: number;
  /** The key is one that no configuration holds. */
  readonly isForged: boolean;
}

export interface SeenOrder {
  readonly number: number;
  readonly isValid: boolean;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  readonly status: number;
}

export interface SeenRead {
  readonly sentAtMs: number;
  readonly status: number;
  /** Number of the configuration; 0 if it could not be read. */
  readonly number: number;
  readonly isFinal: boolean;
}

export interface SeenMove {
  readonly target: string;
  readonly isBad: boolean;
  readonly orderedAtMs: number;
  readonly endsAtMs: number;
  readonly finalState: string;
}

export interface SoakRecord {
  readonly runs: SeenRun[];
  readonly answers: SeenAnswer[];
  readonly orders: SeenOrder[];
  readonly reads: SeenRead[];
  readonly moves: SeenMove[];
  /** Processes that ended without a signal of the soak. */
  readonly exits: string[];
  /** From then on all faults are over. */
  settledAtMs: number;
}

export const customerName = "clinic";
export const appService = "app";
export const modelService = "model";
