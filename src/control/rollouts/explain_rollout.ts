/**
 * Explains a rollout to an operator with the figures on which its decisions
 * were based.
 */
import type { Finding } from "./comparison_state.ts";
import { falseRollbackRate } from "./fault_threshold.ts";
import { falseGoodRate, getMissingEvidence } from "./acceptance_evidence.ts";
import { isDecided } from "./rollout_machine.ts";
import type { PhaseChange, RolloutState } from "./rollout_types.ts";

export interface RolloutExplanation {
  readonly rolloutId: string;
  readonly service: string;
  readonly stableVersion: string;
  readonly candidateVersion: string;
  readonly targetAtWallMs: number;
  readonly phase: string;
  readonly share: number;
  readonly loadedEngineCount: number;
  readonly reason: string;
  /** One sentence for the report. */
  readonly summary: string;
  readonly finding: Finding | undefined;
  readonly missingEvidence: readonly string[];
  readonly history: readonly PhaseChange[];
  readonly figures: readonly ExplainedFigure[];
  readonly falseRollbackRate: number;
  readonly falseGoodRate: number;
}

export interface ExplainedFigure {
  readonly scope: string;
  readonly metric: string;
  readonly candidateCount: number;
  readonly candidateBadCount: number;
  /** Expected bad outcomes at the highest normal rate. */
  readonly normalBadCount: number;
  /** Logarithm of the highest value that the fault statistic reached. */
  readonly highestStatisticLog: number;
}

export function explainRollout(state: RolloutState): RolloutExplanation {
  const { spec, comparison } = state;
  const missingEvidence = isDecided(state)
    ? state.missingEvidence
    : getMissingEvidence(comparison);
  return {
    rolloutId: spec.rolloutId,
    service: spec.service,
    stableVersion: spec.stableVersion,
    candidateVersion: spec.candidateVersion,
    targetAtWallMs: spec.targetAtWallMs,
    phase: state.phase,
    share: state.share,
    loadedEngineCount: state.loadedEngineCount,
    reason: state.reason ?? "",
    summary: getSummary(state, missingEvidence),
    finding: state.finding,
    missingEvidence,
    history: state.history,
    figures: Object.entries(comparison.totals).map(([key, totals]) => {
      const index = key.lastIndexOf("|");
      return {
        scope: key.slice(0, index),
        metric: key.slice(index + 1),
        candidateCount: totals.count,
        candidateBadCount: totals.badCount,
        normalBadCount: totals.normalBadCount,
        highestStatisticLog: comparison.detectors[key]?.highestLog ?? 0,
      };
    }),
    falseRollbackRate,
    falseGoodRate,
  };
}

function getSummary(
  { spec, phase, reason, finding }: RolloutState,
  missingEvidence: readonly string[],
): string {
  const subject = `${spec.service} ${spec.candidateVersion} is ${phase}`;
  if (finding) {
    return `${subject}: ${reason}, ${finding.metric} on ${finding.scope}: ` +
      `${finding.candidateBadCount} of ${finding.candidateCount} outcomes ` +
      `bad where at most ${finding.normalBadCount.toFixed(1)} are normal; ` +
      `statistic ${finding.statisticLog.toFixed(1)} above ` +
      `${finding.thresholdLog.toFixed(1)}`;
  }
  const missingText = missingEvidence.length > 0
    ? `: missing ${missingEvidence.join("; ")}`
    : "";
  return reason === undefined
    ? subject + missingText
    : `${subject}: ${reason}${missingText}`;
}
