/**
 * Decides which prompt parts crash engines. Pure.
 *
 * A crash ends all streams of an engine, and each of them has sound parts too. A
 * part that crashes every engine is present in each of several crashes, in
 * different requests, and no run with it gets past its start in between. A
 * shared sound part is cleared by its other runs, and crashes of a whole failure
 * domain at the same moment count once.
 */
import {
  type CrashSuspect,
  formatPartKey,
  type PartKey,
} from "./quarantine_types.ts";

export interface Crash {
  readonly service: string;
  readonly upstreamId: string;
  readonly domainId: string;
  readonly atMs: number;
  readonly suspects: readonly CrashSuspect[];
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

/** Engines of a failure domain that crash within this time crash together. */
const jointCrashMs = 100;
const minCrashCount = 3;
const minCrashCountOfReleasedPart = 2;
/** A single request may also crash engines by what no other request shares. */
const minRequestCount = 2;
/** Time for reports of sound runs to arrive from all entry instances. */
const minEvidenceAgeMs = 1_500;
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
 * Finds requests that crashed engines on their own. Which of their parts is to
 * blame is unknown, so only their own part is returned, and their crashes stay
 * evidence against the shared ones.
 */
function findRequests(evidence: CrashEvidence, nowMs: number): PartKey[] {
  const crashesByKey = new Map<string, { key: PartKey; crashes: Crash[] }>();
  for (const crash of listUnexplained(evidence.crashes, evidence)) {
    for (const { requestKey, partIds } of crash.suspects) {
      const key: PartKey = [crash.service, requestKey];
      const isNeighbour = [requestKey, ...partIds].every((partId) =>
        isCleared(crash, partId, evidence)
      );
      if (isNeighbour || requestKey === "") continue;
      const id = formatPartKey(...key);
      const entry = crashesByKey.get(id) ?? { key, crashes: [] };
      if (!entry.crashes.includes(crash)) entry.crashes.push(crash);
      crashesByKey.set(id, entry);
    }
  }
  return [...crashesByKey.values()].filter(({ key, crashes }) =>
    evidence.getStatus(key) !== PartStatus.Quarantined &&
    countSeparateCrashes(crashes) >= minCrashCount &&
    nowMs - crashes[0]!.atMs >= minEvidenceAgeMs
  ).map(({ key }) => key);
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

/** A quarantined part explains the crashes that it was present in. */
function listUnexplained(
  crashes: readonly Crash[],
  evidence: CrashEvidence,
): Crash[] {
  return crashes.filter(({ service, suspects }) =>
    !suspects.some(({ partIds }) =>
      partIds.some((partId) =>
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
  const firstAtMs = Math.min(...[...crashes].map(({ atMs }) => atMs));
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

/** Counts crashes, those of a failure domain at the same moment only once. */
function countSeparateCrashes(crashes: readonly Crash[]): number {
  const lastCountedAtMs = new Map<string, number>();
  let count = 0;
  const ordered = [...crashes].sort((left, right) => left.atMs - right.atMs);
  for (const { domainId, atMs } of ordered) {
    const lastAtMs = lastCountedAtMs.get(domainId) ?? -Infinity;
    if (atMs - lastAtMs < jointCrashMs) continue;
    lastCountedAtMs.set(domainId, atMs);
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
