/**
 * Parses JSON from outside without exceptions.
 */
import { Result } from "neverthrow";
import { getErrorMessage } from "./errors.ts";

/** The parsed value, or the parser's message. */
export function parseJson(text: string): Result<unknown, string> {
  return Result.fromThrowable(
    () => JSON.parse(text) as unknown,
    getErrorMessage,
  )();
}
