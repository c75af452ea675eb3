/**
 * Identifies a request by what its repetitions have in common. The headers are
 * left out, because callers change some of them with each attempt.
 */
import { createHash } from "node:crypto";
import type { AdmittedRequest } from "./forwarding_context.ts";

/** The ids of prompt parts contain no colon, so no caller can choose a digest. */
const prefix = "request:";

export function getRequestDigest(
  { caller, service, customerId, body, promptPartIds = [] }:
    & Pick<
      AdmittedRequest,
      "service" | "customerId" | "body"
    >
    & {
      readonly caller: { readonly method: string; readonly path: string };
      readonly promptPartIds?: readonly string[];
    },
): string {
  const fields = JSON.stringify([
    service.name,
    caller.method,
    caller.path,
    // Repetitions of one customer say nothing about requests of others.
    customerId ?? null,
    ...promptPartIds,
  ]);
  return prefix + createHash("sha256").update(fields).update("\n")
    .update(body).digest("base64url");
}
