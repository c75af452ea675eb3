/**
 * The metrics of an entry instance.
 */
import type {
  MetricCounter,
  MetricsRegistry,
  MetricTimer,
} from "../core/metrics_registry.ts";

export interface ForwardingMetrics {
  /** By status class; "closed" for responses that were not completed. */
  readonly answers: MetricCounter;
  /** Responses that were not completed, by how their connection ended. */
  readonly incompleteResponses: MetricCounter;
  /** Requests refused before an attempt, by kind of error. */
  readonly refusals: MetricCounter;
  /** Requests refused because this instance is short of capacity. */
  readonly overloadRefusals: MetricCounter;
  /** Figures of this instance that can't be right. */
  readonly absurdFigures: MetricCounter;
  /** Calls refused by the scheduling under load, by reason. */
  readonly refusedCalls: MetricCounter;
  /** Time that calls waited here before they were sent, by priority. */
  readonly callWaitTime: MetricTimer;
  /** Failed attempts of non-streaming calls, by outcome. */
  readonly failedAttempts: MetricCounter;
  /** Lost attempts of streams, by the decision that followed. */
  readonly lostAttempts: MetricCounter;
  /** Repeats that the shared retry budget did not allow. */
  readonly refusedRepeats: MetricCounter;
  /** Replacements of lost KV cache copies, by outcome. */
  readonly copies: MetricCounter;
  /** Responses whose stated load has a figure that states nothing. */
  readonly invalidLoads: MetricCounter;
  /** Waits of streams at this instance, by rank and reason. */
  readonly streamWaitTime: MetricTimer;
  /** Streams that were refused or given up while they waited here. */
  readonly refusedStreams: MetricCounter;
  /** Placed streams of ranked services, by rank and kind of engine. */
  readonly scheduledStreams: MetricCounter;
  /** Attempts by service, failure domain, and why requests leave or stay. */
  readonly domainAttempts: MetricCounter;
  /** Bytes to and from other failure domains, by service. */
  readonly domainBytes: MetricCounter;
  readonly answerTime: MetricTimer;
  readonly firstEventTime: MetricTimer;
  /** Longest gap between two events of a stream. */
  readonly eventGapTime: MetricTimer;
}

export function createForwardingMetrics(
  registry: MetricsRegistry,
): ForwardingMetrics {
  return {
    answers: registry.createCounter(
      "answers",
      "Requests by the class of their final status.",
      ["status"],
    ),
    incompleteResponses: registry.createCounter(
      "incomplete_responses",
      "Responses that were not completed, by how their connection ended.",
      ["end"],
    ),
    refusals: registry.createCounter(
      "refusals",
      "Requests that were refused before an attempt, by kind of error.",
      ["kind"],
    ),
    overloadRefusals: registry.createCounter(
      "overload_refusals",
      "Requests that were refused because this instance is short of capacity, " +
        "by what is short.",
      ["shortage"],
    ),
    absurdFigures: registry.createCounter(
      "overload_absurd_figures",
      "Figures of this instance that can't be right and were ignored.",
    ),
    refusedCalls: registry.createCounter(
      "refused_calls",
      "Calls that were refused because no upstream would take them in time, " +
        "by reason.",
      ["reason"],
    ),
    callWaitTime: registry.createTimer(
      "call_wait",
      "Time that a call waited here until it was sent to an upstream.",
      ["priority"],
    ),
    failedAttempts: registry.createCounter(
      "failed_attempts",
      "Attempts of plain calls that failed, by outcome.",
      ["outcome"],
    ),
    lostAttempts: registry.createCounter(
      "lost_runs",
      "Runs of streams that were lost, by what followed.",
      ["decision"],
    ),
    refusedRepeats: registry.createCounter(
      "refused_repeats",
      "Repeats that the shared retry budget did not allow.",
      ["service", "urgency"],
    ),
    copies: registry.createCounter(
      "restored_copies",
      "Copies of runs that were made anew, by outcome.",
      ["outcome"],
    ),
    invalidLoads: registry.createCounter(
      "invalid_load_reports",
      "Responses whose stated load has an unreadable or huge figure.",
    ),
    streamWaitTime: registry.createTimer(
      "stream_wait",
      "Time for which a stream waited here, by rank and reason.",
      ["rank", "reason"],
    ),
    refusedStreams: registry.createCounter(
      "refused_streams",
      "Streams that were refused when they arrived or waited, by reason.",
      ["rank", "reason"],
    ),
    scheduledStreams: registry.createCounter(
      "scheduled_streams",
      "Streams that were placed by urgency, by rank and whether their engine " +
        "is one of those that are left to more urgent streams.",
      ["rank", "engine"],
    ),
    domainAttempts: registry.createCounter(
      "domain_attempts",
      "Attempts of services under load, by domain and state of the choice.",
      ["service", "domain", "reason"],
    ),
    domainBytes: registry.createCounter(
      "domain_bytes",
      "Bytes of requests and responses to and from other failure domains.",
      ["service", "domain"],
    ),
    answerTime: registry.createTimer(
      "answer",
      "Time from the arrival of a request to the end of its answer.",
      ["status"],
    ),
    firstEventTime: registry.createTimer(
      "first_event",
      "Time from the arrival of a request to the first event of its stream.",
    ),
    eventGapTime: registry.createTimer(
      "event_gap",
      "Longest pause between two events of a stream.",
    ),
  };
}
