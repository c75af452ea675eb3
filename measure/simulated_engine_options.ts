/**
 * Options of a simulated engine, passed on its command line as JSON.
 */

export interface EngineOptions {
  readonly service: string;
  readonly version: string;
  readonly seed: number;
  readonly maxBatch: number;
  readonly stepMs: number;
  /** Added to a step per running request. */
  readonly stepPerRequestMs: number;
  readonly prefillTokensPerMs: number;
  readonly cacheBlocks: number;
  readonly loadLagMs: number;
  readonly checksFencing: boolean;
  readonly loadVersionMs: number;
}
