/**
 * Measures the time per event at the beginning of a run, once per run.
 */

export interface PaceMeter {
  recordEvent(nowMs: number): void;
  /** Records that the run was given up because no further event came. */
  recordSilence(nowMs: number): void;
}

/** Single pauses, such as a prefill of another request, matter little. */
const enoughGaps = 10;
/** A slow run is measured before it has sent that many events. */
const maxMeasuredMs = 2_000;

export function createPaceMeter(
  onMeasured: (paceMs: number) => void,
): PaceMeter {
  let firstAtMs: number | undefined;
  let lastAtMs = 0;
  let gapCount = 0;
  let isMeasured = false;
  return {
    recordEvent: (nowMs) => {
      if (isMeasured) return;
      lastAtMs = nowMs;
      if (firstAtMs === undefined) {
        firstAtMs = nowMs;
        return;
      }
      gapCount += 1;
      const measuredMs = nowMs - firstAtMs;
      if (gapCount >= enoughGaps || measuredMs >= maxMeasuredMs) {
        measure(measuredMs / gapCount);
      }
    },
    recordSilence: (nowMs) => {
      if (isMeasured || firstAtMs === undefined) return;
      const meanGapMs = gapCount === 0 ? 0 : (lastAtMs - firstAtMs) / gapCount;
      measure(Math.max(meanGapMs, nowMs - lastAtMs));
    },
  };

  function measure(paceMs: number): void {
    isMeasured = true;
    onMeasured(paceMs);
  }
}
