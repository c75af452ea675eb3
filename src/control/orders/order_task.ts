/** Executes the decisions about engine orders on the control leader. */
import type { Clock } from "../../core/clock.ts";
import { logEvents } from "../../core/log_events.ts";
import type { Logger } from "../../core/logger.ts";
import { createPeriodicTask, type Task } from "../../core/supervisor.ts";
import type { UpstreamId } from "../../core/types.ts";
import {
  applyOrdersEvent,
  createOrdersState,
  type EngineContent,
  OrderAnswer,
  type OrdersEffect,
  OrdersEffectKind,
  type OrdersEvent,
  OrdersEventKind,
} from "./engine_orders.ts";
import type { OrderClient } from "./order_client.ts";

export interface DesiredEngine {
  readonly upstreamId: UpstreamId;
  readonly baseUrl: string;
  readonly checksFencing: boolean;
  readonly content: EngineContent;
}

export interface OrderTaskOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly client: OrderClient;
  /** Token of this leadership; undefined while another instance is leader. */
  getFencingToken(): number | undefined;
  /** Called directly before the write to an engine that ignores tokens. */
  hasLease(): boolean;
  listDesiredEngines(): readonly DesiredEngine[];
  onReported(upstreamId: UpstreamId, content: EngineContent): void;
}

const tickMs = 200;

export function createOrderTask(options: OrderTaskOptions): Task {
  const { clock, logger, client } = options;
  const state = createOrdersState();
  const baseUrls = new Map<UpstreamId, string>();
  const lastOrders = new Map<UpstreamId, string>();
  return createPeriodicTask({
    name: "engine-orders",
    clock,
    intervalMs: tickMs,
    action: tick,
  });

  function tick(): void {
    const fencingToken = options.getFencingToken();
    if (fencingToken === undefined) {
      if (state.isLeader) handleEvent({ kind: OrdersEventKind.LeadershipLost });
      return;
    }
    if (!state.isLeader || fencingToken !== state.fencingToken) {
      handleEvent({ kind: OrdersEventKind.LeadershipGained, fencingToken });
    }
    updateDesired();
    handleEvent({ kind: OrdersEventKind.Ticked });
  }

  function updateDesired(): void {
    const desired = options.listDesiredEngines();
    const listedIds = new Set(desired.map((engine) => engine.upstreamId));
    for (const upstreamId of baseUrls.keys()) {
      if (listedIds.has(upstreamId)) continue;
      baseUrls.delete(upstreamId);
      lastOrders.delete(upstreamId);
      handleEvent({
        kind: OrdersEventKind.Desired,
        upstreamId,
        checksFencing: true,
        content: undefined,
      });
    }
    for (const { upstreamId, baseUrl, checksFencing, content } of desired) {
      baseUrls.set(upstreamId, baseUrl);
      handleEvent({
        kind: OrdersEventKind.Desired,
        upstreamId,
        checksFencing,
        content,
      });
    }
  }

  function handleEvent(event: OrdersEvent): void {
    for (const effect of applyOrdersEvent(state, event, clock.nowMs())) {
      void executeEffect(effect);
    }
  }

  async function executeEffect(effect: OrdersEffect): Promise<void> {
    switch (effect.kind) {
      case OrdersEffectKind.ReadBack:
        await readBack(effect.upstreamId);
        break;
      case OrdersEffectKind.SendOrder:
        await sendOrder(effect);
        break;
      case OrdersEffectKind.StepDown:
        logger.log(logEvents.orderRejected, { token: state.fencingToken });
        break;
    }
  }

  async function readBack(upstreamId: UpstreamId): Promise<void> {
    const baseUrl = baseUrls.get(upstreamId);
    if (baseUrl === undefined) return;
    const content = await client.read(baseUrl);
    if (content.isErr()) return;
    options.onReported(upstreamId, content.value);
    handleEvent({
      kind: OrdersEventKind.Reported,
      upstreamId,
      content: content.value,
    });
  }

  async function sendOrder(
    { upstreamId, order, fencingToken, mustCheckLease }: Extract<
      OrdersEffect,
      { kind: OrdersEffectKind.SendOrder }
    >,
  ): Promise<void> {
    const baseUrl = baseUrls.get(upstreamId);
    // No await may separate this check from the write.
    const mayWrite = baseUrl !== undefined &&
      (!mustCheckLease || options.hasLease());
    const text = `${order.kind} ${order.name}`;
    const isRepeated = lastOrders.get(upstreamId) === text;
    lastOrders.set(upstreamId, text);
    logger.log(isRepeated ? logEvents.orderReissued : logEvents.orderIssued, {
      upstream: upstreamId,
      ...order,
    });
    const answer = mayWrite
      ? await client.send(baseUrl, order, fencingToken)
      : OrderAnswer.Failed;
    handleEvent({ kind: OrdersEventKind.OrderAnswered, upstreamId, answer });
  }
}
