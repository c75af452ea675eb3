/**
 * Records the latency of one answer as its caller sees it: the time to the
 * first token, the gaps between tokens, and the gaps in which the answer
 * resumed in another attempt.
 */

export interface AnswerLatency {
  /** Undefined when no token was released. */
  readonly firstTokenMs: number | undefined;
  readonly gapCount: number;
  readonly longGapCount: number;
  readonly resumeMs: readonly number[];
}

export interface AnswerLatencyRecorder {
  recordRelease(release: {
    readonly nowMs: number;
    readonly releasedCount: number;
    readonly attemptCount: number;
  }): void;
  getLatency(): AnswerLatency;
}

export interface AnswerLatencyRecorderOptions {
  readonly openedAtMs: number;
  readonly longGapMs: number;
}

/** Bounds the memory of an answer that resumes again and again. */
const maxRecordedResumes = 100;

export function createAnswerLatencyRecorder(
  { openedAtMs, longGapMs }: AnswerLatencyRecorderOptions,
): AnswerLatencyRecorder {
  let firstTokenMs: number | undefined;
  let lastReleaseAtMs = openedAtMs;
  let lastReleasedCount = 0;
  let lastAttemptCount = 0;
  let gapCount = 0;
  let longGapCount = 0;
  const resumeMs: number[] = [];
  return {
    recordRelease,
    getLatency: () => ({ firstTokenMs, gapCount, longGapCount, resumeMs }),
  };

  function recordRelease({ nowMs, releasedCount, attemptCount }: {
    nowMs: number;
    releasedCount: number;
    attemptCount: number;
  }): void {
    const tokens = releasedCount - lastReleasedCount;
    if (tokens > 0 && firstTokenMs === undefined) {
      firstTokenMs = nowMs - openedAtMs;
    } else if (tokens > 0) {
      recordGap(nowMs - lastReleaseAtMs, { tokens, attemptCount });
    }
    // The released count drops to 0 when the answer is reset.
    if (tokens !== 0) lastReleaseAtMs = nowMs;
    lastReleasedCount = releasedCount;
    lastAttemptCount = attemptCount;
  }

  function recordGap(
    durationMs: number,
    { tokens, attemptCount }: { tokens: number; attemptCount: number },
  ): void {
    if (attemptCount > lastAttemptCount) {
      if (resumeMs.length < maxRecordedResumes) resumeMs.push(durationMs);
      return;
    }
    // Tokens that were released together are counted as evenly spaced.
    gapCount += tokens;
    if (durationMs / tokens > longGapMs) longGapCount += tokens;
  }
}
