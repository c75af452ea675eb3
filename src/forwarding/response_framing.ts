/**
 * Recognizes responses that were broken off although their framing does not
 * show it: without a length or chunks, a response ends with its connection,
 * whether it is complete or not.
 */
import type { RawHeaders } from "./forwarding_protocol.ts";

/** Whether the response has neither a length nor chunks. */
export function isCloseDelimited(headers: RawHeaders): boolean {
  return findValue(headers, "content-length") === undefined &&
    findValue(headers, "transfer-encoding") === undefined;
}

function findValue(headers: RawHeaders, name: string): string | undefined {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() === name) return headers[index + 1];
  }
  return undefined;
}
