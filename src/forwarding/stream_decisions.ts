/**
 * Pure decisions about a stream: whether its engine is alive, and whether and
 * how the stream is resumed after a loss.
 */

export interface StreamSilence {
  /** Time since the last event, or since the request was sent. */
  readonly streamSilentMs: number;
  /** Time since the engine last sent anything on any connection. */
  readonly engineSilentMs: number;
  readonly hasEvents: boolean;
  /** How long the first event may take; undefined if nothing is known. */
  readonly firstEventLimitMs: number | undefined;
  /** A probe of the engine is in flight. */
  readonly isProbing: boolean;
  /** Pause of this process that the last check detected. */
  readonly processPauseMs: number;
}

export enum SilenceDecision {
  Wait = "wait",
  /** Request the engine's report. */
  Probe = "probe",
  /** The engine may be lost. */
  Suspect = "suspect",
}

/** Two engine steps that each prefill a chunk of a prompt take about 180 ms. */
export const probeAfterMs = 220;
/** An engine sends nothing for about a second while it prefills a prompt. */
const firstEventProbeAfterMs = 450;
/** A live engine rarely leaves such a gap between two events of a stream. */
const maxStreamSilenceMs = 450;
const maxFirstEventSilenceMs = 8_000;

export function decideOnSilence(silence: StreamSilence): SilenceDecision {
  // After a pause of this process, unread events may be in the socket buffers.
  if (silence.processPauseMs > 0) return SilenceDecision.Wait;
  const lostAfterMs = silence.hasEvents
    ? maxStreamSilenceMs
    : Math.max(maxFirstEventSilenceMs, silence.firstEventLimitMs ?? 0);
  if (silence.streamSilentMs >= lostAfterMs) return SilenceDecision.Suspect;
  if (silence.isProbing) return SilenceDecision.Wait;
  const silenceLimitMs = silence.hasEvents
    ? probeAfterMs
    : firstEventProbeAfterMs;
  const isSilent = silence.streamSilentMs >= silenceLimitMs &&
    silence.engineSilentMs >= silenceLimitMs;
  return isSilent ? SilenceDecision.Probe : SilenceDecision.Wait;
}

/** A prompt that takes this many times as long is more than delayed. */
const firstEventMargin = 3;
/** The other half is left to another engine. */
const maxWaitPart = 0.5;

/**
 * How long a prompt may wait at a loaded engine. Leaving one that only has a
 * backlog throws away what it has read, and adds to the backlog of another one:
 * with a fixed limit of 8 s, a burst was followed by a storm of such repeats.
 */
export function getFirstEventLimitMs(
  { expectedMs, remainingMs }: {
    readonly expectedMs: number;
    readonly remainingMs: number;
  },
): number {
  return Math.min(firstEventMargin * expectedMs, maxWaitPart * remainingMs);
}

export interface SilentRun {
  readonly remainingMs: number;
  readonly isResumable: boolean;
  /** Attempts that ran or may have run, including the silent one. */
  readonly ranCount: number;
  readonly maxAttempts: number;
  /** Time since the run's last event or its start. */
  readonly silentMs: number;
  /**
   * The engine is known to work, so it may be slow: a run that has begun and has
   * no copy would read its prompt again, which takes longer than the silence.
   */
  readonly isSlowWithoutCopy: boolean;
}

/** The users' pages: a sound upstream goes on after a second or so. */
const soundSilenceMs = 3_000;
/** With less time left, no event would arrive before the deadline. */
export const minResumeMs = 50;
/** Attempts that are kept for engines that end. */
const reservedAttempts = 1;

/**
 * Whether a run may be ended because its engine is silent. The engine may be
 * sound: ending the run is then a loss, unless another one takes the stream.
 */
export function mayLeaveSilentRun(
  {
    remainingMs,
    isResumable,
    ranCount,
    maxAttempts,
    silentMs,
    isSlowWithoutCopy,
  }: SilentRun,
): boolean {
  if (!isResumable || remainingMs < minResumeMs) return false;
  if (isSlowWithoutCopy && silentMs < soundSilenceMs) return false;
  const remainingAttempts = maxAttempts - ranCount;
  return silentMs < soundSilenceMs
    ? remainingAttempts > reservedAttempts
    : remainingAttempts > 0;
}

export interface LossState {
  readonly isResumable: boolean;
  /** Attempts that ran or may have run. */
  readonly ranCount: number;
  readonly maxAttempts: number;
  readonly remainingMs: number;
  readonly hasCopy: boolean;
  /** The last attempt certainly did not run. */
  readonly wasNotRun: boolean;
}

export type LossDecision = "resumeFromCopy" | "resume" | "fail";

export function decideAfterLoss(state: LossState): LossDecision {
  if (state.remainingMs < minResumeMs) return "fail";
  if (state.ranCount >= state.maxAttempts) return "fail";
  if (state.ranCount > 0 && !state.isResumable) return "fail";
  return state.hasCopy ? "resumeFromCopy" : "resume";
}
