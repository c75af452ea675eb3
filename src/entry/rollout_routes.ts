/**
 * Operator paths for version rollouts. Rollouts are started by tickets; `POST`
 * is there until tickets carry them.
 */
import { Hono } from "hono";
import { bodyLimit } from "hono/body-limit";
import type { Result, ResultAsync } from "neverthrow";
import type { RolloutExplanation } from "../control/rollouts/explain_rollout.ts";
import {
  type RolloutCommandResult,
  rolloutSpecSchema,
} from "../control/rollouts/rollout_commands.ts";
import type { RolloutSpec } from "../control/rollouts/rollout_types.ts";
import {
  createError,
  errorAnswers,
  ErrorKind,
  getErrorBody,
  type SystemError,
} from "../core/errors.ts";

export interface RolloutAdmin {
  start(spec: RolloutSpec): ResultAsync<RolloutCommandResult, SystemError>;
  explainAll(): Result<readonly RolloutExplanation[], SystemError>;
}

const maxSpecBytes = 16_384;

export function createRolloutRoutes(rollouts: RolloutAdmin): Hono {
  const app = new Hono();
  app.get("/", (context) =>
    rollouts.explainAll().match(
      (explained) => context.json({ rollouts: explained }),
      (error) => refuse(error),
    ));
  app.post("/", bodyLimit({ maxSize: maxSpecBytes }), async (context) => {
    const body: unknown = await context.req.json().catch(() => undefined);
    const spec = rolloutSpecSchema.safeParse(body);
    if (!spec.success) {
      const { message } = spec.error.issues[0]!;
      return refuse(createError(ErrorKind.InvalidRequest, message, {
        fieldPath: spec.error.issues[0]!.path.join("."),
      }));
    }
    return await rollouts.start(spec.data).match(
      (result) => context.json(result),
      (error) => refuse(error),
    );
  });
  return app;
}

function refuse(error: SystemError): Response {
  return Response.json(getErrorBody(error), {
    status: errorAnswers[error.kind].httpStatus,
  });
}
