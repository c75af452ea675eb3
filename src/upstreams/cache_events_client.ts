/**
 * Adapter to the cache events of engines: `GET /cache_events?after=SEQ`.
 */
import { err, ok, ResultAsync } from "neverthrow";
import { Agent, request } from "undici";
import * as z from "zod";
import {
  createError,
  ErrorKind,
  getErrorMessage,
  type SystemError,
} from "../core/errors.ts";
import type { CacheEventsPage } from "../routing/cache_index.ts";

export interface CacheEventsClient {
  read(
    baseUrl: string,
    after: number,
  ): ResultAsync<CacheEventsPage, SystemError>;
  close(): Promise<void>;
}

const blockSchema = z.string().min(1).max(64);
const pageSchema = z.object({
  events: z.array(z.object({
    seq: z.int().min(1),
    kind: z.enum(["stored", "evicted"]),
    block: blockSchema,
  })).max(10_000),
  blocks: z.array(blockSchema).max(100_000).optional(),
  seq: z.int().min(0),
});

const timeoutMs = 1_000;
const maxResponseBytes = 4_194_304;

export function createCacheEventsClient(): CacheEventsClient {
  const agent = new Agent({
    connect: { timeout: timeoutMs },
    maxResponseSize: maxResponseBytes,
  });
  return { read, close: () => agent.destroy() };

  function read(
    baseUrl: string,
    after: number,
  ): ResultAsync<CacheEventsPage, SystemError> {
    return ResultAsync.fromPromise(
      request(`${baseUrl}/cache_events?after=${after}`, {
        dispatcher: agent,
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
      }).then(async (response) => {
        if (response.statusCode === 200) return await response.body.json();
        await response.body.dump();
        throw new Error(`engine responded with status ${response.statusCode}`);
      }),
      (cause) => createError(ErrorKind.UpstreamFailed, getErrorMessage(cause)),
    ).andThen((value) => {
      const parsed = pageSchema.safeParse(value);
      if (parsed.success) return ok(parsed.data);
      return err(createError(
        ErrorKind.ProtocolError,
        `malformed cache events: ${parsed.error.message}`,
      ));
    });
  }
}
