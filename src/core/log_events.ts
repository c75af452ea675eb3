/**
 * The numbered log events. `docs/log_events.md` lists them for operators.
 *
 * Numbers are stable: an event keeps its number, and the number of a removed
 * event is not reused. The thousands digit denotes the area.
 */

export enum LogLevel {
  Debug = "debug",
  Info = "info",
  Warn = "warn",
  Error = "error",
}

export interface LogEvent {
  readonly number: number;
  readonly level: LogLevel;
  readonly text: string;
}

function event(number: number, level: LogLevel, text: string): LogEvent {
  return { number, level, text };
}

const { Debug, Info, Warn, Error: Failure } = LogLevel;

export const logEvents = {
  // 1xxx: process
  daemonStarted: event(1001, Info, "daemon started"),
  daemonStopping: event(1002, Info, "daemon started a graceful shutdown"),
  daemonStopped: event(1003, Info, "daemon stopped"),
  taskRestarted: event(
    1004,
    Warn,
    "task failed; restarting it after a backoff",
  ),
  taskRestartsExhausted: event(
    1005,
    Failure,
    "task exceeded its restart limit",
  ),
  unexpectedError: event(1006, Failure, "unexpected internal error"),
  settingsReloaded: event(1008, Info, "settings reloaded"),
  settingsRejected: event(
    1009,
    Warn,
    "changed settings rejected; keeping the previous settings",
  ),
  logLinesDropped: event(1010, Warn, "log lines dropped; counts per event"),
  drainWaiting: event(
    1007,
    Info,
    "drain is waiting for open answers and requests",
  ),
  // 2xxx: answers
  answerOpened: event(2001, Debug, "answer opened at this instance"),
  answerFinished: event(2002, Debug, "answer finished"),
  attemptStarted: event(
    2004,
    Debug,
    "attempt of an answer started on an engine",
  ),
  answerAttemptFailed: event(
    2005,
    Warn,
    "attempt of an answer failed",
  ),
  attemptHedged: event(
    2006,
    Warn,
    "engine is silent; scheduling a hedged attempt of the answer",
  ),
  answerReplicaLost: event(
    2007,
    Warn,
    "copy of an answer not acknowledged; its replica is considered lost",
  ),
  answerUnreplicated: event(
    2008,
    Warn,
    "no instance available as a replica; the answer is unreplicated",
  ),
  answerTakenOver: event(
    2009,
    Warn,
    "answer taken over from its previous owner",
  ),
  answerSuperseded: event(2010, Warn, "answer superseded by a newer owner"),
  answerReset: event(
    2011,
    Warn,
    "answer reset; restarting it on another version",
  ),
  staleOwnersNotified: event(
    2101,
    Info,
    "instance reachable; notifying it of newer owners of answers",
  ),
  // 3xxx: application calls
  callOutcomeUnknown: event(
    3001,
    Warn,
    "application call dispatched without a response; outcome unknown",
  ),
  claimFailed: event(
    3003,
    Warn,
    "claim of an idempotency key, or its outcome, not confirmed as committed",
  ),
  // 4xxx: upstreams
  upstreamAdded: event(4001, Info, "upstream added"),
  upstreamLeaving: event(4002, Info, "upstream is leaving"),
  upstreamRemoved: event(4003, Info, "upstream removed"),
  upstreamCircuitOpened: event(
    4004,
    Warn,
    "circuit of an upstream opened after a failure of the upstream",
  ),
  upstreamCircuitClosed: event(4005, Info, "circuit of an upstream closed"),
  cacheEventsGap: event(
    4006,
    Debug,
    "gap in the cache events of an engine; requesting a resync",
  ),
  upstreamSuspected: event(
    4101,
    Warn,
    "circuit of an upstream opened because the upstream is silent",
  ),
  upstreamProbed: event(
    4102,
    Info,
    "circuit of an upstream half open; probing it with one request",
  ),
  cacheEventsFailed: event(
    4103,
    Debug,
    "cache events of an engine could not be read",
  ),
  hedgeRefused: event(4104, Warn, "hedged attempt refused by the retry budget"),
  upstreamSuspended: event(
    4203,
    Warn,
    "upstream suspended; it receives no new requests for a time",
  ),
  upstreamSuccessorFound: event(
    4205,
    Info,
    "engine restarted under another id; used before the list names it",
  ),
  successorNotConfirmed: event(
    4206,
    Info,
    "another upstream has the address and is not known to be of the service",
  ),
  versionMoveOrdered: event(
    4210,
    Info,
    "order of a version move acknowledged, or in conflict with another one",
  ),
  operatorOrderRefused: event(4211, Warn, "order of an operator refused"),
  versionMoveChanged: event(4204, Info, "progress of a version move proposed"),
  upstreamViewChanged: event(4201, Info, "upstream view changed"),
  upstreamListReadDirectly: event(
    4202,
    Warn,
    "upstream view not confirmed by a control instance; list read directly",
  ),
  upstreamLimited: event(
    4207,
    Warn,
    "upstream states a limit of its requests; this instance uses its share",
  ),
  upstreamLimitEnded: event(
    4208,
    Info,
    "upstream states no limit any more; see how many requests it got here",
  ),
  upstreamWaits: event(
    4209,
    Info,
    "upstream wants no requests from this instance for a time",
  ),
  upstreamSpeedChanged: event(
    4220,
    Info,
    "learned speed of an upstream changed; factors above 1 are slower than its service",
  ),
  // 5xxx: peers and membership
  peerConnected: event(5001, Debug, "peer connection established"),
  peerLost: event(5002, Warn, "peer connection lost"),
  peerRejected: event(5003, Warn, "peer connection rejected"),
  instanceLost: event(
    5004,
    Warn,
    "instance unreachable; it is considered lost",
  ),
  instanceReachable: event(5005, Info, "instance reachable"),
  platformListFailed: event(5006, Warn, "platform list could not be read"),
  peerConnectFailed: event(5007, Debug, "peer connection failed"),
  processPaused: event(5101, Warn, "this process was paused"),
  // 6xxx: control
  leaderElected: event(6001, Info, "this instance became the control leader"),
  leaderSteppedDown: event(
    6002,
    Warn,
    "this instance stepped down as the control leader",
  ),
  ticketAccepted: event(6003, Info, "ticket accepted"),
  ticketRejected: event(6004, Info, "ticket rejected"),
  configurationApplied: event(6005, Info, "configuration applied"),
  orderIssued: event(6007, Info, "order for an engine issued"),
  storageFailed: event(6008, Failure, "data folder could not be written"),
  trafficLeaseExpired: event(
    6010,
    Warn,
    "traffic lease expired; using the stable version",
  ),
  configurationPullEnded: event(
    6201,
    Debug,
    "pull of the configuration from a peer ended",
  ),
  configurationPushFailed: event(
    6202,
    Debug,
    "configuration could not be pushed to a peer",
  ),
  configurationCacheFailed: event(
    6203,
    Warn,
    "configuration cache could not be read",
  ),
  rolloutChanged: event(
    6301,
    Info,
    "rollout started, or changed its phase or share",
  ),
  versionRolledBack: event(6302, Warn, "candidate version rolled back"),
  candidateFaultDetected: event(
    6303,
    Warn,
    "fault of a candidate version detected; sending it no more requests",
  ),
  orderReissued: event(6304, Info, "order for an engine issued again"),
  orderRejected: event(6305, Warn, "order rejected by an engine as stale"),
  usageReportFailed: event(
    6401,
    Warn,
    "usage report not confirmed as committed by the control log",
  ),
  controlLogOpened: event(6101, Info, "control log opened"),
  controlGroupBootstrapped: event(6102, Warn, "new control group bootstrapped"),
  votersChanging: event(
    6103,
    Warn,
    "change of the control log's voters started",
  ),
  controlGroupMismatch: event(
    6104,
    Warn,
    "message from another control group rejected",
  ),
  controlLogStopped: event(
    6105,
    Failure,
    "control log failed; reopening it from its folder",
  ),
  operatorCommandSlow: event(
    6106,
    Warn,
    "operator's command failed or took over 0.5 s",
  ),
  requestsQuarantined: event(
    6501,
    Warn,
    "prompt part or request crashes upstreams; such requests are refused",
  ),
  quarantineChanged: event(
    6502,
    Info,
    "change of the quarantine committed",
  ),
  quarantineCacheFailed: event(
    6503,
    Warn,
    "quarantine could not be stored for the next start",
  ),
  // 7xxx: callers
  requestAnsweredWithError: event(
    7001,
    Debug,
    "request answered with an error",
  ),
  requestFailed: event(7002, Warn, "request failed"),
  admissionRefused: event(
    7101,
    Info,
    "request refused by admission control or cancelled in its queue",
  ),
  answerAbandoned: event(
    7102,
    Info,
    "answer cancelled: its caller was disconnected for too long",
  ),
  forwardingFailed: event(
    7201,
    Warn,
    "request ended without a complete answer",
  ),
  attemptFailed: event(
    7202,
    Info,
    "attempt of a request failed at an upstream",
  ),
  callerLeft: event(
    7203,
    Info,
    "caller disconnected before its answer was complete",
  ),
  requestEnded: event(
    7204,
    Info,
    "request ended; status 0 means without a complete response",
  ),
  forwardingRefused: event(
    7205,
    Info,
    "request refused before its first attempt",
  ),
  streamAttemptFailed: event(
    7206,
    Info,
    "attempt of a stream failed; the decision says whether it resumes",
  ),
  engineLost: event(
    7207,
    Warn,
    "engine is silent; its streams resume on other engines if they can",
  ),
  streamPlaced: event(7208, Info, "stream placed on an engine"),
  copyRequestEnded: event(
    7210,
    Info,
    "request for a KV cache copy of a stream ended; see the outcome",
  ),
  streamEnded: event(7209, Info, "stream ended"),
  streamResumed: event(
    7211,
    Info,
    "first event of a stream after the loss of an attempt",
  ),
  streamWaits: event(
    7260,
    Info,
    "stream waits at this instance; see the reason",
  ),
  streamWaitEnded: event(7261, Info, "wait of a stream ended"),
  streamRefused: event(
    7262,
    Info,
    "stream refused, since its deadline can't be met",
  ),
  streamStaysAtSilentEngine: event(
    7213,
    Info,
    "stream stays at an engine that may be lost, since it can't go on elsewhere yet",
  ),
  streamRunsLost: event(
    7216,
    Info,
    "engine has a new lifetime; the streams that ran on it are lost",
  ),
  callerConnectionFailed: event(
    7214,
    Info,
    "caller's connection sent no valid request, or too slowly",
  ),
  callerLimitReached: event(
    7215,
    Warn,
    "callers were beyond limits; counts per limit in the last second",
  ),
  responseIncomplete: event(
    7212,
    Info,
    "connection ended before its response was complete; see who ended it",
  ),
  callWaited: event(
    7240,
    Info,
    "call waited here until an upstream was expected to start it soon",
  ),
  callRefused: event(
    7241,
    Info,
    "call refused because no upstream would take it in time; see the refusal",
  ),
  overloadStarted: event(
    7270,
    Warn,
    "instance is short of capacity and refuses a part of the requests",
  ),
  overloadEnded: event(
    7271,
    Info,
    "instance is no longer short of capacity; see how many it refused",
  ),
  domainShareChanged: event(
    7231,
    Info,
    "share sent to other failure domains changed; see the reason",
  ),
  retryRefused: event(7103, Info, "retry refused by the retry budget"),
} as const satisfies Record<string, LogEvent>;
