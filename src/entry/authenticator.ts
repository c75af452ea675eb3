/**
 * Authenticates callers and operators by bearer token. The settings contain
 * only hashes of tokens, so that the settings file does not reveal a token.
 */
import { createHash } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { createError, ErrorKind, type SystemError } from "../core/errors.ts";
import type { CustomerId } from "../core/types.ts";
import type { Settings } from "../settings/schema.ts";

export interface Authenticator {
  authenticateCustomer(
    authorization: string | undefined,
  ): Result<CustomerId, SystemError>;
  authenticateOperator(
    authorization: string | undefined,
  ): Result<string, SystemError>;
}

export function createAuthenticator(
  settings: Pick<Settings, "customers" | "operators">,
): Authenticator {
  const customerIds = new Map<string, CustomerId>();
  for (const { customerId, tokenSha256 } of settings.customers) {
    for (const hash of tokenSha256) customerIds.set(hash, customerId);
  }
  const operatorIds = new Map<string, string>();
  for (const { operatorId, tokenSha256 } of settings.operators) {
    for (const hash of tokenSha256) operatorIds.set(hash, operatorId);
  }
  return {
    authenticateCustomer: (authorization) =>
      authenticate(customerIds, authorization),
    authenticateOperator: (authorization) =>
      authenticate(operatorIds, authorization),
  };
}

export function hashToken(token: string): string {
  return createHash("sha256").update(token).digest("hex");
}

function authenticate(
  ids: ReadonlyMap<string, string>,
  authorization: string | undefined,
): Result<string, SystemError> {
  const token = /^Bearer ([\x21-\x7e]{1,512})$/.exec(authorization ?? "")?.[1];
  const id = token === undefined ? undefined : ids.get(hashToken(token));
  if (id !== undefined) return ok(id);
  return err(createError(
    ErrorKind.Unauthenticated,
    "a valid bearer token is required",
  ));
}
