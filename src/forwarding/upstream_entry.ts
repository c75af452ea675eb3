/**
 * The entry of one upstream in the directory, and the load that requests and
 * copies of this instance put on it until they release it.
 */
import type { ListedUpstream } from "../upstreams/upstream_view.ts";
import { getPrefillWork } from "./expected_time.ts";
import { createSpeedMemory, type SpeedMemory } from "./upstream_speed.ts";
import {
  type CopyLoad,
  type LearnedSpeed,
  type RemoteLoad,
  type RequestLoad,
  type Successor,
  unknownSpeed,
  type Upstream,
} from "./upstream_types.ts";

type Mutable<T> = { -readonly [K in keyof T]: T[K] };
export interface UpstreamEntry extends Mutable<Upstream> {
  /** Set while the list names only the predecessor at this address. */
  succeeds: Pick<Successor, "predecessorId" | "isFoundHere"> | undefined;
  consecutiveLosses: number;
  localLossAtMs: number;
  /** Ends with the entry, because a new id may be another machine. */
  readonly speedMemory: SpeedMemory;
  loggedSpeed: Pick<LearnedSpeed, "callFactor" | "prefillFactor"> & {
    readonly atMs: number;
  };
}

export const zeroLoad: RemoteLoad = {
  runningCount: 0,
  unreadTokens: 0,
  memoryTokens: 0,
};

export function createUpstreamEntry(info: ListedUpstream): UpstreamEntry {
  return {
    info,
    succeeds: undefined,
    inFlightCount: 0,
    memoryTokens: 0,
    unreadTokens: 0,
    reported: undefined,
    speed: unknownSpeed,
    speedMemory: createSpeedMemory(),
    loggedSpeed: { callFactor: 1, prefillFactor: 1, atMs: -Infinity },
    others: zeroLoad,
    failureRatio: 0,
    suspendedUntilMs: -Infinity,
    waitsUntilMs: -Infinity,
    lastActivityAtMs: -Infinity,
    lostAtMs: -Infinity,
    consecutiveLosses: 0,
    localLossAtMs: -Infinity,
  };
}

export interface RequestLoadOptions {
  getNowMs(): number;
  /** Called when the upstream has read the uncached tokens of the request. */
  onPrefilled(workTokens: number, durationMs: number): void;
}

export function createRequestLoad(
  entry: UpstreamEntry,
  { getNowMs, onPrefilled }: RequestLoadOptions,
): RequestLoad {
  let memoryTokens = 0;
  let unreadTokens = 0;
  let prefill: { workTokens: number; startedAtMs: number } | undefined;
  let isReleased = false;
  entry.inFlightCount += 1;
  return {
    upstream: entry,
    addMemoryTokens: (tokens) => {
      if (isReleased) return;
      memoryTokens += tokens;
      entry.memoryTokens += tokens;
    },
    addUncachedTokens: (tokens) => {
      if (isReleased) return;
      unreadTokens += tokens;
      entry.unreadTokens += tokens;
      prefill = {
        // The request itself doesn't count as running beside its prefill.
        workTokens: getPrefillWork(entry, 0, entry.inFlightCount - 1),
        startedAtMs: getNowMs(),
      };
    },
    releaseUncachedTokens: () => {
      if (isReleased) return;
      releaseUncachedTokens();
      if (!prefill) return;
      onPrefilled(prefill.workTokens, getNowMs() - prefill.startedAtMs);
      prefill = undefined;
    },
    release: () => {
      if (isReleased) return;
      releaseUncachedTokens();
      isReleased = true;
      entry.inFlightCount -= 1;
      entry.memoryTokens -= memoryTokens;
    },
  };

  function releaseUncachedTokens(): void {
    entry.unreadTokens -= unreadTokens;
    unreadTokens = 0;
  }
}

export function createCopyLoad(entry: UpstreamEntry, tokens: number): CopyLoad {
  let heldTokens = tokens;
  entry.memoryTokens += tokens;
  return {
    upstream: entry,
    release: () => {
      entry.memoryTokens -= heldTokens;
      heldTokens = 0;
    },
  };
}
