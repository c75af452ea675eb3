/**
 * What a trial of kept connections does and observes. The checks use only what
 * callers and upstreams have observed, and the entry's log.
 */
import type { LogFields } from "../../src/core/logger.ts";
import type { CallerConnection } from "./caller_connection.ts";

/** Parts of a trial that can be left out to narrow a finding down. */
export enum Feature {
  /** Sound upstreams that send nothing for a while and go on. */
  Silence = "silence",
  /** Upstreams that break responses off or answer out of order. */
  Breaks = "breaks",
  /** Upstreams that refuse connections for a while. */
  Outages = "outages",
  Refusals = "refusals",
  StatedLimits = "statedLimits",
  TableChanges = "tableChanges",
  ListChanges = "listChanges",
  /** Times in which the entry's process does nothing. */
  Pauses = "pauses",
  Pipelining = "pipelining",
  SlowReaders = "slowReaders",
  SlowSenders = "slowSenders",
  Leavers = "leavers",
  HalfClosers = "halfClosers",
  Drain = "drain",
}

export enum TrialRoute {
  Safe = "safe",
  Unsafe = "unsafe",
  Stream = "stream",
  ResumableStream = "resumable",
}

export interface SentRequest {
  readonly requestId: string;
  readonly route: TrialRoute;
  readonly connection: CallerConnection;
  readonly connectionNumber: number;
  /** Number of the response on the connection that belongs to the request. */
  readonly responseIndex: number;
  readonly deadlineMs: number;
  startedAtMs: number;
  /** Infinity until the last byte was written. */
  sentAtMs: number;
  /** Time at which the caller left or half-closed the connection. */
  leftAtMs: number | undefined;
}

/** How one run of a request ended at its upstream. */
export enum RunEnd {
  Open = "open",
  Complete = "complete",
  /** The upstream itself ended it, or answered with nonsense. */
  BrokenOff = "brokenOff",
  /** The entry closed the connection. */
  Cancelled = "cancelled",
}

export interface ObservedRun {
  readonly requestId: string;
  readonly upstreamId: string;
  readonly startedAtMs: number;
  readonly behaviour: string;
  end: RunEnd;
  endedAtMs: number | undefined;
}

export interface LogLine {
  readonly atMs: number;
  readonly event: number;
  readonly text: string;
  readonly fields: LogFields;
}

export interface TrialRecord {
  readonly requests: SentRequest[];
  readonly runs: ObservedRun[];
  readonly log: LogLine[];
  /** Least timeout of each route over the trial, by time of the change. */
  readonly timeouts: {
    readonly atMs: number;
    readonly timeoutMs: ReadonlyMap<TrialRoute, number>;
  }[];
  /** Exceptions that would have ended the process. */
  readonly uncaught: string[];
  drainStartedAtMs: number;
  graceMs: number;
  /** When the drain was over, after which the process exits. */
  drainedAtMs: number;
}
