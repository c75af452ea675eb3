/**
 * Decides which prompt parts and which requests crash upstreams. Pure.
 *
 * A crash ends all requests of an upstream, and most of them are sound. A part
 * that crashes every upstream is present in each of several crashes, in
 * different requests, and no run with it gets past its start in between. A
 * shared sound part is cleared by its other runs. A request without shared parts
 * is known by its own key, which its repetitions have too.
 *
 * Several upstreams that are lost at one moment count as one crash. What crashes
 * upstreams does so again when it is sent again: a crash is a further one for a
 * request if the request was sent after the last one.
 */
import type { InstanceId } from "../core/types.ts";
import {
  type CrashSuspect,
  formatPartKey,
  type PartKey,
  type SuspectedRequest,
} from "./quarantine_types.ts";

export interface Crash {
  readonly service: string;
  readonly upstreamId: string;
  readonly domainId: string;
  readonly atMs: number;
  readonly suspects: readonly ReportedSuspect[];
}

export interface ReportedSuspect extends CrashSuspect {
  /** The entry instance that sent the request; absent at this instance. */
  readonly reporterId?: InstanceId;
}

/** Runs with a part that got past their start. */
export interface SoundRuns {
  readonly lastAtMs: number;
  readonly ratePerS: number;
}

export enum PartStatus {
  Unknown = "unknown",
  Quarantined = "quarantined",
  /** Was quarantined before. */
  Released = "released",
}

export interface CrashEvidence {
  readonly crashes: readonly Crash[];
  getSoundRuns(key: PartKey): SoundRuns | undefined;
  getStatus(key: PartKey): PartStatus;
}

/** Upstreams that crash within this time crash together. */
const jointCrashMs = 200;
/** Reports of one moment by several instances differ by less. */
const reportSkewMs = 50;
const minCrashCount = 3;
const minCrashCountOfReleasedPart = 2;
const minCrashCountAtOneUpstream = 5;
/** A single request may also crash upstreams by what no other request shares. */
const minRequestCount = 2;
/** Time for reports of sound runs to arrive from all entry instances. */
const minEvidenceAgeMs = 1_500;
/** Time in which an equal request may run after the last crash. */
const minSinceLastCrashMs = 500;
/**
 * A part that was sound until now needs more evidence: a fault that lasts would
 * also have kept its usual runs from starting.
 */
const minCrashCountOfSoundPart = 4;
const minMissingRuns = 5;
/**
 * The usual runs of a rare part are missed too late. Instead, none of several
 * requests may have run: a sound one runs elsewhere soon after a crash.
 */
const minCrashCountOfRarePart = 5;
const minRequestCountOfRarePart = 4;

interface Candidate {
  readonly key: PartKey;
  /** Position in the prompt; later parts are shared by fewer requests. */
  position: number;
  readonly crashes: Set<Crash>;
  readonly requestKeys: Set<string>;
}

/** Returns the parts to quarantine that are not quarantined yet. */
export function findCrashingParts(
  evidence: CrashEvidence,
  nowMs: number,
): PartKey[] {
  return [
    ...findSharedParts(evidence, nowMs),
    ...findRequests(evidence, nowMs),
  ];
}

function findSharedParts(evidence: CrashEvidence, nowMs: number): PartKey[] {
  const found: PartKey[] = [];
  let crashes = listUnexplained(evidence.crashes, evidence);
  while (true) {
    const candidates = listCandidates(crashes, evidence).filter((candidate) =>
      isCrashing(candidate, evidence, nowMs)
    );
    // Of parts that occur together, the later one is the more specific.
    const worst = candidates.sort((left, right) =>
      right.position - left.position ||
      right.crashes.size - left.crashes.size
    )[0];
    if (!worst) {
      return found;
    }
    found.push(worst.key);
    crashes = crashes.filter((crash) =>
      !worst.crashes.has(crash)
    );
  }
}

/**
 * Finds requests that crashed upstreams on their own. Which of the parts of a
 * prompt is to blame is unknown, so only its own part is returned, and the
 * crashes stay evidence against the shared ones.
 */
function findRequests(evidence: CrashEvidence, nowMs: number): PartKey[] {
  return listRequests(evidence).filter(({ key, crashes }) =>
    countSentAgain(crashes) >= getMinCrashCount(key, crashes, evidence) &&
    nowMs - getFirstAtMs(crashes) >= minEvidenceAgeMs &&
    nowMs - getLastAtMs(crashes) >= minSinceLastCrashMs
  ).map(({ key }) => key);
}

function getMinCrashCount(
  key: PartKey,
  crashes: readonly Crash[],
  evidence: CrashEvidence,
): number {
  // A single upstream may also fail again and again for its own reasons.
  if (new Set(crashes.map(({ upstreamId }) => upstreamId)).size === 1) {
    return minCrashCountAtOneUpstream;
  }
  return evidence.getStatus(key) === PartStatus.Released
    ? minCrashCountOfReleasedPart
    : minCrashCount;
}

