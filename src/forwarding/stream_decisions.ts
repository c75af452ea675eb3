/**
 * Pure decisions about a stream: whether its engine is alive, and how the
 * stream goes on after a loss.
 */

export interface StreamSilence {
  /** Time since the last event, or since the request was sent. */
  readonly streamSilentMs: number;
  /** Time since any sign of life of the engine on any connection. */
  readonly engineSilentMs: number;
  readonly hasEvents: boolean;
  /** An answer to a probe is awaited. */
  readonly isProbing: boolean;
  /** Pause of this process that the last check noticed. */
  readonly ownPauseMs: number;
}

export enum SilenceVerdict {
  Wait = "wait",
  /** Ask the engine for its report. */
  Probe = "probe",
  Lost = "lost",
}

/** Two steps with a part of another prompt in each take about 180 ms. */
const probeAfterMs = 220;
/** An engine that reads a prompt sends nothing for about a second. */
const probeBeforeFirstEventMs = 450;
/** A live engine leaves no pause as long as this within a stream. */
const maxStreamSilenceMs = 450;
const maxFirstEventMs = 8_000;

export function judgeSilence(silence: StreamSilence): SilenceVerdict {
  // Events may be waiting in the sockets of a process that was paused.
  if (silence.ownPauseMs > 0) return SilenceVerdict.Wait;
  const lostAfterMs = silence.hasEvents ? maxStreamSilenceMs : maxFirstEventMs;
  if (silence.streamSilentMs >= lostAfterMs) return SilenceVerdict.Lost;
  if (silence.isProbing) return SilenceVerdict.Wait;
  const probeMs = silence.hasEvents ? probeAfterMs : probeBeforeFirstEventMs;
  const isSilent = silence.streamSilentMs >= probeMs &&
    silence.engineSilentMs >= probeMs;
  return isSilent ? SilenceVerdict.Probe : SilenceVerdict.Wait;
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

/** Less time than this is not enough for a first event. */
const minResumeMs = 50;

export function decideAfterLoss(state: LossState): LossDecision {
  if (state.remainingMs < minResumeMs) return "fail";
  if (state.ranCount >= state.maxAttempts) return "fail";
  if (state.ranCount > 0 && !state.isResumable) return "fail";
  return state.hasCopy ? "resumeFromCopy" : "resume";
}
