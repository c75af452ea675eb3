/**
 * Adapter to the platform's membership list.
 */
import { err, ok, ResultAsync } from "neverthrow";
import { request } from "undici";
import * as z from "zod";
import {
  createError,
  ErrorKind,
  getErrorMessage,
  type SystemError,
} from "../core/errors.ts";
import { InstanceState, UpstreamKind, UpstreamState } from "../core/types.ts";

const idSchema = z.string().min(1).max(200);

const platformListSchema = z.object({
  instances: z.array(z.object({
    instanceId: idSchema,
    domainId: idSchema,
    host: z.string().min(1),
    peerPort: z.int().min(1).max(65535),
    state: z.enum(InstanceState),
  })).max(10_000),
  upstreams: z.array(z.object({
    upstreamId: idSchema,
    kind: z.enum(UpstreamKind),
    service: idSchema,
    version: z.string().max(200).default(""),
    domainId: idSchema,
    baseUrl: z.url(),
    state: z.enum(UpstreamState),
  })).max(100_000),
});

export type PlatformList = z.output<typeof platformListSchema>;

const requestTimeoutMs = 2_000;

export function readPlatformList(
  listUrl: string,
): ResultAsync<PlatformList, SystemError> {
  return ResultAsync.fromPromise(
    request(listUrl, {
      headersTimeout: requestTimeoutMs,
      bodyTimeout: requestTimeoutMs,
    }).then((response) => response.body.json()),
    (cause) => createError(ErrorKind.UpstreamFailed, getErrorMessage(cause)),
  ).andThen((value) => {
    const parsed = platformListSchema.safeParse(value);
    if (parsed.success) return ok(parsed.data);
    return err(createError(ErrorKind.ProtocolError, parsed.error.message));
  });
}