/**
 * Returns the requests without shared parts that were present in crashes, the
 * most suspected first. Those that ran since are included with a count of 0, as
 * the reports of these runs are still needed.
 */
export function listSuspectedRequests(
  evidence: CrashEvidence,
  nowMs: number,
  maxCount: number,
): SuspectedRequest[] {
  return listRequests(evidence)
    .filter(({ hasSharedParts }) => !hasSharedParts)
    .map(({ key, crashes }) => {
      const runs = evidence.getSoundRuns(key);
      return {
        key,
        crashCount: countSentAgain(crashes),
        lastCrashAgeMs: crashes.length > 0 ? getAgeMs(getLastAtMs(crashes)) : 0,
        ...(runs ? { lastRunAgeMs: getAgeMs(runs.lastAtMs) } : {}),
      };
    })
    .sort((left, right) =>
      right.crashCount - left.crashCount ||
      left.lastCrashAgeMs - right.lastCrashAgeMs
    )
    .slice(0, maxCount);

  function getAgeMs(atMs: number): number {
    return Math.max(0, nowMs - atMs);
  }
}

interface RequestCandidate {
  readonly key: PartKey;
  /** Crashes after which neither the request nor all of its parts have run. */
  readonly crashes: RequestCrash[];
  readonly hasSharedParts: boolean;
}

interface RequestCrash extends Crash {
  /** When the request was sent to the upstream, as far as is known. */
  readonly sentAtMs: number | undefined;
  readonly reporterId: InstanceId | undefined;
}

function listRequests(evidence: CrashEvidence): RequestCandidate[] {
  const candidates = new Map<string, RequestCandidate>();
  for (const crash of listUnexplained(evidence.crashes, evidence)) {
    for (const suspect of crash.suspects) {
      const { requestKey, partIds } = suspect;
      const key: PartKey = [crash.service, requestKey];
      if (requestKey === "") continue;
      if (evidence.getStatus(key) === PartStatus.Quarantined) continue;
      const id = formatPartKey(...key);
      const candidate = candidates.get(id) ??
        { key, crashes: [], hasSharedParts: partIds.length > 0 };
      candidates.set(id, candidate);
      const isNeighbour = [requestKey, ...partIds].every((partId) =>
        isCleared(crash, partId, evidence)
      );
      if (isNeighbour) continue;
      addRequestCrash(candidate.crashes, crash, suspect);
    }
  }
  return [...candidates.values()];
}

/** Of equal requests at the upstream, the one that was sent last counts. */
function addRequestCrash(
  crashes: RequestCrash[],
  crash: Crash,
  { sentBeforeMs, reporterId }: ReportedSuspect,
): void {
  const sentAtMs = sentBeforeMs === undefined
    ? undefined
    : crash.atMs - sentBeforeMs;
  const last = crashes.at(-1);
  if (last?.upstreamId !== crash.upstreamId || last.atMs !== crash.atMs) {
    crashes.push({ ...crash, sentAtMs, reporterId });
  } else if ((sentAtMs ?? -Infinity) > (last.sentAtMs ?? -Infinity)) {
    crashes[crashes.length - 1] = { ...last, sentAtMs, reporterId };
  }
}

function getFirstAtMs(crashes: readonly Crash[]): number {
  return Math.min(...crashes.map(({ atMs }) => atMs));
}

function getLastAtMs(crashes: readonly Crash[]): number {
  return Math.max(...crashes.map(({ atMs }) => atMs));
}

/** Whether a run with the part got past its start after the crash. */
function isCleared(
  { service, atMs }: Crash,
  partId: string,
  evidence: CrashEvidence,
): boolean {
  const sound = evidence.getSoundRuns([service, partId]);
  return sound !== undefined && sound.lastAtMs >= atMs;
}

/** Returns the parts that may become evidence, the most suspected first. */
export function listSuspectedParts(
  evidence: CrashEvidence,
  maxCount: number,
): PartKey[] {
  return listCandidates(
    listUnexplained(evidence.crashes, evidence),
    evidence,
  ).sort((left, right) => right.crashes.size - left.crashes.size)
    .slice(0, maxCount).map(({ key }) => key);
}

/**
 * A quarantined part explains the crashes that it was present in, and so does a
 * quarantined request without shared parts.
 */
function listUnexplained(
  crashes: readonly Crash[],
  evidence: CrashEvidence,
): Crash[] {
  return crashes.filter(({ service, suspects }) =>
    !suspects.some(({ requestKey, partIds }) =>
      (partIds.length > 0 ? partIds : [requestKey]).some((partId) =>
        evidence.getStatus([service, partId]) === PartStatus.Quarantined
      )
    )
  );
}

