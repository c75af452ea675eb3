/**
 * Decides which orders to send to the engines: maps state, event and current
 * time to effects.
 *
 * Reconciliation is idempotent: an order states what an engine should have, is
 * reissued until the engine reports it, and contains the leader's fencing
 * token. For engines that ignore the token, a new leader first waits until no
 * order of the former leader can still arrive.
 */
import { assertNever } from "../../core/assert_never.ts";
import type { UpstreamId } from "../../core/types.ts";

export enum OrderKind {
  Load = "load",
  Unload = "unload",
  LoadAdapter = "loadAdapter",
  UnloadAdapter = "unloadAdapter",
  SetRole = "setRole",
}

export interface EngineOrder {
  readonly kind: OrderKind;
  /** Version, adapter or role. */
  readonly name: string;
}

/** What an engine should have loaded, or reports to have loaded. */
export interface EngineContent {
  readonly versions: readonly string[];
  readonly adapters: readonly string[];
  /** Empty when the engine has no role of its own. */
  readonly role: string;
}

interface EngineEntry {
  desired: EngineContent | undefined;
  reported: EngineContent | undefined;
  checksFencing: boolean;
  inFlight: EngineOrder | undefined;
  /** Accepted by the engine, but not yet present in a report. */
  accepted: EngineOrder | undefined;
  reissueAtMs: number;
  /** The next order or check is due at this time. */
  dueAtMs: number;
  failureCount: number;
}

export interface OrdersState {
  fencingToken: number;
  isLeader: boolean;
  /** Engines that ignore tokens get no order before this time. */
  unfencedFromMs: number;
  readonly engines: Map<UpstreamId, EngineEntry>;
}

export enum OrdersEventKind {
  LeadershipGained = "leadershipGained",
  LeadershipLost = "leadershipLost",
  Desired = "desired",
  Reported = "reported",
  OrderAnswered = "orderAnswered",
  Ticked = "ticked",
}

export enum OrderAnswer {
  Accepted = "accepted",
  /** The engine has seen a newer token. */
  Stale = "stale",
  Failed = "failed",
}

export type OrdersEvent =
  | {
    readonly kind: OrdersEventKind.LeadershipGained;
    /** Increases with every leader, for example its term. */
    readonly fencingToken: number;
  }
  | { readonly kind: OrdersEventKind.LeadershipLost }
  | {
    readonly kind: OrdersEventKind.Desired;
    readonly upstreamId: UpstreamId;
    readonly checksFencing: boolean;
    readonly content: EngineContent | undefined;
  }
  | {
    readonly kind: OrdersEventKind.Reported;
    readonly upstreamId: UpstreamId;
    readonly content: EngineContent;
  }
  | {
    readonly kind: OrdersEventKind.OrderAnswered;
    readonly upstreamId: UpstreamId;
    readonly answer: OrderAnswer;
  }
  | { readonly kind: OrdersEventKind.Ticked };

export enum OrdersEffectKind {
  SendOrder = "sendOrder",
  ReadBack = "readBack",
  /** A newer leader exists. */
  StepDown = "stepDown",
}

export type OrdersEffect =
  | {
    readonly kind: OrdersEffectKind.SendOrder;
    readonly upstreamId: UpstreamId;
    readonly order: EngineOrder;
    readonly fencingToken: number;
    readonly mustCheckLease: boolean;
  }
  | {
    readonly kind: OrdersEffectKind.ReadBack;
    readonly upstreamId: UpstreamId;
  }
  | { readonly kind: OrdersEffectKind.StepDown };

/** Longest lease of a control leader. */
export const leaderLeaseMs = 2_000;
/** Longest time from the write of an order to its effect on the engine. */
export const maxOrderInFlightMs = 3_000;
const checkIntervalMs = 1_000;
/**
 * An accepted load takes time; an order that is reissued too early may restart
 * the load.
 */
const reissueAfterMs = 10_000;
const initialRetryMs = 500;
const maxRetryMs = 30_000;

export function createOrdersState(): OrdersState {
  return {
    fencingToken: 0,
    isLeader: false,
    unfencedFromMs: 0,
    engines: new Map(),
  };
}

export function applyOrdersEvent(
  state: OrdersState,
  event: OrdersEvent,
  nowMs: number,
): OrdersEffect[] {
  switch (event.kind) {
    case OrdersEventKind.LeadershipGained:
      state.isLeader = true;
      state.fencingToken = event.fencingToken;
      state.unfencedFromMs = nowMs + leaderLeaseMs + maxOrderInFlightMs;
      for (const entry of state.engines.values()) {
        entry.inFlight = undefined;
        entry.accepted = undefined;
        // The former leader may have changed the engine since the last report.
        entry.reported = undefined;
        entry.dueAtMs = nowMs;
      }
      return [];
    case OrdersEventKind.LeadershipLost:
      state.isLeader = false;
      return [];
    case OrdersEventKind.Desired:
      setDesired(state, event, nowMs);
      return [];
    case OrdersEventKind.Reported: {
      const entry = state.engines.get(event.upstreamId);
      if (entry) entry.reported = event.content;
      return [];
    }
    case OrdersEventKind.OrderAnswered:
      return handleOrderAnswer(state, event, nowMs);
    case OrdersEventKind.Ticked:
      return state.isLeader ? reconcile(state, nowMs) : [];
    default:
      return assertNever(event);
  }
}

