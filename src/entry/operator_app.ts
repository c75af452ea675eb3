/**
 * HTTP interface for operators, used by the command-line tool.
 */
import { Hono } from "hono";
import type { AnswerService } from "../answers/answer_service.ts";
import { errorAnswers, getErrorBody } from "../core/errors.ts";
import type { UpstreamId } from "../core/types.ts";
import type { MembershipView } from "../membership/membership_view.ts";
import type { UpstreamRegistry } from "../upstreams/upstream_registry.ts";
import type { Authenticator } from "./authenticator.ts";

export interface OperatorAppOptions {
  readonly authenticator: Authenticator;
  readonly membership: MembershipView;
  readonly registry: UpstreamRegistry;
  readonly answers: AnswerService;
  /** Admission, budgets and circuits, as the daemon has them. */
  getLimits(): unknown;
  getCircuit(upstreamId: UpstreamId): string;
}

export function createOperatorApp(options: OperatorAppOptions): Hono {
  const { authenticator, membership, registry, answers } = options;
  const app = new Hono();
  app.use("*", async (context, next) => {
    const operator = authenticator.authenticateOperator(
      context.req.header("authorization"),
    );
    if (operator.isErr()) {
      const { httpStatus } = errorAnswers[operator.error.kind];
      return context.json(getErrorBody(operator.error), httpStatus as 401);
    }
    return await next();
  });
  app.get("/status", (context) =>
    context.json({
      instance: membership.getSelf(),
      answers: answers.getStats(),
      limits: options.getLimits(),
    }));
  app.get("/instances", (context) =>
    context.json({
      instances: membership.listInstances().map((instance) => ({
        ...instance,
        isReachable: membership.isReachable(instance.instanceId),
      })),
    }));
  app.get("/upstreams", (context) =>
    context.json({
      upstreams: registry.list().map((upstream) => ({
        ...upstream.info,
        inFlightCount: upstream.inFlightCount,
        isLeavingReported: upstream.isLeavingReported,
        isMarkedLeaving: registry.isMarkedLeaving(upstream.info.upstreamId),
        circuit: options.getCircuit(upstream.info.upstreamId),
      })),
    }));
  return app;
}
