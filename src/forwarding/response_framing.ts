/**
 * Recognizes responses that were broken off although their framing does not
 * show it: without a length or chunks, a response ends with its connection,
 * whether it is complete or not.
 */
import type { Buffer } from "node:buffer";
import { parseJson } from "../core/parse_json.ts";
import type { RawHeaders } from "./forwarding_protocol.ts";

/** Responses with these statuses have no body. */
const bodilessStatuses = new Set([204, 304]);

/** Whether the response has neither a length nor chunks. */
export function isCloseDelimited(headers: RawHeaders): boolean {
  // A response with a transfer coding has no length, and only one whose last
  // coding is chunked shows its end.
  const codings = findValue(headers, "transfer-encoding");
  return codings === undefined
    ? findValue(headers, "content-length") === undefined
    : codings.split(",").at(-1)!.trim().toLowerCase() !== "chunked";
}

/**
 * Whether a response was broken off although it was received without an error.
 * Only JSON shows that; other bodies are complete as far as can be known.
 */
export function isBrokenOff(
  method: string,
  { status, headers, body }: {
    readonly status: number;
    readonly headers: RawHeaders;
    readonly body: Buffer;
  },
): boolean {
  const hasBody = method !== "HEAD" && !bodilessStatuses.has(status);
  if (!hasBody || !isCloseDelimited(headers)) return false;
  return isJson(getMediaType(headers)) &&
    parseJson(body.toString("utf8")).isErr();
}

/** Content type in lower case without parameters; empty if not stated. */
export function getMediaType(headers: RawHeaders): string {
  const contentType = findValue(headers, "content-type") ?? "";
  return contentType.split(";")[0]!.trim().toLowerCase();
}

function isJson(mediaType: string): boolean {
  return mediaType === "application/json" || mediaType.endsWith("+json");
}

function findValue(headers: RawHeaders, name: string): string | undefined {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() === name) return headers[index + 1];
  }
  return undefined;
}
