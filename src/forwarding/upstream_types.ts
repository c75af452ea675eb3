/**
 * What an entry instance knows of one upstream, and the load that it puts on it.
 */
import type { UpstreamId } from "../core/types.ts";
import type { ListedUpstream } from "../upstreams/upstream_view.ts";
import type { ReportedLoad } from "./forwarding_protocol.ts";

export interface Upstream {
  readonly info: ListedUpstream;
  /** Requests of this instance that the upstream has not yet completed. */
  readonly inFlightCount: number;
  /** KV cache tokens of this instance's streams and of their copies. */
  readonly memoryTokens: number;
  /** Uncached prompt tokens of this instance's requests: not yet prefilled. */
  readonly unreadTokens: number;
  readonly reported:
    | { readonly load: ReportedLoad; readonly atMs: number }
    | undefined;
  readonly speed: LearnedSpeed;
  /** Load of other entry instances, from the last load summary of control. */
  readonly others: RemoteLoad;
  /** Moving average of failures among recent responses, 0 to 1. */
  readonly failureRatio: number;
  /** The upstream gets no new requests before this time. */
  readonly suspendedUntilMs: number;
  /** The upstream stated that it wants no new requests before this time. */
  readonly waitsUntilMs: number;
  /** Last loss that this or another entry instance detected. */
  readonly lostAtMs: number;
  /** Time at which the upstream last sent anything. */
  readonly lastActivityAtMs: number;
}

/** What the responses of an upstream show about its speed. */
export interface LearnedSpeed {
  /** Expected time of a call without queueing; undefined if nothing is known. */
  readonly callMs: number | undefined;
  /** Expected prefill time of a token; undefined if nothing is known. */
  readonly prefillMsPerToken: number | undefined;
  /** Time of a call relative to the mean of the service; 1 if unknown. */
  readonly callFactor: number;
  /** Prefill time of a token relative to the mean of the service. */
  readonly prefillFactor: number;
  /** Mean of the slowness that the upstream stated; undefined if it stated none. */
  readonly meanSlowness: number | undefined;
}

/** The speed of an upstream of which nothing is known. */
export const unknownSpeed: LearnedSpeed = {
  callMs: undefined,
  prefillMsPerToken: undefined,
  callFactor: 1,
  prefillFactor: 1,
  meanSlowness: undefined,
};

export interface RemoteLoad {
  readonly runningCount: number;
  readonly unreadTokens: number;
  readonly memoryTokens: number;
}

export interface RequestLoad {
  readonly upstream: Upstream;
  addMemoryTokens(tokens: number): void;
  addUncachedTokens(tokens: number): void;
  /** Must be called when the prompt has been prefilled. */
  releaseUncachedTokens(): void;
  release(): void;
}

export interface CopyLoad {
  readonly upstream: Upstream;
  release(): void;
}

/** An engine that restarted at the address of another id. */
export interface Successor {
  readonly predecessorId: UpstreamId;
  readonly successorId: UpstreamId;
  /** This instance confirmed it itself, so it tells the others. */
  readonly isFoundHere: boolean;
}