function setDesired(
  state: OrdersState,
  event: Extract<OrdersEvent, { kind: OrdersEventKind.Desired }>,
  nowMs: number,
): void {
  if (!event.content) {
    state.engines.delete(event.upstreamId);
    return;
  }
  const entry = state.engines.get(event.upstreamId);
  if (entry) {
    entry.desired = event.content;
    entry.checksFencing = event.checksFencing;
    return;
  }
  state.engines.set(event.upstreamId, {
    desired: event.content,
    reported: undefined,
    checksFencing: event.checksFencing,
    inFlight: undefined,
    accepted: undefined,
    reissueAtMs: 0,
    dueAtMs: nowMs,
    failureCount: 0,
  });
}

function handleOrderAnswer(
  state: OrdersState,
  { upstreamId, answer }: Extract<
    OrdersEvent,
    { kind: OrdersEventKind.OrderAnswered }
  >,
  nowMs: number,
): OrdersEffect[] {
  const entry = state.engines.get(upstreamId);
  if (!entry?.inFlight) return [];
  const order = entry.inFlight;
  entry.inFlight = undefined;
  switch (answer) {
    case OrderAnswer.Accepted:
      entry.failureCount = 0;
      entry.accepted = order;
      entry.reissueAtMs = nowMs + reissueAfterMs;
      entry.dueAtMs = nowMs + checkIntervalMs;
      // An accepted order may not be complete yet: the state is read back until
      // it matches.
      entry.reported = undefined;
      return [];
    case OrderAnswer.Stale:
      state.isLeader = false;
      return [{ kind: OrdersEffectKind.StepDown }];
    case OrderAnswer.Failed:
      entry.failureCount += 1;
      entry.dueAtMs = nowMs + Math.min(
        maxRetryMs,
        initialRetryMs * 2 ** (entry.failureCount - 1),
      );
      entry.reported = undefined;
      return [];
    default:
      return assertNever(answer);
  }
}

function reconcile(state: OrdersState, nowMs: number): OrdersEffect[] {
  const effects: OrdersEffect[] = [];
  for (const [upstreamId, entry] of state.engines) {
    if (entry.inFlight || nowMs < entry.dueAtMs) continue;
    if (!entry.reported) {
      entry.dueAtMs = nowMs + checkIntervalMs;
      effects.push({ kind: OrdersEffectKind.ReadBack, upstreamId });
      continue;
    }
    const order = findNextOrder(entry.desired, entry.reported);
    if (order?.kind !== entry.accepted?.kind) entry.accepted = undefined;
    const isAwaited = order !== undefined &&
      order.name === entry.accepted?.name && nowMs < entry.reissueAtMs;
    if (!order || isAwaited) {
      // Read again later: a late order of a former leader may still arrive.
      entry.reported = undefined;
      entry.dueAtMs = nowMs + checkIntervalMs;
      continue;
    }
    if (!entry.checksFencing && nowMs < state.unfencedFromMs) continue;
    entry.inFlight = order;
    effects.push({
      kind: OrdersEffectKind.SendOrder,
      upstreamId,
      order,
      fencingToken: state.fencingToken,
      mustCheckLease: !entry.checksFencing,
    });
  }
  return effects;
}

/** Loads precede unloads, so that an engine is never left without a version. */
export function findNextOrder(
  desired: EngineContent | undefined,
  reported: EngineContent,
): EngineOrder | undefined {
  if (!desired) return undefined;
  const load = getMissing(desired.versions, reported.versions);
  if (load !== undefined) return { kind: OrderKind.Load, name: load };
  const adapter = getMissing(desired.adapters, reported.adapters);
  if (adapter !== undefined) {
    return { kind: OrderKind.LoadAdapter, name: adapter };
  }
  if (desired.role !== reported.role) {
    return { kind: OrderKind.SetRole, name: desired.role };
  }
  const oldAdapter = getMissing(reported.adapters, desired.adapters);
  if (oldAdapter !== undefined) {
    return { kind: OrderKind.UnloadAdapter, name: oldAdapter };
  }
  const unload = getMissing(reported.versions, desired.versions);
  return unload === undefined
    ? undefined
    : { kind: OrderKind.Unload, name: unload };
}

function getMissing(
  wanted: readonly string[],
  present: readonly string[],
): string | undefined {
  return wanted.find((name) => !present.includes(name));
}
