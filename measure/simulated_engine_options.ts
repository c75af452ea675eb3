/**
 * Options of a simulated engine, passed as JSON on its command line.
 */

export interface EngineOptions {
  readonly service: string;
  readonly version: string;
  readonly seed: number;
  readonly maxBatch: number;
  readonly stepMs: number;
  /** Added to the time of a step for each running request. */
  readonly stepPerRequestMs: number;
  readonly prefillTokensPerMs: number;
  readonly cacheBlocks: number;
  readonly loadLagMs: number;
  readonly checksFencing: boolean;
  readonly loadVersionMs: number;
}
