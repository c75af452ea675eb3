/**
 * Parses the body of a completion request.
 */
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import { createError, ErrorKind, type SystemError } from "../core/errors.ts";
import { parseJson } from "../core/parse_json.ts";
import type { GenerationRequest } from "../core/types.ts";

const completionSchema = z.object({
  model: z.string().min(1).max(100),
  prompt: z.string().min(1),
  max_tokens: z.int().min(1).default(256),
  stream: z.boolean().default(false),
  adapter: z.string().max(100).default(""),
  route: z.string().regex(/^[a-z0-9-]{1,63}$/).default("default"),
  priority: z.int().min(0).max(9).default(5),
});

export interface CompletionRequest {
  readonly generation: GenerationRequest;
  readonly isStreaming: boolean;
}

export function parseCompletionRequest(
  text: string,
  maxTokens: number,
): Result<CompletionRequest, SystemError> {
  const json = parseJson(text).mapErr(() =>
    invalid("the body is not JSON", "")
  );
  return json.andThen((value) => {
    const parsed = completionSchema.safeParse(value);
    if (!parsed.success) {
      const issue = parsed.error.issues[0]!;
      return err(invalid(issue.message, issue.path.join(".")));
    }
    const body = parsed.data;
    if (body.max_tokens > maxTokens) {
      return err(invalid(`must be at most ${maxTokens}`, "max_tokens"));
    }
    return ok({
      generation: {
        model: body.model,
        adapter: body.adapter,
        prompt: body.prompt,
        maxTokens: body.max_tokens,
        route: body.route,
        priority: body.priority,
      },
      isStreaming: body.stream,
    });
  });
}

function invalid(message: string, fieldPath: string): SystemError {
  return createError(ErrorKind.InvalidRequest, message, { fieldPath });
}
