/**
 * Parses untrusted JSON without throwing.
 */
import { Result } from "neverthrow";
import { getErrorMessage } from "./errors.ts";

/** Returns the parsed value, or the parser's error message. */
export function parseJson(text: string): Result<unknown, string> {
  return Result.fromThrowable(
    () => JSON.parse(text) as unknown,
    getErrorMessage,
  )();
}