function listCandidates(
  crashes: readonly Crash[],
  evidence: CrashEvidence,
): Candidate[] {
  const candidates = new Map<string, Candidate>();
  for (const crash of crashes) {
    for (const { requestKey, partIds } of crash.suspects) {
      for (const [position, partId] of partIds.entries()) {
        const key: PartKey = [crash.service, partId];
        if (isCleared(crash, partId, evidence)) continue;
        const id = formatPartKey(crash.service, partId);
        const candidate = candidates.get(id) ??
          { key, position, crashes: new Set(), requestKeys: new Set() };
        candidate.position = Math.max(candidate.position, position);
        candidate.crashes.add(crash);
        candidate.requestKeys.add(requestKey);
        candidates.set(id, candidate);
      }
    }
  }
  return [...candidates.values()];
}

function isCrashing(
  { key, crashes, requestKeys }: Candidate,
  evidence: CrashEvidence,
  nowMs: number,
): boolean {
  const crashCount = countSeparateCrashes([...crashes]);
  if (evidence.getStatus(key) === PartStatus.Released) {
    return crashCount >= minCrashCountOfReleasedPart;
  }
  if (requestKeys.size < minRequestCount) return false;
  const firstAtMs = getFirstAtMs([...crashes]);
  if (nowMs - firstAtMs < minEvidenceAgeMs) return false;
  const sound = evidence.getSoundRuns(key);
  if (!sound) return crashCount >= minCrashCount;
  const silentMs = nowMs - minEvidenceAgeMs - firstAtMs;
  const areRunsMissing = crashCount >= minCrashCountOfSoundPart &&
    sound.ratePerS * silentMs / 1_000 >= minMissingRuns;
  const hasNoRequestRun = crashCount >= minCrashCountOfRarePart &&
    requestKeys.size >= minRequestCountOfRarePart;
  return areRunsMissing || hasNoRequestRun;
}

/** Counts crashes, those of one moment only once. */
function countSeparateCrashes(crashes: readonly Crash[]): number {
  return countFurther(
    crashes,
    (crash, last) => crash.atMs - last.atMs >= jointCrashMs,
  );
}

/**
 * Counts the crashes of a request that was sent again after each of them. A
 * request that was already at several upstreams when the first of them was lost
 * tells no more than one loss.
 */
function countSentAgain(crashes: readonly RequestCrash[]): number {
  return countFurther(crashes, ({ atMs, sentAtMs, reporterId }, last) => {
    if (sentAtMs === undefined) return atMs - last.atMs >= jointCrashMs;
    const skewMs = reporterId === last.reporterId ? 0 : reportSkewMs;
    return sentAtMs - last.atMs >= skewMs;
  });
}

/** Counts the crashes that are further ones after the last one that counted. */
function countFurther<T extends Crash>(
  crashes: readonly T[],
  isFurther: (crash: T, last: T) => boolean,
): number {
  let last: T | undefined;
  let count = 0;
  const ordered = [...crashes].sort((left, right) => left.atMs - right.atMs);
  for (const crash of ordered) {
    if (last && !isFurther(crash, last)) continue;
    last = crash;
    count += 1;
  }
  return count;
}

export type CrashDecision =
  /** Resume like any stream that lost its engine. */
  | { readonly kind: "resume" }
  /** Resume later: other crashes may show by then whether a part is to blame. */
  | { readonly kind: "delay"; readonly delayMs: number }
  | { readonly kind: "stop" };

const maxCrashesOfRequest = 3;
const resumeDelayMs = 1_000;

/**
 * Decides how a request goes on after `crashCount` engines ended shortly after
 * it may have started to run on them. A request of which all parts are known to
 * be sound is a neighbour of the one that crashed the engine.
 */
export function decideAfterCrash(
  { crashCount, isOfSoundParts }: {
    readonly crashCount: number;
    readonly isOfSoundParts: boolean;
  },
): CrashDecision {
  if (isOfSoundParts || crashCount < 2) return { kind: "resume" };
  return crashCount < maxCrashesOfRequest
    ? { kind: "delay", delayMs: resumeDelayMs }
    : { kind: "stop" };
}

export type SendDecision =
  | { readonly kind: "send" }
  /** The upstreams that the request may have crashed are not back yet. */
  | {
    readonly kind: "hold";
    readonly waitMs: number;
    /** The crashes are enough to quarantine the request. */
    readonly isCrashing: boolean;
  };

/** A crash leaves requests beside the one to blame, which is sent elsewhere. */
const minCrashCountToHold = 2;
/** An upstream that crashed is back, and listed with its new id, after this. */
const recoveryMs = 5_000;

/**
 * Decides whether a request without shared parts is sent that was present in
 * `crashCount` crashes and has not run since. Holding it back keeps it from
 * crashing all upstreams of a small service at once, and gives control the time
 * to combine the evidence.
 */
export function decideOnSuspect(
  { crashCount, sinceLastCrashMs }: {
    readonly crashCount: number;
    readonly sinceLastCrashMs: number;
  },
): SendDecision {
  return crashCount < minCrashCountToHold || sinceLastCrashMs >= recoveryMs
    ? { kind: "send" }
    : {
      kind: "hold",
      waitMs: recoveryMs - sinceLastCrashMs,
      isCrashing: crashCount >= minCrashCount,
    };
}
