/**
 * Counts of answers by which the versions of a move are compared.
 */

export interface AnswerCounts {
  readonly answeredCount: number;
  /** Failures, or in a latency comparison slow answers. */
  readonly badCount: number;
}

/** Both versions by failures or by one kind of latency. */
export interface AnswerComparison {
  readonly name: string;
  /**
   * Whether the target is kept only if this shows that it is good. Paces are
   * known late, so a good target may have too few of them.
   */
  readonly isProofRequired: boolean;
  readonly stable: AnswerCounts;
  readonly target: AnswerCounts;
}
