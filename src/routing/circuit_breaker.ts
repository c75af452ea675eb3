/**
 * Circuit breaker per upstream.
 *
 * A crash opens the circuit at once, and a single probe decides when it closes.
 * Overload only reduces the upstream's share of requests and blocks it for its
 * retry-after delay, because an overloaded upstream still makes progress.
 */
import type { Clock } from "../core/clock.ts";
import type { UpstreamId } from "../core/types.ts";

export enum CircuitState {
  Closed = "closed",
  /** Open: a connection was lost or the upstream responded with a failure. */
  Crashed = "crashed",
  /** Open: no output for too long. Any later output closes the circuit. */
  Suspected = "suspected",
  /** Half open: the result of one probe request is pending. */
  Probing = "probing",
}

export interface CircuitPermit {
  readonly isProbe: boolean;
  readonly startedAtMs: number;
}

export interface CircuitBreaker {
  getState(upstreamId: UpstreamId): CircuitState;
  /** Time at which the circuit last opened; -Infinity if it never did. */
  getOpenedAtMs(upstreamId: UpstreamId): number;
  /** Whether the upstream may receive a request now. */
  isAvailable(upstreamId: UpstreamId): boolean;
  /** Share of its normal load that an overloaded upstream gets, 0 to 1. */
  getShare(upstreamId: UpstreamId): number;
  /** Called once per request; the request becomes the probe if one is due. */
  acquire(upstreamId: UpstreamId): CircuitPermit;
  /** Records that the upstream produced output for the request. */
  recordProgress(upstreamId: UpstreamId, permit: CircuitPermit): void;
  recordCrash(upstreamId: UpstreamId, permit: CircuitPermit): void;
  recordOverload(
    upstreamId: UpstreamId,
    permit: CircuitPermit,
    retryAfterMs: number | undefined,
  ): void;
  recordSuspected(upstreamId: UpstreamId): void;
  /**
   * Ends a request without a verdict on the upstream, such as a cancelled one.
   */
  release(upstreamId: UpstreamId, permit: CircuitPermit): void;
  remove(upstreamId: UpstreamId): void;
}

export interface CircuitBreakerOptions {
  readonly clock: Clock;
  onChanged?(upstreamId: UpstreamId, state: CircuitState): void;
}

interface Circuit {
  state: CircuitState;
  openedAtMs: number;
  probeAtMs: number;
  openDurationMs: number;
  probe: CircuitPermit | undefined;
  share: number;
  shareSetAtMs: number;
  blockedUntilMs: number;
}

const initialOpenDurationMs = 1_000;
const maxOpenDurationMs = 30_000;
const overloadShareFactor = 0.5;
const minShare = 0.05;
/** An overloaded upstream regains its full share in at most 10 s. */
const shareRecoveryPerS = 0.1;
const maxRetryAfterMs = 60_000;

