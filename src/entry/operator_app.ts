/**
 * HTTP interface for operators, used by the command-line tool. Every route
 * needs an operator's token.
 */
import process from "node:process";
import { Hono } from "hono";
import type { AnswerExplainer } from "../answers/answer_explainer.ts";
import type { AnswerService } from "../answers/answer_service_types.ts";
import { errorResponses, getErrorBody } from "../core/errors.ts";
import type { UpstreamId } from "../core/types.ts";
import type { MembershipView } from "../membership/membership_view.ts";
import type { PeerTraffic } from "../peer/peer_client.ts";
import type { UpstreamRegistry } from "../upstreams/upstream_registry.ts";
import type { InstanceId } from "../core/types.ts";
import type { Authenticator } from "./authenticator.ts";

export interface OperatorAppOptions {
  readonly authenticator: Authenticator;
  readonly membership: MembershipView;
  readonly registry: UpstreamRegistry;
  readonly answers: AnswerService;
  getPeerTraffic(): PeerTraffic;
  /** Empty if this instance does not know the control leader. */
  getLeaderId(): InstanceId;
  readonly configuration: {
    getRevision(): number;
    isKnown(): boolean;
    getKnownRevision(instanceId: InstanceId): number;
    listBehind(revision: number): InstanceId[];
  };
  /** Mounted behind the operator authentication. */
  readonly ticketRoutes: Hono;
  readonly reportRoutes: Hono;
  readonly explainer: AnswerExplainer;
  /** State of admission, budgets and circuits in the daemon. */
  getLimits(): unknown;
  getCircuit(upstreamId: UpstreamId): string;
}

export function createOperatorApp(options: OperatorAppOptions): Hono {
  const { authenticator, membership, registry, answers, configuration } =
    options;
  const app = new Hono();
  app.use("*", async (context, next) => {
    const operator = authenticator.authenticateOperator(
      context.req.header("authorization"),
    );
    if (operator.isErr()) {
      const { httpStatus } = errorResponses[operator.error.kind];
      return context.json(getErrorBody(operator.error), httpStatus as 401);
    }
    return await next();
  });
  app.get("/status", (context) =>
    context.json({
      instance: membership.getSelf(),
      answers: answers.getStats(),
      control: { leaderId: options.getLeaderId() },
      peerTraffic: options.getPeerTraffic(),
      process: getProcessStats(),
      configuration: {
        revision: configuration.getRevision(),
        isKnown: configuration.isKnown(),
        behind: configuration.listBehind(configuration.getRevision()),
      },
      limits: options.getLimits(),
    }));
  app.get("/instances", (context) =>
    context.json({
      instances: membership.listInstances().map((instance) => ({
        ...instance,
        isReachable: membership.isReachable(instance.instanceId),
        revision: configuration.getKnownRevision(instance.instanceId),
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
  app.get("/answers/:answerId", async (context) => {
    const answerId = context.req.param("answerId");
    return await options.explainer.explain(answerId).match(
      (explanation) => context.json(explanation),
      (error) => {
        const { httpStatus } = errorResponses[error.kind];
        return context.json(getErrorBody(error), httpStatus as 404);
      },
    );
  });
  app.route("/", options.ticketRoutes);
  app.route("/", options.reportRoutes);
  return app;
}

function getProcessStats() {
  const cpu = process.cpuUsage();
  const memory = process.memoryUsage();
  return {
    uptimeMs: Math.round(process.uptime() * 1_000),
    cpuMs: Math.round((cpu.user + cpu.system) / 1_000),
    residentBytes: memory.rss,
    heapUsedBytes: memory.heapUsed,
  };
}