export function createCircuitBreaker(
  { clock, onChanged }: CircuitBreakerOptions,
): CircuitBreaker {
  const circuits = new Map<UpstreamId, Circuit>();
  return {
    getState: (upstreamId) =>
      circuits.get(upstreamId)?.state ?? CircuitState.Closed,
    getOpenedAtMs: (upstreamId) =>
      circuits.get(upstreamId)?.openedAtMs ?? -Infinity,
    isAvailable,
    getShare,
    acquire,
    recordProgress,
    recordCrash,
    recordOverload,
    recordSuspected,
    release,
    remove: (upstreamId) => {
      circuits.delete(upstreamId);
    },
  };

  function getCircuit(upstreamId: UpstreamId): Circuit {
    let circuit = circuits.get(upstreamId);
    if (!circuit) {
      circuit = {
        state: CircuitState.Closed,
        openedAtMs: -Infinity,
        probeAtMs: 0,
        openDurationMs: 0,
        probe: undefined,
        share: 1,
        shareSetAtMs: 0,
        blockedUntilMs: 0,
      };
      circuits.set(upstreamId, circuit);
    }
    return circuit;
  }

  function isAvailable(upstreamId: UpstreamId): boolean {
    const circuit = circuits.get(upstreamId);
    if (!circuit) return true;
    const nowMs = clock.nowMs();
    if (nowMs < circuit.blockedUntilMs) return false;
    if (circuit.state === CircuitState.Closed) return true;
    return circuit.probe === undefined && nowMs >= circuit.probeAtMs;
  }

  function getShare(upstreamId: UpstreamId): number {
    const circuit = circuits.get(upstreamId);
    if (!circuit) return 1;
    const elapsedS = (clock.nowMs() - circuit.shareSetAtMs) / 1_000;
    return Math.min(1, circuit.share + elapsedS * shareRecoveryPerS);
  }

  function acquire(upstreamId: UpstreamId): CircuitPermit {
    const startedAtMs = clock.nowMs();
    const circuit = circuits.get(upstreamId);
    const isProbe = circuit !== undefined &&
      circuit.state !== CircuitState.Closed && isAvailable(upstreamId);
    const permit: CircuitPermit = { isProbe, startedAtMs };
    if (circuit && isProbe) {
      circuit.probe = permit;
      setState(upstreamId, circuit, CircuitState.Probing);
    }
    return permit;
  }

  function recordProgress(
    upstreamId: UpstreamId,
    permit: CircuitPermit,
  ): void {
    const circuit = circuits.get(upstreamId);
    if (!circuit || circuit.state === CircuitState.Closed) return;
    // Output that was buffered before a crash does not show that the upstream
    // has recovered.
    const showsRecovery = circuit.probe === permit ||
      circuit.state === CircuitState.Suspected;
    if (!showsRecovery) return;
    circuit.probe = undefined;
    circuit.openDurationMs = 0;
    setState(upstreamId, circuit, CircuitState.Closed);
  }

  function recordCrash(upstreamId: UpstreamId, permit: CircuitPermit): void {
    const circuit = getCircuit(upstreamId);
    const isProbe = circuit.probe === permit;
    // One crash fails many requests; only the first failure opens the circuit.
    const isFromBeforeOpening = permit.startedAtMs < circuit.openedAtMs &&
      !isProbe;
    if (isFromBeforeOpening && circuit.state !== CircuitState.Suspected) return;
    if (circuit.probe && !isProbe) return;
    open(upstreamId, circuit, CircuitState.Crashed);
  }

  function recordSuspected(upstreamId: UpstreamId): void {
    const circuit = getCircuit(upstreamId);
    if (circuit.state !== CircuitState.Closed && !circuit.probe) return;
    open(upstreamId, circuit, CircuitState.Suspected);
  }

  function open(
    upstreamId: UpstreamId,
    circuit: Circuit,
    state: CircuitState,
  ): void {
    const nowMs = clock.nowMs();
    circuit.probe = undefined;
    circuit.openDurationMs = circuit.openDurationMs === 0
      ? initialOpenDurationMs
      : Math.min(maxOpenDurationMs, circuit.openDurationMs * 2);
    circuit.openedAtMs = nowMs;
    circuit.probeAtMs = nowMs + circuit.openDurationMs;
    setState(upstreamId, circuit, state);
  }

  function recordOverload(
    upstreamId: UpstreamId,
    permit: CircuitPermit,
    retryAfterMs: number | undefined,
  ): void {
    const circuit = getCircuit(upstreamId);
    const nowMs = clock.nowMs();
    // A request sent before the last reduction reports the same overload again.
    if (permit.startedAtMs >= circuit.shareSetAtMs) {
      circuit.share = Math.max(
        minShare,
        getShare(upstreamId) * overloadShareFactor,
      );
      circuit.shareSetAtMs = nowMs;
    }
    const waitMs = Math.min(maxRetryAfterMs, retryAfterMs ?? 0);
    circuit.blockedUntilMs = Math.max(circuit.blockedUntilMs, nowMs + waitMs);
    // An upstream that refuses the probe because of overload has recovered from
    // its crash.
    if (circuit.probe === permit) recordProgress(upstreamId, permit);
  }

  function release(upstreamId: UpstreamId, permit: CircuitPermit): void {
    const circuit = circuits.get(upstreamId);
    if (!circuit || circuit.probe !== permit) return;
    circuit.probe = undefined;
    setState(upstreamId, circuit, CircuitState.Crashed);
  }

  function setState(
    upstreamId: UpstreamId,
    circuit: Circuit,
    state: CircuitState,
  ): void {
    if (circuit.state === state) return;
    circuit.state = state;
    onChanged?.(upstreamId, state);
  }
}
